use std::time::Duration;

use ragwortgrade_schema::Name;

use super::scaling;

/// Longest transfer that is told apart: no caller waits for it.
const TRANSFER_TIME_MAX: Duration = Duration::from_hours(1);

/// A declared service and the common properties of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Maximum number of connections that one endpoint accepts from all daemons together.
    pub connections_max: u32,
    /// Limits of the engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// Terms on which workers are ordered; `None` if their number is not decided here.
    pub scaling: Option<scaling::Terms>,
}

/// Declared limits of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of concurrent sequences of an engine.
    pub sequences_max: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_token_bytes: f64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// Time for which an engine retains the KV cache of a remote prefill.
    pub handle_ttl: Duration,
}

impl EngineLimits {
    /// Returns the time to transfer the KV cache of `tokens` between two engines of a data centre.
    #[must_use]
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        if self.link_mbps <= 0.0 {
            return Duration::ZERO;
        }
        let bits = f64::from(tokens) * self.kv_token_bytes * 8.0;
        let seconds = bits / (self.link_mbps * 1e6);
        let time = Duration::try_from_secs_f64(seconds).unwrap_or(TRANSFER_TIME_MAX);
        time.min(TRANSFER_TIME_MAX)
    }
}
