/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound or a thread not started.
    #[error("daemon could not start: {0}")]
    Io(#[from] std::io::Error),
    /// The operating system gave no random numbers.
    #[error("no source of random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// The peer keys are not usable; checked settings exclude this.
    #[error("[keys] has no usable key `peer.<id>` named by `peer_active`")]
    Keys,
}
