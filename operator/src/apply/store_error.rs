/// Errors of a call to the platform, classified by whether a write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect and may succeed if retried.
    #[error("{0}")]
    Unavailable(String),
    /// No usable answer was received; a write may have taken effect.
    #[error("{0}")]
    AnswerLost(String),
    /// The key does not have the expected revision; nothing was written.
    #[error("key has another revision")]
    Conflict,
}
