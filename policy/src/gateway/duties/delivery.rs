use std::collections::BTreeMap;
use std::time::Duration;

use crate::Instant;

use super::WindowCounts;

/// Time after the first report of final counts within which the holder answers; reports are sent once a
/// second.
const ANSWER_TIME: Duration = Duration::from_millis(1_150);
/// Time after which counts that nobody has got are given up.
const AGE_MAX: Duration = Duration::from_secs(6);

/// Whether the holder has got a daemon's final counts of the last windows.
///
/// A daemon that the holder does not answer, since a link between them is cut or the holder has stopped,
/// leaves the counts in the store. Without faults that costs no call.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// Windows whose final counts are not known to have arrived, with the time of their first report.
    waiting: BTreeMap<u64, Instant>,
    /// Newest window whose final counts were reported.
    newest: Option<u64>,
}

impl Delivery {
    /// Records the counts of a report that was sent; windows without requests need no delivery.
    pub fn record_report(&mut self, windows: &[WindowCounts], now: Instant) {
        for counts in windows.iter().filter(|counts| counts.is_final) {
            if self.newest.is_some_and(|newest| counts.window <= newest) {
                continue;
            }
            self.newest = Some(counts.window);
            if !counts.counts.is_empty() {
                self.waiting.insert(counts.window, now);
            }
        }
        self.waiting.retain(|_, at| now.since(*at) < AGE_MAX);
    }

    /// Records an answer of the holder, which has got the reports before it.
    pub fn record_answer(&mut self) {
        self.waiting.clear();
    }

    /// Returns the windows whose counts are to be left in the store.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Vec<u64> {
        let waiting = self.waiting.iter();
        let overdue = waiting.filter(|(_, at)| now.since(**at) >= ANSWER_TIME);
        overdue.map(|(window, _)| *window).collect()
    }

    /// Records that the counts of a window are in the store.
    pub fn record_stored(&mut self, window: u64) {
        self.waiting.remove(&window);
    }
}
