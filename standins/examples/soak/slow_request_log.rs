use std::time::{Duration, Instant};

/// Time after which an open request is logged, and interval between further lines about it. Most
/// failures are shorter.
const LOG_INTERVAL: Duration = Duration::from_secs(15);

/// Prints a line at intervals about a request that stays open for long.
pub(crate) struct SlowRequestLog {
    started: Instant,
    next: Instant,
}

impl SlowRequestLog {
    /// Starts the timer, when the request is first sent.
    pub(crate) fn start() -> Self {
        let started = Instant::now();
        Self {
            started,
            next: started + LOG_INTERVAL,
        }
    }

    /// Prints the latest answer if a line is due.
    pub(crate) fn log(&mut self, answer: impl FnOnce() -> String) {
        let now = Instant::now();
        if now < self.next {
            return;
        }
        self.next = now + LOG_INTERVAL;
        let seconds = (now - self.started).as_secs();
        eprintln!("request open for {seconds} s: {}", answer());
    }
}
