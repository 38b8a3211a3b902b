use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ragwortgrade_schema::engine::{CacheEvent, CacheEvents, CacheKind};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Number of retained events. A reader that falls further behind misses some.
const EVENTS_MAX: usize = 4_096;

/// Log of cache events, which become visible after a delay and are lost at random.
#[derive(Debug)]
pub(super) struct CacheLog {
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    lag: Duration,
    loss: f64,
    random: ChaCha8Rng,
}

impl CacheLog {
    pub(super) fn open(lag: Duration, loss: f64, seed: u64) -> Self {
        Self {
            events: VecDeque::new(),
            sequence: 0,
            lag,
            loss,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records an event. A lost event leaves a gap in the sequence numbers.
    pub(super) fn append(&mut self, kind: CacheKind, prefix: u64, tokens: u32) {
        self.sequence += 1;
        if self.random.random::<f64>() < self.loss {
            return;
        }
        let event = CacheEvent {
            kind,
            prefix,
            sequence: self.sequence,
            tokens,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a sequence number above `after`.
    pub(super) fn visible_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(due, event)| event.sequence > after && *due <= now)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEvents { events, next }
    }
}
