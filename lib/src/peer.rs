//! Talk between daemons.

mod error;
mod handler;
mod peers;

pub use error::Error;
pub use handler::Handler;
pub use peers::Peers;
