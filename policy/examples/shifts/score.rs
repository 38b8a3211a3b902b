use hdrhistogram::Histogram;

use crate::call::Verdict;
use crate::trace::Row;

/// Figures of one run.
#[derive(Clone, Debug)]
pub(crate) struct Score {
    /// Calls of the trace.
    pub(crate) offered: u64,
    /// Calls answered completely and on time.
    pub(crate) in_time: u64,
    /// Calls refused without running.
    pub(crate) refused: u64,
    /// All other calls.
    pub(crate) late: u64,
    /// Role changes that were ordered.
    pub(crate) role_changes: u64,
    /// Answered calls whose first token was late.
    pub(crate) late_first_token: u64,
    /// Answered calls with too many long gaps.
    pub(crate) rough: u64,
    short: Histogram<u64>,
}

impl Default for Score {
    fn default() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            refused: 0,
            late: 0,
            role_changes: 0,
            late_first_token: 0,
            rough: 0,
            short: Histogram::new_with_bounds(1, Self::LONGEST_MS, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constants")),
        }
    }
}

impl Score {
    /// Longest time that the histogram distinguishes, in milliseconds.
    const LONGEST_MS: u64 = 1_000_000;

    pub(crate) fn count(&mut self, row: &Row, verdict: Verdict, first_token: Option<u64>) {
        self.offered += 1;
        match verdict {
            Verdict::InTime => self.in_time += 1,
            Verdict::Late => self.late += 1,
            Verdict::Refused => self.refused += 1,
        }
        if row.is_short_question() && verdict != Verdict::Refused {
            let seen = first_token.unwrap_or(u64::MAX / 2);
            let waited = seen.saturating_sub(row.at_ms * 1_000) / 1_000;
            self.short.saturating_record(waited.max(1));
        }
    }

    pub(crate) fn note_misses(&mut self, prompt: bool, smooth: bool) {
        self.late_first_token += u64::from(!prompt);
        self.rough += u64::from(!smooth);
    }

    /// Part of the calls that were answered completely and on time.
    pub(crate) fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// 95th percentile of the time to the first token of short questions, in milliseconds.
    pub(crate) fn short_first_token_ms(&self) -> u64 {
        if self.short.is_empty() {
            return 0;
        }
        self.short.value_at_quantile(0.95)
    }
}
