//! Daemons and engines with few slots in virtual time: long prompts that are prefilled remotely.
#![allow(dead_code, reason = "each user needs some of the figures")]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, Endpoint, EngineWork, Engines, Placement, Prompt, Speed, Stage, WaitLimit,
};
use ragwortgrade_schema::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::gateway_support::{endpoint, limits, prompt, route};

/// Slots of a decode engine.
pub const SLOTS: usize = 12;
/// Time for which a sequence occupies its slot: an output of 400 tokens.
const OUTPUT_TIME: Duration = Duration::from_millis(1_500);
const OUTPUT_TOKENS: u32 = 400;
const PROMPT_TOKENS: u32 = 6_000;
const STEP: Duration = Duration::from_millis(5);
/// Largest fleet in which all daemons know of all work.
const FULL_MESH_DAEMONS_MAX: usize = 33;
/// Time until the daemons that receive all work know of a change, and interval at which the daemons
/// of other data centres learn of the work on prefill engines.
const REPORT_TIME: Duration = Duration::from_millis(20);
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub daemons: usize,
    pub decoders: usize,
    pub data_centres: usize,
    /// Fraction of the slots that the offered load uses.
    pub used_slots: f64,
    /// Whether the decode engine is selected again after the prefill.
    pub chooses_decoder_anew: bool,
    pub time: Duration,
}

/// A prompt whose output has begun.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub arrived_at: Instant,
    /// Time from the arrival to the start of the output.
    pub first_event: Duration,
    /// Part of it for which the prompt waited for a slot.
    pub slot_wait: Duration,
}

/// Outcome of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    pub answers: Vec<Answer>,
    /// Largest number of requests at a decode engine divided by the mean, over time.
    pub imbalance: Vec<(Instant, f64)>,
}

impl Outcome {
    /// Returns the fraction of the prompts that waited longer for a slot.
    pub fn waiting_fraction(&self, wait_max: Duration) -> f64 {
        let waiting = self.answers.iter().filter(|it| it.slot_wait > wait_max);
        waiting.count() as f64 / self.answers.len() as f64
    }
}

/// Plays a fleet.
pub fn play(setup: &Setup) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = Fleet::new(*setup);
    let slots = (setup.decoders * SLOTS) as f64;
    let per_second = slots * setup.used_slots / OUTPUT_TIME.as_secs_f64();
    let mut arrivals = 0.0;
    let mut now = Instant::from_millis(1_000);
    let end = now + setup.time;
    while now < end {
        now = now + STEP;
        arrivals += per_second * STEP.as_secs_f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            fleet.arrive(random.random_range(0..setup.daemons), now);
        }
        fleet.step(now);
    }
    fleet.outcome
}

/// Prompt on its way to a decode engine.
struct Run {
    daemon: usize,
    placement: Placement,
    prompt: Prompt,
    arrived_at: Instant,
    prefilled_at: Instant,
}

/// Request at a decode engine.
struct Sequence {
    daemon: usize,
    arrived_at: Instant,
    sent_at: Instant,
}

/// Engines that run a number of sequences at once and let others wait.
#[derive(Default)]
struct Decoders {
    running: BTreeMap<Name, Vec<(Instant, usize)>>,
    waiting: BTreeMap<Name, VecDeque<Sequence>>,
}

impl Decoders {
    /// Starts sequences in free slots. Returns them and, with its engine, each that has ended.
    fn step(&mut self, now: Instant) -> (Vec<Sequence>, Vec<(usize, Name)>) {
        let (mut started, mut ended) = (Vec::new(), Vec::new());
        for (engine, waiting) in &mut self.waiting {
            let running = self.running.entry(engine.clone()).or_default();
            running.retain(|(end, daemon)| {
                if *end <= now {
                    ended.push((*daemon, engine.clone()));
                }
                *end > now
            });
            while running.len() < SLOTS
                && let Some(sequence) = waiting.pop_front()
            {
                running.push((now + OUTPUT_TIME, sequence.daemon));
                started.push(sequence);
            }
        }
        (started, ended)
    }

    /// Returns the largest number of requests at an engine divided by the mean.
    fn imbalance(&self, decoders: usize) -> f64 {
        let engines = self.waiting.iter();
        let counts = engines
            .map(|(engine, waiting)| waiting.len() + self.running.get(engine).map_or(0, Vec::len));
        let counts: Vec<usize> = counts.collect();
        let total: usize = counts.iter().sum();
        let most = counts.iter().max().copied().unwrap_or_default();
        most as f64 * decoders as f64 / total.max(1) as f64
    }
}

/// Work that a daemon reports to those that receive all of it.
struct Report {
    arrives_at: Instant,
    sender: usize,
    work: Vec<(Name, EngineWork)>,
}

struct Fleet {
    setup: Setup,
    endpoints: Vec<Endpoint>,
    names: Vec<Name>,
    daemons: Vec<Engines>,
    /// When each prefill engine has read all prompts that were sent to it.
    free_at: HashMap<Name, Instant>,
    /// Prompts that are being prefilled.
    runs: Vec<Run>,
    decoders: Decoders,
    /// Reports on their way, the oldest first.
    reports: VecDeque<Report>,
    /// Whether each daemon's work has changed since its last report to other data centres.
    has_remote_news: Vec<bool>,
    remote_report_at: Instant,
    outcome: Outcome,
}

impl Fleet {
    fn new(setup: Setup) -> Self {
        let open = |seed| Engines::open(Speed::default()).with_order_seed(seed);
        let names = (0..setup.daemons).map(|number| format!("d-{number}").into());
        Self {
            endpoints: engines(&setup),
            names: names.collect(),
            daemons: (0..setup.daemons as u64).map(open).collect(),
            free_at: HashMap::new(),
            runs: Vec::new(),
            decoders: Decoders::default(),
            reports: VecDeque::new(),
            has_remote_news: vec![false; setup.daemons],
            remote_report_at: Instant::default(),
            outcome: Outcome::default(),
            setup,
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
            &data_centre(daemon, &self.setup),
            now,
        );
        let Ok(placement) = placement else {
            return;
        };
        let (millis, priority) = (placement.prefill_ms, placement.priority);
        let engine = placement.prefill.as_ref().unwrap_or(&placement.decode);
        let free_at = self.free_at.entry(engine.clone()).or_default();
        *free_at = now.max(*free_at) + Duration::from_secs_f64(millis / 1e3);
        let prefilled_at = *free_at;
        let engines = &mut self.daemons[daemon];
        engines.prefill_sent(engine, priority, millis, millis, &prompt, now);
        self.runs.push(Run {
            daemon,
            placement,
            prompt,
            arrived_at: now,
            prefilled_at,
        });
        self.report(daemon, now);
    }

    /// Sends a prompt that is prefilled to a decode engine.
    fn decode(&mut self, run: &Run, now: Instant) {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let engines = &mut self.daemons[run.daemon];
        let placed = &run.placement;
        let prefill = placed.prefill.as_ref().unwrap_or(&placed.decode);
        let took_ms = now.since(run.arrived_at).as_secs_f64() * 1e3;
        let done = CallOutcome::Done { millis: took_ms };
        engines.prefill_ended(
            prefill,
            placed.priority,
            placed.prefill_ms,
            took_ms,
            done,
            now,
        );
        let prefill = candidates.iter().find(|it| it.id == *prefill);
        let prefill = prefill.filter(|it| it.stage == Some(Stage::Prefill));
        let mut decoder = placed.decode.clone();
        if let Some(prefill) = prefill.filter(|_| self.setup.chooses_decoder_anew) {
            let chosen = engines.decoder_after_prefill(
                placed,
                prefill,
                &candidates,
                &run.prompt,
                &route(2),
                &limits(),
                &[],
                &data_centre(run.daemon, &self.setup),
                now,
            );
            decoder = chosen.unwrap_or(decoder);
        }
        engines.sequence_sent(&decoder, &run.prompt, now);
        let sequence = Sequence {
            daemon: run.daemon,
            arrived_at: run.arrived_at,
            sent_at: now,
        };
        let waiting = self.decoders.waiting.entry(decoder).or_default();
        waiting.push_back(sequence);
        self.report(run.daemon, now);
    }

    fn report(&mut self, daemon: usize, now: Instant) {
        self.has_remote_news[daemon] = true;
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
        let (started, ended) = self.decoders.step(now);
        let answers = started.into_iter().map(|sequence| Answer {
            arrived_at: sequence.arrived_at,
            first_event: now.since(sequence.arrived_at),
            slot_wait: now.since(sequence.sent_at),
        });
        self.outcome.answers.extend(answers);
        for (daemon, engine) in ended {
            let done = CallOutcome::Done { millis: 0.0 };
            self.daemons[daemon].sequence_ended(&engine, done, now);
            self.report(daemon, now);
        }
        let imbalance = self.decoders.imbalance(self.setup.decoders);
        self.outcome.imbalance.push((now, imbalance));
        self.deliver(now);
    }

    /// Delivers the reports that arrive.
    fn deliver(&mut self, now: Instant) {
        let arrived = |report: &mut Report| report.arrives_at <= now;
        while let Some(Report { sender, work, .. }) = self.reports.pop_front_if(arrived) {
            for recipient in 0..self.setup.daemons {
                if recipient != sender && self.receives_all(recipient, sender) {
                    let name = &self.names[sender];
                    self.daemons[recipient].update_peer(name, work.clone(), now);
                }
            }
        }
        if now < self.remote_report_at {
            return;
        }
        self.remote_report_at = now + REMOTE_REPORT_INTERVAL;
        for sender in 0..self.setup.daemons {
            if !std::mem::take(&mut self.has_remote_news[sender]) {
                continue;
            }
            let mut work = self.daemons[sender].own_work(now);
            work.retain(|(engine, _)| engine.starts_with("prefill"));
            for recipient in 0..self.setup.daemons {
                if !self.receives_all(recipient, sender) {
                    let name = &self.names[sender];
                    self.daemons[recipient].update_peer(name, work.clone(), now);
                }
            }
        }
    }

    fn receives_all(&self, recipient: usize, sender: usize) -> bool {
        let setup = &self.setup;
        setup.daemons <= FULL_MESH_DAEMONS_MAX
            || recipient % setup.data_centres == sender % setup.data_centres
    }
}

fn data_centre(number: usize, setup: &Setup) -> Name {
    format!("c-{}", number % setup.data_centres).into()
}

fn engines(setup: &Setup) -> Vec<Endpoint> {
    let engine = |number: usize, kind: &str, stage| Endpoint {
        stage: Some(stage),
        slots: SLOTS as u32,
        data_centre: data_centre(number, setup),
        ..endpoint(&format!("{kind}-{number}"), "models")
    };
    let prefill = 0..setup.decoders.div_ceil(4);
    let prefill = prefill.map(|number| engine(number, "prefill", Stage::Prefill));
    let decode = (0..setup.decoders).map(|number| engine(number, "decode", Stage::Decode));
    prefill.chain(decode).collect()
}
