use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::registration_log::RegistrationLog;
use super::{ChangesRequest, RegistrationBatch, RegistrationSource};
use crate::Instant;

/// Pause of the first daemon between two of its reads, and the time for which it lets the source wait
/// for changes, as fractions of the read interval. So the others hear of changes soon, and hear
/// that there are none after half of the interval.
const WATCH_PAUSE_FRACTION: f64 = 0.2;
const WATCH_FRACTION: f64 = 0.3;
/// Fraction of the read interval after which the next daemon reads, if the first one is silent.
const FIRST_READ_FRACTION: f64 = 0.5;
/// Time for which other daemons let the source wait: they want to know soon that nothing has changed.
const READ_WAIT: Duration = Duration::from_millis(1);
/// Minimum time between two reads of these daemons, as a fraction of the read interval.
const READ_PAUSE_FRACTION: f64 = 0.4;
/// Number of daemons that read one after the other if those before them have handed on nothing,
/// and the time between two of them: several times that in which a batch reaches all daemons.
const READERS: usize = 10;
const READER_DELAY: Duration = Duration::from_millis(60);
/// Fraction of the read interval over which all other daemons spread their reads after it.
const SPREAD_FRACTION: f64 = 0.2;
/// Time after which a daemon that has missed changes reads them, so that a batch with them which was
/// overtaken may still arrive; and the time over which the daemons that have missed the same
/// changes spread these reads.
const MISSED_READ_DELAY: Duration = Duration::from_millis(40);
const MISSED_READ_SPREAD: Duration = Duration::from_millis(160);
/// Time without news, in read intervals, after which a daemon asks others for changes: before it would
/// read itself if it cannot, and else after that.
const FAILED_INTERVALS: f64 = 0.6;
const SILENT_INTERVALS: f64 = 1.3;
/// Number of other daemons from which on reads are shared; in a smaller fleet they are few.
const SHARING_PEERS_MIN: usize = 17;

/// How far a daemon knows the registrations, and when it reads them itself.
///
/// The first daemon waits for changes and hands them on. Each other one reads what has changed when it
/// has not heard of it for a while, and hands it on, too. The time depends on its rank, so that
/// normally one of them reads and the others hear of it in time (suppression by staggered timers, as
/// in S. Floyd et al., "A Reliable Multicast Framework for Light-weight Sessions and Application
/// Level Framing", 1997). A daemon that hears nothing reads for itself, so no daemon depends on
/// another one.
#[derive(Debug, Default)]
pub struct RegistrationFeed {
    known: Option<Known>,
    /// Latest changes up to what is known.
    log: RegistrationLog,
    /// When a batch showed that changes before it were missed; they are not known yet.
    missed_at: Option<Instant>,
    /// When the source answered again after an outage.
    source_restored: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    era: Option<u64>,
    revision: u64,
    /// When the source had no later changes.
    read_at: Instant,
}

impl RegistrationFeed {
    /// Returns whether the daemons of a fleet with this number of other daemons share their reads.
    #[must_use]
    pub const fn is_shared(peers: usize) -> bool {
        peers >= SHARING_PEERS_MIN
    }

    /// Returns the rank of a daemon among others; that with rank 0 reads first.
    pub fn rank<'a>(daemon: &Name, peers: impl IntoIterator<Item = &'a Name>) -> usize {
        let weight = |name: &Name| (xxh3_64(name.as_bytes()), name.clone());
        let own = weight(daemon);
        let peers = peers.into_iter();
        peers.filter(|peer| weight(peer) > own).count()
    }

    /// Returns the revision up to which the registrations are known.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.known.map(|known| known.revision)
    }

    /// Returns up to when all changes are known.
    #[must_use]
    pub fn known_until(&self) -> Option<Instant> {
        self.known.map(|known| known.read_at)
    }

    /// Records a listing that has all changes up to a revision. Returns whether it may replace what
    /// is known: other daemons may have handed on later changes while it was read.
    pub fn listed(&mut self, era: Option<u64>, revision: u64, read_at: Instant) -> bool {
        let is_older = self
            .known
            .is_some_and(|known| known.era == era && known.revision > revision);
        if !is_older {
            self.known = Some(Known {
                era,
                revision,
                read_at,
            });
            self.log.restart(revision);
            self.missed_at = None;
        }
        !is_older
    }

    /// Forgets what is known, as the source was restored from an older copy.
    pub fn reset(&mut self) {
        self.known = None;
        self.missed_at = None;
    }

    /// Records that an outage of the source has ended: the daemons read again in the order of their
    /// ranks, not all at once.
    pub const fn source_restored(&mut self, now: Instant) {
        self.source_restored = Some(now);
    }

    /// Records all changes after a revision up to another one. Returns the revision after which
    /// they are new; `None` if some are missing before them or all are known.
    pub fn advance(&mut self, batch: &RegistrationBatch, now: Instant) -> Option<u64> {
        let known = self.known.as_mut()?;
        if known.era != batch.era || batch.revision < known.revision {
            return None;
        }
        if batch.after > known.revision {
            self.missed_at.get_or_insert(now);
            return None;
        }
        let after = known.revision;
        known.revision = batch.revision;
        known.read_at = known.read_at.max(batch.read_at.min(now));
        let changes = batch.changes.iter();
        let new = changes.filter(|change| change.revision > after);
        self.log.extend(new.cloned());
        if self.missed_at.is_some_and(|at| known.read_at >= at) {
            self.missed_at = None;
        }
        Some(after)
    }

    /// Returns whether changes were missed, so that the next read is due early.
    #[must_use]
    pub const fn has_missed(&self) -> bool {
        self.missed_at.is_some()
    }

    /// Returns the request to other daemons for changes, if this daemon has heard nothing for so long
    /// that its own reads must have failed. `interval` is the time between reads of a daemon that
    /// reads for itself only.
    #[must_use]
    pub fn request(
        &self,
        source: RegistrationSource,
        is_source_lost: bool,
        interval: Duration,
        now: Instant,
    ) -> Option<ChangesRequest> {
        let known = self.known?;
        let is_read_expected = !is_source_lost && self.missed_at.is_none();
        let intervals = if is_read_expected {
            SILENT_INTERVALS
        } else {
            FAILED_INTERVALS
        };
        let is_due = now.since(known.read_at) > interval.mul_f64(intervals);
        is_due.then_some(ChangesRequest {
            source,
            era: known.era,
            after: known.revision,
        })
    }

    /// Returns the changes that another daemon has missed, or `None` if they are not known.
    #[must_use]
    pub fn answer(&self, request: &ChangesRequest, is_vouched: bool) -> Option<RegistrationBatch> {
        let known = self.known.filter(|known| known.era == request.era)?;
        if request.after > known.revision {
            return None;
        }
        Some(RegistrationBatch {
            source: request.source,
            era: known.era,
            after: request.after,
            revision: known.revision,
            read_at: known.read_at,
            is_vouched,
            changes: self.log.since(request.after)?,
        })
    }

    /// Returns when a daemon of this rank reads next, if its last read ended at `read_end`;
    /// `interval` is the time between its reads if it reads for itself only.
    #[must_use]
    pub fn next_read(
        &self,
        daemon: &Name,
        rank: usize,
        interval: Duration,
        read_end: Instant,
    ) -> Instant {
        let Some(known) = self.known else {
            return Instant::default();
        };
        if rank == 0 {
            let next_read = read_end + interval.mul_f64(WATCH_PAUSE_FRACTION);
            return self
                .source_restored
                .map_or(next_read, |at| at.max(next_read));
        }
        let first_delay = interval.mul_f64(FIRST_READ_FRACTION);
        let position = position(daemon);
        let delay = if rank < READERS {
            first_delay + READER_DELAY * rank as u32
        } else {
            interval + interval.mul_f64(SPREAD_FRACTION * position)
        };
        let restored = self.source_restored.map(|at| at - first_delay);
        let next_read = restored.map_or(known.read_at, |at| at.max(known.read_at)) + delay;
        let missed_delay = MISSED_READ_DELAY + MISSED_READ_SPREAD.mul_f64(position);
        let missed_read = self.missed_at.map(|at| at + missed_delay);
        let next_read = missed_read.map_or(next_read, |at| at.min(next_read));
        next_read.max(read_end + interval.mul_f64(READ_PAUSE_FRACTION))
    }

    /// Returns the time for which a daemon of this rank lets the source wait for changes in a read.
    #[must_use]
    pub fn read_wait(rank: usize, interval: Duration) -> Duration {
        if rank == 0 {
            interval.mul_f64(WATCH_FRACTION)
        } else {
            READ_WAIT
        }
    }

    /// Returns up to when a read that was sent at `sent_at`, let the source wait for changes and is
    /// answered now shows all changes.
    ///
    /// The source answers as soon as there are changes, and at the end of the wait if there are none.
    /// If the response was held up on its way, the time is too late by `wait` at most.
    #[must_use]
    pub fn read_at(sent_at: Instant, wait: Duration, now: Instant) -> Instant {
        (sent_at + wait).min(now)
    }
}

/// Returns where in a time over which daemons spread their reads this one reads, from 0 to 1.
pub(super) fn position(daemon: &Name) -> f64 {
    xxh3_64(daemon.as_bytes()) as f64 / u64::MAX as f64
}
