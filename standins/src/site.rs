//! Stand-ins of the users' platform: its key-value service and its workers.

mod exchange;
mod store;
mod worker;

pub use exchange::{Request, Response};
pub use store::Store;
pub use worker::Worker;
