use std::cell::RefCell;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{
    ChangesRequest, OwnReads, RegistrationBatch, RegistrationChange, RegistrationContent,
    RegistrationFeed, RegistrationSource,
};
use tokio::sync::Notify;

use super::Update;
use super::shared::Shared;
use super::watch_handler::Read;

/// Number of read intervals after which changes are learned late: a daemon that reads for itself
/// takes up to 1.2 of them.
const LATE_INTERVALS: f64 = 1.25;
/// Maximum size of the changed registrations in one batch for other daemons, which read larger ones
/// themselves.
const BATCH_BYTES_MAX: usize = 6 * 1024;
/// Maximum number of batches in answer to one request; a daemon that lacks more asks again.
const ANSWER_BATCHES_MAX: usize = 4;

/// Reads of registrations that the daemons of a large fleet do for each other.
#[derive(Debug)]
pub(super) struct SharedReads {
    source: RegistrationSource,
    /// Time between reads of a daemon that reads for itself only.
    interval: Duration,
    feed: RefCell<RegistrationFeed>,
    /// Reads while the fleet is small.
    own_reads: RefCell<OwnReads>,
    /// Wakes the task that reads, as the next read has become due earlier.
    missed: Notify,
}

impl SharedReads {
    pub(super) fn new(source: RegistrationSource, interval: Duration) -> Self {
        Self {
            source,
            interval,
            feed: RefCell::default(),
            own_reads: RefCell::new(OwnReads::new(interval)),
            missed: Notify::new(),
        }
    }

    /// Records a complete listing. Returns whether it may replace what is known.
    pub(super) fn record_listing(&self, shared: &Shared, read: Read) -> bool {
        self.own_reads.borrow_mut().record_listing();
        let known_until = self.feed.borrow().known_until();
        let era = shared.store_era_named();
        let is_newest = self.feed.borrow_mut().listed(era, read.revision, read.at);
        if is_newest {
            self.observe_gap(shared, known_until);
        } else {
            log::info!(
                source:? = self.source, revision = read.revision, known:? = self.revision();
                "listing is older than what other daemons have handed on; ignored"
            );
        }
        is_newest
    }

    /// Records the changes after a revision that this daemon has read, and hands them on. Returns
    /// those that are new.
    pub(super) fn record_updates(
        &self,
        shared: &Shared,
        updates: Vec<Update>,
        after: u64,
        read: Read,
    ) -> Vec<RegistrationChange> {
        let has_changes = !updates.is_empty();
        self.own_reads.borrow_mut().record_read(has_changes);
        let batch = RegistrationBatch {
            source: self.source,
            era: shared.store_era_named(),
            after,
            revision: read.revision,
            read_at: read.at,
            is_vouched: shared.registry.borrow().vouches(shared.now()),
            changes: updates.into_iter().map(registration_change).collect(),
        };
        let Some(new_after) = self.advance(shared, &batch) else {
            // Another daemon has handed on later changes meanwhile.
            return Vec::new();
        };
        let new = batch.changes.iter().filter(|it| it.revision > new_after);
        let new = new.cloned().collect();
        if is_shared(shared) {
            publish(shared, batch);
        }
        new
    }

    /// Records a batch that another daemon has handed on. Returns the changes that are new.
    pub(super) fn record_batch(
        &self,
        shared: &Shared,
        batch: RegistrationBatch,
    ) -> Vec<RegistrationChange> {
        let Some(new_after) = self.advance(shared, &batch) else {
            if self.feed.borrow().has_missed() {
                self.missed.notify_one();
            }
            return Vec::new();
        };
        let changes = batch.changes.into_iter();
        changes.filter(|it| it.revision > new_after).collect()
    }

    /// Advances the feed by a batch; returns the revision after which its changes are new.
    fn advance(&self, shared: &Shared, batch: &RegistrationBatch) -> Option<u64> {
        let known_until = self.feed.borrow().known_until();
        let new_after = self.feed.borrow_mut().advance(batch, shared.now());
        if new_after.is_some() {
            self.observe_gap(shared, known_until);
        }
        new_after
    }

    /// Reports the time for which a change that is known from now on may have been unknown.
    fn observe_gap(&self, shared: &Shared, known_until: Option<Instant>) {
        // A daemon that reads for itself waits in its reads until something changes.
        let Some(known_until) = known_until.filter(|_| is_shared(shared)) else {
            return;
        };
        let unknown = shared.now().since(known_until);
        let unknown_ms = unknown.as_millis() as u64;
        let name = match self.source {
            RegistrationSource::Endpoints => "registrations.endpoints.unknown",
            RegistrationSource::Daemons => "registrations.daemons.unknown",
        };
        shared.metrics.time(name, unknown_ms);
        if unknown > self.interval.mul_f64(LATE_INTERVALS) {
            log::warn!(
                source:? = self.source, unknown_ms = unknown_ms,
                revision:? = self.revision();
                "changes of registrations may have been unknown for long"
            );
        }
    }

    /// Returns how long to wait until the next read if the last one ended at `read_end`. A daemon
    /// that reads for itself only does so at this interval.
    pub(super) fn pause(&self, shared: &Shared, read_end: Instant) -> Duration {
        let next_read = if is_shared(shared) {
            let (name, rank) = (&shared.options.name, rank(shared));
            let feed = self.feed.borrow();
            feed.next_read(name, rank, self.interval, read_end)
        } else {
            read_end + self.own_reads.borrow().pause()
        };
        next_read.since(shared.now())
    }

    /// Returns the request to other daemons for the changes that this daemon cannot read.
    pub(super) fn request(&self, shared: &Shared) -> Option<ChangesRequest> {
        if !is_shared(shared) {
            return None;
        }
        let is_source_lost = shared.store_outage.borrow().is_active();
        let feed = self.feed.borrow();
        feed.request(self.source, is_source_lost, self.interval, shared.now())
    }

    /// Returns the changes that another daemon has asked for, as far as they are known.
    pub(super) fn answer(
        &self,
        shared: &Shared,
        request: &ChangesRequest,
    ) -> Vec<RegistrationBatch> {
        let is_vouched = shared.registry.borrow().vouches(shared.now());
        let batch = self.feed.borrow().answer(request, is_vouched);
        let mut batches = batch.map_or_else(Vec::new, |batch| batch.split(BATCH_BYTES_MAX));
        batches.truncate(ANSWER_BATCHES_MAX);
        batches
    }

    /// Waits until the time of the next read may have become earlier.
    pub(super) async fn wait_until_missed(&self) {
        self.missed.notified().await;
    }

    /// Returns the revision up to which the registrations are known.
    pub(super) fn revision(&self) -> Option<u64> {
        self.feed.borrow().revision()
    }

    /// Returns how long a read may wait for changes.
    pub(super) fn watch_timeout(&self, shared: &Shared) -> Duration {
        if is_shared(shared) {
            RegistrationFeed::read_wait(rank(shared), self.interval)
        } else {
            self.own_reads.borrow().wait()
        }
    }

    /// Records that an outage of the store has ended.
    pub(super) fn store_restored(&self, now: Instant) {
        self.feed.borrow_mut().source_restored(now);
    }

    /// Forgets what is known, as the store was restored from an older copy.
    pub(super) fn reset(&self) {
        self.feed.borrow_mut().reset();
    }
}

/// Returns whether the daemons of this fleet read registrations for each other.
fn is_shared(shared: &Shared) -> bool {
    RegistrationFeed::is_shared(shared.peers.borrow().directory.len())
}

/// Returns the rank of this daemon among those that read.
pub(super) fn rank(shared: &Shared) -> usize {
    let peers = shared.peers.borrow();
    RegistrationFeed::rank(&shared.options.name, peers.directory.names())
}

/// Hands changes on to the other daemons. If they are too large for that, the others are told that
/// they have missed them.
fn publish(shared: &Shared, mut batch: RegistrationBatch) {
    let bytes = batch.size();
    if bytes > BATCH_BYTES_MAX {
        log::info!(
            source:? = batch.source, bytes = bytes, changes = batch.changes.len();
            "changed registrations are too large for a message; other daemons read them"
        );
        batch.after = batch.revision;
        batch.changes.clear();
    }
    let now = shared.now();
    let mut broadcast = shared.broadcast.borrow_mut();
    broadcast.publish(Statement::Registrations(batch), now);
    shared.notify_news();
}

fn registration_change(update: Update) -> RegistrationChange {
    match update {
        Update::Written(item) => RegistrationChange {
            key: item.key,
            revision: item.revision,
            content: match item.value {
                Some(value) => RegistrationContent::Written(value.to_vec()),
                None => RegistrationContent::Unreadable,
            },
        },
        Update::Removed { key, revision } => RegistrationChange {
            key,
            revision,
            content: RegistrationContent::Removed,
        },
    }
}
