use std::io;

/// Why a stand-in could not start or a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {reason}")]
    Bind {
        /// Address from the settings.
        address: String,
        /// What the system or the server reported.
        reason: String,
    },
    /// A file cannot be opened or written.
    #[error("file {path}: {cause}")]
    File {
        /// Path of the file.
        path: String,
        /// What the system reported.
        cause: io::Error,
    },
    /// A process cannot be started or signalled.
    #[error("process {program}: {reason}")]
    Process {
        /// Program of the process.
        program: String,
        /// What the system reported.
        reason: String,
    },
    /// An HTTP call of a stand-in or daemon failed.
    #[error("{url}: {reason}")]
    Call {
        /// URL of the call.
        url: String,
        /// What the client reported.
        reason: String,
    },
    /// The command line of a stand-in is wrong.
    #[error("command line: {reason}")]
    Usage {
        /// What is wrong.
        reason: String,
    },
}
