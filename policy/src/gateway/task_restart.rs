use std::time::Duration;

/// Delay before the first restart of a task.
const DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay before a restart: what the task maintains is too old for callers soon after.
const DELAY_MAX: Duration = Duration::from_millis(1_600);
/// Running time after which a task that ends counts as one that has not failed before.
const STABLE_TIME: Duration = Duration::from_secs(30);
/// Number of failures in a row after which the task is not started again.
const FAILURES_MAX: u32 = 6;

/// Decides when a long-lived task that has ended is started again.
///
/// Load: a task that panics on input which it reads again at each start. The delays double, so that
/// the restarts take no processor time from callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskRestart {
    failures: u32,
}

/// What happens to a task that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartDecision {
    /// The task is started again after this delay.
    After(Duration),
    /// The task fails each time; the daemon has to end, as others serve its callers better.
    GiveUp,
}

impl TaskRestart {
    /// Records the end of a task that ran for `ran_for` and decides what follows.
    pub fn record_end(&mut self, ran_for: Duration) -> RestartDecision {
        if ran_for >= STABLE_TIME {
            self.failures = 0;
        }
        self.failures += 1;
        if self.failures > FAILURES_MAX {
            return RestartDecision::GiveUp;
        }
        let delay = DELAY_MIN * 2_u32.pow(self.failures - 1);
        RestartDecision::After(delay.min(DELAY_MAX))
    }
}
