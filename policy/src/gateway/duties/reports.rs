use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{TenantCounts, UsageRecord};

/// Number of windows whose reports are kept, in the store and in memory, and that are caught up after
/// an outage.
const WINDOWS_MAX: u64 = 24;
/// Number of old records that one write removes.
const REMOVALS_MAX: usize = 8;
/// Time after the end of a window before which its counts are not taken, as clocks differ.
const SETTLE_MIN_MS: u64 = 200;
/// Fraction of the time until a report is due for which counts that lack are waited for. The rest is
/// for a change of the holder, which takes half of that time.
const SETTLE_FRACTION: f64 = 0.25;
/// Time that a new candidate waits for the counts of all daemons, which send them once a second.
const GATHER_MS: u64 = 2_500;
/// Maximum difference between the time of two daemons, after the clocks are aligned.
const CLOCK_MARGIN_MS: u64 = 1_000;

/// State of the store and of the daemon at the begin of a tenure. Times are Unix times in ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Records by window.
    pub records: BTreeMap<u64, UsageRecord>,
    /// Era that the store names, if it names one.
    pub era: Option<u64>,
    /// Start of this process, or when it last noticed a restore of the store.
    pub restored_ms: u64,
    /// Time since which reports that were sent are recorded in a store that names no era: it may have
    /// been restored in the last outage that this daemon noticed, and soon after the begin of an
    /// outage nobody holds the lease.
    pub recorded_since_ms: u64,
    /// Begin of the tenure.
    pub tenure_ms: u64,
    /// Whether the store has no record of an earlier holder.
    pub is_first_holder: bool,
}

/// A step that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of the window.
    pub window: u64,
    /// Record to write if there is none.
    pub record: UsageRecord,
    /// Windows whose records are to be removed by the same write.
    pub remove: Vec<u64>,
}

/// Usage reports of the holder: which windows are recorded and sent, and with which counts.
///
/// The content of a report is fixed by a conditional write to the store and is sent after that. Other
/// candidates are told of it, so that it is known after the store has lost it.
#[derive(Clone, Debug)]
pub struct Reports {
    window_ms: u64,
    settle_max_ms: u64,
    /// Fixed contents.
    fixed: BTreeMap<u64, TenantCounts>,
    /// Windows that have a record in the store.
    stored: BTreeSet<u64>,
    /// Window up to which reports were accepted or skipped.
    accepted: u64,
    /// Next window to fix, while this daemon is the holder.
    next: Option<u64>,
    first_own: u64,
    era: Option<u64>,
    /// Content that was last passed to the store.
    draft: Option<(u64, TenantCounts)>,
}

impl Reports {
    /// Creates the state of a daemon that is not the holder. Reports are due `late` after the end of
    /// their window.
    #[must_use]
    pub fn new(window: Duration, late: Duration) -> Self {
        Self {
            window_ms: (window.as_millis() as u64).max(1),
            settle_max_ms: late.mul_f64(SETTLE_FRACTION).as_millis() as u64,
            fixed: BTreeMap::new(),
            stored: BTreeSet::new(),
            accepted: 0,
            next: None,
            first_own: 0,
            era: None,
            draft: None,
        }
    }

    /// Returns the window that contains a time.
    #[must_use]
    pub const fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// Records the content that the holder has fixed.
    pub fn learn(&mut self, window: u64, counts: TenantCounts) {
        self.fixed.entry(window).or_insert(counts);
        self.prune(window);
    }

    /// Records the window up to which the holder's reports were accepted.
    pub fn learn_accepted(&mut self, window: u64) {
        self.accepted = self.accepted.max(window);
    }

    /// Returns the latest fixed contents, at most `count`, and the window up to which reports were
    /// accepted.
    #[must_use]
    pub fn latest(&self, count: usize) -> (Vec<(u64, TenantCounts)>, u64) {
        let stored = self.fixed.iter().rev();
        let stored = stored.filter(|(window, _)| self.stored.contains(window));
        let latest = stored.take(count);
        let latest = latest.map(|(window, counts)| (*window, counts.clone()));
        (latest.collect(), self.accepted)
    }

    /// Begins a tenure; returns the windows that are skipped because a report may have been sent whose
    /// content is unknown.
    pub fn begin(&mut self, store: &Store) -> Vec<u64> {
        let newest = store.records.last_key_value();
        for (window, record) in &store.records {
            match self.fixed.get(window) {
                // Two contents can only exist after a restore; which one was sent is unknown.
                Some(known) if *known != record.counts => {
                    self.fixed.remove(window);
                }
                Some(_) => {}
                None => {
                    self.fixed.insert(*window, record.counts.clone());
                }
            }
        }
        self.stored = store.records.keys().copied().collect();
        self.era = store.era;
        self.draft = None;
        let accepted = newest.map_or(0, |(_, record)| record.accepted);
        self.accepted = self.accepted.max(accepted);
        let newest_fixed = newest.map_or(0, |(window, _)| *window);
        let after_newest = newest_fixed.max(self.accepted) + 1;
        let is_current = newest.is_some_and(|(window, record)| {
            let is_unrestored =
                store.era.is_some() || self.end_ms(*window) > store.recorded_since_ms;
            is_unrestored && record.era == store.era
        });
        let first = match newest {
            // Whatever was written after the newest record would be there.
            Some((_, record)) if is_current => record.first_own,
            _ => self.window_at(Self::first_safe_ms(store)),
        };
        let first = first.max(after_newest);
        let present = self.window_at(store.tenure_ms);
        let first = first.max(present.saturating_sub(WINDOWS_MAX));
        self.first_own = first;
        self.next = Some(first);
        let oldest = after_newest.max(present.saturating_sub(WINDOWS_MAX));
        let is_unknown = |window: &u64| !self.fixed.contains_key(window);
        let known_before = newest_fixed > 0 || self.accepted > 0;
        let skipped = if known_before || !store.is_first_holder {
            (oldest..first).filter(is_unknown).collect()
        } else {
            Vec::new()
        };
        self.prune(present);
        skipped
    }

    /// Returns the time from which on any record would still be in the store.
    fn first_safe_ms(store: &Store) -> u64 {
        if store.is_first_holder && store.records.is_empty() {
            return store.restored_ms;
        }
        if store.era.is_some() {
            return store.restored_ms + CLOCK_MARGIN_MS;
        }
        // Before that, others may have sent reports whose records a restore has removed.
        store.tenure_ms.min(store.recorded_since_ms) + CLOCK_MARGIN_MS
    }

    /// Ends the tenure.
    pub fn end(&mut self) {
        self.next = None;
        self.draft = None;
    }

    /// Passes over windows that ended too long ago to be reported; returns their number.
    pub fn pass_over_old(&mut self, now_ms: u64) -> u64 {
        let oldest = self.window_at(now_ms).saturating_sub(WINDOWS_MAX);
        let Some(next) = self.next.filter(|next| *next < oldest) else {
            return 0;
        };
        self.next = Some(oldest);
        oldest - next
    }

    /// Returns the next window whose counts are to be fixed, if it has ended.
    #[must_use]
    pub fn due_window(&self, now_ms: u64) -> Option<u64> {
        let window = self.next?;
        (now_ms >= self.end_ms(window) + SETTLE_MIN_MS).then_some(window)
    }

    /// Returns whether counts that lack are no longer waited for. `gathering_since_ms` is when this
    /// daemon became a candidate.
    #[must_use]
    pub fn is_overdue(&self, window: u64, now_ms: u64, gathering_since_ms: u64) -> bool {
        let end_ms = self.end_ms(window);
        now_ms >= (end_ms + self.settle_max_ms).max(gathering_since_ms + GATHER_MS)
    }

    const fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Returns the content that was fixed in an earlier era and that the store has lost, as a step to
    /// record it again.
    #[must_use]
    pub fn lost_record(&self) -> Option<Step> {
        let lost = self
            .pending()
            .find(|(window, _)| !self.stored.contains(window));
        lost.map(|(window, counts)| self.step(*window, counts.clone()))
    }

    /// Fixes the counts of the window that [`Self::due_window`] returned; returns the step to record
    /// them. A repeated call returns the same counts.
    pub fn fix(&mut self, window: u64, counts: TenantCounts) -> Step {
        let counts = match self.draft.take() {
            Some((drafted, counts)) if drafted == window => counts,
            _ => self.fixed.get(&window).cloned().unwrap_or(counts),
        };
        self.draft = Some((window, counts.clone()));
        self.step(window, counts)
    }

    fn step(&self, window: u64, counts: TenantCounts) -> Step {
        let old = self.stored.iter().copied();
        let old = old.take_while(|stored| stored + WINDOWS_MAX < window);
        Step {
            window,
            record: UsageRecord {
                counts,
                era: self.era,
                first_own: self.first_own,
                accepted: self.accepted,
            },
            remove: old.take(REMOVALS_MAX).collect(),
        }
    }

    /// Records that a step's record, or another one for its window, is in the store with these counts.
    pub fn recorded(&mut self, step: &Step, counts: TenantCounts) {
        for window in &step.remove {
            self.stored.remove(window);
        }
        self.stored.insert(step.window);
        self.fixed.insert(step.window, counts);
        if self.next == Some(step.window) {
            self.next = Some(step.window + 1);
        }
        self.draft = None;
        self.prune(step.window);
    }

    /// Records that the store was restored, so that records of this era may be lost.
    pub fn store_restored(&mut self, era: Option<u64>) {
        self.era = era;
    }

    /// Returns the oldest report that is recorded and not accepted.
    #[must_use]
    pub fn next_report(&self) -> Option<(u64, TenantCounts)> {
        let stored = self
            .pending()
            .find(|(window, _)| self.stored.contains(window));
        stored.map(|(window, counts)| (*window, counts.clone()))
    }

    /// Records that the platform has accepted the report of a window.
    pub fn report_accepted(&mut self, window: u64) {
        self.accepted = self.accepted.max(window);
    }

    /// Returns the number of reports that wait for the platform.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pending().count()
    }

    /// Returns the fixed contents that are not accepted, while this daemon is the holder.
    fn pending(&self) -> impl Iterator<Item = (&u64, &TenantCounts)> {
        let first = self.accepted + 1;
        let end = self.next.unwrap_or(0).max(first);
        self.fixed.range(first..end)
    }

    fn prune(&mut self, present: u64) {
        let oldest = present.saturating_sub(WINDOWS_MAX);
        self.fixed.retain(|window, _| *window >= oldest);
    }
}
