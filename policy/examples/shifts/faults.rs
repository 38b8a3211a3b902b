use crate::parameters::Parameters;

/// Faults that the experiment injects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Crashes the first engine at a third of the trace and one engine during the first role change
    /// in the second half; if there was no such change by two thirds, the last engine crashes then
    /// as well.
    pub(crate) crash: bool,
    /// Delay of load reports, in milliseconds.
    pub(crate) lag_ms: Option<f64>,
    /// Fraction of the cache events that are lost.
    pub(crate) event_loss: Option<f64>,
    /// Partitions the last data centre from the others in the middle third of the trace.
    pub(crate) cut: bool,
    /// Withdraws one engine of each data centre but the last at a third of the trace.
    pub(crate) withdraw: bool,
}

impl Faults {
    /// Time from the crash of an engine to its restart, in milliseconds.
    pub(crate) const RESTART_MS: u64 = 30_000;

    /// Applies the faults that are parameters of the simulation.
    pub(crate) fn apply(&self, mut parameters: Parameters) -> Parameters {
        if let Some(lag) = self.lag_ms {
            parameters.report_lag_ms = lag;
        }
        if let Some(fraction) = self.event_loss {
            parameters.cache_event_loss = fraction;
        }
        parameters
    }

    /// Times at which faults begin and end: a third and two thirds of the trace, in milliseconds.
    pub(crate) fn window_ms(length_ms: u64) -> (u64, u64) {
        (length_ms / 3, length_ms * 2 / 3)
    }
}
