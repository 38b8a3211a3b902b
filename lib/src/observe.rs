//! Logging and metrics of the daemon.

mod board;
mod error;
mod fields;
mod line;
mod logging;
mod metrics;
mod recent;
mod stdout;

pub use board::Board;
pub use error::Error;
pub use line::render as render_line;
pub use logging::start_logging;
pub use metrics::Metrics;
pub use recent::{Recent, recent};
pub use stdout::{StdoutLog, start_stdout_logging};
