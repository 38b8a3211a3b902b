use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

use super::{FleetClock, TenantCounts};

/// Number of windows for which a daemon keeps its counts.
const WINDOWS_MAX: usize = 64;

/// Identity of a run whose outcome is not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// Counts of one daemon for one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests by tenant, as far as they are known.
    pub counts: TenantCounts,
    /// Whether no request can be added.
    pub is_final: bool,
}

/// Requests of one daemon that began to run at workers, by window and tenant.
///
/// Runs that may have begun, but whose outcome is not known, keep their window open.
#[derive(Clone, Debug)]
pub struct Ledger {
    window_ms: u64,
    windows: BTreeMap<u64, TenantCounts>,
    /// Runs whose outcome is not known, with the time at which they were sent.
    pending: BTreeMap<RunId, Instant>,
    last_run: u64,
}

impl Ledger {
    /// Creates an empty ledger for windows of this length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window_ms: (window.as_millis() as u64).max(1),
            windows: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_run: 0,
        }
    }

    /// Records that a run was sent at `at`, whose outcome is not known yet.
    pub fn begin(&mut self, at: Instant) -> RunId {
        self.last_run += 1;
        let run = RunId(self.last_run);
        self.pending.insert(run, at);
        run
    }

    /// Records that a run did not begin, or is counted otherwise.
    pub fn discard(&mut self, run: RunId) {
        self.pending.remove(&run);
    }

    /// Counts a run at the time at which it was sent.
    pub fn count_pending(&mut self, run: RunId, tenant: Option<&Name>, clock: &FleetClock) {
        if let Some(at) = self.pending.remove(&run) {
            self.count(tenant, at, clock);
        }
    }

    /// Counts a run that began at `at`. A request without a tenant appears in no report.
    pub fn count(&mut self, tenant: Option<&Name>, at: Instant, clock: &FleetClock) {
        let Some(tenant) = tenant else {
            return;
        };
        let window = clock.unix_ms(at) / self.window_ms;
        let counts = self.windows.entry(window).or_default();
        *counts.entry(tenant.clone()).or_default() += 1;
        while self.windows.len() > WINDOWS_MAX {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of a window.
    #[must_use]
    pub fn counts(&self, window: u64) -> TenantCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the counts of the window that contains `now` and of those that ended less than `age`
    /// before.
    #[must_use]
    pub fn recent(&self, now: Instant, age: Duration, clock: &FleetClock) -> Vec<WindowCounts> {
        let now_ms = clock.unix_ms(now);
        let oldest_ms = now_ms.saturating_sub(age.as_millis() as u64);
        let pending = self.pending.values().min();
        let settled_ms = pending.map_or(now_ms, |at| clock.unix_ms(*at).min(now_ms));
        let windows = oldest_ms / self.window_ms..=now_ms / self.window_ms;
        windows
            .map(|window| WindowCounts {
                window,
                counts: self.counts(window),
                is_final: settled_ms >= (window + 1) * self.window_ms,
            })
            .collect()
    }
}
