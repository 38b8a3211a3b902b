use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use ragwortgrade_schema::Name;

use super::FetchError;

/// Call to the store in progress.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, StoreResponse<T>>;

/// Key-value store of the configuration and the registrations.
pub trait Store: std::fmt::Debug {
    /// Lists a page of the keys that begin with `prefix`, after the key `after`.
    fn list<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> StoreFuture<'a, Page>;

    /// Waits up to `wait` for changes below `prefix` that are newer than `revision`. Fails if the
    /// response has not begun `timeout` after that.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
        timeout: Duration,
    ) -> StoreFuture<'a, Updates>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease within `timeout`.
    fn renew(&self, lease: LeaseId, timeout: Duration) -> StoreFuture<'_, ()>;

    /// Writes a key that is removed when the lease ends.
    fn put<'a>(&'a self, key: &'a str, value: &'a [u8], lease: LeaseId) -> StoreFuture<'a, ()>;

    /// Removes a key.
    fn remove<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()>;

    /// Reads a key; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Item>>;

    /// Executes a transaction if its conditions hold, or fails with [`StoreError::Conflict`]. Returns
    /// the store revision after it.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> StoreFuture<'a, u64>;

    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()>;
}

/// Response of the store to a call, or why there is none.
#[derive(Debug)]
pub struct StoreResponse<T> {
    /// Number that the store names in all responses and that changes when it is restored from an
    /// older copy; `None` if there is no response or it names none.
    pub era: Option<u64>,
    /// Result of the call.
    pub result: Result<T, StoreError>,
}

impl<T> StoreResponse<T> {
    /// Converts the value of a successful response.
    #[must_use]
    pub fn and_then<U>(self, convert: impl FnOnce(T) -> Result<U, StoreError>) -> StoreResponse<U> {
        StoreResponse {
            era: self.era,
            result: self.result.and_then(convert),
        }
    }
}

/// Conditional change of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revisions that they must have, 0 if there must be none.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// Write of a key in a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Vec<u8>,
    /// Lease with which the key ends, if any.
    pub lease: Option<LeaseId>,
}

/// ID of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key, including the prefix.
    pub key: Name,
    /// Decoded value; `None` if it cannot be decoded.
    pub value: Option<Bytes>,
    /// Store revision of its last change.
    pub revision: u64,
}

/// A page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether further pages follow.
    pub has_more: bool,
    /// Store revision at the time of the response.
    pub revision: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The item was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// Key, including the prefix.
        key: Name,
        /// Store revision of its removal.
        revision: u64,
    },
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Updates {
    /// Changes, oldest first.
    pub updates: Vec<Update>,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history after the requested revision has been discarded.
    #[error("history after the revision is no longer available")]
    Compacted,
    /// The store was restored from an older copy since the state on which the call builds was
    /// read.
    #[error("store was restored from an older copy")]
    Restored,
    /// A condition of the transaction does not hold; nothing was changed.
    #[error("condition of the transaction does not hold")]
    Conflict,
    /// The lease has expired or was revoked.
    #[error("lease has expired or was revoked")]
    LeaseNotFound,
    /// The store responded with an error status, for example because it is overloaded.
    #[error("store responded with status {0}")]
    Status(u16),
    /// The call timed out.
    #[error("store call timed out")]
    TimedOut,
    /// The store could not be reached, or its response was incomplete.
    #[error("store is unreachable: {0}")]
    Unreachable(String),
    /// The response could not be parsed.
    #[error("store response cannot be parsed: {0}")]
    Malformed(String),
}

impl From<FetchError> for StoreError {
    fn from(error: FetchError) -> Self {
        match error {
            FetchError::TimedOut => Self::TimedOut,
            other => Self::Unreachable(other.to_string()),
        }
    }
}
