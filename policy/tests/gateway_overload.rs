//! Admission of prompts of different sizes while more arrive than the engines can prefill.

mod gateway_support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, EngineWork, Placement, Prompt, SizeShares, Speed, WaitLimit,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const DAEMONS: usize = 3;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 8;
/// Sequences on each decode engine, so many that none accepts a request that misses its target.
const SEQUENCES: u32 = 30;
const DOCUMENTS: u64 = 60;
const REQUESTS: usize = 3_000;
/// Fixed part of a prefill call, in ms.
const CALL_MS: f64 = 65.0;

/// What one caller got.
#[derive(Clone, Debug)]
struct Request {
    prompt: Prompt,
    daemon: usize,
    is_retry: bool,
    is_served: bool,
}

/// A prefill that an engine has to do or does.
#[derive(Debug)]
struct Job {
    daemon: usize,
    placement: Placement,
    sent_at: Instant,
    expected_ms: f64,
}

/// An engine that prefills one prompt at a time, the most urgent first.
#[derive(Debug, Default)]
struct Server {
    queue: Vec<Job>,
    running: Option<Job>,
}

/// An event, ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    PrefillEnd(Name),
}

struct Overload {
    daemons: Vec<(Fleet, SizeShares)>,
    servers: BTreeMap<Name, Server>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    has_size_shares: bool,
}

impl Overload {
    /// Offers `load` times what the prefill engines can do if all shared parts are cached.
    fn run(load: f64, seed: u64, has_size_shares: bool) -> Vec<Request> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let fleet = || Fleet::new(PREFILL_ENGINES, DECODE_ENGINES).with_slots(128);
        let mut overload = Self {
            daemons: (0..DAEMONS)
                .map(|_| (fleet(), SizeShares::default()))
                .collect(),
            servers: BTreeMap::new(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            has_size_shares,
        };
        let mut arrival_ms = 0.0;
        for number in 0..REQUESTS {
            let prompt = Self::random_prompt(&mut random);
            let shared = prompt.shared_tokens();
            let prefill_ms = Speed::default().prefill_ms(prompt.tokens, shared, false);
            let mean_gap_ms = prefill_ms / load / PREFILL_ENGINES as f64;
            arrival_ms += mean_gap_ms * -random.random::<f64>().ln();
            let at = Instant::from_micros((arrival_ms * 1e3) as u64);
            overload.events.push(Reverse((at, Event::Arrival(number))));
            overload.requests.push(Request {
                prompt,
                daemon: random.random_range(0..DAEMONS),
                is_retry: false,
                is_served: false,
            });
        }
        overload.report_sequences();
        while let Some(Reverse((now, event))) = overload.events.pop() {
            match event {
                Event::Arrival(number) => overload.arrive(number, now),
                Event::PrefillEnd(engine) => overload.end_prefill(&engine, now),
            }
        }
        overload.requests
    }

    /// Draws a size from a log-normal distribution with a median of 8,000 tokens.
    fn random_prompt(random: &mut ChaCha8Rng) -> Prompt {
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let tokens = (8_000.0 * (0.8 * normal).exp()).clamp(1_000.0, 60_000.0);
        prompt(
            tokens as u32,
            Some(1_000 + random.random_range(0..DOCUMENTS)),
        )
    }

    fn report_sequences(&mut self) {
        let running = EngineWork {
            sequences: SEQUENCES,
            ..EngineWork::default()
        };
        let names: Vec<String> = (0..DECODE_ENGINES)
            .map(|number| format!("decode-{number}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        for (fleet, _) in &mut self.daemons {
            fleet.report_work(&names, running, Instant::FAR_FUTURE);
        }
    }

    fn arrive(&mut self, number: usize, now: Instant) {
        let request = self.requests[number].clone();
        let (fleet, shares) = &mut self.daemons[request.daemon];
        let route = route(2);
        let wait_limit = if self.has_size_shares {
            shares.wait_limit(&route.name, request.prompt.tokens)
        } else {
            WaitLimit::default()
        };
        let result = fleet.place_within(&request.prompt, &route, wait_limit, &[], now);
        shares.record(&route.name, request.prompt.tokens, result.is_ok());
        match result {
            Ok(placement) => {
                self.requests[number].is_served = true;
                self.send(&request, placement, now);
            }
            Err(refusal) if !request.is_retry => {
                self.requests[number].is_retry = true;
                self.requests[number].daemon = (request.daemon + 1) % DAEMONS;
                let event = Event::Arrival(number);
                self.events
                    .push(Reverse((now + refusal.retry_after, event)));
            }
            Err(_) => {}
        }
    }

    fn send(&mut self, request: &Request, placement: Placement, now: Instant) {
        let engine = placement.prefill.as_ref().unwrap_or(&placement.decode);
        let engine = engine.clone();
        let engines = &mut self.daemons[request.daemon].0.engines;
        let expected_ms = engines.known_wait_ms(&engine, placement.priority, now)
            + placement.prefill_ms
            + CALL_MS;
        engines.prefill_sent(
            &engine,
            placement.priority,
            placement.prefill_ms,
            expected_ms,
            &request.prompt,
            now,
        );
        self.exchange_work(request.daemon, now);
        let server = self.servers.entry(engine.clone()).or_default();
        server.queue.push(Job {
            daemon: request.daemon,
            placement,
            sent_at: now,
            expected_ms,
        });
        self.start_next(&engine, now);
    }

    fn start_next(&mut self, engine: &Name, now: Instant) {
        let server = self.servers.entry(engine.clone()).or_default();
        if server.running.is_some() {
            return;
        }
        let next =
            (0..server.queue.len()).min_by_key(|index| server.queue[*index].placement.priority);
        let Some(index) = next else {
            return;
        };
        let job = server.queue.remove(index);
        let end = now + Duration::from_secs_f64(job.placement.prefill_ms / 1e3);
        server.running = Some(job);
        self.events
            .push(Reverse((end, Event::PrefillEnd(engine.clone()))));
    }

    fn end_prefill(&mut self, engine: &Name, now: Instant) {
        let server = self.servers.entry(engine.clone()).or_default();
        let job = server
            .running
            .take()
            .expect("the ended prefill was running");
        let millis = now.since(job.sent_at).as_secs_f64() * 1e3 + CALL_MS;
        self.daemons[job.daemon].0.engines.prefill_ended(
            engine,
            job.placement.priority,
            job.placement.prefill_ms,
            job.expected_ms,
            CallOutcome::Done { millis },
            now,
        );
        self.exchange_work(job.daemon, now);
        self.start_next(engine, now);
    }

    /// Sends the work of one daemon to the others.
    fn exchange_work(&mut self, from: usize, now: Instant) {
        let work = self.daemons[from].0.engines.own_work(now);
        let name = Name::from(format!("daemon-{from}"));
        for (number, (fleet, _)) in self.daemons.iter_mut().enumerate() {
            if number != from {
                fleet.engines.update_peer(&name, work.clone(), now);
            }
        }
    }
}

/// Returns the share of requests that are served: of all, and of the largest tenth.
fn served_shares(mut requests: Vec<Request>) -> (f64, f64) {
    requests.sort_by_key(|request| request.prompt.tokens);
    let share = |requests: &[Request]| {
        let served = requests.iter().filter(|request| request.is_served).count();
        served as f64 / requests.len() as f64
    };
    let largest = &requests[requests.len() * 9 / 10..];
    (share(&requests), share(largest))
}

/// Guards against short prompts that keep the queues so long that hardly a long one is admitted.
fn largest_tenth_is_served_half_as_often_as_all(load: f64, seed: u64) {
    let (all, largest) = served_shares(Overload::run(load, seed, true));
    assert!(
        largest >= all / 2.0,
        "of the largest tenth {largest:.2} are served, of all {all:.2}"
    );
}

named_cases! { largest_tenth_is_served_half_as_often_as_all:
    at_a_load_of_1_6(1.6, 1);
    at_a_load_of_2(2.0, 2);
    at_a_load_of_3(3.0, 3);
    at_a_load_of_5(5.0, 4);
}

/// Negative control.
#[test]
fn without_size_shares_the_largest_tenth_is_starved() {
    let (all, largest) = served_shares(Overload::run(3.0, 3, false));
    assert!(
        largest < all / 2.0,
        "of the largest tenth {largest:.2} are served, of all {all:.2}"
    );
}

fn shares_after(decisions: &[(u32, bool, usize)]) -> SizeShares {
    let mut shares = SizeShares::default();
    for (tokens, is_admitted, count) in decisions {
        for _ in 0..*count {
            shares.record(&"route".into(), *tokens, *is_admitted);
        }
    }
    shares
}

/// Guards against a shorter wait of short prompts without long ones that are refused, or for longer
/// than the overload.
fn limits_wait_by_size_alone(decisions: &[(u32, bool, usize)], tokens: u32, expected: bool) {
    let shares = shares_after(decisions);
    let wait_limit = shares.wait_limit(&"route".into(), tokens);
    assert_eq!(wait_limit == WaitLimit::WhileTargetIsMet, !expected);
    assert_eq!(
        shares.wait_limit(&"other".into(), tokens),
        WaitLimit::WhileTargetIsMet
    );
}

named_cases! { limits_wait_by_size_alone:
    not_while_all_are_admitted(&[(2_000, true, 50), (30_000, true, 5)], 5_000, false);
    of_smaller_prompts_while_long_ones_are_refused(&[(2_000, true, 50), (30_000, false, 3)], 5_000, true);
    not_of_prompts_that_hardly_delay_long_ones(&[(2_000, true, 50), (30_000, false, 3)], 2_000, false);
    of_the_refused_prompts_themselves(&[(2_000, true, 50), (30_000, false, 3)], 30_000, true);
    not_of_larger_prompts(&[(30_000, true, 50), (2_000, false, 3)], 30_000, false);
    not_long_after_the_last_long_prompt(&[(30_000, false, 50), (2_000, true, 300)], 5_000, false);
    not_after_the_owed_prompts_were_admitted(&[(2_000, true, 50), (30_000, false, 50), (30_000, true, 4)], 5_000, false);
    despite_many_admissions_long_ago(&[(30_000, true, 500), (30_000, false, 3)], 5_000, true);
}
