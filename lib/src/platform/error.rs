/// Error of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not reach the service; nothing was written.
    #[error("platform is unreachable: {reason}")]
    Unreachable {
        /// Error of the connection attempt.
        reason: String,
    },
    /// The answer was lost; the call may have taken effect.
    #[error("answer of the platform was lost: {reason}")]
    AnswerLost {
        /// Error while waiting for or reading the answer.
        reason: String,
    },
    /// The key is not at the expected revision; nothing was written.
    #[error("key is at revision {revision}, not at the expected one")]
    Conflict {
        /// Revision of the key, 0 when it does not exist.
        revision: u64,
    },
    /// The service rejected the call because of its rate limit; nothing was written.
    #[error("platform's rate limit is reached")]
    RateLimited,
    /// The lease of the call has expired or was revoked.
    #[error("lease has ended")]
    LeaseEnded,
    /// The service rejected the call for another reason; nothing was written.
    #[error("platform answered with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer does not follow the protocol.
    #[error("answer of the platform is malformed: {reason}")]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
}
