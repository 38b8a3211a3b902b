use std::fmt::Debug;
use std::time::Duration;

use ragwortgrade_schema::platform::{Entries, Entry, Write};

use super::Error;

/// The platform's key-value service.
///
/// Every call has a timeout and counts against the service's rate limit; a watch counts as one
/// call.
pub trait KeyValue: Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Writes or deletes a key if it is at the expected revision; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when the revision differs. After [`Error::AnswerLost`] the write may
    /// have taken effect, and the caller has to read the key to check.
    fn write(&self, write: &Write) -> Result<u64, Error>;

    /// Lists the keys that start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn list(&self, prefix: &str, after: &str) -> Result<Entries, Error>;

    /// Waits up to `wait` for a change after revision `after` of a key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Entries, Error>;

    /// Grants a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn grant(&self, ttl: Duration) -> Result<u64, Error>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseEnded`] when the lease has expired; its keys are deleted.
    fn keep_alive(&self, lease: u64) -> Result<(), Error>;

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn revoke(&self, lease: u64) -> Result<(), Error>;
}
