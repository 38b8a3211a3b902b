//! Control of the engines of a data centre: which daemon may send them orders, and when.
//!
//! The holder of the [`Lease`] controls the engines. A [`HolderRecord`] passes the fencing token
//! and the list of former holders on to the next holder, [`Takeover`] decides when engines that
//! ignore fencing tokens may be ordered, and [`Orders`] keeps at most one order in flight per
//! engine.
//!
//! [`HolderRecord`]: crate::authority::HolderRecord
//! [`Lease`]: crate::authority::Lease
//! [`Orders`]: crate::authority::Orders
//! [`Takeover`]: crate::authority::Takeover

mod call;
mod candidates;
mod held_lease;
mod holder;
mod holder_record;
mod lease;
mod lease_timing;
mod lock_record;
mod orders;
mod pending_order;
mod takeover;
mod timestamp;

pub use call::{Answer, Call};
pub use candidates::{CANDIDATE_COUNT, is_candidate};
pub use holder::{Holder, ParseError};
pub use holder_record::HolderRecord;
pub use lease::Lease;
pub use lease_timing::LeaseTiming;
pub use lock_record::LockRecord;
pub use orders::Orders;
pub use pending_order::{Conclusion, Observation, PendingOrder, Phase, SendOutcome, Step};
pub use takeover::{Evidence, Takeover};
pub use timestamp::Timestamp;
