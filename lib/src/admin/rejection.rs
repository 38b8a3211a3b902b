/// Reason for the rejection of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The header is missing or malformed.
    #[error("header X-Operator-Auth is missing or not `<key id>:<unix ms>:<hex code>`")]
    Malformed,
    /// The key is unknown or the HMAC does not match. The answer does not reveal which.
    #[error("key is not known or the signature does not fit the request")]
    InvalidSignature,
    /// The time is too far from the daemon's clock.
    #[error("time of the request is more than 30 s from the daemon's clock")]
    OutsideWindow,
    /// The header was already used.
    #[error("request was already made; each request needs its own time")]
    Replayed,
    /// More signed requests arrived than the detection of replays can record while it has to keep
    /// their HMACs.
    #[error("too many requests within the time window")]
    TooMany,
}
