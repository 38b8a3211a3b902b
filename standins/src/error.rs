use std::io;

/// Error of a stand-in, a child process or an HTTP call to one of them.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {reason}")]
    Bind {
        /// Address to listen on.
        address: String,
        /// Error from the operating system or the server library.
        reason: String,
    },
    /// Opening or writing a file failed.
    #[error("file {path}: {cause}")]
    File {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        cause: io::Error,
    },
    /// A process could not be started or signalled, or it failed.
    #[error("process {program}: {reason}")]
    Process {
        /// Program that the process runs.
        program: String,
        /// Error from the operating system, or the exit status.
        reason: String,
    },
    /// An HTTP call to a stand-in or daemon failed.
    #[error("{url}: {reason}")]
    Call {
        /// Requested URL.
        url: String,
        /// Error from the HTTP client, or the status and body of the response.
        reason: String,
    },
    /// The command line of a stand-in is invalid.
    #[error("command line: {reason}")]
    Usage {
        /// Description of the invalid argument.
        reason: String,
    },
}
