/// Why a call of the platform failed, as far as an apply tells the cases apart.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect and may succeed later.
    #[error("{0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("{0}")]
    AnswerLost(String),
    /// The key has another revision; nothing was written.
    #[error("key has another revision")]
    Conflict,
}
