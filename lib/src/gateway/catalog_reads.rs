use std::cell::RefCell;
use std::future;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::CatalogFeed;
use ragwortgrade_schema::Name;
use tokio::sync::Notify;

use super::shared::Shared;
use super::shared_reads::rank;
use super::watch_handler::WATCH_TIMEOUT;

/// Reads of the operators' configuration, which daemons confirm to each other.
#[derive(Debug)]
pub(super) struct CatalogReads {
    feed: RefCell<CatalogFeed>,
    /// Wakes the task that watches, as the next read has become due earlier.
    newer: Notify,
}

impl CatalogReads {
    /// Returns the state before the first read; a change may be unknown for `bound`.
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            feed: RefCell::new(CatalogFeed::new(bound)),
            newer: Notify::new(),
        }
    }

    /// Records that this daemon has read all versions up to `read_at`.
    pub(super) fn record_read(&self, shared: &Shared, read_at: Instant) {
        let known_until = self.feed.borrow().known_until();
        let held = shared.configuration.version();
        self.feed.borrow_mut().record_read(held, read_at);
        if let Some(known_until) = known_until {
            let unknown = shared.now().since(known_until);
            let unknown_ms = unknown.as_millis() as u64;
            shared.metrics.time("configuration.unknown", unknown_ms);
        }
    }

    /// Records which version another daemon has read as the newest one.
    pub(super) fn record_news(
        &self,
        shared: &Shared,
        version: u64,
        read_at: Instant,
        reported_by: &Name,
    ) {
        let held = shared.configuration.version();
        let now = shared.now();
        let mut feed = self.feed.borrow_mut();
        if feed.record_news(held, version, read_at, now) {
            log::info!(
                version = version, held:? = held, reported_by:% = reported_by;
                "another daemon has read a newer configuration"
            );
            self.newer.notify_one();
        }
    }

    /// Records that the store is available again, or was restored: all watches begin anew.
    pub(super) fn store_restored(&self, now: Instant) {
        self.feed.borrow_mut().source_restored(now);
    }

    /// Returns how long the next read may wait for changes.
    pub(super) fn watch_timeout(&self, shared: &Shared) -> Duration {
        let feed = self.feed.borrow();
        let wait = feed.short_wait(&shared.options.name, rank(shared), shared.now());
        wait.unwrap_or(WATCH_TIMEOUT)
    }

    /// Waits until a watch that waits for changes is to be replaced by a read, because nothing shows
    /// that its response was not lost.
    pub(super) async fn wait_until_due(&self, shared: &Shared) {
        loop {
            let next_read = {
                let feed = self.feed.borrow();
                feed.next_read(&shared.options.name, rank(shared))
            };
            let now = shared.now();
            match next_read {
                // The end of an outage ends the watch.
                _ if shared.store_outage.borrow().is_active() => future::pending().await,
                None => future::pending().await,
                Some(next_read) if next_read <= now => break,
                Some(next_read) => tokio::select! {
                    () = tokio::time::sleep(next_read.since(now)) => {}
                    () = self.newer.notified() => {}
                },
            }
        }
        let known_until = self.feed.borrow().known_until().unwrap_or_default();
        let unknown = shared.now().since(known_until);
        log::info!(
            held:? = shared.configuration.version(), unknown_ms = unknown.as_millis() as u64;
            "configuration is not confirmed; reading it again"
        );
    }
}
