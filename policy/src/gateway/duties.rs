//! Duties: calls to the platform that only one daemon at a time, the holder, may make.
//!
//! The holder is elected by [`Lease`](crate::authority::Lease). This module decides which daemons are
//! candidates, from when a new holder acts, and which usage reports are due. Its load is bounded by
//! the number of candidates and of windows that are kept, not by the size of the fleet.

mod call;
mod candidates;
mod delivery;
mod election;
mod fleet_clock;
mod ledger;
mod reports;
mod tally;
mod timing;
mod token;
mod usage_record;

pub use call::{Call, Outcome, TenantCounts};
pub use candidates::{CANDIDATES, candidates};
pub use delivery::Delivery;
pub use election::Election;
pub use fleet_clock::FleetClock;
pub use ledger::{Ledger, RunId, WindowCounts};
pub use reports::{Reports, Step, Store};
pub use tally::Tally;
pub use timing::Timing;
pub use token::{is_valid_token, token_floor};
pub use usage_record::UsageRecord;
