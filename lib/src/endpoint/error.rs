/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was certainly not run.
    NotRun,
    /// The request may have run, completely or in part.
    Unknown,
}

/// Error of a call to an endpoint.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[error("endpoint is unreachable: {reason}")]
    Unreachable {
        /// Error of the connection attempt.
        reason: String,
    },
    /// The endpoint refused the call before running it.
    #[error("endpoint refused the call with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The connection broke after the call was sent.
    #[error("connection to the endpoint broke: {reason}")]
    Broken {
        /// Error that ended the call.
        reason: String,
    },
    /// The endpoint did not answer in time; it may be paused, partitioned or slow.
    #[error("endpoint did not answer in time: {reason}")]
    TimedOut {
        /// Which timeout expired.
        reason: String,
        /// Whether the call was sent, completely or in part.
        sent: bool,
    },
    /// The response contains no identity of an attempt, or that of another one.
    #[error("response does not contain the identity of the attempt")]
    AttemptMismatch,
    /// The response does not follow the protocol.
    #[error("response of the endpoint is malformed: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    /// Returns whether the call may have run.
    #[must_use]
    pub fn execution(&self) -> Execution {
        match self {
            Self::Unreachable { .. }
            | Self::Refused { .. }
            | Self::TimedOut { sent: false, .. } => Execution::NotRun,
            Self::Broken { .. }
            | Self::TimedOut { sent: true, .. }
            | Self::AttemptMismatch
            | Self::Malformed { .. } => Execution::Unknown,
        }
    }
}
