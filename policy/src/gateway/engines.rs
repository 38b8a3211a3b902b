use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admission::{
    TargetClass, exceeded_limit, may_wait, misses_target_by_size, priority, refusal,
};
use super::affinity::{ReservedDecoders, SMALL_FLEET_MAX, affinity_engine};
use super::engine_load::EngineLoad;
use super::engine_sample::{COMPARED_MAX, sampled};
use super::engine_speeds::EngineSpeeds;
use super::latency_model::LatencyModels;
use super::need_order::{NeedOrder, has_spare_time};
use super::output_lengths::OutputLengths;
use super::peer_loads::PeerLoads;
use super::placement_request::PlacementRequest;
use super::prefill_candidate::PrefillCandidate;
use super::unsent_parts::{CachedPart, UnsentParts};
use super::{
    Endpoint, EngineLimits, EngineWork, Placement, Prompt, Refusal, Route, Speed, Stage, WaitLimit,
};
use crate::Instant;

mod costs;
mod speeds;
mod work;

/// Weight of the time to prefill shared parts that another engine has cached. It exceeds 1 because
/// other requests lose that time too.
const RECOMPUTE_WEIGHT: f64 = 2.0;
/// The same for prompts that share at least [`SHARED_TOKENS_MIN`] tokens. An engine that prefills
/// them in addition to the affinity engine caches them too and is selected for further requests.
const RECOMPUTE_WEIGHT_HIGH: f64 = 8.0;
/// Shared tokens from which the higher weight applies. At the default speeds, their prefill takes
/// 5 ms, as much as a decode step with 30 sequences.
const SHARED_TOKENS_MIN: u32 = 500;
/// Longest queue of an engine that counts as idle: one or two decode steps.
const IDLE_QUEUE_MAX: Duration = Duration::from_millis(10);
/// Ratio of the decode step time to that of an idle engine above which the engine accepts no
/// request that misses its target. Beyond it, the longest outputs need most of the time that
/// their callers allow.
const SLOWED_STEP_RATIO: f64 = 1.25;

/// Engines and the work of all daemons on them. Chooses where a generation runs.
///
/// The other daemons report their own work within a fraction of a second. Load that these reports
/// do not explain, such as a slow engine, shows in the delays of this daemon's own requests. All
/// daemons prefer the same engine, the affinity engine, for requests with the same shared prefix.
/// In a large fleet, most prefixes have an affinity engine in each data centre.
#[derive(Debug)]
pub struct Engines {
    speed: Speed,
    latencies: LatencyModels,
    loads: HashMap<Name, EngineLoad>,
    speeds: EngineSpeeds,
    need_order: NeedOrder,
    output_lengths: OutputLengths,
    peers: PeerLoads,
    /// Shared parts that were sent to engines and not yet reported to other daemons.
    unsent_parts: UnsentParts,
    /// Order in which this daemon prefers equally good engines.
    order_seed: u64,
}

impl Engines {
    /// Creates an empty state for engines with these speeds.
    #[must_use]
    pub fn open(speed: Speed) -> Self {
        Self {
            speed,
            latencies: LatencyModels::new(&speed),
            loads: HashMap::new(),
            speeds: EngineSpeeds::default(),
            need_order: NeedOrder::default(),
            output_lengths: OutputLengths::default(),
            peers: PeerLoads::default(),
            unsent_parts: UnsentParts::default(),
            order_seed: 0,
        }
    }

    /// Sets the order of preference among equally good engines. Daemons with different seeds do not
    /// all take the same one before they learn of each other's requests.
    #[must_use]
    pub fn with_order_seed(self, order_seed: u64) -> Self {
        Self { order_seed, ..self }
    }

    /// Applies the routes of a new configuration, whose ranks and targets determine the order of
    /// requests.
    pub fn apply_routes<'a>(&mut self, routes: impl IntoIterator<Item = &'a Route>) {
        self.need_order = NeedOrder::new(routes);
    }

    /// Chooses where a generation runs.
    ///
    /// `time_left` is the time until the caller's deadline or the route's time limit. `wait_limit`
    /// is that of the route's [`SizeShares`](super::SizeShares). Engines in `tried` are excluded.
    ///
    /// # Errors
    ///
    /// Returns the refusal when there is no decode engine, when the request would wait too long, or
    /// when no engine is expected to answer in time.
    #[expect(clippy::too_many_arguments, reason = "inputs of one decision")]
    pub fn place(
        &self,
        candidates: &[&Endpoint],
        prompt: &Prompt,
        route: &Route,
        limits: &EngineLimits,
        time_left: Duration,
        wait_limit: WaitLimit,
        tried: &[Name],
        data_centre: &Name,
        now: Instant,
    ) -> Result<Placement, Refusal> {
        let mut request = self.request(candidates, prompt, route, limits, data_centre, now);
        let of_stage = |stage| {
            candidates
                .iter()
                .copied()
                .filter(move |it| it.stage == Some(stage) && !tried.contains(&it.id))
        };
        let mut chosen = self.choose(of_stage, &request);
        let is_by_need = self.need_order.applies_to(route);
        let exceeded = |placement: &Placement| {
            exceeded_limit(placement, route, time_left, wait_limit, is_by_need)
        };
        // A more urgent rank lets others go first only while it has time to spare.
        let rank_priority = priority(route, TargetClass::Met);
        let needs_rank = |placement: &Placement| {
            request.priority > rank_priority
                && (!has_spare_time(placement.expected, route) || exceeded(placement).is_some())
        };
        if chosen.as_ref().is_some_and(needs_rank) {
            request.priority = rank_priority;
            chosen = self.choose(of_stage, &request);
        }
        // A sample without an engine that has room says nothing about the others.
        let exceeds = |placement: &Placement| exceeded(placement).is_some();
        if candidates.len() > COMPARED_MAX && chosen.as_ref().is_some_and(exceeds) {
            request.sample_seed = None;
            chosen = self.choose(of_stage, &request);
        }
        let Some(placement) = chosen else {
            return Err(Refusal {
                reason: "no_engine",
                estimate: None,
                retry_after: Duration::from_millis(500),
            });
        };
        let Some(limit) = exceeded(&placement) else {
            return Ok(placement);
        };
        // Before a queue causes a refusal, the request goes to an idle engine, even if that engine
        // must prefill the shared parts again.
        let without_recompute_cost = PlacementRequest {
            recompute_weight: 0.0,
            pause_target_ms: None,
            ..request.clone()
        };
        let idle_placement = self
            .choose(of_stage, &without_recompute_cost)
            .filter(|placement| placement.queue <= IDLE_QUEUE_MAX)
            .filter(|placement| exceeded(placement).is_none());
        if let Some(placement) = idle_placement {
            return Ok(placement);
        }
        let missed_target = PlacementRequest {
            priority: priority(route, TargetClass::Missed),
            misses_target: true,
            ..request
        };
        let late_placement = self
            .choose(of_stage, &missed_target)
            .filter(|placement| may_wait(placement, route, time_left));
        match late_placement {
            None => Err(refusal(&placement, route, limit, "too_long")),
            Some(late_placement) if self.is_slowed(&late_placement.decode, now) => {
                Err(refusal(&placement, route, limit, "decode_engine_slowed"))
            }
            Some(late_placement) => Ok(late_placement),
        }
    }

    /// Chooses the decode engine for a prompt that was prefilled on `prefill` as placed; `None` if
    /// there is none. Engines in `excluded` are not considered.
    ///
    /// During the prefill other requests may have taken the free slots of the engine that seemed
    /// best at the placement.
    #[expect(clippy::too_many_arguments, reason = "inputs of one decision")]
    #[must_use]
    pub fn decoder_after_prefill(
        &self,
        placement: &Placement,
        prefill: &Endpoint,
        candidates: &[&Endpoint],
        prompt: &Prompt,
        route: &Route,
        limits: &EngineLimits,
        excluded: &[Name],
        data_centre: &Name,
        now: Instant,
    ) -> Option<Name> {
        let request = PlacementRequest {
            priority: placement.priority,
            ..self.request(candidates, prompt, route, limits, data_centre, now)
        };
        let decoders = candidates.iter().copied();
        let decoders =
            decoders.filter(|it| it.stage == Some(Stage::Decode) && !excluded.contains(&it.id));
        let (decoder, _) = self.decoder_for(prefill, decoders, &request)?;
        Some(decoder.id.clone())
    }

    fn request<'a>(
        &self,
        candidates: &'a [&'a Endpoint],
        prompt: &'a Prompt,
        route: &Route,
        limits: &'a EngineLimits,
        data_centre: &'a Name,
        now: Instant,
    ) -> PlacementRequest<'a> {
        let micros = now.since(Instant::default()).as_micros();
        // In other services these costs move prefills away from the engines that hold shared parts.
        let is_by_need = self.need_order.applies_to(route);
        let pause_target = route.pause_target.filter(|_| is_by_need);
        let output_tokens = if is_by_need {
            self.output_lengths.expected(&route.name, prompt)
        } else {
            f64::from(prompt.output_tokens_hint.unwrap_or_default())
        };
        PlacementRequest {
            prompt,
            affinity_key: prompt.affinity_key(),
            data_centre,
            limits,
            priority: self.met_priority(prompt, route),
            misses_target: false,
            recompute_weight: self.recompute_weight(prompt, route),
            is_by_need,
            pause_target_ms: pause_target.map(|pause| pause.as_secs_f64() * 1e3),
            is_large_fleet: candidates.len() > SMALL_FLEET_MAX,
            reserved_decoders: ReservedDecoders::new(candidates),
            output_tokens,
            sample_seed: Some(xxh3_64_with_seed(&micros.to_le_bytes(), self.order_seed)),
            now,
        }
    }

    /// Returns the priority of a request that can meet its target: by need where ranks and targets
    /// contradict each other, otherwise by rank.
    fn met_priority(&self, prompt: &Prompt, route: &Route) -> u8 {
        let by_need = self.need_order.priority(route, self.own_ms(prompt));
        by_need.unwrap_or_else(|| priority(route, TargetClass::Met))
    }

    /// Returns the time until the first event of a prompt on an engine of median speed without other
    /// work and with the shared parts in its cache, in ms.
    fn own_ms(&self, prompt: &Prompt) -> f64 {
        let of_prefill = |is_local_prefill| {
            let model = self.latencies.for_prefill(is_local_prefill);
            let shared_tokens = prompt.shared_tokens();
            let prefill_ms = self.configured_prefill_ms(prompt, shared_tokens, is_local_prefill);
            model.overhead_ms + model.factor * prefill_ms
        };
        of_prefill(true).min(of_prefill(false))
    }

    /// Returns whether the engine's sequences slow each other down so much that a further request
    /// that misses its own target would make others miss theirs.
    fn is_slowed(&self, id: &Name, now: Instant) -> bool {
        let sequences = self.total_work(id, now).sequences;
        let idle_ms = self.speed.step_ms(0, 0.0);
        self.speed.step_ms(sequences, 0.0) > idle_ms * SLOWED_STEP_RATIO
    }

    /// Returns the weight of the time to prefill shared parts again.
    ///
    /// A prompt that misses its target by size gets the lower weight and so waits less for its
    /// affinity engine: the shared parts are a small fraction of it, and waiting would get it
    /// refused more often than others.
    fn recompute_weight(&self, prompt: &Prompt, route: &Route) -> f64 {
        let prefill_ms =
            self.latencies.remote_prefill.factor * self.speed.prefill_ms(prompt.tokens, 0, false);
        if prompt.shared_tokens() < SHARED_TOKENS_MIN || misses_target_by_size(prefill_ms, route) {
            RECOMPUTE_WEIGHT
        } else {
            RECOMPUTE_WEIGHT_HIGH
        }
    }

    /// Chooses the cheapest placement, with local or remote prefill; `None` without a decode
    /// engine.
    fn choose<'a, I: Iterator<Item = &'a Endpoint>>(
        &self,
        engines: impl Fn(Stage) -> I,
        request: &PlacementRequest<'_>,
    ) -> Option<Placement> {
        let local = self.cheapest_prefill(engines(Stage::Decode), request, true)?;
        let remote = self.cheapest_prefill(engines(Stage::Prefill), request, false);
        Some(self.local_or_remote(local, remote, engines(Stage::Decode), request))
    }

    /// Chooses between the best engine for local prefill and the best one for remote prefill. A
    /// request that misses its target always takes the remote prefill if there is one.
    fn local_or_remote<'a>(
        &self,
        local: PrefillCandidate<'a>,
        remote: Option<PrefillCandidate<'a>>,
        decoders: impl Iterator<Item = &'a Endpoint>,
        request: &PlacementRequest<'_>,
    ) -> Placement {
        let remote = remote.and_then(|prefill| {
            let (decoder, wait) = self.decoder_for(prefill.engine, decoders, request)?;
            let transfer = request.limits.transfer_time(request.prompt.tokens);
            let overhead_delta_ms = self.latencies.remote_prefill.overhead_ms
                - self.latencies.local_prefill.overhead_ms;
            let transfer_ms = transfer.as_secs_f64() * 1e3 + overhead_delta_ms;
            let cost_ms = prefill.cost_ms + wait.cost_ms + transfer_ms;
            let latency_ms = prefill.latency_ms + wait.latency_ms + transfer_ms;
            let queue_ms = prefill.queue_ms() + wait.latency_ms;
            let plan = (latency_ms, queue_ms, prefill, Some(decoder));
            (request.misses_target || cost_ms < local.cost_ms).then_some(plan)
        });
        let (latency_ms, queue_ms, prefill, decoder) = match remote {
            Some(plan) => plan,
            None => (local.latency_ms, local.queue_ms(), local, None),
        };
        let engine = prefill.engine.id.clone();
        let expected_ms = latency_ms + self.latencies.local_prefill.overhead_ms;
        Placement {
            prefill: decoder.is_some().then(|| engine.clone()),
            decode: decoder.map_or(engine, |decoder| decoder.id.clone()),
            expected: Duration::from_secs_f64(expected_ms.max(0.0) / 1e3),
            queue: Duration::from_secs_f64(queue_ms / 1e3),
            prefill_ms: prefill.prefill_ms,
            cached_tokens: prefill.cached_tokens,
            priority: request.priority,
        }
    }

    /// Returns the engine with the lowest prefill cost.
    fn cheapest_prefill<'a>(
        &self,
        engines: impl Iterator<Item = &'a Endpoint>,
        request: &PlacementRequest<'_>,
        is_local_prefill: bool,
    ) -> Option<PrefillCandidate<'a>> {
        let engines: Vec<&Endpoint> = engines.collect();
        let is_affinity_per_data_centre =
            request.is_large_fleet && (is_local_prefill || !request.prompt.shares_long_part());
        let data_centre = is_affinity_per_data_centre.then_some(request.data_centre);
        let affinity_engine = request
            .affinity_key
            .and_then(|part| affinity_engine(&engines, part, data_centre));
        let mut compared = sampled(&engines, request);
        if let Some(affinity_engine) = affinity_engine
            && compared.len() < engines.len()
        {
            compared.push(affinity_engine);
        }
        let candidates = compared.into_iter().map(|engine| {
            let is_affinity_engine = affinity_engine.is_some_and(|it| it.id == engine.id);
            self.prefill_candidate(engine, request, is_local_prefill, is_affinity_engine)
        });
        candidates.min_by(|left, right| {
            left.cost_ms
                .total_cmp(&right.cost_ms)
                .then_with(|| self.order(left.engine).cmp(&self.order(right.engine)))
        })
    }

    /// Returns the position of an engine in the order of equally good ones.
    fn order(&self, engine: &Endpoint) -> u64 {
        xxh3_64_with_seed(engine.id.as_bytes(), self.order_seed)
    }

    /// Returns whether there are shared parts to report to the daemons that receive all parts.
    #[must_use]
    pub fn has_unsent_local(&self) -> bool {
        self.unsent_parts.has_local()
    }

    /// Returns whether there are long parts to report to other data centres.
    #[must_use]
    pub fn has_unsent_remote(&self) -> bool {
        self.unsent_parts.has_remote()
    }

    /// Takes the shared parts that were sent to engines since the last call, for the daemons that
    /// receive all parts.
    pub fn take_unsent_local(&mut self) -> Vec<CachedPart> {
        self.unsent_parts.take_local()
    }

    /// Takes the long parts that were sent to engines since the last call, for other data centres.
    pub fn take_unsent_remote(&mut self) -> Vec<CachedPart> {
        self.unsent_parts.take_remote()
    }

    /// Records shared parts that another daemon sent to engines.
    pub fn record_peer_parts(&mut self, parts: Vec<CachedPart>, now: Instant) {
        for cached in parts {
            let load = self.loads.entry(cached.engine).or_default();
            load.record_parts([cached.part], now);
        }
    }

    /// Returns this daemon's own work on each engine, for the other daemons.
    #[must_use]
    pub fn own_work(&self, now: Instant) -> Vec<(Name, EngineWork)> {
        let loads = self.loads.iter();
        let work = loads.map(|(id, load)| (id.clone(), load.own_work(now)));
        work.filter(|(_, work)| *work != EngineWork::default())
            .collect()
    }

    /// Replaces the work that another daemon reported earlier.
    pub fn update_peer(&mut self, peer: &Name, work: Vec<(Name, EngineWork)>, now: Instant) {
        self.peers.replace(peer, work, now);
    }

    /// Removes the state of an engine that a restart invalidates.
    pub fn engine_restarted(&mut self, id: &Name) {
        if let Some(load) = self.loads.get_mut(id) {
            load.reset();
        }
        self.speeds.remove(id);
    }

    /// Removes engines that are no longer registered, unless this daemon has sequences there.
    pub fn retain(&mut self, is_registered: impl Fn(&Name) -> bool) {
        self.loads
            .retain(|id, load| load.sequences > 0 || is_registered(id));
        self.speeds.retain(is_registered);
    }
}
