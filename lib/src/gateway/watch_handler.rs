use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{self, LocalBoxFuture};
use ragwortgrade_policy::Instant;

use super::{Item, Update};

/// Maximum wait of one watch, which costs one call however long it waits.
pub(super) const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Callbacks for the items below a watched prefix.
pub(super) trait WatchHandler {
    /// Handles a complete list of the items, which has all changes up to the revision.
    fn on_list(&self, items: Vec<Item>, read: Read);
    /// Handles the changes after a revision.
    fn on_updates(&self, updates: Vec<Update>, after: u64, read: Read);
    /// Returns how long to wait until the next read if the last one ended at `read_end`.
    fn pause(&self, read_end: Instant) -> Duration;
    /// Waits until the pause before the next read may have become shorter.
    fn wait_for_shorter_pause(&self) -> LocalBoxFuture<'_, ()> {
        future::pending().boxed_local()
    }
    /// Returns the revision after which to read if the last read ended with `revision`.
    fn resume_after(&self, revision: u64) -> u64 {
        revision
    }
    /// Handles the end of a store outage, or a restore of the store from an older copy.
    fn on_interruption(&self) {}
    /// Returns how long a read may wait for changes.
    fn watch_timeout(&self) -> Duration {
        WATCH_TIMEOUT
    }
    /// Waits until a read that may wait for changes for `wait` is to be replaced by another one.
    fn wait_until_replaced(&self, _wait: Duration) -> LocalBoxFuture<'_, ()> {
        future::pending().boxed_local()
    }
}

/// How far a read of the store goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    /// Revision up to which it has all changes.
    pub(super) revision: u64,
    /// When the store had no later changes.
    pub(super) at: Instant,
    /// Time for which it could wait for changes.
    pub(super) wait: Duration,
}
