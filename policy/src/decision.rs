use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Outcome of routing one request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the request now.
    Dispatch(Dispatch),
    /// Keep the request in the daemon's queue and route it again at `until`, or earlier when an
    /// endpoint becomes free. [`Router`](crate::Router) does not return it.
    Wait {
        /// Time to route the request again.
        until: Instant,
    },
    /// Refuse the request, which has not run.
    Refuse(Refusal),
}

/// Where a request goes, and why.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Endpoint that answers the caller.
    pub endpoint: Name,
    /// Engine that prefills the prompt; `None` when `endpoint` does it itself.
    pub prefill: Option<Name>,
    /// Priority at the endpoint; the higher number goes first. Within a declared priority, short
    /// prompts precede long ones.
    pub priority: u8,
    /// Why this endpoint was selected.
    pub reason: Reason,
    /// Cheapest candidates for the decision's log line, starting with the selected one.
    pub alternatives: Vec<Alternative>,
}

/// Why an endpoint was selected. Of several reasons, the first applies in the order only candidate,
/// cached prefix, remote prefill, lowest cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The endpoint has the lowest cost, see [`Alternative::cost_ms`].
    LowestCost,
    /// The endpoint has the lowest cost, and part of the prompt is cached on the engine that
    /// prefills.
    CachedPrefix,
    /// Remote prefill has the lowest cost: one engine prefills the prompt and another one decodes.
    SplitPrefill,
    /// The endpoint was the only candidate.
    OnlyCandidate,
}

/// One candidate of a routing decision.
#[derive(Clone, Debug)]
pub struct Alternative {
    /// Endpoint that would answer the caller; with a remote prefill, the engine that would prefill.
    pub endpoint: Name,
    /// Expected time to the first token of a model request, or the network round trip of a plain
    /// call, plus penalties, in milliseconds.
    pub cost_ms: f32,
}

/// Why a request is refused without running.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: Cause,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Causes of refusals. Each has a stable error code for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The cheapest candidate cannot meet the deadline, or not early enough while another service
    /// reclaims its share.
    DeadlineUnreachable,
    /// No available endpoint serves the model or service, apart from those to avoid.
    NoEndpoint,
    /// The workspace's limit is exhausted. [`Router`](crate::Router) does not return it, since the
    /// daemon checks limits before it routes.
    OverLimit,
}
