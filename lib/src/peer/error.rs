/// Why a call of another daemon failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon is not known.
    #[error("daemon {daemon} is not known")]
    Unknown {
        /// The daemon asked for.
        daemon: String,
    },
    /// The daemon could not be reached or its answer was lost.
    #[error("daemon {daemon} did not answer: {reason}")]
    NoAnswer {
        /// The daemon asked.
        daemon: String,
        /// What ended the call.
        reason: String,
    },
}
