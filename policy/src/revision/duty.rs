use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Reader;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::Instant;

/// Without news of a reader for this long, a daemon reads itself.
const SILENCE: Duration = Duration::from_secs(3);
/// Spreads the daemons that notice the same silence, so that mostly one of them takes over.
const JITTER_MAX_MS: u64 = 2_000;

/// A reader that cannot reach the platform for this long lets another daemon try.
const FAILURE_MAX: Duration = Duration::from_secs(3);
/// Long enough for another daemon to notice the silence and to take over.
const PAUSE: Duration = Duration::from_secs(6);

/// Decides whether this daemon reads the platform for its data centre.
///
/// Readers are known by gossip alone. Two may read for a while, which costs one more watch; a
/// reader gives way to the holder of the control lease, or else to the lower name. A reader that is
/// cut off from the platform pauses, so that one that is not takes over; in an outage the duty goes
/// round, and the platform is not asked by all daemons at once.
#[derive(Debug)]
pub struct Duty {
    own: Name,
    random: ChaCha8Rng,
    holds_lease: bool,
    is_reading: bool,
    heard: Option<Heard>,
    silent_since: Instant,
    silence_max: Duration,
    failing_since: Option<Instant>,
    paused_until: Instant,
    has_resigned: bool,
}

#[derive(Clone, Debug)]
struct Heard {
    daemon: Name,
    holds_lease: bool,
    at: Instant,
}

impl Duty {
    /// Opens the duty of daemon `own` at `now`; the seed draws the jitter.
    #[must_use]
    pub fn open(own: Name, seed: u64, now: Instant) -> Self {
        let mut duty = Self {
            own,
            random: ChaCha8Rng::seed_from_u64(seed),
            holds_lease: false,
            is_reading: false,
            heard: None,
            silent_since: now,
            silence_max: SILENCE,
            failing_since: None,
            paused_until: now,
            has_resigned: false,
        };
        duty.draw_silence_max();
        duty
    }

    /// Says whether this daemon holds the control lease of its data centre.
    pub fn hold_lease(&mut self, holds_lease: bool) {
        self.holds_lease = holds_lease;
    }

    /// Gives the duty up for good, for a daemon that drains.
    pub fn resign(&mut self) {
        self.has_resigned = true;
        self.is_reading = false;
    }

    /// Takes in whether a read of the platform succeeded.
    pub fn report(&mut self, is_success: bool, now: Instant) {
        if is_success {
            self.failing_since = None;
            return;
        }
        let since = *self.failing_since.get_or_insert(now);
        if now.since(since) >= FAILURE_MAX {
            self.failing_since = None;
            self.paused_until = now + PAUSE;
            self.is_reading = false;
            self.draw_silence_max();
        }
    }

    /// Takes in what a peer of the same data centre says about the reader.
    pub fn hear(&mut self, reader: &Reader, now: Instant) {
        if reader.daemon == self.own {
            return;
        }
        let heard = Heard {
            daemon: reader.daemon.clone(),
            holds_lease: reader.holds_lease,
            at: now - Duration::from_millis(reader.age_ms),
        };
        if !is_fresh(&heard, now) {
            return;
        }
        let is_better = self.heard.as_ref().is_none_or(|known| {
            !is_fresh(known, now)
                || rank(&heard) < rank(known)
                || (heard.daemon == known.daemon && heard.at > known.at)
        });
        if is_better {
            self.silent_since = self.silent_since.max(heard.at);
            self.heard = Some(heard);
        }
    }

    /// Tells whether this daemon reads the platform now.
    pub fn is_reader(&mut self, now: Instant) -> bool {
        if self.has_resigned || now < self.paused_until {
            return false;
        }
        let heard = self.heard.as_ref().filter(|heard| is_fresh(heard, now));
        let own = (!self.holds_lease, &self.own);
        let gives_way = heard.is_some_and(|heard| rank(heard) < own);
        let was_reading = self.is_reading;
        self.is_reading = match heard {
            _ if self.holds_lease => !gives_way,
            Some(_) => self.is_reading && !gives_way,
            None => self.is_reading || now.since(self.silent_since) >= self.silence_max,
        };
        if was_reading && !self.is_reading {
            self.draw_silence_max();
        }
        self.is_reading
    }

    /// Returns the reader to name in gossip.
    #[must_use]
    pub fn reader(&self, now: Instant) -> Option<Reader> {
        if self.is_reading {
            return Some(Reader {
                daemon: self.own.clone(),
                holds_lease: self.holds_lease,
                age_ms: 0,
            });
        }
        let heard = self.heard.as_ref().filter(|heard| is_fresh(heard, now))?;
        Some(Reader {
            daemon: heard.daemon.clone(),
            holds_lease: heard.holds_lease,
            age_ms: now.since(heard.at).as_millis() as u64,
        })
    }

    fn draw_silence_max(&mut self) {
        let jitter = self.random.random_range(0..JITTER_MAX_MS);
        self.silence_max = SILENCE + Duration::from_millis(jitter);
    }
}

fn is_fresh(heard: &Heard, now: Instant) -> bool {
    now.since(heard.at) < SILENCE
}

/// A reader of lower rank is preferred.
fn rank(heard: &Heard) -> (bool, &Name) {
    (!heard.holds_lease, &heard.daemon)
}
