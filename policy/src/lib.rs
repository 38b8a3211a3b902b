//! The decisions of ragwortgrade: routing, placement, role changes, limits, retries, leases,
//! claims and configuration order.
//!
//! Nothing here opens a socket, starts a thread or reads a clock. Events and the time go in,
//! decisions come out, and random numbers come from a generator whose seed is passed in, so every
//! decision can be repeated, measured and checked.

/// Authority over the engines of a data centre.
pub mod authority;
pub mod claim;
mod cost_model;
/// What routing decides about a request.
pub mod decision;
mod demand_meter;
/// What routing takes into account.
pub mod event;
/// What the planner takes into account.
pub mod fleet;
pub mod gateway;
mod instant;
pub mod limit;
pub mod membership;
mod output_estimate;
/// Roles and placement of the engines of a data centre.
pub mod planner;
mod prefix_index;
mod rate;
pub mod rendezvous;
mod request;
pub mod retry;
pub mod revision;
mod router;
mod shares;
pub mod suspect;

pub use cost_model::CostModel;
pub use fleet::Fleet;
pub use instant::Instant;
pub use planner::Planner;
pub use request::Request;
pub use router::Router;
