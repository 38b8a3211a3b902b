//! Slots of decode engines that many daemons fill at the same time.

mod gateway_support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gateway_support::{limits, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, Endpoint, EngineWork, Engines, Placement, Prompt, Speed, Stage, WaitLimit,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const DATA_CENTRES: usize = 5;
const STEP: Duration = Duration::from_millis(5);
const PLAY_TIME: Duration = Duration::from_secs(8);
/// Time for which a sequence occupies its slot: an output of 400 tokens.
const OUTPUT_TIME: Duration = Duration::from_millis(1_500);
const OUTPUT_TOKENS: u32 = 400;
const PROMPT_TOKENS: u32 = 6_000;
/// Time until the daemons of the data centre know of a change of the work.
const REPORT_TIME: Duration = Duration::from_millis(20);
/// Longest wait for a slot that counts as none: a part of the time to the first event that callers
/// accept, 500 ms.
const WAIT_MAX: Duration = Duration::from_millis(100);

/// Engines that run a number of sequences at once and let others wait.
struct Decoders {
    slots: usize,
    running: BTreeMap<Name, Vec<Instant>>,
    waiting: BTreeMap<Name, VecDeque<(Instant, usize)>>,
    /// Ends of sequences: time, daemon, engine.
    ends: Vec<(Instant, usize, Name)>,
    waits: Vec<Duration>,
}

impl Decoders {
    fn start(&mut self, engine: &Name, daemon: usize, now: Instant) {
        let waiting = self.waiting.entry(engine.clone()).or_default();
        waiting.push_back((now, daemon));
    }

    /// Returns the daemon and the engine of each sequence that has ended.
    fn take_ended(&mut self, now: Instant) -> Vec<(usize, Name)> {
        let ends = std::mem::take(&mut self.ends);
        let (ended, running): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= now);
        self.ends = running;
        let ended = ended.into_iter();
        ended.map(|(_, daemon, engine)| (daemon, engine)).collect()
    }

    fn step(&mut self, now: Instant) {
        for (engine, waiting) in &mut self.waiting {
            let running = self.running.entry(engine.clone()).or_default();
            running.retain(|end| *end > now);
            while running.len() < self.slots
                && let Some((sent_at, daemon)) = waiting.pop_front()
            {
                self.waits.push(now.since(sent_at));
                running.push(now + OUTPUT_TIME);
                self.ends.push((now + OUTPUT_TIME, daemon, engine.clone()));
            }
        }
    }
}

struct Run {
    daemon: usize,
    placement: Placement,
    prompt: Prompt,
    prefilled_at: Instant,
}

/// Daemons of a fleet in virtual time, each of which knows the work of those of its data centre.
struct Fleet {
    endpoints: Vec<Endpoint>,
    daemons: Vec<Engines>,
    /// Requests that are being prefilled.
    runs: Vec<Run>,
    decoders: Decoders,
    /// Reports on their way, the oldest first.
    reports: VecDeque<Report>,
}

/// Work that a daemon reports to those of its data centre.
struct Report {
    arrives_at: Instant,
    sender: usize,
    work: Vec<(Name, EngineWork)>,
}

impl Fleet {
    fn new(daemons: usize, decoders: usize) -> Self {
        let open = |seed| Engines::open(Speed::default()).with_order_seed(seed);
        Self {
            endpoints: engines(decoders),
            daemons: (0..daemons as u64).map(open).collect(),
            runs: Vec::new(),
            decoders: Decoders {
                slots: 12,
                running: BTreeMap::new(),
                waiting: BTreeMap::new(),
                ends: Vec::new(),
                waits: Vec::new(),
            },
            reports: VecDeque::new(),
        }
    }

    /// Places a long prompt.
    fn arrive(&mut self, daemon: usize, now: Instant) {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let prompt = Prompt {
            output_tokens_hint: Some(OUTPUT_TOKENS),
            ..prompt(PROMPT_TOKENS, None)
        };
        let placement = self.daemons[daemon].place(
            &candidates,
            &prompt,
            &route(2),
            &limits(),
            Duration::from_secs(8),
            WaitLimit::default(),
            &[],
            &data_centre(daemon),
            now,
        );
        let Ok(placement) = placement else {
            return;
        };
        let (millis, priority) = (placement.prefill_ms, placement.priority);
        if let Some(prefill) = &placement.prefill {
            let engines = &mut self.daemons[daemon];
            engines.prefill_sent(prefill, priority, millis, millis, &prompt, now);
            self.report(daemon, now);
        }
        self.runs.push(Run {
            daemon,
            placement,
            prompt,
            prefilled_at: now + Duration::from_secs_f64(millis / 1e3),
        });
    }

    /// Sends a prompt that is prefilled to a decode engine.
    fn decode(&mut self, run: &Run, now: Instant) {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let engines = &mut self.daemons[run.daemon];
        let mut decoder = run.placement.decode.clone();
        if let Some(prefill) = &run.placement.prefill {
            let (millis, priority) = (run.placement.prefill_ms, run.placement.priority);
            let done = CallOutcome::Done { millis };
            engines.prefill_ended(prefill, priority, millis, millis, done, now);
            let prefill = candidates.iter().find(|it| it.id == *prefill).unwrap();
            let chosen = engines.decoder_after_prefill(
                &run.placement,
                prefill,
                &candidates,
                &run.prompt,
                &route(2),
                &limits(),
                &[],
                &data_centre(run.daemon),
                now,
            );
            decoder = chosen.unwrap();
        }
        engines.sequence_sent(&decoder, &run.prompt, now);
        self.decoders.start(&decoder, run.daemon, now);
        self.report(run.daemon, now);
    }

    fn report(&mut self, daemon: usize, now: Instant) {
        self.reports.push_back(Report {
            arrives_at: now + REPORT_TIME,
            sender: daemon,
            work: self.daemons[daemon].own_work(now),
        });
    }

    fn step(&mut self, now: Instant) {
        let runs = std::mem::take(&mut self.runs);
        let (prefilled, pending) = runs.into_iter().partition(|run| run.prefilled_at <= now);
        self.runs = pending;
        let prefilled: Vec<Run> = prefilled;
        for run in prefilled {
            self.decode(&run, now);
        }
        self.decoders.step(now);
        for (daemon, engine) in self.decoders.take_ended(now) {
            let done = CallOutcome::Done { millis: 0.0 };
            self.daemons[daemon].sequence_ended(&engine, done, now);
            self.report(daemon, now);
        }
        let arrived = |report: &mut Report| report.arrives_at <= now;
        while let Some(Report { sender, work, .. }) = self.reports.pop_front_if(arrived) {
            let name = Name::from(format!("d-{sender}"));
            let daemons = self.daemons.iter_mut().enumerate();
            let local = daemons.filter(|(it, _)| it % DATA_CENTRES == sender % DATA_CENTRES);
            for (_, engines) in local.filter(|(it, _)| *it != sender) {
                engines.update_peer(&name, work.clone(), now);
            }
        }
    }
}

fn data_centre(number: usize) -> Name {
    format!("c-{}", number % DATA_CENTRES).into()
}

fn engines(decoders: usize) -> Vec<Endpoint> {
    let engine = |number: usize, kind: &str, stage| Endpoint {
        stage: Some(stage),
        slots: 12,
        data_centre: data_centre(number),
        ..gateway_support::endpoint(&format!("{kind}-{number}"), "models")
    };
    let prefill = (0..decoders / 4).map(|number| engine(number, "prefill", Stage::Prefill));
    let decode = (0..decoders).map(|number| engine(number, "decode", Stage::Decode));
    prefill.chain(decode).collect()
}

/// Plays long prompts that are prefilled remotely. Returns the fraction that waits for a slot.
fn waiting_fraction(daemons: usize, decoders: usize, used_slots: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = Fleet::new(daemons, decoders);
    let per_second = (decoders * 12) as f64 * used_slots / OUTPUT_TIME.as_secs_f64();
    let mut arrivals = 0.0;
    let mut now = Instant::from_millis(1_000);
    let end = now + PLAY_TIME;
    while now < end {
        now = now + STEP;
        arrivals += per_second * STEP.as_secs_f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            fleet.arrive(random.random_range(0..daemons), now);
        }
        fleet.step(now);
    }
    let waits = &fleet.decoders.waits;
    let waiting = waits.iter().filter(|it| **it > WAIT_MAX).count();
    waiting as f64 / waits.len() as f64
}

/// Guards against prompts that wait for a slot of some engines while others have free ones.
fn few_wait_for_a_slot(daemons: usize, decoders: usize, used_slots: f64) {
    let fraction = waiting_fraction(daemons, decoders, used_slots);
    assert!(fraction <= 0.05, "{fraction} of the prompts wait");
}

named_cases! { few_wait_for_a_slot:
    a_third_of_the_slots(40, 40, 0.35);
    half_of_the_slots(40, 40, 0.5);
    most_slots(40, 40, 0.65);
    many_daemons(100, 80, 0.5);
}
