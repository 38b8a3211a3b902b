use std::collections::{BTreeMap, BTreeSet};

use ragwortgrade_schema::Name;

use super::{TenantCounts, WindowCounts};

/// Number of windows that are kept.
const WINDOWS_MAX: usize = 64;
/// Number of windows after the present one for which counts are accepted: clocks differ.
const WINDOWS_AHEAD: u64 = 2;

/// Counts of all daemons, as one candidate knows them.
///
/// A daemon sends its counts again and again, cumulative by window, so lost, repeated and reordered
/// messages do no harm. The counts of a process that ended are kept beside those of its successor.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Counts by daemon and start of its process.
    counts: BTreeMap<(Name, u64), TenantCounts>,
    /// Daemons that can add no request.
    settled: BTreeSet<Name>,
}

impl Tally {
    /// Merges the counts of a daemon's process that started at `started_ms`; `present` is the window
    /// that contains the present time.
    pub fn merge(&mut self, daemon: &Name, started_ms: u64, sent: &WindowCounts, present: u64) {
        let oldest = present.saturating_sub(WINDOWS_MAX as u64);
        if !(oldest..=present + WINDOWS_AHEAD).contains(&sent.window) {
            return;
        }
        let window = self.windows.entry(sent.window).or_default();
        let key = (daemon.clone(), started_ms);
        let counts = window.counts.entry(key).or_default();
        for (tenant, count) in &sent.counts {
            let known = counts.entry(tenant.clone()).or_default();
            *known = (*known).max(*count);
        }
        if sent.is_final {
            window.settled.insert(daemon.clone());
        }
        self.windows = self.windows.split_off(&oldest);
    }

    /// Returns the requests of a window by tenant.
    #[must_use]
    pub fn counts(&self, window: u64) -> TenantCounts {
        let mut sum = TenantCounts::new();
        let windows = self.windows.get(&window).into_iter();
        for (tenant, count) in windows.flat_map(|it| it.counts.values()).flatten() {
            *sum.entry(tenant.clone()).or_default() += count;
        }
        sum
    }

    /// Returns which of the daemons may add requests to a window, or have not said that they cannot.
    #[must_use]
    pub fn unsettled<'a>(
        &self,
        window: u64,
        daemons: impl IntoIterator<Item = &'a Name>,
    ) -> Vec<&'a Name> {
        let settled = self.windows.get(&window).map(|it| &it.settled);
        let is_settled = |name: &&Name| settled.is_some_and(|settled| settled.contains(*name));
        let daemons = daemons.into_iter();
        daemons.filter(|name| !is_settled(name)).collect()
    }
}
