/// Error of a call to another daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon is not in the roster, so its address is unknown.
    #[error("daemon {daemon} is not known")]
    Unknown {
        /// Name of the daemon.
        daemon: String,
    },
    /// The daemon could not be reached, or its answer was lost; the call may have taken effect.
    #[error("daemon {daemon} did not answer: {reason}")]
    NoAnswer {
        /// Address of the daemon.
        daemon: String,
        /// Error of the connection or the call.
        reason: String,
    },
}
