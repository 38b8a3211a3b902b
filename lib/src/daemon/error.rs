/// Error at the start of a daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound, or a thread could not be started.
    #[error("daemon could not start: {0}")]
    Io(#[from] std::io::Error),
    /// The operating system provided no random numbers.
    #[error("operating system provided no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// The active peer key is missing or a key is invalid; impossible with validated settings.
    #[error("[keys] has no usable key `peer.<id>` named by `peer_active`")]
    Keys,
}
