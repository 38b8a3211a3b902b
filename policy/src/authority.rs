//! Authority over the engines of a data centre: who may order them, and when.
//!
//! The lease decides who holds authority, the tenure record carries the fencing token and the
//! former holders from one holder to the next, [`Takeover`] decides when engines that ignore
//! fencing tokens may be ordered, and [`Orders`] keeps at most one order under way per engine.

mod call;
mod candidates;
mod command;
mod held;
mod holder;
mod lease;
mod lock;
mod moment;
mod orders;
mod takeover;
mod tenure;
mod terms;

pub use call::{Answer, Call};
pub use candidates::{CANDIDATES, is_candidate};
pub use command::{Command, Conclusion, Observation, Phase, Sent, Step};
pub use holder::{Holder, ParseError};
pub use lease::Lease;
pub use lock::Lock;
pub use moment::Moment;
pub use orders::Orders;
pub use takeover::{Evidence, Takeover};
pub use tenure::Tenure;
pub use terms::Terms;
