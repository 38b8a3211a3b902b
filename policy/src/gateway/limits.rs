use std::time::Duration;

/// What the operators let a caller send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time between the first and the last byte of a head.
    pub header_timeout: Duration,
    /// Longest time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns bounds for the time before the first configuration, when requests are only refused.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
