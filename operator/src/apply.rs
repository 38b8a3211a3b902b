//! Applies a configuration by compare-and-swap.

mod applied;
mod applier;
mod apply_error;
mod retry;
mod store;
mod store_error;

pub use applied::Applied;
pub use applier::Applier;
pub use apply_error::ApplyError;
pub use retry::{Retry, backoff};
pub use store::{Store, Stored};
pub use store_error::StoreError;
