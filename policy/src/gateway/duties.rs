//! Duties: calls to the platform that only one daemon at a time, the holder, may make.
//!
//! The holder is elected by [`Lease`](crate::authority::Lease). This module decides which daemons are
//! candidates, from when a new holder acts, and which usage reports are due. Its load is bounded by
//! the number of candidates and of windows that are kept, not by the size of the fleet.

mod call;

pub use call::{Call, Outcome, TenantCounts};
