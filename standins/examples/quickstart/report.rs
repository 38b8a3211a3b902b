use ragwortgrade_standins::Verdict;
use serde::Serialize;

/// The outcome; its JSON line is the last thing that the example prints.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Requests sent to daemons.
    pub(crate) sent: u64,
    /// Whole answers.
    pub(crate) complete: u64,
    /// Refusals that say that the request did not run.
    pub(crate) refused_not_run: u64,
    /// Requests without a whole answer or such a refusal, and orders answered without an effect.
    pub(crate) lost: u64,
    /// Orders that took effect more than once, or although every answer said that they did not.
    pub(crate) doubled: u64,
    /// Answers with parts of another answer.
    pub(crate) crossed: u64,
    /// What the way through a daemon adds to the median time to the first token.
    pub(crate) first_token_added_ms_p50: f64,
}

impl Report {
    /// Counts one judged answer.
    pub(crate) fn count(&mut self, verdict: Verdict) {
        self.sent += 1;
        match verdict {
            Verdict::Complete => self.complete += 1,
            Verdict::NotRun => self.refused_not_run += 1,
            Verdict::Unknown | Verdict::Lost => self.lost += 1,
            Verdict::Crossed => self.crossed += 1,
        }
    }

    /// Tells whether nothing was lost, doubled or crossed.
    pub(crate) fn is_clean(&self) -> bool {
        self.sent > 0 && self.lost == 0 && self.doubled == 0 && self.crossed == 0
    }
}
