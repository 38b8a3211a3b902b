use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use ragwortgrade_standins::deployment::Deployment;
use ragwortgrade_standins::{Answer, Caller, ChatRequest, End, PlainRequest, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::observations::{Observations, Order, increment};
use crate::options::Options;
use crate::slow_request_log::SlowRequestLog;

/// Text in a prompt that crashes each engine that runs it.
pub(crate) const CRASH_MARKER: &str = "crash-this-engine";
const WORKSPACES: [&str; 2] = ["weavers", "buyers"];
/// Timeout of a call, longer than any answer takes; afterwards the caller tries another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a request without an answer or a refusal counts as lost. It exceeds the longest
/// failure, since callers retry until an outage ends.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const THINK_TIME: Duration = Duration::from_millis(20);
/// Time within which the injector detects that an engine has exited.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Interval between prompts that crash engines.
const CRASHER_PAUSE: Duration = Duration::from_secs(20);
const CRASHER_ATTEMPTS: usize = 8;

/// Load generator of the soak.
pub(crate) struct Callers<'a> {
    addresses: Vec<SocketAddr>,
    caller: Caller,
    options: &'a Options,
    observations: &'a Observations,
    stopping: &'a AtomicBool,
    next_index: AtomicU64,
}

impl<'a> Callers<'a> {
    /// Creates the callers for a running deployment.
    pub(crate) fn open(
        deployment: &Deployment,
        options: &'a Options,
        observations: &'a Observations,
        stopping: &'a AtomicBool,
    ) -> Self {
        Self {
            addresses: deployment.caller_addresses(),
            caller: Caller::with_timeout(CALL_TIMEOUT),
            options,
            observations,
            stopping,
            next_index: AtomicU64::new(0),
        }
    }

    /// Waits until every daemon answers a completion.
    pub(crate) fn wait_for_first_answers(&self) -> Result<(), String> {
        let until = Instant::now() + FIRST_ANSWER_TIMEOUT;
        for &address in &self.addresses {
            let request = ChatRequest::streamed(WORKSPACES[0], "ready?", 1);
            loop {
                let answer = self.caller.chat(address, &request, None);
                if answer.end == End::Complete {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!(
                        "daemon {address} does not answer: {:?}",
                        answer.end
                    ));
                }
                thread::sleep(RETRY_INTERVAL);
            }
        }
        Ok(())
    }

    /// Starts the caller threads, which run until `stopping` is set.
    pub(crate) fn spawn<'s>(&'s self, scope: &'s Scope<'s, '_>) {
        for number in 0..self.options.callers {
            scope.spawn(move || self.run_caller(number as u64));
        }
        scope.spawn(|| self.run_crasher());
    }

    fn run_caller(&self, number: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed ^ (number << 32));
        while !self.stopping.load(Ordering::Relaxed) {
            let _open = self.observations.open_request();
            let index = self.next_index.fetch_add(1, Ordering::Relaxed);
            let verdict = self.send(index, &mut random);
            self.count(verdict);
            thread::sleep(THINK_TIME);
        }
    }

    fn count(&self, verdict: Verdict) {
        increment(match verdict {
            Verdict::Complete => &self.observations.complete,
            Verdict::NotRun => &self.observations.refused_not_run,
            Verdict::Unknown => &self.observations.outcome_unknown,
            Verdict::Lost => &self.observations.lost,
            Verdict::Crossed => &self.observations.crossed,
        });
    }

    fn send(&self, index: u64, random: &mut ChaCha8Rng) -> Verdict {
        let workspace = WORKSPACES[random.random_range(0..WORKSPACES.len())];
        match random.random_range(0..20) {
            0..8 => {
                let words = random.random_range(50..1_500);
                let prompt = format!("prompt {index}: {}", "warp and weft ".repeat(words));
                let tokens = random.random_range(20..150);
                let request = ChatRequest::streamed(workspace, &prompt, tokens).service("explain");
                self.chat(&request, random)
            }
            8..13 => {
                let prompt = format!("short question {index}");
                let request = ChatRequest::streamed(workspace, &prompt, 8).service("ask");
                let is_buffered = random.random_bool(0.5);
                let request = if is_buffered {
                    request.buffered()
                } else {
                    request
                };
                self.chat(&request, random)
            }
            13..16 => self.check_stock(&plain_request(workspace, "stock", index), random),
            16..19 => {
                let mut order = plain_request(workspace, "orders", index);
                order.key = Some(format!("key-{index}"));
                self.place_order(order, random)
            }
            _ => self.place_order_without_key(plain_request(workspace, "orders", index), random),
        }
    }

    fn random_address(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.addresses[random.random_range(0..self.addresses.len())]
    }

    /// Sends a chat request, and resumes a broken stream through a random daemon.
    fn chat(&self, request: &ChatRequest, random: &mut ChaCha8Rng) -> Verdict {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut slow_log = SlowRequestLog::start();
        let mut received = 0;
        let mut last_event: Option<String> = None;
        let mut is_first = true;
        let exits_before = self.observations.engine_exits.load(Ordering::Relaxed);
        loop {
            let address = self.random_address(random);
            let answer = self.caller.chat(address, request, last_event.as_deref());
            let verdict = request.check(&answer, received);
            match verdict {
                Verdict::Complete => return verdict,
                Verdict::NotRun if is_first => return verdict,
                Verdict::Crossed => {
                    let first = answer.tokens.first();
                    eprintln!("crossed answer from {address} at token {received}: {first:?}");
                    return verdict;
                }
                _ if Instant::now() > deadline => {
                    eprintln!("request timed out at token {received}: {:?}", answer.end);
                    return Verdict::Lost;
                }
                _ => {}
            }
            slow_log.log(|| {
                format!(
                    "{} at token {received}, {address}: {:?}",
                    label(request),
                    answer.end
                )
            });
            if is_crash_refusal(&answer) && self.have_two_engines_exited_since(exits_before) {
                increment(&self.observations.refused_after_crashes);
                return Verdict::Unknown;
            }
            if self.is_broken_by_drain(address, &answer) {
                eprintln!(
                    "{address} broke a stream during its drain: {:?}",
                    answer.end
                );
                return Verdict::Lost;
            }
            if request.completion.stream && !answer.tokens.is_empty() {
                received += answer.tokens.len();
                last_event = answer.last_event;
                increment(&self.observations.resumed);
            }
            is_first = false;
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Returns whether at least two engines, whose batches may have contained the request, have
    /// exited since it was first sent.
    ///
    /// Daemons refuse a request that was in the batches of two engines when they crashed, also when
    /// the crashes had another cause. Without two exits such a refusal is wrong, and the request
    /// counts as lost unless a retry succeeds.
    fn have_two_engines_exited_since(&self, exits_before: u64) -> bool {
        thread::sleep(CRASH_DETECTION_TIME);
        self.observations.engine_exits.load(Ordering::Relaxed) >= exits_before + 2
    }

    /// Returns whether a daemon broke a stream during a planned drain.
    fn is_broken_by_drain(&self, address: SocketAddr, answer: &Answer) -> bool {
        let is_broken = matches!(answer.end, End::Broken(_)) && !answer.tokens.is_empty();
        is_broken && self.observations.is_draining(address)
    }

    /// Calls an idempotent service, and retries until it answers or refuses.
    fn check_stock(&self, request: &PlainRequest, random: &mut ChaCha8Rng) -> Verdict {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let answer = self.caller.call(self.random_address(random), request);
            let verdict = request.check(&answer);
            if verdict != Verdict::Lost || Instant::now() > deadline {
                return verdict;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Calls the plain service `orders` with an idempotency key, and retries through random daemons
    /// until the outcome is known. Sometimes resends a completed call.
    fn place_order(&self, request: PlainRequest, random: &mut ChaCha8Rng) -> Verdict {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut slow_log = SlowRequestLog::start();
        let mut all_not_run = true;
        let mut verdict;
        loop {
            let answer = self.caller.call(self.random_address(random), &request);
            verdict = request.check(&answer);
            all_not_run &= verdict == Verdict::NotRun;
            let code = answer.refusal().map_or("", |refusal| refusal.code.as_str());
            let retries = match (verdict, code) {
                (Verdict::Lost, _) | (_, "in_progress") => true,
                (_, "outcome_unknown") => false,
                (Verdict::NotRun, _) => !all_not_run || random.random_bool(0.5),
                _ => false,
            };
            if !retries || Instant::now() > deadline {
                break;
            }
            slow_log.log(|| format!("{} with verdict {verdict:?} {code}", request.body));
            thread::sleep(RETRY_INTERVAL);
        }
        if verdict == Verdict::Complete && random.random_bool(0.3) {
            verdict = self.resend_order(&request, random);
        }
        let order = Order {
            complete: verdict == Verdict::Complete,
            all_not_run,
        };
        self.observations.record_order(request.body, order);
        if verdict == Verdict::NotRun && !all_not_run {
            return Verdict::Unknown;
        }
        verdict
    }

    /// Resends a completed call of `orders`. The daemon may return the recorded answer or refuse
    /// the call, but must not return another answer.
    fn resend_order(&self, request: &PlainRequest, random: &mut ChaCha8Rng) -> Verdict {
        let answer = self.caller.call(self.random_address(random), request);
        match request.check(&answer) {
            Verdict::Crossed => Verdict::Crossed,
            _ => Verdict::Complete,
        }
    }

    /// Calls `orders` once without a key. After a broken connection the outcome is unknown.
    fn place_order_without_key(&self, request: PlainRequest, random: &mut ChaCha8Rng) -> Verdict {
        let answer = self.caller.call(self.random_address(random), &request);
        let verdict = match request.check(&answer) {
            Verdict::Lost => Verdict::Unknown,
            verdict => verdict,
        };
        let order = Order {
            complete: verdict == Verdict::Complete,
            all_not_run: verdict == Verdict::NotRun,
        };
        self.observations.record_order(request.body, order);
        verdict
    }

    /// Sends prompts that crash engines, and retries each one as a client without back-off does.
    fn run_crasher(&self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed.wrapping_add(1));
        let mut number = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let prompt = format!("{CRASH_MARKER} {number}");
            let request = ChatRequest::streamed(WORKSPACES[0], &prompt, 20).service("ask");
            for _ in 0..CRASHER_ATTEMPTS {
                let answer = self
                    .caller
                    .chat(self.random_address(&mut random), &request, None);
                if is_crash_refusal(&answer) {
                    increment(&self.observations.crash_refusals);
                }
                if self.stopping.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(RETRY_INTERVAL);
            }
            number += 1;
            let until = Instant::now() + CRASHER_PAUSE;
            while Instant::now() < until && !self.stopping.load(Ordering::Relaxed) {
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}

/// Returns the beginning of the first message, which identifies the request in the log.
fn label(request: &ChatRequest) -> String {
    let message = request.completion.messages.first();
    message.map_or_else(String::new, |message| {
        message.content.chars().take(24).collect()
    })
}

/// Returns whether the daemon refused the request because it crashes endpoints.
fn is_crash_refusal(answer: &Answer) -> bool {
    let refusal = answer.refusal();
    refusal.is_some_and(|refusal| refusal.code == "crashes_endpoints")
}

fn plain_request(workspace: &str, service: &str, index: u64) -> PlainRequest {
    PlainRequest {
        workspace: workspace.to_owned(),
        service: service.to_owned(),
        path: "/new".to_owned(),
        key: None,
        body: format!("{service} {index}"),
    }
}
