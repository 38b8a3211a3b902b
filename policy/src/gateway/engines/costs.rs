//! Waits and costs of the candidates of a placement.

use super::super::engine_load::EngineLoad;
use super::super::engine_sample::sampled;
use super::super::engine_speeds::SpeedKind;
use super::super::placement_request::{CROSS_DATA_CENTRE_COST_MS, PlacementRequest};
use super::super::prefill_candidate::{PrefillCandidate, WaitEstimate, slot_wait_ms};
use super::super::{Endpoint, EngineWork};
use super::Engines;

/// Cost of a failure rate of 1, in ms: about the time after which a caller abandons its request.
const FAILURE_COST_MS: f64 = 2_000.0;
/// Divisor that converts an engine's remaining cold time into waiting time. A cold engine works,
/// only more slowly.
const COLD_DIVISOR: f64 = 10.0;
/// Delay that a running sequence adds to the first event of another one, in ms: several decode
/// steps, each lengthened by one sequence.
const SEQUENCE_DELAY_MS: f64 = 0.5;
/// Additional weight of the time of a local prefill on an engine that is reserved for long outputs,
/// since each of its outputs is delayed by it.
const RESERVED_PREFILL_WEIGHT: f64 = 3.0;
/// Fraction of time for which a reserved decode engine is assumed to run local prefills.
const RESERVED_PREFILL_FRACTION: f64 = 0.1;
/// Fraction of time for which other decode engines are assumed to run local prefills under high load.
pub(super) const UNRESERVED_PREFILL_FRACTION: f64 = 0.4;
/// Weight of the time of the whole output. The first event, of weight 1, matters more to callers.
const OUTPUT_WEIGHT: f64 = 0.1;
/// Ranks paused engines behind all others but leaves them usable when there is no other.
const PAUSED_COST_MS: f64 = 1e5;
/// Fraction of the permitted pause from which an expected one may exceed it: prefills of several daemons
/// that do not know of each other meet on an engine.
const PAUSE_RISK_FRACTION: f64 = 0.3;
/// Largest number of paused streams that count. With more, the cost exceeds that of a refusal.
const PAUSED_SEQUENCES_MAX: u32 = 5;

/// What a daemon knows of an engine at a decision.
struct EngineState<'a> {
    engine: &'a Endpoint,
    load: Option<&'a EngineLoad>,
    /// Known work of all daemons.
    work: EngineWork,
    /// Decode speed as a factor of the configured time, and of the fleet's median.
    slowness: f64,
    relative_slowness: f64,
    /// Factor of the time for which sequences hold the engine's slots.
    slot_factor: f64,
}

impl Engines {
    fn state<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &PlacementRequest<'_>,
    ) -> EngineState<'a> {
        let load = self.loads.get(&engine.id);
        let mut work = self.peers.total(&engine.id, request.now);
        if let Some(load) = load {
            work.add(&load.own_work(request.now));
        }
        if !request.is_by_need {
            let slowness = load.map_or(1.0, EngineLoad::slowness);
            return EngineState {
                engine,
                load,
                work,
                slowness,
                relative_slowness: slowness,
                slot_factor: 1.0,
            };
        }
        let relative_slowness =
            self.speeds
                .relative_factor(&engine.id, SpeedKind::Decode, request.now);
        EngineState {
            engine,
            load,
            work,
            slowness: relative_slowness * self.speeds.median_factor(SpeedKind::Decode),
            relative_slowness,
            slot_factor: relative_slowness,
        }
    }

    pub(super) fn prefill_candidate<'a>(
        &self,
        engine: &'a Endpoint,
        request: &PlacementRequest<'_>,
        is_local_prefill: bool,
        is_affinity_engine: bool,
    ) -> PrefillCandidate<'a> {
        let state = self.state(engine, request);
        let shared = request.prompt.shared();
        let cached_tokens = state
            .load
            .map_or(0, |load| load.cached_tokens(shared, request.now));
        let shared_tokens = request.prompt.shared_tokens();
        let recomputed_tokens = if is_affinity_engine {
            0
        } else {
            shared_tokens.saturating_sub(cached_tokens)
        };
        // Decode engines are observed by their outputs; samples of their prefills are rarer.
        let relative_factor = if is_local_prefill || !request.is_by_need {
            state.relative_slowness
        } else {
            self.speeds
                .relative_factor(&engine.id, SpeedKind::Prefill, request.now)
        };
        let prefill_ms = relative_factor
            * self.latencies.for_prefill(is_local_prefill).factor
            * self
                .speed
                .prefill_ms(request.prompt.tokens, cached_tokens, is_local_prefill);
        let mut local_cost_ms = 0.0;
        if is_local_prefill {
            local_cost_ms = self.output_cost_ms(&state, request)
                + self.pause_cost_ms(&state, prefill_ms, request);
            if request.reserved_decoders.contains(&engine.id) {
                local_cost_ms += prefill_ms * RESERVED_PREFILL_WEIGHT;
            }
        }
        let mut wait = estimate_wait(&state, request);
        wait.cost_ms += request.cross_data_centre_cost_ms(engine, is_affinity_engine);
        let recompute_ms = f64::from(recomputed_tokens) / self.speed.prefill_tokens_per_ms
            * request.recompute_weight;
        PrefillCandidate {
            engine,
            latency_ms: prefill_ms + wait.latency_ms,
            cost_ms: prefill_ms + local_cost_ms + recompute_ms + wait.cost_ms,
            prefill_ms,
            cached_tokens,
        }
    }

    /// Returns the cost of the pauses that a local prefill causes in the streams of an engine, in ms.
    ///
    /// Each chunk of a prefill lengthens one decode step, so an event may be delayed by all prefills
    /// that the engine still has to do.
    fn pause_cost_ms(
        &self,
        state: &EngineState<'_>,
        prefill_ms: f64,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let Some(target_ms) = request.pause_target_ms else {
            return 0.0;
        };
        let work = &state.work;
        let event_ms = f64::from(request.limits.event_tokens)
            * self.speed.step_ms(work.sequences, 0.0)
            * state.slowness;
        let pause_ms = event_ms + work.prefill_ms.iter().sum::<f64>() + prefill_ms;
        let risk_ms = target_ms * PAUSE_RISK_FRACTION;
        let risk = ((pause_ms - risk_ms) / (target_ms - risk_ms)).clamp(0.0, 1.0);
        let sequences = f64::from(work.sequences.min(PAUSED_SEQUENCES_MAX));
        risk * sequences * target_ms
    }

    /// Returns the cost of decoding the whole output on an engine, in ms.
    fn output_cost_ms(&self, state: &EngineState<'_>, request: &PlacementRequest<'_>) -> f64 {
        let prefill_fraction = if request.reserved_decoders.contains(&state.engine.id) {
            RESERVED_PREFILL_FRACTION
        } else {
            UNRESERVED_PREFILL_FRACTION
        };
        let step_ms = self.speed.step_ms(state.work.sequences, prefill_fraction) * state.slowness;
        request.output_tokens * step_ms * OUTPUT_WEIGHT
    }

    /// Returns the engine that decodes after a remote prefill on `prefill`.
    pub(super) fn decoder_for<'a>(
        &self,
        prefill: &Endpoint,
        decoders: impl Iterator<Item = &'a Endpoint>,
        request: &PlacementRequest<'_>,
    ) -> Option<(&'a Endpoint, WaitEstimate)> {
        let wait = |engine: &Endpoint| {
            let state = self.state(engine, request);
            let mut wait = estimate_wait(&state, request);
            wait.cost_ms += request.cross_data_centre_cost_ms(engine, false);
            if engine.data_centre != prefill.data_centre {
                wait.cost_ms += CROSS_DATA_CENTRE_COST_MS;
            }
            wait.cost_ms += self.output_cost_ms(&state, request);
            wait
        };
        let decoders: Vec<&Endpoint> = decoders.collect();
        let compared = sampled(&decoders, request).into_iter();
        compared
            .map(|engine| (engine, wait(engine)))
            .min_by(|left, right| {
                left.1
                    .cost_ms
                    .total_cmp(&right.1.cost_ms)
                    .then_with(|| self.order(left.0).cmp(&self.order(right.0)))
            })
    }
}

/// Estimates the wait until an engine starts a request.
fn estimate_wait(state: &EngineState<'_>, request: &PlacementRequest<'_>) -> WaitEstimate {
    let EngineState { engine, work, .. } = state;
    let cold_ms = engine.cold_remaining.as_secs_f64() * 1e3 / COLD_DIVISOR;
    let mut latency_ms = work.ahead_ms(request.priority) + cold_ms;
    let mut cost_ms = f64::from(work.sequences) * SEQUENCE_DELAY_MS;
    latency_ms += slot_wait_ms(work.sequences, engine.slots) * state.slot_factor;
    if let Some(load) = state.load {
        latency_ms += load.delay_ms(request.priority, request.now);
        cost_ms += load.health.failure_rate() * FAILURE_COST_MS;
        if !load.health.is_usable(request.now) {
            cost_ms += PAUSED_COST_MS;
        }
    }
    WaitEstimate {
        latency_ms,
        cost_ms: latency_ms + cost_ms,
    }
}
