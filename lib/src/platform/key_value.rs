use std::fmt::Debug;
use std::time::Duration;

use ragwortgrade_schema::platform::{Entries, Entry, Write};

use super::Error;

/// The platform's key-value service.
///
/// Every call is bounded in time. Calls count against the service's rate, a waiting watch as one.
pub trait KeyValue: Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Writes or deletes a key if it has the expected revision; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when the revision differs. After [`Error::AnswerLost`] the write may
    /// have taken effect; the caller reads the key to find out.
    fn write(&self, write: &Write) -> Result<u64, Error>;

    /// Lists the keys that start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn list(&self, prefix: &str, after: &str) -> Result<Entries, Error>;

    /// Waits until a key that starts with `prefix` changes after revision `after`, at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Entries, Error>;

    /// Opens a lease that ends `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn grant(&self, ttl: Duration) -> Result<u64, Error>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseEnded`] when the lease has lapsed; its keys are gone.
    fn keep_alive(&self, lease: u64) -> Result<(), Error>;

    /// Ends a lease; its keys disappear.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses the call.
    fn revoke(&self, lease: u64) -> Result<(), Error>;
}
