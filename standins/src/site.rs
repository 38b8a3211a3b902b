//! Stand-ins for the users' platform, to which the package `ragwortgrade-platform` adapts: its
//! key-value service and its workers.

mod duty_service;
mod example;
mod exchange;
mod store;
mod store_copy;
mod worker;

pub use duty_service::{DutyCall, DutyService};
pub use example::Example;
pub use exchange::{ENDLESS_BYTES_MAX, Request, Response};
pub use store::{Entrance, PageFault, Store};
pub use store_copy::StoreCopy;
pub use worker::Worker;
