use ragwortgrade_schema::Name;

use super::affinity::ReservedDecoders;
use super::{Endpoint, EngineLimits, Prompt};
use crate::Instant;

/// Cost of using an engine in another data centre, in ms: a network round trip and the price of
/// the transferred bytes.
pub(super) const CROSS_DATA_CENTRE_COST_MS: f64 = 6.0;
/// The same in a large fleet. Daemons there know little of the work in other data centres, whose
/// engines therefore seem idle.
const CROSS_DATA_CENTRE_COST_LARGE_FLEET_MS: f64 = 150.0;
/// The same for the affinity engine of a prefix with a long part in a large fleet. Its load is
/// known from load updates, which the daemons of other data centres send less often.
const CROSS_DATA_CENTRE_COST_AFFINITY_MS: f64 = 20.0;

/// Inputs of the placement of one generation.
#[derive(Clone, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) prompt: &'a Prompt,
    pub(super) affinity_key: Option<u64>,
    /// Data centre of this daemon.
    pub(super) data_centre: &'a Name,
    pub(super) limits: &'a EngineLimits,
    /// Priority at the engine; 0 is the most urgent.
    pub(super) priority: u8,
    /// Whether the request is expected to miss its target.
    pub(super) misses_target: bool,
    /// Weight of the time to prefill a shared part that another engine has cached.
    pub(super) recompute_weight: f64,
    /// Longest pause between events with which streams of the service meet their target, in ms;
    /// `None` without a limit, or if the request is served whatever the pauses.
    pub(super) pause_target_ms: Option<f64>,
    /// Whether the requests of the service are ordered by need, and placed by learned speeds.
    pub(super) is_by_need: bool,
    /// Whether the fleet is so large that data centres mostly use their own engines.
    pub(super) is_large_fleet: bool,
    /// Decode engines that are reserved for long outputs.
    pub(super) reserved_decoders: ReservedDecoders,
    /// Expected length of the output, in tokens.
    pub(super) output_tokens: f64,
    /// Seed of the sample of engines that are compared in a very large fleet; `None` if all are.
    pub(super) sample_seed: Option<u64>,
    pub(super) now: Instant,
}

impl PlacementRequest<'_> {
    /// Returns the cost of using an engine in another data centre, in ms; 0 in the own one.
    pub(super) fn cross_data_centre_cost_ms(
        &self,
        engine: &Endpoint,
        is_affinity_engine: bool,
    ) -> f64 {
        match engine.data_centre == *self.data_centre {
            true => 0.0,
            false if !self.is_large_fleet => CROSS_DATA_CENTRE_COST_MS,
            false if is_affinity_engine => CROSS_DATA_CENTRE_COST_AFFINITY_MS,
            false => CROSS_DATA_CENTRE_COST_LARGE_FLEET_MS,
        }
    }
}
