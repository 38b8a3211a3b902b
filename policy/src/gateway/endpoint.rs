use std::net::SocketAddr;
use std::time::Duration;

use ragwortgrade_schema::Name;

/// A registered endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity under which the endpoint is registered.
    pub id: Name,
    /// Name of the service that it runs.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: EndpointState,
    /// Remaining time for which it is slow after its start, as last registered.
    pub cold_remaining: Duration,
    /// Stage of a generation that it serves; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Unix time of its start in ms. A restart under the same identity changes it.
    pub started_ms: Option<u64>,
    /// Whether it runs at the lower price of a worker that the platform may reclaim.
    pub is_spot: bool,
    /// Remaining time of an endpoint that the platform reclaims, as last registered.
    pub leaves_in: Option<Duration>,
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new work.
    Ready,
    /// Finishes its current work and then leaves.
    Draining,
}

/// Stage of a generation that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Prefill for other engines.
    Prefill,
    /// Decoding, and local prefill at a lower speed.
    Decode,
}
