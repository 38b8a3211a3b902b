use std::time::Duration;

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time between the first and the last byte of a head.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits for the time before the first configuration, when all requests are refused.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
