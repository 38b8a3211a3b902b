use hdrhistogram::Histogram;

use crate::call::Outcome;
use crate::trace::Row;

/// Counts and latencies of one run.
#[derive(Clone, Debug)]
pub(crate) struct Score {
    /// Calls of the trace.
    pub(crate) offered: u64,
    /// Calls answered completely and in time.
    pub(crate) in_time: u64,
    /// Calls refused without running.
    pub(crate) refused: u64,
    /// Calls answered late, incompletely or not at all.
    pub(crate) late: u64,
    /// Role changes that were ordered.
    pub(crate) role_changes: u64,
    /// Complete answers whose first token was late.
    pub(crate) late_first_token: u64,
    /// Complete answers with too many long gaps between tokens.
    pub(crate) late_gaps: u64,
    /// Time to the first token of short questions, in milliseconds.
    short_latency_ms: Histogram<u64>,
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
            late_gaps: 0,
            short_latency_ms: Histogram::new_with_bounds(1, Self::RECORDED_MAX_MS, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constants")),
        }
    }
}

impl Score {
    /// Upper limit of the histogram, in milliseconds.
    const RECORDED_MAX_MS: u64 = 1_000_000;

    /// Counts a call that was closed with this outcome.
    pub(crate) fn count(&mut self, row: &Row, outcome: Outcome, first_token: Option<u64>) {
        self.offered += 1;
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
        }
        if row.is_short_question() && outcome != Outcome::Refused {
            let first_token_us = first_token.unwrap_or(u64::MAX / 2);
            let waited_ms = first_token_us.saturating_sub(row.at_ms * 1_000) / 1_000;
            self.short_latency_ms.saturating_record(waited_ms.max(1));
        }
    }

    /// Counts the limits that a complete answer missed; one answer may miss both.
    pub(crate) fn count_misses(&mut self, first_token_in_time: bool, gaps_in_time: bool) {
        self.late_first_token += u64::from(!first_token_in_time);
        self.late_gaps += u64::from(!gaps_in_time);
    }

    /// Returns the fraction of the calls that were answered completely and in time.
    pub(crate) fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Returns the 95th percentile of the time to the first token of short questions, in
    /// milliseconds.
    pub(crate) fn short_first_token_ms_p95(&self) -> u64 {
        if self.short_latency_ms.is_empty() {
            return 0;
        }
        self.short_latency_ms.value_at_quantile(0.95)
    }
}
