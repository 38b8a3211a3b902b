use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_operator::{Retry, StoreError, backoff};

use crate::output::Output;

/// Waits between attempts until the time given by `--timeout` is over.
#[derive(Debug)]
pub(crate) struct TimedRetry {
    deadline: Instant,
    output: Output,
}

impl TimedRetry {
    pub(crate) fn new(timeout: Duration, output: Output) -> Self {
        Self {
            deadline: Instant::now() + timeout,
            output,
        }
    }

    /// Reports the reason and waits; returns `false` without waiting if the wait would exceed the
    /// deadline.
    pub(crate) fn pause(&self, wait: Duration, reason: &str) -> bool {
        if Instant::now() + wait >= self.deadline {
            return false;
        }
        let millis = wait.as_millis();
        self.output
            .report_progress(&format!("{reason}; trying again in {millis} ms"));
        thread::sleep(wait);
        true
    }
}

impl Retry for TimedRetry {
    fn wait(&mut self, failures: u32, cause: &StoreError) -> bool {
        self.pause(backoff(failures), &cause.to_string())
    }
}
