use ragwortgrade_standins::Verdict;
use serde::Serialize;

/// Result of a run, printed as a JSON line.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Requests sent to daemons.
    pub(crate) sent: u64,
    /// Complete and correct answers.
    pub(crate) complete: u64,
    /// Refusals that guarantee that the request did not run.
    pub(crate) refused_not_run: u64,
    /// Requests without a complete answer or such a refusal, and calls of the plain service
    /// `orders` that were answered without an effect.
    pub(crate) lost: u64,
    /// Calls of `orders` that took effect more than once, or took effect although every attempt was
    /// refused as not run.
    pub(crate) doubled: u64,
    /// Answers that contain parts of another answer.
    pub(crate) crossed: u64,
    /// Median time to the first token through a daemon minus that of direct calls, in milliseconds.
    pub(crate) first_token_added_ms_p50: f64,
}

impl Report {
    /// Counts the verdict on an answer.
    pub(crate) fn count(&mut self, verdict: Verdict) {
        self.sent += 1;
        match verdict {
            Verdict::Complete => self.complete += 1,
            Verdict::NotRun => self.refused_not_run += 1,
            Verdict::Unknown | Verdict::Lost => self.lost += 1,
            Verdict::Crossed => self.crossed += 1,
        }
    }

    /// Returns whether requests were sent and none was lost, doubled or crossed.
    pub(crate) fn is_clean(&self) -> bool {
        self.sent > 0 && self.lost == 0 && self.doubled == 0 && self.crossed == 0
    }
}
