/// Why a call of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not reach the service; nothing was written.
    #[error("platform is unreachable: {reason}")]
    Unreachable {
        /// What the connection attempt reported.
        reason: String,
    },
    /// The call may have taken effect, but its answer was lost.
    #[error("answer of the platform was lost: {reason}")]
    AnswerLost {
        /// What ended the wait.
        reason: String,
    },
    /// The key has another revision than expected; nothing was written.
    #[error("key is at revision {revision}")]
    Conflict {
        /// Revision of the key, 0 when it does not exist.
        revision: u64,
    },
    /// The service refused the call because of its rate limit; nothing was written.
    #[error("platform's rate limit is reached")]
    RateLimited,
    /// The lease named in the call does not exist any more.
    #[error("lease has ended")]
    LeaseEnded,
    /// The service refused the call for another reason; nothing was written.
    #[error("platform answered with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer does not follow the protocol.
    #[error("answer of the platform is malformed: {reason}")]
    Malformed {
        /// What the parser reported.
        reason: String,
    },
}
