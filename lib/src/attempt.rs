//! Runs requests on endpoints, with retries. Each attempt has an identity, so that a response can
//! be matched to the attempt that it belongs to. A call of a plain service keeps its identity after
//! an attempt that certainly did not run; every other attempt has its own.

mod completion;
mod failure;
mod identity;
mod incarnations;
mod placement;
mod prober;
mod service_call;
mod sink;
mod trial_reservation;

pub(crate) use completion::{Completion, CompletionOutcome};
pub(crate) use identity::{daemon_tag, random_identity, request_identity};
pub(crate) use placement::Placement;
pub(crate) use prober::Prober;
pub(crate) use service_call::ServiceCall;
pub(crate) use sink::TokenSink;

/// Failed attempts after which a request fails; for a completion, each attempt that sends tokens
/// restarts the count.
const FAILURES_MAX: u32 = 4;
