use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ragwortgrade_standins::deployment::{DataCentre, Deployment};
use ragwortgrade_standins::{Answer, Caller, ChatRequest, Effect, End, PlainRequest, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::options::Options;
use crate::report::Report;

/// Number of concurrent callers.
const CALLERS: usize = 24;
/// Number of request pairs, direct and through a daemon, in the latency comparison.
const FIRST_TOKEN_PAIRS: usize = 200;
/// Timeout for the first answers of all daemons.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_ANSWER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const WORKSPACES: [&str; 2] = ["weavers", "buyers"];

/// Generator of a mixed load: streamed prompts, short questions and calls of the plain services
/// `stock` and `orders`.
pub(crate) struct LoadGenerator<'a> {
    deployment: &'a Deployment,
    options: &'a Options,
    interrupted: &'a AtomicBool,
    addresses: Vec<SocketAddr>,
    caller: Caller,
    next_index: AtomicUsize,
    /// Answers to each call of `orders`, by its body.
    orders: Mutex<BTreeMap<String, OrderAnswers>>,
    refusals: Mutex<BTreeMap<String, u64>>,
}

#[derive(Clone, Copy)]
struct OrderAnswers {
    complete: bool,
    all_not_run: bool,
}

#[derive(Deserialize)]
struct Effects {
    effects: Vec<Effect>,
}

impl<'a> LoadGenerator<'a> {
    /// Creates a load generator for a running deployment.
    pub(crate) fn open(
        deployment: &'a Deployment,
        options: &'a Options,
        interrupted: &'a AtomicBool,
    ) -> Self {
        Self {
            deployment,
            options,
            interrupted,
            addresses: deployment.caller_addresses(),
            caller: Caller::open(),
            next_index: AtomicUsize::new(0),
            orders: Mutex::new(BTreeMap::new()),
            refusals: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sends the load, checks the answers and measures the time to the first token.
    pub(crate) fn run(&self, report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
        self.wait_for_first_answers()?;
        let shared = Mutex::new(report);
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| self.send_until_done(&shared));
            }
        });
        let report = shared.into_inner().unwrap_or_else(PoisonError::into_inner);
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        eprintln!("refusals: {refusals:?}");
        self.check_orders(report)?;
        report.first_token_added_ms_p50 = self.first_token_overhead_ms()?;
        Ok(())
    }

    /// Waits until every daemon can serve completions and both plain services.
    fn wait_for_first_answers(&self) -> Result<(), String> {
        let until = Instant::now() + FIRST_ANSWER_TIMEOUT;
        for (index, &address) in self.addresses.iter().enumerate() {
            let request = ChatRequest::streamed(WORKSPACES[0], "ready?", 1);
            self.retry_until_complete(until, || self.caller.chat(address, &request, None))?;
            for service in ["stock", "orders"] {
                let request = PlainRequest {
                    key: Some(format!("ready-{index}")),
                    ..plain_request(WORKSPACES[0], service, usize::MAX)
                };
                self.retry_until_complete(until, || self.caller.call(address, &request))?;
            }
        }
        Ok(())
    }

    fn retry_until_complete(
        &self,
        until: Instant,
        send_request: impl Fn() -> Answer,
    ) -> Result<(), String> {
        loop {
            let answer = send_request();
            if answer.end == End::Complete {
                return Ok(());
            }
            if Instant::now() > until || self.interrupted.load(Ordering::Relaxed) {
                return Err(format!(
                    "a daemon does not serve requests: {:?}",
                    answer.end
                ));
            }
            thread::sleep(FIRST_ANSWER_RETRY_INTERVAL);
        }
    }

    fn send_until_done(&self, report: &Mutex<&mut Report>) {
        while !self.interrupted.load(Ordering::Relaxed) {
            let index = self.next_index.fetch_add(1, Ordering::Relaxed);
            if index >= self.options.requests {
                return;
            }
            for verdict in self.send(index) {
                report
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .count(verdict);
            }
        }
    }

    /// Sends the request with this index. A call of `orders` may be sent through two daemons.
    fn send(&self, index: usize) -> Vec<Verdict> {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed.wrapping_add(index as u64));
        let workspace = WORKSPACES[index % WORKSPACES.len()];
        let address = self.addresses[random.random_range(0..self.addresses.len())];
        match random.random_range(0..10) {
            0..4 => {
                let words = random.random_range(50..800);
                let prompt = format!("prompt {index}: {}", "warp and weft ".repeat(words));
                let tokens = random.random_range(16..96);
                let request = ChatRequest::streamed(workspace, &prompt, tokens).service("explain");
                vec![self.chat(address, &request)]
            }
            4..7 => {
                let prompt = format!("short question {index}");
                let request = ChatRequest::streamed(workspace, &prompt, 8).service("ask");
                let is_buffered = random.random_bool(0.5);
                let request = if is_buffered {
                    request.buffered()
                } else {
                    request
                };
                vec![self.chat(address, &request)]
            }
            7..9 => vec![self.call(address, &plain_request(workspace, "stock", index))],
            _ => {
                let other_address = self.addresses[random.random_range(0..self.addresses.len())];
                self.place_order(
                    &[address, other_address][..random.random_range(1..=2)],
                    workspace,
                    index,
                )
            }
        }
    }

    fn chat(&self, address: SocketAddr, request: &ChatRequest) -> Verdict {
        let answer = self.caller.chat(address, request, None);
        let verdict = request.check(&answer, 0);
        self.log_answer(
            request.service.as_deref().unwrap_or(""),
            verdict,
            &answer.end,
        );
        verdict
    }

    fn call(&self, address: SocketAddr, request: &PlainRequest) -> Verdict {
        let answer = self.caller.call(address, request);
        let verdict = request.check(&answer);
        self.log_answer(&request.service, verdict, &answer.end);
        verdict
    }

    /// Counts a refusal, and prints an answer that is neither complete nor refused as not run.
    fn log_answer(&self, service: &str, verdict: Verdict, end: &End) {
        if let End::Refused(refusal) = end {
            let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
            *refusals
                .entry(format!("{service}: {}", refusal.code))
                .or_default() += 1;
        }
        if !matches!(verdict, Verdict::Complete | Verdict::NotRun) {
            eprintln!("{service}: {verdict:?}: {end:?}");
        }
    }

    /// Sends the same call of `orders` through each address concurrently.
    fn place_order(&self, addresses: &[SocketAddr], workspace: &str, index: usize) -> Vec<Verdict> {
        let request = plain_request(workspace, "orders", index);
        let verdicts: Vec<Verdict> = thread::scope(|scope| {
            let sent: Vec<_> = addresses
                .iter()
                .map(|address| scope.spawn(|| self.call(*address, &request)))
                .collect();
            sent.into_iter()
                .map(|call| call.join().unwrap_or(Verdict::Lost))
                .collect()
        });
        let answers = OrderAnswers {
            complete: verdicts.contains(&Verdict::Complete),
            all_not_run: verdicts.iter().all(|verdict| *verdict == Verdict::NotRun),
        };
        self.orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(request.body, answers);
        verdicts
    }

    /// Compares the answers with the effects at the endpoints of `orders`.
    fn check_orders(&self, report: &mut Report) -> Result<(), ragwortgrade_standins::Error> {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for endpoint in self
            .deployment
            .data_centres
            .iter()
            .flat_map(|centre| &centre.plain_endpoints)
        {
            let effects: Effects = self.caller.get(&endpoint.url("/debug/effects"))?;
            for effect in effects.effects {
                *counts.entry(effect.body).or_default() += 1;
            }
        }
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        for (body, answers) in orders.iter() {
            let effects = counts.get(body).copied().unwrap_or(0);
            report.doubled += u64::from(effects > 1 || (answers.all_not_run && effects > 0));
            report.lost += u64::from(answers.complete && effects == 0);
        }
        Ok(())
    }

    /// Measures how much a daemon adds to the median time to the first token, in milliseconds.
    /// Direct requests and requests through a daemon alternate.
    fn first_token_overhead_ms(&self) -> Result<f64, Box<dyn std::error::Error>> {
        let centres: &[DataCentre] = &self.deployment.data_centres;
        let mut direct: Histogram<u64> = Histogram::new(3)?;
        let mut via_daemon: Histogram<u64> = Histogram::new(3)?;
        for pair in 0..FIRST_TOKEN_PAIRS {
            let prompt = format!("time to the first token {pair}");
            let request = ChatRequest::streamed(WORKSPACES[0], &prompt, 4).service("ask");
            let engines = &centres[pair % centres.len()].engines;
            let engine = engines[pair % engines.len()].address;
            let attempt = format!("direct-{pair}");
            if let Some(time) = self
                .caller
                .chat_with_engine(engine, &request, &attempt)
                .first_token
            {
                direct.record(time.as_micros() as u64)?;
            }
            let address = self.addresses[pair % self.addresses.len()];
            if let Some(time) = self.caller.chat(address, &request, None).first_token {
                via_daemon.record(time.as_micros() as u64)?;
            }
        }
        let (direct, via_daemon) = (
            direct.value_at_quantile(0.5),
            via_daemon.value_at_quantile(0.5),
        );
        eprintln!("first token p50: {direct} us direct, {via_daemon} us through a daemon");
        Ok((via_daemon as f64 - direct as f64) / 1_000.0)
    }
}

fn plain_request(workspace: &str, service: &str, index: usize) -> PlainRequest {
    PlainRequest {
        workspace: workspace.to_owned(),
        service: service.to_owned(),
        path: "/new".to_owned(),
        key: (service == "orders").then(|| format!("key-{index}")),
        body: format!("{service} {index}"),
    }
}
