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

fn engines(decoders: usize) -> Vec<Endpoint> {
    let engine = |number: usize, kind: &str, stage| Endpoint {
        stage: Some(stage),
        slots: 12,
        data_centre: format!("c-{}", number % DATA_CENTRES).into(),
        ..gateway_support::endpoint(&format!("{kind}-{number}"), "models")
    };
    let prefill = (0..decoders / 4).map(|number| engine(number, "prefill", Stage::Prefill));
    let decode = (0..decoders).map(|number| engine(number, "decode", Stage::Decode));
    prefill.chain(decode).collect()
}

/// Plays long prompts that are prefilled remotely. Returns the fraction that waits for a slot.
fn waiting_fraction(daemons: usize, decoders: usize, used_slots: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let endpoints = engines(decoders);
    let candidates: Vec<&Endpoint> = endpoints.iter().collect();
    let data_centre = |daemon: usize| Name::from(format!("c-{}", daemon % DATA_CENTRES));
    let mut states: Vec<Engines> = (0..daemons)
        .map(|seed| Engines::open(Speed::default()).with_order_seed(seed as u64))
        .collect();
    let mut decode = Decoders {
        slots: 12,
        running: BTreeMap::new(),
        waiting: BTreeMap::new(),
        ends: Vec::new(),
        waits: Vec::new(),
    };
    let per_second = (decoders * 12) as f64 * used_slots / OUTPUT_TIME.as_secs_f64();
    let mut runs: Vec<Run> = Vec::new();
    let mut reports: VecDeque<(Instant, usize, Vec<(Name, EngineWork)>)> = VecDeque::new();
    let mut now = Instant::from_millis(1_000);
    let end = now + PLAY_TIME;
    let mut arrivals = 0.0;
    while now < end {
        now = now + STEP;
        let mut changed = vec![false; daemons];
        arrivals += per_second * STEP.as_secs_f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let daemon = random.random_range(0..daemons);
            let prompt = Prompt {
                output_tokens_hint: Some(OUTPUT_TOKENS),
                ..prompt(PROMPT_TOKENS, None)
            };
            let placement = states[daemon].place(
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
                continue;
            };
            let prefilled_at = now + Duration::from_secs_f64(placement.prefill_ms / 1e3);
            if let Some(prefill) = &placement.prefill {
                let (millis, priority) = (placement.prefill_ms, placement.priority);
                states[daemon].prefill_sent(prefill, priority, millis, millis, &prompt, now);
                changed[daemon] = true;
            }
            runs.push(Run {
                daemon,
                placement,
                prompt,
                prefilled_at,
            });
        }
        let (prefilled, pending): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.prefilled_at <= now);
        runs = pending;
        for run in prefilled {
            let state = &mut states[run.daemon];
            let mut decoder = run.placement.decode.clone();
            if let Some(prefill) = &run.placement.prefill {
                let (millis, priority) = (run.placement.prefill_ms, run.placement.priority);
                let done = CallOutcome::Done { millis };
                state.prefill_ended(prefill, priority, millis, millis, done, now);
                let prefill = endpoints.iter().find(|it| it.id == *prefill).unwrap();
                let chosen = state.decoder_after_prefill(
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
            state.sequence_sent(&decoder, &run.prompt, now);
            changed[run.daemon] = true;
            decode.start(&decoder, run.daemon, now);
        }
        decode.step(now);
        let (ended, running) = decode.ends.drain(..).partition(|(end, ..)| *end <= now);
        decode.ends = running;
        let ended: Vec<(Instant, usize, Name)> = ended;
        for (_, daemon, engine) in ended {
            let done = CallOutcome::Done { millis: 0.0 };
            states[daemon].sequence_ended(&engine, done, now);
            changed[daemon] = true;
        }
        for daemon in (0..daemons).filter(|daemon| changed[*daemon]) {
            reports.push_back((now + REPORT_TIME, daemon, states[daemon].own_work(now)));
        }
        while reports.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, sender, work) = reports.pop_front().unwrap();
            let name = Name::from(format!("d-{sender}"));
            let local = (0..daemons).filter(|it| it % DATA_CENTRES == sender % DATA_CENTRES);
            for recipient in local.filter(|it| *it != sender) {
                states[recipient].update_peer(&name, work.clone(), now);
            }
        }
    }
    let waiting = decode.waits.iter().filter(|it| **it > WAIT_MAX).count();
    waiting as f64 / decode.waits.len() as f64
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
