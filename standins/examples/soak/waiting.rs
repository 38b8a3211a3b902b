use std::time::{Duration, Instant};

/// Time after which a request that is still open is told of, and between two lines about it. Most
/// failures last less.
const NOTICE: Duration = Duration::from_secs(15);

/// How long a request has been open; says what it waits for when that is long.
pub(crate) struct Waiting {
    begun: Instant,
    next: Instant,
}

impl Waiting {
    /// Begins with a request.
    pub(crate) fn begin() -> Self {
        let begun = Instant::now();
        Self {
            begun,
            next: begun + NOTICE,
        }
    }

    /// Prints the newest answer to a request that has been open for long.
    pub(crate) fn report(&mut self, answer: impl FnOnce() -> String) {
        let now = Instant::now();
        if now < self.next {
            return;
        }
        self.next = now + NOTICE;
        let seconds = (now - self.begun).as_secs();
        eprintln!("open for {seconds} s: {}", answer());
    }
}
