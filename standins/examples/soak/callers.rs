use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use ragwortgrade_standins::deployment::Deployment;
use ragwortgrade_standins::{Answer, Caller, End, PlainQuestion, Question, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::ledger::{Ledger, Order, count};
use crate::options::Options;
use crate::waiting::Waiting;

/// A prompt with this text crashes each engine that runs it.
pub(crate) const CRASH_MARKER: &str = "crash-this-engine";
const WORKSPACES: [&str; 2] = ["weavers", "buyers"];
/// A caller takes a silent daemon for dead after this time; longer than any answer takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// A request that is neither answered nor refused after this time is lost. Longer than the longest
/// failure, since a caller waits for the end of an outage.
const GIVE_UP: Duration = Duration::from_secs(90);
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(200);
const THINKING: Duration = Duration::from_millis(20);
/// The soak notices the end of a crashed engine within this time.
const DEATH_NOTICE: Duration = Duration::from_millis(300);
/// Time between the prompts that crash engines.
const CRASHER_PAUSE: Duration = Duration::from_secs(20);
const CRASHER_TRIES: usize = 8;

/// The callers of a soak.
pub(crate) struct Callers<'a> {
    entrances: Vec<SocketAddr>,
    caller: Caller,
    options: &'a Options,
    ledger: &'a Ledger,
    stopping: &'a AtomicBool,
    next: AtomicU64,
}

impl<'a> Callers<'a> {
    /// Opens the callers of a running deployment.
    pub(crate) fn open(
        deployment: &Deployment,
        options: &'a Options,
        ledger: &'a Ledger,
        stopping: &'a AtomicBool,
    ) -> Self {
        Self {
            entrances: deployment.entrances(),
            caller: Caller::with_timeout(CALL_TIMEOUT),
            options,
            ledger,
            stopping,
            next: AtomicU64::new(0),
        }
    }

    /// Waits until every daemon knows an engine.
    pub(crate) fn wait_for_first_answers(&self) -> Result<(), String> {
        let until = Instant::now() + FIRST_ANSWER_TIMEOUT;
        for &address in &self.entrances {
            let question = Question::streamed(WORKSPACES[0], "ready?", 1);
            loop {
                let answer = self.caller.ask(address, &question, None);
                if answer.end == End::Whole {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{address} does not answer: {:?}", answer.end));
                }
                thread::sleep(RETRY);
            }
        }
        Ok(())
    }

    /// Starts the callers' threads, which end when the soak stops.
    pub(crate) fn spawn<'s>(&'s self, scope: &'s Scope<'s, '_>) {
        for number in 0..self.options.callers {
            scope.spawn(move || self.repeat(number as u64));
        }
        scope.spawn(|| self.repeat_crasher());
    }

    fn repeat(&self, number: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed ^ (number << 32));
        while !self.stopping.load(Ordering::Relaxed) {
            let _open = self.ledger.open_request();
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let verdict = self.send(index, &mut random);
            self.count(verdict);
            thread::sleep(THINKING);
        }
    }

    fn count(&self, verdict: Verdict) {
        count(match verdict {
            Verdict::Complete => &self.ledger.complete,
            Verdict::NotRun => &self.ledger.refused_not_run,
            Verdict::Unknown => &self.ledger.outcome_unknown,
            Verdict::Lost => &self.ledger.lost,
            Verdict::Crossed => &self.ledger.crossed,
        });
    }

    fn send(&self, index: u64, random: &mut ChaCha8Rng) -> Verdict {
        let workspace = WORKSPACES[random.random_range(0..WORKSPACES.len())];
        match random.random_range(0..20) {
            0..8 => {
                let words = random.random_range(50..1_500);
                let prompt = format!("prompt {index}: {}", "warp and weft ".repeat(words));
                let tokens = random.random_range(20..150);
                let question = Question::streamed(workspace, &prompt, tokens).service("explain");
                self.ask(&question, random)
            }
            8..13 => {
                let prompt = format!("short question {index}");
                let question = Question::streamed(workspace, &prompt, 8).service("ask");
                let is_whole = random.random_bool(0.5);
                let question = if is_whole { question.whole() } else { question };
                self.ask(&question, random)
            }
            13..16 => self.check_stock(&plain(workspace, "stock", index), random),
            16..19 => {
                let mut order = plain(workspace, "orders", index);
                order.key = Some(format!("key-{index}"));
                self.order(order, random)
            }
            _ => self.order_once(plain(workspace, "orders", index), random),
        }
    }

    fn entrance(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.entrances[random.random_range(0..self.entrances.len())]
    }

    /// Asks, and resumes a broken stream through another daemon.
    fn ask(&self, question: &Question, random: &mut ChaCha8Rng) -> Verdict {
        let give_up = Instant::now() + GIVE_UP;
        let mut waiting = Waiting::begin();
        let mut received = 0;
        let mut last_event: Option<String> = None;
        let mut is_first = true;
        let deaths = self.ledger.engine_deaths.load(Ordering::Relaxed);
        loop {
            let entrance = self.entrance(random);
            let answer = self.caller.ask(entrance, question, last_event.as_deref());
            let verdict = question.judge(&answer, received);
            match verdict {
                Verdict::Complete => return verdict,
                Verdict::NotRun if is_first => return verdict,
                Verdict::Crossed => {
                    let first = answer.tokens.first();
                    eprintln!("crossed answer of {entrance} at token {received}: {first:?}");
                    return verdict;
                }
                _ if Instant::now() > give_up => {
                    eprintln!("gave up at token {received}: {:?}", answer.end);
                    return Verdict::Lost;
                }
                _ => {}
            }
            waiting.report(|| {
                format!(
                    "{} at token {received}, {entrance}: {:?}",
                    name_of(question),
                    answer.end
                )
            });
            if is_accused(&answer) && self.has_seen_two_deaths_since(deaths) {
                count(&self.ledger.accused);
                return Verdict::Unknown;
            }
            if self.is_cut_by_drain(entrance, &answer) {
                eprintln!(
                    "{entrance} broke a stream while it drained: {:?}",
                    answer.end
                );
                return Verdict::Lost;
            }
            if question.completion.stream && !answer.tokens.is_empty() {
                received += answer.tokens.len();
                last_event = answer.last_event;
                count(&self.ledger.resumed);
            }
            is_first = false;
            thread::sleep(RETRY);
        }
    }

    /// Tells whether two engines died since, whose batches the request may have been in.
    ///
    /// A request that was in the batches of two dead engines is refused (design section 5.4), also
    /// when the engines died of something else. Without two deaths the refusal is a loss.
    fn has_seen_two_deaths_since(&self, deaths: u64) -> bool {
        thread::sleep(DEATH_NOTICE);
        self.ledger.engine_deaths.load(Ordering::Relaxed) >= deaths + 2
    }

    /// Tells whether a daemon broke a stream although its stop was planned.
    fn is_cut_by_drain(&self, entrance: SocketAddr, answer: &Answer) -> bool {
        let is_cut = matches!(answer.end, End::Broken(_)) && !answer.tokens.is_empty();
        is_cut && self.ledger.is_draining(entrance)
    }

    /// Calls an idempotent service until it answers or refuses.
    fn check_stock(&self, question: &PlainQuestion, random: &mut ChaCha8Rng) -> Verdict {
        let give_up = Instant::now() + GIVE_UP;
        loop {
            let answer = self.caller.call(self.entrance(random), question);
            let verdict = question.judge(&answer);
            if verdict != Verdict::Lost || Instant::now() > give_up {
                return verdict;
            }
            thread::sleep(RETRY);
        }
    }

    /// Sends an order with a key, again and through other daemons until the outcome is known.
    fn order(&self, question: PlainQuestion, random: &mut ChaCha8Rng) -> Verdict {
        let give_up = Instant::now() + GIVE_UP;
        let mut waiting = Waiting::begin();
        let mut all_not_run = true;
        let mut verdict;
        loop {
            let answer = self.caller.call(self.entrance(random), &question);
            verdict = question.judge(&answer);
            all_not_run &= verdict == Verdict::NotRun;
            let code = answer.refusal().map_or("", |refusal| refusal.code.as_str());
            let retries = match (verdict, code) {
                (Verdict::Lost, _) | (_, "in_progress") => true,
                (_, "outcome_unknown") => false,
                (Verdict::NotRun, _) => !all_not_run || random.random_bool(0.5),
                _ => false,
            };
            if !retries || Instant::now() > give_up {
                break;
            }
            waiting.report(|| format!("{} with verdict {verdict:?} {code}", question.body));
            thread::sleep(RETRY);
        }
        if verdict == Verdict::Complete && random.random_bool(0.3) {
            verdict = self.order_again(&question, random);
        }
        let order = Order {
            complete: verdict == Verdict::Complete,
            all_not_run,
        };
        self.ledger.record_order(question.body, order);
        if verdict == Verdict::NotRun && !all_not_run {
            return Verdict::Unknown;
        }
        verdict
    }

    /// Sends a completed order again; the recorded answer may come back, nothing else.
    fn order_again(&self, question: &PlainQuestion, random: &mut ChaCha8Rng) -> Verdict {
        let answer = self.caller.call(self.entrance(random), question);
        match question.judge(&answer) {
            Verdict::Crossed => Verdict::Crossed,
            _ => Verdict::Complete,
        }
    }

    /// Sends an order without a key once; a broken connection leaves the outcome open.
    fn order_once(&self, question: PlainQuestion, random: &mut ChaCha8Rng) -> Verdict {
        let answer = self.caller.call(self.entrance(random), &question);
        let verdict = match question.judge(&answer) {
            Verdict::Lost => Verdict::Unknown,
            verdict => verdict,
        };
        let order = Order {
            complete: verdict == Verdict::Complete,
            all_not_run: verdict == Verdict::NotRun,
        };
        self.ledger.record_order(question.body, order);
        verdict
    }

    /// Sends a prompt that crashes engines and retries it as an impatient caller does.
    fn repeat_crasher(&self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed.wrapping_add(1));
        let mut number = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let prompt = format!("{CRASH_MARKER} {number}");
            let question = Question::streamed(WORKSPACES[0], &prompt, 20).service("ask");
            for _ in 0..CRASHER_TRIES {
                let answer = self.caller.ask(self.entrance(&mut random), &question, None);
                if is_accused(&answer) {
                    count(&self.ledger.crash_refusals);
                }
                if self.stopping.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(RETRY);
            }
            number += 1;
            let until = Instant::now() + CRASHER_PAUSE;
            while Instant::now() < until && !self.stopping.load(Ordering::Relaxed) {
                thread::sleep(RETRY);
            }
        }
    }
}

/// Returns the beginning of a question's text, which names it.
fn name_of(question: &Question) -> String {
    let message = question.completion.messages.first();
    message.map_or_else(String::new, |message| {
        message.content.chars().take(24).collect()
    })
}

/// Tells whether a daemon says that the content of the request crashes endpoints.
fn is_accused(answer: &Answer) -> bool {
    let refusal = answer.refusal();
    refusal.is_some_and(|refusal| refusal.code == "crashes_endpoints")
}

fn plain(workspace: &str, service: &str, index: u64) -> PlainQuestion {
    PlainQuestion {
        workspace: workspace.to_owned(),
        service: service.to_owned(),
        path: "/new".to_owned(),
        key: None,
        body: format!("{service} {index}"),
    }
}
