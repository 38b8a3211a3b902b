use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Outcome of routing one request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the request now.
    Dispatch(Dispatch),
    /// Keep the request in the daemon's queue and route it again at `until`, or earlier when an
    /// endpoint becomes free.
    Wait {
        /// When to route again.
        until: Instant,
    },
    /// Refuse the request; it was not run.
    Refuse(Refusal),
}

/// Where a request goes, and why.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Endpoint that answers the caller.
    pub endpoint: Name,
    /// Engine that computes the prompt's KV cache first; `None` when `endpoint` does it itself.
    pub prefill: Option<Name>,
    /// Priority to pass to the engines; higher goes first. It puts short prompts before long ones
    /// of the same declared priority.
    pub priority: u8,
    /// Why this endpoint was chosen.
    pub reason: Reason,
    /// The candidates compared, for the decision's log line; the chosen one is first.
    pub alternatives: Vec<Alternative>,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It had the lowest expected time to the first token.
    LowestCost,
    /// It holds the request's prefix in its cache.
    CachedPrefix,
    /// The prompt is computed on a prefill engine and decoded on another engine.
    SplitPrefill,
    /// It was the only candidate.
    OnlyCandidate,
}

/// One candidate of a routing decision.
#[derive(Clone, Debug)]
pub struct Alternative {
    /// The candidate endpoint.
    pub endpoint: Name,
    /// Expected time to the first token or answer, plus penalties, in milliseconds.
    pub cost_ms: f32,
}

/// Why a request is refused without running.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Class of the refusal.
    pub cause: Cause,
    /// When a new try may succeed.
    pub retry_after: Option<Duration>,
}

/// Classes of refusals; each has a stable error code towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No candidate can meet the deadline.
    DeadlineUnreachable,
    /// No endpoint serves the model or service.
    NoEndpoint,
    /// The workspace's limit is used up.
    OverLimit,
}
