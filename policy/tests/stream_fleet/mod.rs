//! Streams of three kinds on engines of several speeds, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, Endpoint, EngineLimits, EngineWork, Engines, ObservedPrefill, Part, Placement,
    Prompt, Route, Speed, Stage, WaitLimit,
};
use ragwortgrade_schema::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::gateway_support::{endpoint, limits, route};

const DAEMONS: usize = 3;
const SLOTS: usize = 32;
const EVENT_TOKENS: u32 = 10;
const CHUNK_TOKENS: f64 = 4_096.0;
/// Speeds of an engine of speed 1, in tokens a millisecond and milliseconds.
const PREFILL_TOKENS_PER_MS: f64 = 125.0;
const LOCAL_FRACTION: f64 = 0.4;
const STEP_MS: f64 = 3.27;
const STEP_MS_PER_SEQUENCE: f64 = 0.065;
/// Fixed part of a call that prefills, as it is and as daemons expect it, in ms.
const CALL_MS: f64 = 60.0;
const CALL_EXPECTED_MS: f64 = 65.0;
const PAUSE_MAX: Duration = Duration::from_millis(200);
const DOCUMENTS: u64 = 40;
const DOCUMENT_TOKENS: u32 = 5_382;
/// Period of the waves of the load, and their size.
const WAVE_MS: f64 = 4_000.0;
const WAVE: f64 = 0.7;

/// What daemons know and do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Order by rank, engines of one speed, pauses not counted.
    Baseline,
    /// Order by need, learned speeds, pauses counted.
    ByNeed,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub engines: usize,
    /// Speeds, which alternate.
    pub speeds: [f64; 3],
    pub per_second: f64,
    pub time_ms: f64,
    /// Whether a fifth of the engines leaves halfway.
    pub loses_engines: bool,
    pub policy: Policy,
    pub seed: u64,
}

/// What callers of one kind got, as shares of their requests.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "failure messages show all shares")]
pub struct Outcome {
    pub in_time: f64,
    /// First event or a pause too late.
    pub late_first: f64,
    pub late_pause: f64,
    pub refused: f64,
}

#[derive(Debug)]
struct Stream {
    kind: usize,
    prompt: Prompt,
    events: u32,
    daemon: usize,
    placement: Option<Placement>,
    arrived_at: Instant,
    sent_at: Instant,
    wait_ms: f64,
    /// Prompt tokens that are left to prefill locally.
    prefill_left: f64,
    tokens: u32,
    last_event_at: Option<Instant>,
    first_event_at: Instant,
    is_first_late: bool,
    has_long_pause: bool,
    is_done: bool,
}

#[derive(Debug, Default)]
struct Engine {
    speed: f64,
    parts: HashSet<u64>,
    waiting: Vec<usize>,
    running: Vec<usize>,
    is_busy: bool,
    is_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Prefill(usize, usize),
    PrefillEnd(usize, usize),
    Answer(usize, usize),
    Decode(usize, usize),
    Step(usize),
    Loss,
}

struct Play {
    setup: Setup,
    routes: [Route; 3],
    limits: EngineLimits,
    endpoints: Vec<Endpoint>,
    engines: Vec<Engine>,
    daemons: Vec<Engines>,
    streams: Vec<Stream>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
}

/// Plays the load and returns what callers got.
pub fn play(setup: Setup) -> [Outcome; 3] {
    let mut play = Play::new(setup);
    while let Some(Reverse((now, event))) = play.events.pop() {
        play.handle(event, now);
    }
    std::array::from_fn(|kind| {
        let of_kind = play.streams.iter().filter(|it| it.kind == kind);
        let count = of_kind.clone().count() as f64;
        let share = |is_counted: fn(&&Stream) -> bool| {
            of_kind.clone().filter(is_counted).count() as f64 / count
        };
        Outcome {
            in_time: share(|it| it.is_done && !it.is_first_late && !it.has_long_pause),
            late_first: share(|it| it.is_first_late),
            late_pause: share(|it| it.has_long_pause),
            refused: share(|it| it.placement.is_none()),
        }
    })
}

fn after(now: Instant, millis: f64) -> Instant {
    now + Duration::from_secs_f64(millis.max(0.0) / 1e3)
}

impl Play {
    fn new(setup: Setup) -> Self {
        let kind = |rank: u8, target_ms, pause_target| Route {
            name: format!("kind-{rank}").into(),
            target: Duration::from_millis(target_ms),
            pause_target,
            ..route(rank)
        };
        let pause = (setup.policy == Policy::ByNeed).then_some(PAUSE_MAX);
        let routes = [
            kind(0, 1_000, pause),
            kind(1, 500, pause),
            kind(2, 500, pause),
        ];
        let open = |seed| {
            let mut engines = Engines::open(Speed::default()).with_order_seed(seed);
            if setup.policy == Policy::ByNeed {
                engines.apply_routes(&routes);
            }
            engines
        };
        let endpoint = |number: usize| Endpoint {
            stage: Some(if number.is_multiple_of(3) {
                Stage::Prefill
            } else {
                Stage::Decode
            }),
            slots: SLOTS as u32,
            ..endpoint(&format!("engine-{number}"), "models")
        };
        let engine = |number: usize| Engine {
            speed: setup.speeds[number / 3 % 3],
            ..Engine::default()
        };
        let mut play = Self {
            daemons: (0..DAEMONS as u64).map(open).collect(),
            routes,
            limits: limits(),
            endpoints: (0..setup.engines).map(endpoint).collect(),
            engines: (0..setup.engines).map(engine).collect(),
            streams: Vec::new(),
            events: BinaryHeap::new(),
            setup,
        };
        play.add_streams();
        if setup.loses_engines {
            play.add(after(Instant::default(), setup.time_ms / 2.0), Event::Loss);
        }
        play
    }

    fn add_streams(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.setup.seed);
        let mut millis = 1.0;
        while millis < self.setup.time_ms {
            let wave = 1.0 + WAVE * (millis / WAVE_MS * std::f64::consts::TAU).sin();
            millis -= random.random::<f64>().ln() * 1e3 / (self.setup.per_second * wave);
            let kind = [0, 0, 1, 1, 2][random.random_range(0..5)];
            let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            let (median, shared, events) = [
                (1_800.0, 300, 2),
                (628.0, 300, 22),
                (11_000.0, DOCUMENT_TOKENS, 29),
            ][kind];
            let tokens = (median * (0.45 * normal).exp()) as u32 + shared / 2;
            let document = 1_000 + random.random_range(0..DOCUMENTS);
            let id = if kind == 2 { document } else { kind as u64 };
            let shared = shared.min(tokens / 2);
            let own = Part {
                id: u64::MAX,
                tokens: tokens - shared,
            };
            let prompt = Prompt {
                tokens,
                output_tokens_max: 1_000,
                output_tokens_hint: Some(events * EVENT_TOKENS),
                parts: vec![Part { id, tokens: shared }, own],
                ..Prompt::default()
            };
            let arrived_at = after(Instant::default(), millis);
            self.add(arrived_at, Event::Arrival(self.streams.len()));
            self.streams.push(Stream {
                kind,
                prompt,
                events,
                daemon: random.random_range(0..DAEMONS),
                placement: None,
                arrived_at,
                sent_at: arrived_at,
                wait_ms: 0.0,
                prefill_left: 0.0,
                tokens: 0,
                last_event_at: None,
                first_event_at: arrived_at,
                is_first_late: false,
                has_long_pause: false,
                is_done: false,
            });
        }
    }

    fn add(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival(id) => self.arrive(id, now),
            Event::Prefill(engine, id) => {
                self.engines[engine].waiting.push(id);
                self.start_prefill(engine, now);
            }
            Event::PrefillEnd(engine, id) => {
                self.engines[engine].is_busy = false;
                self.add(after(now, CALL_MS / 2.0), Event::Answer(engine, id));
                self.start_prefill(engine, now);
            }
            Event::Answer(engine, id) => self.prefilled(engine, id, now),
            Event::Decode(engine, id) => {
                self.engines[engine].waiting.push(id);
                if !std::mem::replace(&mut self.engines[engine].is_busy, true) {
                    self.add(now, Event::Step(engine));
                }
            }
            Event::Step(engine) => self.step(engine, now),
            Event::Loss => {
                for engine in self.engines.iter_mut().skip(1).step_by(5) {
                    engine.is_lost = true;
                }
            }
        }
    }

    fn number(&self, id: &Name) -> usize {
        let position = self.endpoints.iter().position(|it| it.id == *id);
        position.expect("a known engine was chosen")
    }

    fn candidates(&self) -> Vec<&Endpoint> {
        let engines = self.endpoints.iter().zip(&self.engines);
        engines.filter(|it| !it.1.is_lost).map(|it| it.0).collect()
    }

    /// Returns the prompt tokens that the engine has not cached.
    fn uncached(&mut self, engine: usize, id: usize) -> f64 {
        let prompt = &self.streams[id].prompt;
        let shared = prompt.parts[0];
        let is_cached = !self.engines[engine].parts.insert(shared.id);
        let cached = if is_cached { shared.tokens } else { 0 };
        f64::from(prompt.tokens - cached)
    }

    fn arrive(&mut self, id: usize, now: Instant) {
        let stream = &self.streams[id];
        let candidates = self.candidates();
        let placement = self.daemons[stream.daemon].place(
            &candidates,
            &stream.prompt,
            &self.routes[stream.kind],
            &self.limits,
            Duration::from_secs(10),
            WaitLimit::default(),
            &[],
            &"a".into(),
            now,
        );
        let Ok(placement) = placement else {
            return;
        };
        let engine_id = placement
            .prefill
            .as_ref()
            .unwrap_or(&placement.decode)
            .clone();
        let engine = self.number(&engine_id);
        let daemon = &mut self.daemons[stream.daemon];
        let wait_ms = daemon.known_wait_ms(&engine_id, placement.priority, now);
        let expected_ms = wait_ms + placement.prefill_ms + CALL_EXPECTED_MS;
        let (priority, prefill_ms) = (placement.priority, placement.prefill_ms);
        daemon.prefill_sent(
            &engine_id,
            priority,
            prefill_ms,
            expected_ms,
            &stream.prompt,
            now,
        );
        let is_remote = placement.prefill.is_some();
        if !is_remote {
            daemon.sequence_sent(&engine_id, &stream.prompt, now);
        }
        let stream = &mut self.streams[id];
        (stream.wait_ms, stream.sent_at) = (wait_ms, now);
        stream.placement = Some(placement);
        self.exchange(id, now);
        let at = after(now, CALL_MS / 2.0);
        if is_remote {
            self.add(at, Event::Prefill(engine, id));
        } else {
            self.streams[id].prefill_left = self.uncached(engine, id).max(1.0);
            self.add(at, Event::Decode(engine, id));
        }
    }

    /// Sends the work of a stream's daemon and the speeds that it observed to the others.
    fn exchange(&mut self, id: usize, now: Instant) {
        let from = self.streams[id].daemon;
        let work: Vec<(Name, EngineWork)> = self.daemons[from].own_work(now);
        let speeds = self.daemons[from].take_unsent_speeds_local();
        let name = Name::from(format!("daemon-{from}"));
        for (_, daemon) in self
            .daemons
            .iter_mut()
            .enumerate()
            .filter(|it| it.0 != from)
        {
            daemon.update_peer(&name, work.clone(), now);
            daemon.record_peer_speeds(&speeds, now);
        }
    }

    fn priority(&self, id: usize) -> u8 {
        self.streams[id]
            .placement
            .as_ref()
            .map_or(9, |it| it.priority)
    }

    /// Takes the most urgent waiting stream of an engine.
    fn next_waiting(&mut self, engine: usize) -> Option<usize> {
        let waiting = &self.engines[engine].waiting;
        let index = (0..waiting.len()).min_by_key(|index| self.priority(waiting[*index]))?;
        Some(self.engines[engine].waiting.remove(index))
    }

    fn start_prefill(&mut self, engine: usize, now: Instant) {
        if self.engines[engine].is_busy || self.engines[engine].is_lost {
            return;
        }
        let Some(id) = self.next_waiting(engine) else {
            return;
        };
        self.engines[engine].is_busy = true;
        let millis = self.uncached(engine, id) / PREFILL_TOKENS_PER_MS / self.engines[engine].speed;
        self.add(after(now, millis), Event::PrefillEnd(engine, id));
    }

    /// Records the end of a prefill at its daemon.
    fn end_prefill(&mut self, engine: usize, id: usize, now: Instant) {
        let stream = &self.streams[id];
        let placement = stream.placement.as_ref().expect("the stream was placed");
        let prefill_ms = placement.prefill_ms;
        let expected_ms = stream.wait_ms + prefill_ms + CALL_EXPECTED_MS;
        let millis = now.since(stream.sent_at).as_secs_f64() * 1e3;
        let daemon = &mut self.daemons[stream.daemon];
        let done = CallOutcome::Done { millis };
        let name = &self.endpoints[engine].id;
        daemon.prefill_ended(name, placement.priority, prefill_ms, expected_ms, done, now);
        if self.setup.policy == Policy::ByNeed {
            let is_local = placement.prefill.is_none();
            let cached = placement.cached_tokens;
            let observed = ObservedPrefill {
                is_local,
                configured_ms: daemon.configured_prefill_ms(&stream.prompt, cached, is_local),
                wait_ms: stream.wait_ms,
                overhead_ms: CALL_EXPECTED_MS,
                millis,
            };
            daemon.observe_prefill(name, &observed, now);
        }
    }

    fn prefilled(&mut self, engine: usize, id: usize, now: Instant) {
        self.end_prefill(engine, id, now);
        let stream = &self.streams[id];
        let placement = stream.placement.as_ref().expect("the stream was placed");
        let decoder = self.daemons[stream.daemon].decoder_after_prefill(
            placement,
            &self.endpoints[engine],
            &self.candidates(),
            &stream.prompt,
            &self.routes[stream.kind],
            &self.limits,
            &[],
            &"a".into(),
            now,
        );
        let decoder = decoder.unwrap_or_else(|| placement.decode.clone());
        let daemon = &mut self.daemons[stream.daemon];
        daemon.sequence_sent(&decoder, &stream.prompt, now);
        let decoder_number = self.number(&decoder);
        let transfer_ms = 10.0 + f64::from(stream.prompt.tokens) / 1e3;
        self.add(after(now, transfer_ms), Event::Decode(decoder_number, id));
        self.exchange(id, now);
    }

    /// Runs one decode step with a chunk of the most urgent local prefill.
    fn step(&mut self, engine: usize, now: Instant) {
        if self.engines[engine].is_lost {
            return;
        }
        while self.engines[engine].running.len() < SLOTS
            && let Some(id) = self.next_waiting(engine)
        {
            self.engines[engine].running.push(id);
        }
        let running = self.engines[engine].running.clone();
        if running.is_empty() {
            self.engines[engine].is_busy = false;
            return;
        }
        let speed = self.engines[engine].speed;
        let mut step_ms = STEP_MS + STEP_MS_PER_SEQUENCE * running.len() as f64;
        let prefills = running
            .iter()
            .filter(|id| self.streams[**id].prefill_left > 0.0);
        let prefill = prefills.min_by_key(|id| self.priority(**id)).copied();
        if let Some(id) = prefill {
            let left = &mut self.streams[id].prefill_left;
            let chunk = left.min(CHUNK_TOKENS);
            *left -= chunk;
            step_ms += chunk / PREFILL_TOKENS_PER_MS / LOCAL_FRACTION;
        }
        let end = after(now, step_ms / speed);
        for id in running {
            if self.streams[id].prefill_left <= 0.0 {
                self.add_token(engine, id, end);
            }
        }
        self.add(end, Event::Step(engine));
    }

    /// Adds a token; the first and each tenth one after it make an event.
    fn add_token(&mut self, engine: usize, id: usize, now: Instant) {
        let stream = &mut self.streams[id];
        stream.tokens += 1;
        if stream.tokens % EVENT_TOKENS != 1 {
            return;
        }
        if let Some(last_at) = stream.last_event_at.replace(now) {
            stream.has_long_pause |= now.since(last_at) > PAUSE_MAX;
        } else {
            self.begin_output(engine, id, now);
        }
        let stream = &mut self.streams[id];
        if stream.tokens / EVENT_TOKENS + 1 < stream.events {
            return;
        }
        stream.is_done = true;
        let output_ms = now.since(stream.first_event_at).as_secs_f64() * 1e3;
        let tokens = (stream.events - 1) * EVENT_TOKENS;
        let name = self.endpoints[engine].id.clone();
        let daemon = &mut self.daemons[stream.daemon];
        if self.setup.policy == Policy::ByNeed {
            daemon.observe_output(&name, tokens, output_ms, now);
        }
        daemon.sequence_ended(&name, CallOutcome::Done { millis: 0.0 }, now);
        self.engines[engine].running.retain(|it| *it != id);
        self.exchange(id, now);
    }

    /// Records the first event of a stream.
    fn begin_output(&mut self, engine: usize, id: usize, now: Instant) {
        let stream = &mut self.streams[id];
        let took = now.since(stream.arrived_at) + Duration::from_secs_f64(CALL_MS / 2e3);
        stream.first_event_at = now;
        stream.is_first_late |= took > self.routes[stream.kind].target;
        let placement = stream.placement.clone().expect("the stream was placed");
        let daemon = stream.daemon;
        if placement.prefill.is_none() {
            self.end_prefill(engine, id, after(now, CALL_MS / 2.0));
        }
        let took_ms = took.as_secs_f64() * 1e3;
        self.daemons[daemon].observe_first_event(&placement, took_ms);
    }
}
