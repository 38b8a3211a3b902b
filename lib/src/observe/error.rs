use std::io;

/// Why logging or metrics could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file cannot be opened.
    #[error("log file `{path}` cannot be opened: {cause}")]
    LogFile {
        /// The file.
        path: String,
        /// What the system reported.
        cause: io::Error,
    },
    /// The process already has a logger.
    #[error("a logger is already installed")]
    LoggerInstalled,
    /// The thread that writes the lines cannot be started.
    #[error("thread of the log cannot be started: {0}")]
    Thread(io::Error),
    /// The UDP socket for metrics cannot be opened.
    #[error("UDP socket for metrics cannot be opened: {0}")]
    Socket(io::Error),
    /// The address of the metrics sink is not usable.
    #[error("metrics sink `{address}` is not usable: {reason}")]
    Sink {
        /// The address.
        address: String,
        /// What is wrong with it.
        reason: String,
    },
}
