//! Logging and metrics of the daemon.

mod error;
mod fields;
mod line;
mod logging;
mod metrics;
mod recent;

pub use error::Error;
pub use line::render as render_line;
pub use logging::start_logging;
pub use metrics::Metrics;
pub use recent::{Recent, recent};
