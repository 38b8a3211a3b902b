use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::admission::{Class, is_late_by_size, may_wait, priority, refusal};
use super::affinity::{SHARED_HOMES_MAX, calm, home};
use super::demand::{Demand, REMOTE_MS};
use super::engine_load::EngineLoad;
use super::offer::{Offer, Waiting, slot_wait_ms};
use super::pace::Paces;
use super::peer_loads::PeerLoads;
use super::untold::{Sent, Untold};
use super::{Endpoint, EngineLimits, Placement, Prompt, Refusal, Route, Share, Speed, Stage, Work};
use crate::Instant;

/// Cost of a failure rate of 1, in ms: about the time that a caller waits before it leaves.
const FAILURE_MS: f64 = 2_000.0;
/// Divisor of the rest of an engine's cold time that counts as waiting: the engine works meanwhile,
/// only more slowly.
const COLD_PART: f64 = 10.0;
/// Delay that a running sequence adds to another one's first event, in ms: some decode steps, each
/// longer by the time of a sequence.
const SEQUENCE_MS: f64 = 0.5;
/// Weight of reading shared parts that another engine holds, against the time it takes: the time is
/// lost for other requests too.
const REREAD_WEIGHT: f64 = 2.0;
/// The same for prompts that share much: an engine that reads it beside the home keeps it too and
/// draws further requests away. Rounds on the users' bench are in `docs/policy.md`.
const REREAD_WEIGHT_LONG: f64 = 8.0;
/// Shared tokens from which on a prompt shares much: reading them takes 5 ms, as much as a decode
/// step with some sequences.
const SHARED_TOKENS_MIN: u32 = 500;
/// Longest wait at an engine that counts as idle: a decode step or two.
const IDLE_QUEUE: Duration = Duration::from_millis(10);
/// Weight of reading a prompt at an engine that is kept for long outputs, against the time it takes:
/// each of its outputs waits as long.
const CALM_READ_WEIGHT: f64 = 3.0;
/// Part of the time in which an engine for long outputs reads a prompt in place.
const CALM_READING: f64 = 0.1;
/// Part of the time in which the other decode engines do; of a loaded day on both deployments.
const BUSY_READING: f64 = 0.4;
/// Shortest output that shows how fast an engine is: eight events of ten tokens.
const OUTPUT_TOKENS_MIN: u32 = 80;
/// Weight of the time of the whole output against that of the first event, which callers notice
/// most.
const OUTPUT_WEIGHT: f64 = 0.1;
/// Time of a decode step, against one without other sequences, from which on an engine takes no
/// request that is late: outputs of the longest kinds then take most of their callers' time.
const SLOWED_STEPS: f64 = 1.25;
/// Keeps paused engines behind all others, yet usable when there is no other.
const PAUSED_MS: f64 = 1e5;

/// Engines and what the daemons have running on them; chooses where a generation runs.
///
/// The other daemons tell their own work within a fraction of a second; what they do not explain,
/// such as a slow engine, shows in the delays of the own answers. Requests with the same shared
/// prefix go to the same engine from every daemon.
#[derive(Debug)]
pub struct Engines {
    speed: Speed,
    paces: Paces,
    loads: HashMap<Name, EngineLoad>,
    peers: PeerLoads,
    /// Shared parts that were sent to engines and that others have not been told of yet.
    untold: Untold,
}

impl Engines {
    /// Opens the record with the speeds of the deployment's engines.
    #[must_use]
    pub fn open(speed: Speed) -> Self {
        Self {
            speed,
            paces: Paces::new(&speed),
            loads: HashMap::new(),
            peers: PeerLoads::default(),
            untold: Untold::default(),
        }
    }

    /// Chooses where a generation runs.
    ///
    /// `left` is the time until the caller's deadline, `tried` are engines that are left out.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no engine can be expected to answer in time.
    #[expect(clippy::too_many_arguments, reason = "inputs of one decision")]
    pub fn place(
        &self,
        candidates: &[&Endpoint],
        prompt: &Prompt,
        route: &Route,
        limits: &EngineLimits,
        left: Duration,
        tried: &[Name],
        data_centre: &Name,
        now: Instant,
    ) -> Result<Placement, Refusal> {
        let demand = Demand {
            prompt,
            affinity: prompt.affinity(),
            data_centre,
            limits,
            priority: priority(route, Class::OnTime),
            is_late: false,
            reread_weight: self.reread_weight(prompt, route),
            is_large: candidates.len() > SHARED_HOMES_MAX,
            calm: calm(candidates),
            now,
        };
        let free = |stage| {
            candidates
                .iter()
                .copied()
                .filter(move |it| it.stage == Some(stage) && !tried.contains(&it.id))
        };
        let Some(placement) = self.choose(free, &demand) else {
            return Err(Refusal {
                reason: "no_engine",
                expected: None,
                retry_after: Duration::from_millis(500),
            });
        };
        let Some(refused) = refusal(&placement, route, left) else {
            return Ok(placement);
        };
        // No engine stands idle while a request waits for a queue elsewhere.
        let eager = Demand {
            reread_weight: 0.0,
            ..demand.clone()
        };
        let idle = self
            .choose(free, &eager)
            .filter(|placement| placement.queue <= IDLE_QUEUE)
            .filter(|placement| refusal(placement, route, left).is_none());
        if let Some(placement) = idle {
            return Ok(placement);
        }
        let late = Demand {
            priority: priority(route, Class::Late),
            is_late: true,
            ..demand
        };
        self.choose(free, &late)
            .filter(|placement| {
                may_wait(placement, route, left) && !self.is_slowed(&placement.run, now)
            })
            .ok_or(refused)
    }

    /// Tells whether an engine's sequences slow each other down so much that one more that is late
    /// would make others late.
    fn is_slowed(&self, id: &Name, now: Instant) -> bool {
        let sequences = self.work(id, now).sequences;
        let idle_ms = self.speed.step_ms(0, 0.0);
        self.speed.step_ms(sequences, 0.0) > idle_ms * SLOWED_STEPS
    }

    /// Returns the weight of reading shared parts again, against the time it takes.
    ///
    /// A prompt that is late by its own size is not kept at a home with a queue: its shared parts
    /// are a small part of it, and it would be refused more often than others.
    fn reread_weight(&self, prompt: &Prompt, route: &Route) -> f64 {
        let own_ms = self.paces.apart.factor * self.speed.prefill_ms(prompt.tokens, 0, false);
        if prompt.shared_tokens() < SHARED_TOKENS_MIN || is_late_by_size(own_ms, route) {
            REREAD_WEIGHT
        } else {
            REREAD_WEIGHT_LONG
        }
    }

    /// Chooses the cheapest way, in place or apart, among the engines of each stage.
    fn choose<'a, I: Iterator<Item = &'a Endpoint>>(
        &self,
        engines: impl Fn(Stage) -> I,
        demand: &Demand<'_>,
    ) -> Option<Placement> {
        let in_place = self.cheapest(engines(Stage::Decode), demand, true)?;
        let apart = self.cheapest(engines(Stage::Prefill), demand, false);
        Some(self.better(in_place, apart, engines(Stage::Decode), demand))
    }

    /// Chooses between the best engine in place and the best prefill apart.
    fn better<'a>(
        &self,
        in_place: Offer<'a>,
        apart: Option<Offer<'a>>,
        decoders: impl Iterator<Item = &'a Endpoint>,
        demand: &Demand<'_>,
    ) -> Placement {
        let apart = apart.and_then(|prefill| {
            let (decoder, waiting) = self.decoder_for(prefill.engine, decoders, demand)?;
            let transfer = demand.limits.transfer_time(demand.prompt.tokens);
            let apart_ms = self.paces.apart.overhead_ms - self.paces.in_place.overhead_ms;
            let transfer_ms = transfer.as_secs_f64() * 1e3 + apart_ms;
            let cost_ms = prefill.cost_ms + waiting.cost_ms + transfer_ms;
            let first_ms = prefill.first_ms + waiting.first_ms + transfer_ms;
            let queue_ms = prefill.queue_ms() + waiting.first_ms;
            let way = (first_ms, queue_ms, prefill, Some(decoder));
            (demand.is_late || cost_ms < in_place.cost_ms).then_some(way)
        });
        let (first_ms, queue_ms, reader, decoder) = match apart {
            Some(way) => way,
            None => (in_place.first_ms, in_place.queue_ms(), in_place, None),
        };
        let engine = reader.engine.id.clone();
        let expected_ms = first_ms + self.paces.in_place.overhead_ms;
        Placement {
            prefill: decoder.is_some().then(|| engine.clone()),
            run: decoder.map_or(engine, |decoder| decoder.id.clone()),
            expected: Duration::from_secs_f64(expected_ms.max(0.0) / 1e3),
            queue: Duration::from_secs_f64(queue_ms / 1e3),
            prefill_ms: reader.prefill_ms,
            cached_tokens: reader.cached,
            priority: demand.priority,
        }
    }

    /// Returns the engine that reads the prompt soonest.
    fn cheapest<'a>(
        &self,
        engines: impl Iterator<Item = &'a Endpoint>,
        demand: &Demand<'_>,
        is_in_place: bool,
    ) -> Option<Offer<'a>> {
        let engines: Vec<&Endpoint> = engines.collect();
        let is_local = demand.is_large && (is_in_place || !demand.prompt.shares_long_part());
        let data_centre = is_local.then_some(demand.data_centre);
        let home = demand
            .affinity
            .and_then(|part| home(&engines, part, data_centre));
        let offers = engines.into_iter().map(|engine| {
            let is_home = home.is_some_and(|it| it.id == engine.id);
            self.offer(engine, demand, is_in_place, is_home)
        });
        offers.min_by(|left, right| {
            left.cost_ms
                .total_cmp(&right.cost_ms)
                .then_with(|| left.engine.id.cmp(&right.engine.id))
        })
    }

    fn offer<'a>(
        &self,
        engine: &'a Endpoint,
        demand: &Demand<'_>,
        is_in_place: bool,
        is_home: bool,
    ) -> Offer<'a> {
        let load = self.loads.get(&engine.id);
        let shared = demand.prompt.shared();
        let cached = load.map_or(0, |load| load.cached_tokens(shared, demand.now));
        let shared_tokens = demand.prompt.shared_tokens();
        let reread = if is_home {
            0
        } else {
            shared_tokens.saturating_sub(cached)
        };
        let slowness = load.map_or(1.0, EngineLoad::slowness);
        let prefill_ms = slowness
            * self.paces.of(is_in_place).factor
            * self
                .speed
                .prefill_ms(demand.prompt.tokens, cached, is_in_place);
        let mut placing_ms = 0.0;
        if is_in_place {
            placing_ms = self.output_ms(engine, demand);
            if demand.calm.contains(&&engine.id) {
                placing_ms += prefill_ms * CALM_READ_WEIGHT;
            }
        }
        let mut waiting = self.waiting(engine, demand);
        waiting.cost_ms += demand.remote_ms(engine, is_home);
        let reread_ms = f64::from(reread) / self.speed.prefill_tokens_per_ms * demand.reread_weight;
        Offer {
            engine,
            first_ms: prefill_ms + waiting.first_ms,
            cost_ms: prefill_ms + placing_ms + reread_ms + waiting.cost_ms,
            prefill_ms,
            cached,
        }
    }

    /// Returns what it takes until an engine begins with a request.
    fn waiting(&self, engine: &Endpoint, demand: &Demand<'_>) -> Waiting {
        let work = self.work(&engine.id, demand.now);
        let cold_ms = engine.cold.as_secs_f64() * 1e3 / COLD_PART;
        let mut first_ms = work.ahead_of(demand.priority) + cold_ms;
        let mut cost_ms = f64::from(work.sequences) * SEQUENCE_MS;
        first_ms += slot_wait_ms(work.sequences, engine.slots);
        if let Some(load) = self.loads.get(&engine.id) {
            first_ms += load.delay_ms(demand.priority, demand.now);
            cost_ms += load.health.failure_rate() * FAILURE_MS;
            if !load.health.is_usable(demand.now) {
                cost_ms += PAUSED_MS;
            }
        }
        Waiting {
            first_ms,
            cost_ms: first_ms + cost_ms,
        }
    }

    /// Returns what generating at an engine costs in ms because of the length of the output.
    fn output_ms(&self, engine: &Endpoint, demand: &Demand<'_>) -> f64 {
        let tokens = demand.prompt.output_tokens_hint.unwrap_or_default();
        let reading = if demand.calm.contains(&&engine.id) {
            CALM_READING
        } else {
            BUSY_READING
        };
        let sequences = self.work(&engine.id, demand.now).sequences;
        let slowness = self.loads.get(&engine.id).map_or(1.0, EngineLoad::slowness);
        let step = self.speed.step_ms(sequences, reading) * slowness;
        f64::from(tokens) * step * OUTPUT_WEIGHT
    }

    /// Takes in the time from a placement to its first event, in ms.
    pub fn observe_first_event(&mut self, placement: &Placement, took_ms: f64) {
        self.paces.observe(placement, took_ms);
    }

    /// Takes in that a sequence produced `tokens` in `millis` after its first event.
    pub fn observe_output(&mut self, id: &Name, tokens: u32, millis: f64, now: Instant) {
        if tokens < OUTPUT_TOKENS_MIN {
            return;
        }
        let sequences = self.work(id, now).sequences;
        let expected = self.speed.step_ms(sequences, BUSY_READING) * f64::from(tokens);
        if let Some(load) = self.loads.get_mut(id) {
            load.observe_slowness(millis / expected);
        }
    }

    /// Returns the engine that generates from a prefill at `prefill`.
    fn decoder_for<'a>(
        &self,
        prefill: &Endpoint,
        decoders: impl Iterator<Item = &'a Endpoint>,
        demand: &Demand<'_>,
    ) -> Option<(&'a Endpoint, Waiting)> {
        let waiting = |engine: &Endpoint| {
            let mut waiting = self.waiting(engine, demand);
            waiting.cost_ms += demand.remote_ms(engine, false);
            if engine.data_centre != prefill.data_centre {
                waiting.cost_ms += REMOTE_MS;
            }
            waiting.cost_ms += self.output_ms(engine, demand);
            waiting
        };
        decoders
            .map(|engine| (engine, waiting(engine)))
            .min_by(|left, right| {
                left.1
                    .cost_ms
                    .total_cmp(&right.1.cost_ms)
                    .then_with(|| left.0.id.cmp(&right.0.id))
            })
    }

    /// Notes that a prompt is sent to be read at an engine, which is expected to take `expected_ms`
    /// with the known work.
    pub fn prefill_sent(
        &mut self,
        id: &Name,
        priority: u8,
        prefill_ms: f64,
        expected_ms: f64,
        prompt: &Prompt,
        now: Instant,
    ) {
        let load = self.loads.entry(id.clone()).or_default();
        load.begin_reading(priority, prefill_ms, expected_ms, now);
        load.health.begin_trial(now);
        self.note_shared(id, prompt, now);
    }

    /// Notes how the reading of a prompt ended; `expected_ms` is the wait that was expected with
    /// the known work.
    pub fn prefill_ended(
        &mut self,
        id: &Name,
        priority: u8,
        prefill_ms: f64,
        expected_ms: f64,
        work: Work,
        now: Instant,
    ) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.end_reading(priority, prefill_ms);
        match work {
            Work::Done { millis } => {
                load.observe_delay(priority, millis - expected_ms, now);
                load.health.succeeded();
            }
            Work::Rejected => load.observe_delay(priority, expected_ms.max(300.0), now),
            Work::Unreachable => load.health.unreachable(now),
            Work::Failed => load.health.failed(now),
            Work::Abandoned => {}
        }
    }

    /// Returns the work of all daemons on an engine, as far as it is known.
    fn work(&self, id: &Name, now: Instant) -> Share {
        let mut work = self.peers.total(id);
        if let Some(load) = self.loads.get(id) {
            work.add(&load.share(now));
        }
        work
    }

    /// Returns the wait of a request at an engine that the known work explains, in ms.
    #[must_use]
    pub fn known_wait_ms(&self, id: &Name, priority: u8, now: Instant) -> f64 {
        self.work(id, now).ahead_of(priority)
    }

    /// Notes that a sequence begins at an engine.
    pub fn sequence_sent(&mut self, id: &Name, prompt: &Prompt, now: Instant) {
        let load = self.loads.entry(id.clone()).or_default();
        load.sequences += 1;
        load.health.begin_trial(now);
        self.note_shared(id, prompt, now);
    }

    /// Notes that a sequence ended.
    pub fn sequence_ended(&mut self, id: &Name, work: Work, now: Instant) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.sequences = load.sequences.saturating_sub(1);
        match work {
            Work::Done { .. } => load.health.succeeded(),
            Work::Unreachable => load.health.unreachable(now),
            Work::Failed => load.health.failed(now),
            Work::Rejected | Work::Abandoned => {}
        }
    }

    fn note_shared(&mut self, id: &Name, prompt: &Prompt, now: Instant) {
        let shared = prompt.shared();
        let load = self.loads.entry(id.clone()).or_default();
        load.note_parts(shared.iter().map(|part| part.id), now);
        for part in shared {
            self.untold.note(id, part);
        }
    }

    /// Returns the shared parts that were sent to engines since the last call, for the daemons that
    /// are told everything.
    pub fn take_untold(&mut self) -> Vec<Sent> {
        self.untold.take_near()
    }

    /// Returns the long parts that were sent to engines since the last call, for the other data
    /// centres.
    pub fn take_untold_afar(&mut self) -> Vec<Sent> {
        self.untold.take_far()
    }

    /// Takes in shared parts that another daemon sent to engines.
    pub fn absorb_parts(&mut self, parts: Vec<Sent>, now: Instant) {
        for sent in parts {
            let load = self.loads.entry(sent.engine).or_default();
            load.note_parts([sent.part], now);
        }
    }

    /// Returns this daemon's own work, for the other daemons.
    #[must_use]
    pub fn own_shares(&self, now: Instant) -> Vec<(Name, Share)> {
        let loads = self.loads.iter();
        let shares = loads.map(|(id, load)| (id.clone(), load.share(now)));
        shares
            .filter(|(_, share)| *share != Share::default())
            .collect()
    }

    /// Takes in another daemon's work; it replaces what that daemon told before.
    pub fn absorb(&mut self, peer: &Name, shares: Vec<(Name, Share)>, now: Instant) {
        self.peers.absorb(peer, shares, now);
    }

    /// Forgets what an engine held before it started again.
    pub fn restarted(&mut self, id: &Name) {
        if let Some(load) = self.loads.get_mut(id) {
            load.restarted();
        }
    }

    /// Forgets engines that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.loads
            .retain(|id, load| load.sequences > 0 || is_known(id));
    }
}
