use std::sync::Arc;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::{CacheEvent, Load};

use crate::Instant;

/// A change that a daemon observed and that affects routing.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint joined, or returned with a new incarnation.
    Joined(Endpoint),
    /// An endpoint left.
    Left {
        /// Identity of the endpoint.
        endpoint: Name,
    },
    /// An endpoint is leaving, or live again.
    Leaving {
        /// Identity of the endpoint.
        endpoint: Name,
        /// Whether the endpoint is leaving and accepts no new work.
        leaving: bool,
    },
    /// The reachability of an endpoint from this daemon changed.
    Reachable {
        /// Identity of the endpoint.
        endpoint: Name,
        /// Whether the endpoint can be reached.
        reachable: bool,
    },
    /// An engine reported its load.
    Reported {
        /// Reported load.
        load: Load,
        /// Time of the report on this daemon's clock.
        observed: Instant,
    },
    /// An engine reported a cache event.
    Cached {
        /// Identity of the engine.
        engine: Name,
        /// The event; earlier ones may be missing.
        event: CacheEvent,
    },
    /// A dispatched request produced its first token.
    FirstToken {
        /// Identity of the request.
        request: u64,
    },
    /// The engine of a remote prefill finished the prompt; the KV cache is being transferred.
    Prefilled {
        /// Identity of the request.
        request: u64,
    },
    /// A dispatched request ended, successfully or not.
    Finished {
        /// Identity of the request.
        request: u64,
        /// Number of output tokens; 0 when the request failed.
        output_tokens: u32,
    },
    /// The number of live daemons that route to the same endpoints changed.
    Daemons {
        /// Number of live daemons, including this one.
        count: u32,
    },
    /// A new configuration is in force.
    Configured(Arc<Configuration>),
}

/// An endpoint that requests can be routed to.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identity of the endpoint.
    pub id: Name,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Plain service that it runs; `None` for an engine.
    pub service: Option<Name>,
}
