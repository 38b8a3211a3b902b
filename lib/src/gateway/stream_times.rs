use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Placement;

/// Where the time until a stream's first event went. Earlier attempts count as time of the
/// daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StreamTimes {
    /// Time from the arrival of the request to the placement that served it.
    pub(super) daemon: Duration,
    /// Time of the prefill beyond its expected engine time and the fixed part of the call.
    pub(super) queue: Duration,
    /// The rest of the time until the prompt was prefilled.
    pub(super) prefill: Duration,
    /// Time from the end of a remote prefill to the first event; 0 after a local prefill.
    pub(super) transfer: Duration,
}

impl StreamTimes {
    /// Splits the time until the first event at `first_event_at`.
    ///
    /// `prefilled_at` is the end of the remote prefill or of its omission. `overhead` is the fixed
    /// part of the call that prefilled the prompt.
    pub(super) fn new(
        received_at: Instant,
        placed_at: Instant,
        prefilled_at: Instant,
        first_event_at: Instant,
        placement: &Placement,
        overhead: Duration,
    ) -> Self {
        let run = first_event_at.since(prefilled_at);
        let (call, transfer) = match placement.prefill {
            Some(_) => (prefilled_at.since(placed_at), run),
            None => (run, Duration::ZERO),
        };
        let expected_prefill = Duration::from_secs_f64(placement.prefill_ms.max(0.0) / 1e3);
        let queue = call.saturating_sub(expected_prefill + overhead);
        Self {
            daemon: placed_at.since(received_at),
            queue,
            prefill: call.saturating_sub(queue),
            transfer,
        }
    }
}
