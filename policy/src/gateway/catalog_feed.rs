use std::time::Duration;

use ragwortgrade_schema::Name;

use super::registration_feed::position;
use crate::Instant;

/// Time for which the first daemon lets the source wait for changes, as a fraction of the bound. It
/// also limits how long a read that gets no response can stay unnoticed.
const WATCH_FRACTION: f64 = 0.3;
/// Time without confirmation after which the next daemon reads, if the first one is silent, as a
/// fraction of the bound: longer than a watch of the first daemon that gets no response.
const FIRST_READ_FRACTION: f64 = 0.6;
/// Number of daemons that read one after the other, and the time between two of them.
const READERS: usize = 10;
const READER_DELAY_FRACTION: f64 = 0.025;
/// Time after which all other daemons read, and over which they spread these reads. The rest of
/// the bound is for the read.
const LAST_READ_FRACTION: f64 = 0.825;
const SPREAD_FRACTION: f64 = 0.075;
/// Time after which a daemon that has heard of a newer version reads it, so that the response to
/// its own watch may still arrive, and over which daemons spread these reads.
const NEWER_READ_FRACTION: f64 = 0.2;
const NEWER_SPREAD_FRACTION: f64 = 0.05;
/// Time after the first read in which daemons that start together learn of each other, and none
/// is the first one.
const START_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a read that is due lets the source wait.
const READ_WAIT: Duration = Duration::from_millis(1);

/// Up to when a daemon knows the operators' configuration, and when it reads it again although its
/// watch waits for changes.
///
/// A watch that gets no response looks like one without changes, so what a daemon knows is no older
/// than its last response. The first daemon by rank watches for a short time only, and tells the
/// others after each response which version was the newest. The others watch for long. One of them
/// reads again when it hears of a newer version that its own watch has not delivered, and when
/// nothing has confirmed its version for a time that depends on its rank, as in
/// [`RegistrationFeed`](super::RegistrationFeed). So no daemon depends on another one.
#[derive(Debug)]
pub struct CatalogFeed {
    /// Maximum time for which a change may be unknown.
    bound: Duration,
    /// Up to when the first read showed all versions.
    first_read_at: Option<Instant>,
    /// When the source had no newer version.
    known_until: Option<Instant>,
    newer: Option<Newer>,
    /// When the source answered again after an outage.
    source_restored: Option<Instant>,
    /// Version of which another daemon has told, and that a later read did not have.
    refuted: Option<u64>,
}

/// A version that another daemon has read and this one has not.
#[derive(Clone, Copy, Debug)]
struct Newer {
    version: u64,
    heard_at: Instant,
}

impl CatalogFeed {
    /// Returns the state before the first read.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            first_read_at: None,
            known_until: None,
            newer: None,
            source_restored: None,
            refuted: None,
        }
    }

    /// Returns up to when all versions are known.
    #[must_use]
    pub const fn known_until(&self) -> Option<Instant> {
        self.known_until
    }

    /// Records a read that showed all versions up to `read_at`, after which this daemon holds
    /// version `held`.
    pub fn record_read(&mut self, held: Option<u64>, read_at: Instant) {
        self.first_read_at.get_or_insert(read_at);
        self.known_until = self.known_until.max(Some(read_at));
        let Some(newer) = self.newer else {
            return;
        };
        let is_held = held >= Some(newer.version);
        if is_held || read_at >= newer.heard_at {
            self.newer = None;
        }
        if !is_held && read_at >= newer.heard_at {
            self.refuted = Some(newer.version);
        }
    }

    /// Records that another daemon has read at `read_at` that `version` is the newest one, while this
    /// daemon holds version `held`. Returns whether it is a newer one that was not heard of before.
    pub fn record_news(
        &mut self,
        held: Option<u64>,
        version: u64,
        read_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(held) = held else {
            // The first configuration is being read.
            return false;
        };
        if version == held {
            self.known_until = self.known_until.max(Some(read_at.min(now)));
        }
        let known = self.newer.map_or(held, |newer| newer.version.max(held));
        if version <= known || self.refuted == Some(version) {
            return false;
        }
        let heard_at = self.newer.map_or(now, |newer| newer.heard_at);
        self.newer = Some(Newer { version, heard_at });
        true
    }

    /// Records that an outage of the source has ended, so that all watches begin anew: the daemons
    /// confirm their version in the order of their ranks, not all at once.
    pub const fn source_restored(&mut self, now: Instant) {
        self.source_restored = Some(now);
    }

    /// Returns when a daemon of this rank reads again although its watch still waits; `None` before
    /// the first read.
    #[must_use]
    pub fn next_read(&self, daemon: &Name, rank: usize) -> Option<Instant> {
        let position = position(daemon);
        let fraction = if rank < READERS {
            FIRST_READ_FRACTION + READER_DELAY_FRACTION * rank as f64
        } else {
            LAST_READ_FRACTION + SPREAD_FRACTION * position
        };
        let confirmed_at = self.known_until.max(self.source_restored)?;
        let unconfirmed_read = confirmed_at + self.bound.mul_f64(fraction);
        let newer_delay = NEWER_READ_FRACTION + NEWER_SPREAD_FRACTION * position;
        let newer_read = self
            .newer
            .map(|newer| newer.heard_at + self.bound.mul_f64(newer_delay));
        Some(newer_read.map_or(unconfirmed_read, |at| at.min(unconfirmed_read)))
    }

    /// Returns the time for which a daemon of this rank lets the source wait for changes in its next
    /// read, if it is a short one that shows others the newest version.
    #[must_use]
    pub fn short_wait(&self, daemon: &Name, rank: usize, now: Instant) -> Option<Duration> {
        if self.next_read(daemon, rank).is_some_and(|at| at <= now) {
            return Some(READ_WAIT);
        }
        let is_starting = now.since(self.first_read_at?) < START_TIME;
        (rank == 0 && !is_starting).then(|| self.bound.mul_f64(WATCH_FRACTION))
    }
}
