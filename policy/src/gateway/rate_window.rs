use std::collections::VecDeque;
use std::time::Duration;

use crate::Instant;

/// Length of the window, unless a limit allows less than one request in it.
const WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of requests in a window; a higher limit has a shorter one.
const REQUESTS_MAX: f64 = 256.0;
/// Lowest limit with a window of its own, in requests per second.
const PER_SECOND_MIN: f64 = 0.01;

/// Sliding window over the requests to an endpoint with a limit.
#[derive(Debug)]
pub(super) struct RateWindow {
    per_second: f64,
    /// Times of the latest requests, at most the number that the window allows.
    requests: VecDeque<Instant>,
}

impl RateWindow {
    /// Creates an empty window for a limit in requests per second.
    pub(super) const fn new(per_second: f64) -> Self {
        Self {
            per_second,
            requests: VecDeque::new(),
        }
    }

    pub(super) const fn per_second(&self) -> f64 {
        self.per_second
    }

    pub(super) fn set_limit(&mut self, per_second: f64) {
        self.per_second = per_second;
        self.trim();
    }

    /// Records a request.
    pub(super) fn record(&mut self, now: Instant) {
        self.requests.push_back(now);
        self.trim();
    }

    /// Records requests of another daemon.
    pub(super) fn record_several(&mut self, count: u32, now: Instant) {
        for _ in 0..(count as usize).min(self.requests_max()) {
            self.record(now);
        }
    }

    /// Returns since when, or from when on, the window has room; `None` if it was never full.
    pub(super) fn free_at(&self) -> Option<Instant> {
        if self.requests.len() < self.requests_max() {
            return None;
        }
        let oldest = self.requests.front()?;
        let limit = self.per_second.max(PER_SECOND_MIN);
        let window = Duration::from_secs_f64(self.requests_max() as f64 / limit);
        Some(*oldest + window)
    }

    /// Returns how many requests the window allows.
    fn requests_max(&self) -> usize {
        let requests = self.per_second * WINDOW.as_secs_f64();
        requests.floor().clamp(1.0, REQUESTS_MAX) as usize
    }

    fn trim(&mut self) {
        while self.requests.len() > self.requests_max() {
            self.requests.pop_front();
        }
    }
}
