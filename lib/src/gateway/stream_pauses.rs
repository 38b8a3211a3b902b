use std::time::{Duration, Instant};

/// Pauses between the events of a stream.
#[derive(Debug)]
pub(super) struct StreamPauses {
    /// Longest pause with which the stream meets its target.
    target: Option<Duration>,
    /// Events at the last change, and when it was.
    events: u32,
    last_at: Instant,
    longest: Duration,
    over_target: u32,
}

impl StreamPauses {
    /// Starts at the arrival of the first bytes.
    pub(super) const fn new(target: Option<Duration>, started_at: Instant) -> Self {
        Self {
            target,
            events: 0,
            last_at: started_at,
            longest: Duration::ZERO,
            over_target: 0,
        }
    }

    /// Records the number of events that have arrived.
    pub(super) fn record(&mut self, events: u32, now: Instant) {
        if events == self.events {
            return;
        }
        if self.events > 0 {
            let pause = now.saturating_duration_since(self.last_at);
            self.longest = self.longest.max(pause);
            self.over_target += u32::from(self.target.is_some_and(|target| pause > target));
        }
        self.events = events;
        self.last_at = now;
    }

    /// Returns the longest pause.
    pub(super) const fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the number of pauses that exceeded the target.
    pub(super) const fn over_target(&self) -> u32 {
        self.over_target
    }

    /// Returns why the stream missed its target: by its first event, by a pause, by both or not.
    pub(super) const fn lateness(&self, is_first_event_late: bool) -> &'static str {
        match (is_first_event_late, self.over_target > 0) {
            (true, true) => "first_event_and_pause",
            (true, false) => "first_event",
            (false, true) => "pause",
            (false, false) => "none",
        }
    }
}
