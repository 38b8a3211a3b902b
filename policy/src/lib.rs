//! Decision logic of ragwortgrade: routing, placement, role changes, limits, retries, leases,
//! claims and configuration order.
//!
//! This package opens no sockets, starts no threads and reads no clock. Callers pass events and the
//! time and receive decisions. Random numbers come from seeded generators, so every decision is
//! reproducible.

pub mod authority;
pub mod claim;
mod cost_model;
/// Outcomes of routing a request.
pub mod decision;
mod demand_meter;
/// Inputs of the router.
pub mod event;
/// Inputs of the planner.
pub mod fleet;
pub mod gateway;
mod instant;
pub mod limit;
pub mod membership;
mod output_estimate;
/// Roles and model versions of the engines of a data centre.
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
