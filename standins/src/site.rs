//! Stand-ins for the users' platform, to which the package `ragwortgrade-platform` adapts: its
//! key-value service and its workers.

mod exchange;
mod store;
mod worker;

pub use exchange::{ENDLESS_BYTES_MAX, Request, Response};
pub use store::Store;
pub use worker::Worker;
