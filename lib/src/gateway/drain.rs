use std::cell::Cell;
use std::time::Duration;

use ragwortgrade_policy::Instant;

/// Time for which a draining daemon accepts every request: the load balancer stops sending callers
/// after two failed probes, one per second, and a stream needs the rest of the drain timeout to end.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Time before the end of the drain timeout at which a drain stops waiting for requests.
pub(super) const DRAIN_MARGIN: Duration = Duration::from_millis(600);

/// Drain of this daemon.
#[derive(Debug)]
pub(super) struct Drain {
    time: Duration,
    /// When the drain started, if it has.
    started_at: Cell<Option<Instant>>,
}

impl Drain {
    /// Creates the state of a daemon that does not drain; a drain takes at most `timeout`.
    pub(super) const fn new(timeout: Duration) -> Self {
        Self {
            time: timeout.saturating_sub(DRAIN_MARGIN),
            started_at: Cell::new(None),
        }
    }

    pub(super) fn start(&self, now: Instant) {
        self.started_at.set(Some(now));
    }

    /// Returns whether a drain has started.
    pub(super) fn has_started(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns whether a request that starts now could be cut off by the end of the drain.
    ///
    /// Early in a drain every request is accepted, since the load balancer still sends callers.
    pub(super) fn could_cut_off(
        &self,
        is_stream: bool,
        time_limit: Duration,
        now: Instant,
    ) -> bool {
        let Some(started_at) = self.started_at.get() else {
            return false;
        };
        let elapsed = now.since(started_at);
        let could_be_late = is_stream || elapsed.saturating_add(time_limit) > self.time;
        elapsed > ACCEPT_TIME && could_be_late
    }
}
