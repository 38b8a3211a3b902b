use std::time::Duration;

use ragwortgrade_policy::decision::{Decision, Dispatch};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::Name;

use super::{SimEvent, Simulation};
use crate::call::Outcome;
use crate::deployment::Deployment;
use crate::job::{Job, Stage};
use crate::parameters::Parameters;
use crate::trace::Kind;

impl Simulation<'_> {
    /// Number of attempts after which a call is closed as late; limits the work for a call that no
    /// endpoint accepts.
    const ATTEMPTS_MAX: u32 = 40;
    /// Time within which the next token of a resumed stream is due.
    const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

    pub(super) fn route(&mut self, call: usize) {
        if self.calls[call].outcome.is_some() {
            return;
        }
        if self.calls[call].attempt > Self::ATTEMPTS_MAX {
            self.close(call, Outcome::Late);
            return;
        }
        let request = self.request(call);
        let now = self.instant();
        match self.strategy.route(self.calls[call].daemon, &request, now) {
            Decision::Dispatch(dispatch) => self.dispatch(call, &dispatch),
            Decision::Wait { until } => {
                let at = until.as_micros().max(self.now_us + 1_000);
                let attempt = self.calls[call].attempt;
                self.event_queue
                    .schedule(at, SimEvent::Route { call, attempt });
            }
            Decision::Refuse(_) if self.calls[call].tokens == 0 => {
                self.close(call, Outcome::Refused);
            }
            Decision::Refuse(_) => self.close(call, Outcome::Late),
        }
    }

    fn request(&self, call: usize) -> Request {
        let row = &self.setup.trace.rows[call];
        let state = &self.calls[call];
        let due = (row.at_ms + row.deadline_ms()) * 1_000 - Deployment::CALLER_DELAY_US;
        let mut deadline = Instant::from_micros(due);
        if state.first_token.is_some() {
            deadline = deadline.max(self.instant() + Self::RESUME_TIMEOUT);
        }
        Request {
            id: call as u64,
            service: row.service.clone(),
            workspace: Name::from("all"),
            model: (row.kind == Kind::Model).then(|| Name::from(Deployment::MODEL)),
            priority: row.priority,
            prompt_tokens: row.prompt_tokens + state.tokens,
            prefix: row.prefix().map(|(prefix, _)| prefix),
            prefix_tokens: row.prefix().map_or(0, |(_, tokens)| tokens),
            max_output_tokens: None,
            arrived: Instant::from_micros(row.at_ms * 1_000 + Deployment::CALLER_DELAY_US),
            deadline,
            avoid: state.avoid.clone(),
        }
    }

    fn dispatch(&mut self, call: usize, dispatch: &Dispatch) {
        let row = &self.setup.trace.rows[call];
        self.calls[call].attempt += 1;
        self.calls[call].priority = dispatch.priority;
        let data_centre = Self::data_centre_of(self.calls[call].daemon);
        if row.kind == Kind::Plain {
            let found = (0..self.workers.len())
                .find(|worker| Self::worker_name(*worker, &row.service) == dispatch.endpoint);
            let Some(worker) = found else {
                self.close(call, Outcome::Late);
                return;
            };
            let job = self.job(call, Stage::Whole);
            self.calls[call].endpoint = Some(worker);
            let at = self.now_us + self.one_way_delay_us(data_centre, worker / Deployment::WORKERS);
            self.event_queue
                .schedule(at, SimEvent::JobAtWorker { worker, job });
            return;
        }
        let Some(endpoint) = self.find_engine(&dispatch.endpoint) else {
            self.close(call, Outcome::Late);
            return;
        };
        let prefill = (dispatch.prefill.as_ref()).and_then(|name| self.find_engine(name));
        self.calls[call].endpoint = Some(endpoint);
        self.calls[call].prefill = prefill;
        let (engine, stage) = match prefill {
            Some(engine) => (engine, Stage::Export),
            None => (endpoint, Stage::Whole),
        };
        let job = self.job(call, stage);
        let at = self.now_us + self.one_way_delay_us(data_centre, self.engines[engine].data_centre);
        self.event_queue
            .schedule(at, SimEvent::JobAtEngine { engine, job });
    }

    pub(super) fn job(&self, call: usize, stage: Stage) -> Job {
        let row = &self.setup.trace.rows[call];
        let call_state = &self.calls[call];
        Job {
            call,
            attempt: call_state.attempt,
            priority: call_state.priority,
            stage,
            prompt: row.prompt_tokens + call_state.tokens,
            output: row.output_tokens.saturating_sub(call_state.tokens).max(1),
            prefix: row.prefix(),
        }
    }

    fn find_engine(&self, name: &Name) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == *name)
    }

    pub(super) fn is_current(&self, call: usize, attempt: u32) -> bool {
        self.calls[call].attempt == attempt && self.calls[call].outcome.is_none()
    }

    pub(super) fn record_first_token(&mut self, call: usize, engine: usize) {
        let daemon = self.calls[call].daemon;
        let at = self.now_us
            + self.one_way_delay_us(
                Self::data_centre_of(daemon),
                self.engines[engine].data_centre,
            );
        if self.calls[call].first_token.is_none() {
            self.calls[call].first_token = Some(at + Deployment::CALLER_DELAY_US);
        }
        let event = Event::FirstToken {
            request: call as u64,
        };
        self.event_queue
            .schedule(at, SimEvent::Deliver { daemon, event });
    }

    /// Closes a call that has received its last token.
    pub(super) fn complete_call(&mut self, call: usize, engine: usize, long_gaps: u32) {
        let row = &self.setup.trace.rows[call];
        let state = &mut self.calls[call];
        state.long_gaps += long_gaps;
        let due = (row.at_ms + row.deadline_ms()) * 1_000;
        let gaps = f64::from(row.output_tokens.saturating_sub(1));
        let gaps_in_time = f64::from(state.long_gaps) <= gaps * Parameters::LONG_GAP_FRACTION;
        let first_token_in_time = state.first_token.is_some_and(|at| at <= due);
        self.score.count_misses(first_token_in_time, gaps_in_time);
        let (daemon, output_tokens) = (state.daemon, row.output_tokens);
        let at = self.now_us
            + self.one_way_delay_us(
                Self::data_centre_of(daemon),
                self.engines[engine].data_centre,
            );
        let event = Event::Finished {
            request: call as u64,
            output_tokens,
        };
        self.event_queue
            .schedule(at, SimEvent::Deliver { daemon, event });
        self.close(
            call,
            if first_token_in_time && gaps_in_time {
                Outcome::InTime
            } else {
                Outcome::Late
            },
        );
    }

    pub(super) fn close(&mut self, call: usize, outcome: Outcome) {
        if self.calls[call].outcome.is_some() {
            return;
        }
        self.calls[call].outcome = Some(outcome);
        self.open_calls -= 1;
        let row = &self.setup.trace.rows[call];
        self.score.count(row, outcome, self.calls[call].first_token);
    }

    /// Routes a call again, at `detected_us`, after its endpoint failed, refused it or could not be
    /// reached. The attempt that ended had produced `tokens` tokens.
    pub(super) fn reroute(&mut self, call: usize, tokens: u32, long_gaps: u32, detected_us: u64) {
        let daemon = self.calls[call].daemon;
        let state = &mut self.calls[call];
        state.attempt += 1;
        state.tokens += tokens;
        // The interruption of a stream that has started counts as one more long gap.
        state.long_gaps += long_gaps + u32::from(state.first_token.is_some());
        let failed = [state.endpoint.take(), state.prefill.take()];
        for engine in failed.into_iter().flatten() {
            let name = self.engines[engine].name.clone();
            let state = &mut self.calls[call];
            if !self.engines[engine].accepts(Stage::Export) && !state.avoid.contains(&name) {
                state.avoid.push(name);
            }
        }
        let attempt = self.calls[call].attempt;
        let event = Event::Finished {
            request: call as u64,
            output_tokens: 0,
        };
        self.event_queue
            .schedule(detected_us, SimEvent::Deliver { daemon, event });
        self.event_queue
            .schedule(detected_us, SimEvent::Route { call, attempt });
    }
}
