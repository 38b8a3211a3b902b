use std::sync::Arc;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::{CacheEvent, Load};

use crate::Instant;

/// Something that a daemon learned and that routing takes into account.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint appeared or came back with a new incarnation.
    Joined(Endpoint),
    /// An endpoint is gone.
    Left {
        /// The endpoint.
        endpoint: Name,
    },
    /// An endpoint is leaving (`true`) or again live.
    Leaving {
        /// The endpoint.
        endpoint: Name,
        /// Whether it takes no new work.
        leaving: bool,
    },
    /// An endpoint can or cannot be reached from this daemon.
    Reachable {
        /// The endpoint.
        endpoint: Name,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// An engine's report; `observed` is when the engine made it, on this daemon's clock.
    Reported {
        /// The report.
        load: Load,
        /// When the engine made the report.
        observed: Instant,
    },
    /// A cache event of an engine.
    Cached {
        /// The engine.
        engine: Name,
        /// The event; earlier ones may be missing.
        event: CacheEvent,
    },
    /// A dispatched request produced its first token.
    FirstToken {
        /// Identity of the request.
        request: u64,
    },
    /// The prefill engine of a split request finished the prompt; the KV cache is on its way.
    Prefilled {
        /// Identity of the request.
        request: u64,
    },
    /// A dispatched request ended, for whatever reason.
    Finished {
        /// Identity of the request.
        request: u64,
        /// Tokens that it produced, 0 when it failed.
        output_tokens: u32,
    },
    /// The number of live daemons that route to the same endpoints, this one included.
    Daemons {
        /// The number of live daemons.
        count: u32,
    },
    /// A new configuration is in force.
    Configured(Arc<Configuration>),
}

/// An endpoint as routing knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: Name,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Plain service that it runs; `None` for an engine.
    pub service: Option<Name>,
}
