use std::io;

/// Error while setting up logging or metrics.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file cannot be opened.
    #[error("log file `{path}` cannot be opened: {cause}")]
    LogFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The process already has a logger.
    #[error("a logger is already installed")]
    LoggerInstalled,
    /// The thread that writes log lines cannot be started.
    #[error("thread that writes log lines cannot be started: {0}")]
    Thread(io::Error),
    /// The UDP socket for metrics cannot be opened.
    #[error("UDP socket for metrics cannot be opened: {0}")]
    Socket(io::Error),
    /// The address of the metrics sink is invalid.
    #[error("metrics sink `{address}` is not usable: {reason}")]
    Sink {
        /// Configured address.
        address: String,
        /// Error of the metrics client.
        reason: String,
    },
}
