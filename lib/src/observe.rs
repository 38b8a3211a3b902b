//! Logging and metrics of the daemon and the gateway.

mod error;
mod fields;
mod line;
mod log_buffer;
mod logging;
mod metrics;
mod registry;
mod stdout;

pub use error::Error;
pub use line::render as render_line;
pub use log_buffer::{LogBuffer, log_buffer};
pub use logging::start_logging;
pub use metrics::Metrics;
pub use registry::Registry;
pub use stdout::{StdoutLog, start_stdout_logging};
