use std::time::Duration;

use ragwortgrade_schema::Name;

/// A declared service and what its endpoints have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Connections that one endpoint accepts from all daemons together.
    pub connections_max: u32,
    /// Limits of the endpoints when they are engines.
    pub engine: Option<EngineLimits>,
}

/// Declared limits of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Sequences that an engine runs at once.
    pub sequences_max: u32,
    /// Tokens that an engine's KV cache holds.
    pub kv_tokens: u64,
    /// Bytes of KV cache of one token.
    pub kv_token_bytes: f64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens of one event of a stream.
    pub event_tokens: u32,
    /// Time for which an engine keeps the KV cache of a prefill that was run apart.
    pub handle_ttl: Duration,
}

impl EngineLimits {
    /// Returns the time to move the KV cache of `tokens` between two engines of a data centre.
    #[must_use]
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        if self.link_mbps <= 0.0 {
            return Duration::ZERO;
        }
        let bits = f64::from(tokens) * self.kv_token_bytes * 8.0;
        Duration::from_secs_f64(bits / (self.link_mbps * 1e6))
    }
}
