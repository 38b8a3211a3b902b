use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine_load::EngineLoad;
use super::{Endpoint, EngineLimits, Placement, Prompt, Refusal, Route, Speed, Stage, Work};
use crate::Instant;

/// Part of the shared tokens that the home engine of a prefix is expected to hold when this daemon
/// has not sent them there itself: the other daemons send the same prefix to the same engine.
const HOME_CACHED_PART: f64 = 0.5;
/// Cost of an engine in another data centre, in ms: two crossings and the priced bytes.
const REMOTE_MS: f64 = 12.0;
/// Cost of a prefill apart, in ms: a further call, the set-up of the transfer, and its priced bytes.
const APART_MS: f64 = 14.0;
/// Cost of a failure rate of 1, in ms.
const FAILURE_MS: f64 = 2_000.0;
/// Delay that a running sequence adds to another one's first event, in ms.
const SEQUENCE_MS: f64 = 0.4;
/// Part of the deadline beyond which a first event leaves no time for the rest of the stream.
const DEADLINE_PART: f64 = 0.8;
/// Urgency of requests that are expected to miss their target; they must not delay the others.
const LATE_PRIORITY: u8 = 8;
/// Longest time that a refused caller is asked to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Engines and what this daemon has running on them; chooses where a generation runs.
///
/// The load of the other daemons is not reported. It shows in the delays of the own answers, and
/// requests with the same shared prefix go to the same engines from every daemon.
#[derive(Debug, Default)]
pub struct Engines {
    speed: Speed,
    loads: HashMap<Name, EngineLoad>,
}

/// What a generation asks of the engines.
#[derive(Debug)]
struct Demand<'a> {
    prompt: &'a Prompt,
    affinity: Option<u64>,
    data_centre: &'a Name,
    limits: &'a EngineLimits,
    now: Instant,
}

#[derive(Debug)]
struct Offer<'a> {
    engine: &'a Endpoint,
    cost_ms: f64,
    prefill_ms: f64,
    cached: u32,
}

impl Engines {
    /// Opens the record with the speeds of the deployment's engines.
    #[must_use]
    pub fn open(speed: Speed) -> Self {
        Self {
            speed,
            loads: HashMap::new(),
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
    pub fn place<'a>(
        &self,
        candidates: &[&'a Endpoint],
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
            now,
        };
        let free = |stage| {
            candidates
                .iter()
                .copied()
                .filter(move |it| it.stage == Some(stage) && !tried.contains(&it.id))
        };
        let in_place = self.cheapest(free(Stage::Decode), &demand, true);
        let Some(in_place) = in_place else {
            return Err(Refusal {
                reason: "no_engine",
                retry_after: Duration::from_millis(500),
            });
        };
        let apart = self.cheapest(free(Stage::Prefill), &demand, false);
        let placement = self.better(in_place, apart, free(Stage::Decode), &demand);
        let placement = Placement {
            priority: priority(route, placement.expected),
            ..placement
        };
        if placement.expected > left.mul_f64(DEADLINE_PART) {
            let wait = placement.expected.saturating_sub(route.target);
            return Err(Refusal {
                reason: "deadline_unreachable",
                retry_after: wait.min(RETRY_AFTER_MAX),
            });
        }
        Ok(placement)
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
            let decoder = self.decoder_for(prefill.engine, decoders, demand)?;
            let transfer = demand.limits.transfer_time(demand.prompt.tokens);
            let cost = prefill.cost_ms + decoder.1 + transfer.as_secs_f64() * 1e3 + APART_MS;
            Some((cost, prefill, decoder.0))
        });
        match apart {
            Some((cost, prefill, decoder)) if cost < in_place.cost_ms => Placement {
                prefill: Some(prefill.engine.id.clone()),
                run: decoder.id.clone(),
                expected: self.expected(cost),
                prefill_ms: prefill.prefill_ms,
                cached_tokens: prefill.cached,
                priority: 0,
            },
            _ => Placement {
                prefill: None,
                run: in_place.engine.id.clone(),
                expected: self.expected(in_place.cost_ms),
                prefill_ms: in_place.prefill_ms,
                cached_tokens: in_place.cached,
                priority: 0,
            },
        }
    }

    fn expected(&self, cost_ms: f64) -> Duration {
        Duration::from_secs_f64(cost_ms / 1e3) + self.speed.first_event
    }

    /// Returns the engine that reads the prompt soonest.
    fn cheapest<'a>(
        &self,
        engines: impl Iterator<Item = &'a Endpoint>,
        demand: &Demand<'_>,
        is_in_place: bool,
    ) -> Option<Offer<'a>> {
        let engines: Vec<&Endpoint> = engines.collect();
        let home = demand
            .affinity
            .and_then(|part| home(&engines, part, demand.data_centre));
        let options = engines.into_iter().map(|engine| {
            let is_home = home.is_some_and(|it| it.id == engine.id);
            self.option(engine, demand, is_in_place, is_home)
        });
        options.min_by(|left, right| {
            left.cost_ms
                .total_cmp(&right.cost_ms)
                .then_with(|| left.engine.id.cmp(&right.engine.id))
        })
    }

    fn option<'a>(
        &self,
        engine: &'a Endpoint,
        demand: &Demand<'_>,
        is_in_place: bool,
        is_home: bool,
    ) -> Offer<'a> {
        let load = self.loads.get(&engine.id);
        let shared = demand.prompt.shared();
        let mut cached = load.map_or(0, |load| load.cached_tokens(shared, demand.now));
        if is_home && cached == 0 {
            let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
            cached = (f64::from(tokens) * HOME_CACHED_PART) as u32;
        }
        let prefill_ms = self
            .speed
            .prefill_ms(demand.prompt.tokens, cached, is_in_place);
        Offer {
            engine,
            cost_ms: prefill_ms + self.waiting_ms(engine, demand),
            prefill_ms,
            cached,
        }
    }

    /// Returns the cost of an engine before it begins with a request, in ms.
    fn waiting_ms(&self, engine: &Endpoint, demand: &Demand<'_>) -> f64 {
        /// Keeps paused engines behind all others, yet usable when there is no other.
        const PAUSED_MS: f64 = 1e5;
        let remote = if engine.data_centre == *demand.data_centre {
            0.0
        } else {
            REMOTE_MS
        };
        let cold = engine.cold.as_secs_f64() * 1e3 / 10.0;
        let Some(load) = self.loads.get(&engine.id) else {
            return remote + cold;
        };
        let paused = if load.health.is_usable(demand.now) {
            0.0
        } else {
            PAUSED_MS
        };
        load.prefill_ms
            + load.delay_ms(demand.now)
            + f64::from(load.sequences) * SEQUENCE_MS
            + load.health.failure_rate() * FAILURE_MS
            + remote
            + cold
            + paused
    }

    /// Returns the engine that generates from a prefill at `prefill`, and its cost in ms.
    fn decoder_for<'a>(
        &self,
        prefill: &Endpoint,
        decoders: impl Iterator<Item = &'a Endpoint>,
        demand: &Demand<'_>,
    ) -> Option<(&'a Endpoint, f64)> {
        let cost = |engine: &Endpoint| {
            let moved = if engine.data_centre == prefill.data_centre {
                0.0
            } else {
                REMOTE_MS
            };
            self.waiting_ms(engine, demand) + moved
        };
        decoders
            .map(|engine| (engine, cost(engine)))
            .min_by(|left, right| {
                left.1
                    .total_cmp(&right.1)
                    .then_with(|| left.0.id.cmp(&right.0.id))
            })
    }

    /// Notes that a prompt is sent to be read at an engine.
    pub fn prefill_sent(&mut self, id: &Name, prefill_ms: f64, prompt: &Prompt, now: Instant) {
        let load = self.loads.entry(id.clone()).or_default();
        load.prefill_ms += prefill_ms;
        load.note_parts(&prompt.parts, now);
        load.health.begin_trial(now);
    }

    /// Notes how the reading of a prompt ended; `expected_ms` is the wait that was expected with
    /// the own work.
    pub fn prefill_ended(
        &mut self,
        id: &Name,
        prefill_ms: f64,
        expected_ms: f64,
        work: Work,
        now: Instant,
    ) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.prefill_ms = (load.prefill_ms - prefill_ms).max(0.0);
        match work {
            Work::Done { millis } => {
                load.observe_delay(millis - expected_ms, now);
                load.health.succeeded();
            }
            Work::Rejected => load.observe_delay(expected_ms.max(300.0), now),
            Work::Unreachable => load.health.unreachable(now),
            Work::Failed => load.health.failed(now),
            Work::Abandoned => {}
        }
    }

    /// Returns the wait at an engine that the own work explains, in ms.
    #[must_use]
    pub fn own_wait_ms(&self, id: &Name) -> f64 {
        self.loads.get(id).map_or(0.0, |load| load.prefill_ms)
    }

    /// Notes that a sequence begins at an engine.
    pub fn sequence_sent(&mut self, id: &Name, prompt: &Prompt, now: Instant) {
        let load = self.loads.entry(id.clone()).or_default();
        load.sequences += 1;
        load.note_parts(&prompt.parts, now);
        load.health.begin_trial(now);
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

/// Returns the engine that all daemons of a data centre prefer for a prefix.
fn home<'a>(engines: &[&'a Endpoint], part: u64, data_centre: &Name) -> Option<&'a Endpoint> {
    let weight = |engine: &Endpoint| xxh3_64_with_seed(engine.id.as_bytes(), part);
    let local = engines
        .iter()
        .filter(|engine| engine.data_centre == *data_centre)
        .max_by_key(|engine| weight(engine));
    let local = local.or_else(|| engines.iter().max_by_key(|engine| weight(engine)));
    local.copied()
}

fn priority(route: &Route, expected: Duration) -> u8 {
    if expected > route.target {
        return LATE_PRIORITY;
    }
    route.rank.saturating_mul(2).min(LATE_PRIORITY - 1)
}
