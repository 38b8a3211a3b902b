use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Reader;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::Instant;

/// Time without a known reader after which a daemon starts to read.
const READER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum random addition to [`READER_TIMEOUT`]; it spreads the daemons that reach the timeout
/// together, so that mostly one of them takes over.
const JITTER_MAX_MS: u64 = 2_000;

/// Time after which a reader that cannot reach the platform pauses, so that another daemon tries.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a failing reader, long enough for another daemon to reach its timeout and take over.
const FAILURE_PAUSE: Duration = Duration::from_secs(6);

/// Decides whether this daemon reads the platform for its data centre.
///
/// The holder of the control lease reads at once, another daemon after a time without a known
/// reader. Readers are known from gossip only. Two daemons may read for a while, which costs one
/// more watch; a reader yields to the holder of the control lease, or else to the daemon with the
/// lower name. A reader that cannot reach the platform pauses, so that one that can takes over. In
/// an outage the daemons take turns, so that not all of them call the platform at once.
#[derive(Debug)]
pub struct ReaderElection {
    own: Name,
    random: ChaCha8Rng,
    holds_lease: bool,
    is_reading: bool,
    /// The preferred one of the readers known from gossip.
    peer_reader: Option<PeerReader>,
    last_reader_at: Instant,
    /// [`READER_TIMEOUT`] with jitter, drawn again when this daemon yields or pauses.
    reader_timeout: Duration,
    /// Time of the first failed read of the platform since the last success or pause.
    failing_since: Option<Instant>,
    paused_until: Instant,
    has_resigned: bool,
}

#[derive(Clone, Debug)]
struct PeerReader {
    daemon: Name,
    holds_lease: bool,
    /// Time at which it last announced itself as the reader.
    at: Instant,
}

impl ReaderElection {
    /// Creates the election state of daemon `own` at `now`; `seed` seeds the jitter.
    #[must_use]
    pub fn open(own: Name, seed: u64, now: Instant) -> Self {
        let mut election = Self {
            own,
            random: ChaCha8Rng::seed_from_u64(seed),
            holds_lease: false,
            is_reading: false,
            peer_reader: None,
            last_reader_at: now,
            reader_timeout: READER_TIMEOUT,
            failing_since: None,
            paused_until: now,
            has_resigned: false,
        };
        election.draw_reader_timeout();
        election
    }

    /// Sets whether this daemon holds the control lease of its data centre.
    pub fn set_holds_lease(&mut self, holds_lease: bool) {
        self.holds_lease = holds_lease;
    }

    /// Stops reading permanently; called by a daemon that drains.
    pub fn resign(&mut self) {
        self.has_resigned = true;
        self.is_reading = false;
    }

    /// Records whether a read of the platform succeeded.
    pub fn record_read(&mut self, is_success: bool, now: Instant) {
        if is_success {
            self.failing_since = None;
            return;
        }
        let since = *self.failing_since.get_or_insert(now);
        if now.since(since) >= FAILURE_TIMEOUT {
            self.failing_since = None;
            self.paused_until = now + FAILURE_PAUSE;
            self.is_reading = false;
            self.draw_reader_timeout();
        }
    }

    /// Records the reader that a peer of the same data centre reports.
    pub fn observe_reader(&mut self, reader: &Reader, now: Instant) {
        if reader.daemon == self.own {
            return;
        }
        let peer_reader = PeerReader {
            daemon: reader.daemon.clone(),
            holds_lease: reader.holds_lease,
            at: now - Duration::from_millis(reader.age_ms),
        };
        if !is_recent(&peer_reader, now) {
            return;
        }
        let is_preferred = self.peer_reader.as_ref().is_none_or(|known| {
            !is_recent(known, now)
                || rank(&peer_reader) < rank(known)
                || (peer_reader.daemon == known.daemon && peer_reader.at > known.at)
        });
        if is_preferred {
            self.last_reader_at = self.last_reader_at.max(peer_reader.at);
            self.peer_reader = Some(peer_reader);
        }
    }

    /// Returns whether this daemon reads the platform now.
    pub fn is_reader(&mut self, now: Instant) -> bool {
        if self.has_resigned || now < self.paused_until {
            return false;
        }
        let peer_reader = self
            .peer_reader
            .as_ref()
            .filter(|peer_reader| is_recent(peer_reader, now));
        let own_rank = (!self.holds_lease, &self.own);
        let must_yield = peer_reader.is_some_and(|peer_reader| rank(peer_reader) < own_rank);
        let was_reading = self.is_reading;
        self.is_reading = match peer_reader {
            _ if self.holds_lease => !must_yield,
            Some(_) => self.is_reading && !must_yield,
            None => self.is_reading || now.since(self.last_reader_at) >= self.reader_timeout,
        };
        if was_reading && !self.is_reading {
            self.draw_reader_timeout();
        }
        self.is_reading
    }

    /// Returns the reader to report in gossip.
    #[must_use]
    pub fn reader(&self, now: Instant) -> Option<Reader> {
        if self.is_reading {
            return Some(Reader {
                daemon: self.own.clone(),
                holds_lease: self.holds_lease,
                age_ms: 0,
            });
        }
        let peer_reader = self
            .peer_reader
            .as_ref()
            .filter(|peer_reader| is_recent(peer_reader, now))?;
        Some(Reader {
            daemon: peer_reader.daemon.clone(),
            holds_lease: peer_reader.holds_lease,
            age_ms: now.since(peer_reader.at).as_millis() as u64,
        })
    }

    fn draw_reader_timeout(&mut self) {
        let jitter = self.random.random_range(0..JITTER_MAX_MS);
        self.reader_timeout = READER_TIMEOUT + Duration::from_millis(jitter);
    }
}

fn is_recent(peer_reader: &PeerReader, now: Instant) -> bool {
    now.since(peer_reader.at) < READER_TIMEOUT
}

/// Returns the rank of a reader; the one with the lowest rank is preferred: first holders of the
/// control lease, then lower names.
fn rank(peer_reader: &PeerReader) -> (bool, &Name) {
    (!peer_reader.holds_lease, &peer_reader.daemon)
}
