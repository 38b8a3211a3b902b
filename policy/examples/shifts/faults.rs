use crate::speeds::Speeds;

/// Faults that the experiment injects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// One engine crashes at a third of the trace, another in a change or at two thirds.
    pub(crate) crash: bool,
    /// Age of load reports.
    pub(crate) lag_ms: Option<f64>,
    /// Part of the cache events that are lost.
    pub(crate) event_loss: Option<f64>,
    /// The last data centre is cut off in the middle third of the trace.
    pub(crate) cut: bool,
    /// One engine of each data centre but the last leaves at a third of the trace.
    pub(crate) withdraw: bool,
}

impl Faults {
    /// Time that an engine needs to come back after a crash.
    pub(crate) const RESTART_MS: u64 = 30_000;

    /// Applies the faults that are a matter of speeds.
    pub(crate) fn adjust(&self, mut speeds: Speeds) -> Speeds {
        if let Some(lag) = self.lag_ms {
            speeds.report_lag_ms = lag;
        }
        if let Some(part) = self.event_loss {
            speeds.cache_event_loss = part;
        }
        speeds
    }

    /// The two times at which faults begin and end, in milliseconds.
    pub(crate) fn thirds(length_ms: u64) -> (u64, u64) {
        (length_ms / 3, length_ms * 2 / 3)
    }
}
