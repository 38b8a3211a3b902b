//! Model checking of the core protocols of ragwortgrade.
//!
//! The models run the transition functions of `ragwortgrade-policy` themselves; only the
//! platform, the network, the engines and the passing of time are modelled here. Every reachable
//! state of a stated size is visited. Each safety mechanism has a switch, and a model with the
//! switch off must reach a violation.

/// Lease, fencing, takeover and orders.
pub mod authority;
mod check;
/// At-most-once claims.
pub mod claims;
mod size;

pub use check::{Model, Outcome, check};
pub use size::Size;
