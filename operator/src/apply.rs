//! Writes a configuration to the platform with compare-and-swap.

mod applier;
mod apply_error;
mod apply_outcome;
mod retry;
mod store;
mod store_error;

pub use applier::Applier;
pub use apply_error::ApplyError;
pub use apply_outcome::ApplyOutcome;
pub use retry::{Retry, backoff};
pub use store::{Store, StoredDocument};
pub use store_error::StoreError;
