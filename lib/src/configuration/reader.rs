use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_policy::revision::{Document, Reconciliation};
use ragwortgrade_schema::platform::{Entry, Write};
use rand::RngExt as _;

use super::key_watcher::{KeyWatcher, ReadOutcome};
use super::{KEY, Replica};
use crate::platform::Error;

/// Interval at which a daemon that is not the reader checks whether it has become the reader.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// An absent key has no revision to watch from, so it is polled.
const ABSENT_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Delay before the next read when peers hold a document that supersedes the platform's.
const SUPERSEDED_PAUSE: Duration = Duration::from_secs(1);

/// Reads the platform while this daemon is the reader of its data centre, and writes a document
/// back if the platform's is missing, older, or conflicts with an accepted one of the same
/// revision.
#[derive(Debug)]
pub struct Reader {
    replica: Arc<Replica>,
    watcher: KeyWatcher,
    failures: u32,
}

impl Reader {
    /// Creates the reader of a replica.
    #[must_use]
    pub fn open(replica: Arc<Replica>) -> Self {
        Self {
            replica,
            watcher: KeyWatcher::default(),
            failures: 0,
        }
    }

    /// Reads once if this daemon is the reader; returns the delay before the next step.
    pub fn step(&mut self) -> Duration {
        if !self.should_read() {
            self.watcher.reset();
            return IDLE_PERIOD;
        }
        let node = Arc::clone(&self.replica.node);
        let outcome = match self.watcher.read(&*node.key_value, node.clock.now()) {
            Ok(ReadOutcome::Unchanged) => Ok(Duration::ZERO),
            Ok(ReadOutcome::Entry(entry)) => self.reconcile(entry.as_ref()),
            Err(error) => Err(error),
        };
        let is_reachable = outcome.is_ok();
        let mut state = self.replica.state();
        state.platform_reachable = Some(is_reachable);
        state.election.record_read(is_reachable, node.clock.now());
        drop(state);
        match outcome {
            Ok(pause) => {
                self.failures = 0;
                pause
            }
            Err(error) => self.back_off(&error),
        }
    }

    /// Returns whether this step reads the platform, which clears a pending conflict read. A
    /// draining daemon first resigns as the reader.
    fn should_read(&self) -> bool {
        let now = self.replica.node.clock.now();
        let mut state = self.replica.state();
        if self.replica.node.is_draining() {
            state.election.resign();
        }
        let is_reader = state.election.is_reader(now);
        let needs_conflict_read = std::mem::take(&mut state.needs_conflict_read);
        if !is_reader {
            state.platform_reachable = None;
        }
        is_reader || needs_conflict_read
    }

    /// Compares the document on the platform with the one in force and applies or overwrites it.
    fn reconcile(&mut self, entry: Option<&Entry>) -> Result<Duration, Error> {
        let document = entry.and_then(|entry| self.parse(entry));
        let verdict = self.replica.state().history.reconcile(document.as_ref());
        match verdict {
            Reconciliation::Same if entry.is_none() => return Ok(ABSENT_POLL_PERIOD),
            Reconciliation::Same => {}
            Reconciliation::Newer => {
                if let Some(document) = document {
                    return Ok(self.apply(document));
                }
            }
            Reconciliation::WriteBack(newest) => {
                if let Some(document) = &document {
                    self.report_rejection(document);
                }
                self.write_back(&newest, entry.map_or(0, |entry| entry.revision))?;
            }
        }
        Ok(Duration::ZERO)
    }

    /// Applies a newer document unless peers accepted one that supersedes it. In that case theirs
    /// is pulled first and the next step compares the platform's document again.
    fn apply(&mut self, document: Document) -> Duration {
        if self.replica.pull_superseding(&document) {
            self.watcher.reset();
            return SUPERSEDED_PAUSE;
        }
        self.replica.apply(document, "platform");
        Duration::ZERO
    }

    /// Parses a stored document. One that cannot be parsed counts as absent, so it is overwritten
    /// if this daemon holds a document.
    fn parse(&self, entry: &Entry) -> Option<Document> {
        match Document::parse(entry.value.as_deref().unwrap_or_default()) {
            Ok(document) => Some(document),
            Err(error) => {
                if self
                    .replica
                    .state()
                    .record_rejection(0, "", &error.to_string())
                {
                    log::error!(error:% = error; "cannot parse the configuration on the platform");
                }
                None
            }
        }
    }

    /// Records and logs that the document on the platform is older than the one in force, or has
    /// the same revision in a conflict between two documents.
    fn report_rejection(&self, document: &Document) {
        let mut state = self.replica.state();
        let held = state.history.revision();
        let reason = format!("revision {held} is in force and is not replaced by an older one");
        let revision = document.revision();
        if state.record_rejection(revision, document.apply_id(), &reason) {
            let apply_id = document.apply_id();
            log::warn!(revision, apply_id, held; "configuration on the platform is not newer than the one in force");
        }
    }

    /// Overwrites the document on the platform with `newest`: the one in force or, after a
    /// conflict, one of the two documents under the next revision. The next step reads the key
    /// again whatever the outcome, because another reader may have written first or the answer may
    /// be lost.
    fn write_back(&mut self, newest: &Document, expect: u64) -> Result<(), Error> {
        self.watcher.reset();
        let write = Write {
            key: KEY.to_owned(),
            value: Some(newest.text()),
            expect,
            lease: None,
        };
        let revision = newest.revision();
        match self.replica.node.key_value.write(&write) {
            Ok(_) => {
                log::info!(revision; "wrote a configuration back to the platform");
                Ok(())
            }
            Err(Error::Conflict { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Returns the delay after a failed read or write: it doubles with each failure and is random,
    /// so that the readers do not retry at the same time. A conflict with a peer is dropped,
    /// because the platform could not be read to resolve it.
    fn back_off(&mut self, error: &Error) -> Duration {
        let failures = self.failures.min(BACKOFF_DOUBLINGS_MAX);
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            log::warn!(error:% = error; "cannot read or write the configuration on the platform");
        }
        let longest = BACKOFF_MAX.min(BACKOFF_INITIAL * (1 << failures));
        let mut state = self.replica.state();
        state.history.clear_conflict();
        let jitter: f64 = state.random.random_range(0.5..1.0);
        longest.mul_f64(jitter)
    }
}
