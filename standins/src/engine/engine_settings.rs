use ragwortgrade_schema::engine::Role;

/// Settings of an engine. By default it is much faster than real engines.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Listen address as `ip:port`; port 0 selects a free port.
    pub address: String,
    /// Name in the load report.
    pub name: String,
    /// Initial role.
    pub role: Role,
    /// Initially loaded models, as `name@version`.
    pub models: Vec<String>,
    /// Initially loaded adapters, as `name@version`.
    pub adapters: Vec<String>,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fence: bool,
    /// Prefill throughput in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Fixed duration of a decode step in microseconds.
    pub step_us: u64,
    /// Additional step duration per sequence, in microseconds.
    pub step_us_per_sequence: u64,
    /// Maximum number of sequences in the batch.
    pub sequences_max: usize,
    /// KV cache capacity in tokens.
    pub kv_tokens_max: u64,
    /// Duration of a role change in milliseconds.
    pub role_change_ms: u64,
    /// Maximum age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Fraction of the cache events that is lost.
    pub cache_event_loss: f64,
    /// Seed of the random loss of cache events.
    pub seed: u64,
    /// Text in a prompt that crashes each engine that runs it.
    pub crash_marker: Option<String>,
    /// Whether a crash exits the process. Otherwise the engine only stops serving requests.
    pub crash_exits: bool,
    /// Base URL of the weight store. Without it, models load instantly.
    pub weights: Option<String>,
    /// File to which received orders are appended as JSON lines.
    pub order_log: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            name: "engine".to_owned(),
            role: Role::Mixed,
            models: vec!["base@1".to_owned()],
            adapters: Vec::new(),
            checks_fence: true,
            prefill_tokens_per_second: 2_000_000.0,
            step_us: 1_000,
            step_us_per_sequence: 10,
            sequences_max: 128,
            kv_tokens_max: 1_000_000,
            role_change_ms: 2_000,
            load_lag_ms: 300,
            cache_event_lag_ms: 500,
            cache_event_loss: 0.02,
            seed: 1,
            crash_marker: None,
            crash_exits: false,
            weights: None,
            order_log: None,
        }
    }
}
