use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::engine::Role;

use super::{SimEvent, Simulation};
use crate::call::Outcome;
use crate::deployment::Deployment;
use crate::job::{Job, Stage, StepOutput};

impl Simulation<'_> {
    /// Timeout of a daemon's connection attempt to an endpoint, in microseconds.
    const CONNECT_TIMEOUT_US: u64 = 250_000;
    /// Time from the start of a role change to the injected crash, in microseconds.
    const CRASH_IN_ROLE_CHANGE_US: u64 = 2_000_000;

    pub(super) fn submit_to_engine(&mut self, engine: usize, job: Job) {
        if !self.is_current(job.call, job.attempt) {
            return;
        }
        let daemon_data_centre = Self::data_centre_of(self.calls[job.call].daemon);
        let data_centre = self.engines[engine].data_centre;
        let (call, delay_us) = (
            job.call,
            self.one_way_delay_us(daemon_data_centre, data_centre),
        );
        if !self.engines[engine].is_alive || self.are_partitioned(daemon_data_centre, data_centre) {
            self.reroute(call, 0, 0, self.now_us + Self::CONNECT_TIMEOUT_US);
        } else if self.engines[engine].accepts(job.stage) {
            self.engines[engine].submit(job);
            self.advance_engine(engine);
        } else {
            let name = self.engines[engine].name.clone();
            self.calls[call].avoid.push(name);
            self.reroute(call, 0, 0, self.now_us + delay_us);
        }
    }

    /// Starts the engine's next step, or an ordered role change once the engine is idle, and sends
    /// its new cache events.
    pub(super) fn advance_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if let Some(length) = state.start_step(&self.setup.parameters) {
            let incarnation = state.incarnation;
            let sim_event = SimEvent::StepEnd {
                engine,
                incarnation,
            };
            self.event_queue.schedule(self.now_us + length, sim_event);
        } else if state.ordered_role.is_some() && !state.is_changing_role && state.is_idle() {
            self.begin_role_change(engine);
        }
        self.emit_cache_events(engine);
    }

    fn begin_role_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.is_changing_role = true;
        state.cache.shrink(0);
        let incarnation = state.incarnation;
        let length = (self.setup.parameters.role_change_ms * 1_000.0) as u64;
        let sim_event = SimEvent::RoleChangeEnd {
            engine,
            incarnation,
        };
        self.event_queue.schedule(self.now_us + length, sim_event);
        // Half of the length in milliseconds, converted to microseconds.
        let is_in_second_half = self.now_us > self.setup.trace.length_ms() * 500;
        if self.setup.faults.crash && is_in_second_half && !self.has_crashed_in_role_change {
            self.has_crashed_in_role_change = true;
            let at = self.now_us + Self::CRASH_IN_ROLE_CHANGE_US;
            self.event_queue.schedule(at, SimEvent::Crash(engine));
        }
    }

    pub(super) fn complete_role_change(&mut self, engine: usize, incarnation: u64) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.is_changing_role {
            return;
        }
        state.is_changing_role = false;
        if let Some(role) = state.ordered_role.take() {
            state.role = role;
        }
        self.advance_engine(engine);
    }

    pub(super) fn order_role(&mut self, engine: usize, role: Role) {
        let state = &mut self.engines[engine];
        if state.ordered_role.is_some() || state.role == role || !state.is_alive {
            return;
        }
        state.ordered_role = Some(role);
        self.score.role_changes += 1;
        self.advance_engine(engine);
    }

    pub(super) fn complete_step(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation || !self.engines[engine].is_alive {
            return;
        }
        for output in self.engines[engine].end_step(&self.setup.parameters) {
            match output {
                StepOutput::FirstToken { call, attempt } if self.is_current(call, attempt) => {
                    self.record_first_token(call, engine);
                }
                StepOutput::Finished {
                    call,
                    attempt,
                    long_gaps,
                } if self.is_current(call, attempt) => self.complete_call(call, engine, long_gaps),
                StepOutput::Exported {
                    call,
                    attempt,
                    blocks,
                } => self.start_transfer(engine, call, attempt, blocks),
                StepOutput::FirstToken { .. } | StepOutput::Finished { .. } => {}
            }
        }
        self.advance_engine(engine);
    }

    fn start_transfer(&mut self, engine: usize, call: usize, attempt: u32, blocks: u32) {
        let endpoint = self.calls[call].endpoint;
        let Some(to) = endpoint.filter(|_| self.is_current(call, attempt)) else {
            self.engines[engine].release(blocks);
            return;
        };
        let job = self.job(call, Stage::Import);
        let cached = job.prefix.map_or(0, |(prefix, tokens)| {
            self.engines[to].cache.touch(prefix).min(tokens)
        });
        let bytes = f64::from(job.prompt - cached) * self.setup.parameters.kv_bytes_per_token;
        let seconds = bytes / self.setup.parameters.transfer_bytes_per_second;
        let link_free_us = self.engines[engine].link_free_us;
        let delay_us = self.one_way_delay_us(
            self.engines[engine].data_centre,
            self.engines[to].data_centre,
        );
        let at = link_free_us.max(self.now_us) + (seconds * 1e6) as u64;
        self.engines[engine].link_free_us = at;
        let sim_event = SimEvent::KvCacheFetched {
            from: engine,
            incarnation: self.engines[engine].incarnation,
            blocks,
            to,
            job,
        };
        self.event_queue.schedule(at + delay_us, sim_event);
        let daemon = self.calls[call].daemon;
        let notified_us = self.now_us
            + self.one_way_delay_us(
                Self::data_centre_of(daemon),
                self.engines[engine].data_centre,
            );
        let event = Event::Prefilled {
            request: call as u64,
        };
        self.event_queue
            .schedule(notified_us, SimEvent::Deliver { daemon, event });
    }

    /// Releases the exporting engine's memory after the KV cache has been fetched.
    pub(super) fn release_export(&mut self, from: usize, incarnation: u64, blocks: u32) {
        if self.engines[from].incarnation == incarnation && self.engines[from].is_alive {
            self.engines[from].release(blocks);
            self.advance_engine(from);
        }
    }

    pub(super) fn submit_to_worker(&mut self, worker: usize, job: Job) {
        let daemon_data_centre = Self::data_centre_of(self.calls[job.call].daemon);
        if self.are_partitioned(daemon_data_centre, worker / Deployment::WORKERS) {
            let call = job.call;
            let name = Self::worker_name(worker, &self.setup.trace.rows[call].service);
            self.calls[call].avoid.push(name);
            self.calls[call].endpoint = None;
            self.reroute(call, 0, 0, self.now_us + Self::CONNECT_TIMEOUT_US);
            return;
        }
        self.workers[worker].submit(job);
        self.start_worker(worker);
    }

    fn start_worker(&mut self, worker: usize) {
        let limit = self.setup.parameters.plain_calls as u32;
        let length = (self.setup.parameters.plain_ms * 1_000.0) as u64;
        while let Some(job) = self.workers[worker].start(limit) {
            let sim_event = SimEvent::PlainCallEnd { worker, job };
            self.event_queue.schedule(self.now_us + length, sim_event);
        }
    }

    pub(super) fn complete_plain_call(&mut self, worker: usize, job: &Job) {
        self.workers[worker].finish();
        self.start_worker(worker);
        if !self.is_current(job.call, job.attempt) {
            return;
        }
        let daemon = self.calls[job.call].daemon;
        let notified_us = self.now_us
            + self.one_way_delay_us(Self::data_centre_of(daemon), worker / Deployment::WORKERS);
        let event = Event::Finished {
            request: job.call as u64,
            output_tokens: 1,
        };
        self.event_queue
            .schedule(notified_us, SimEvent::Deliver { daemon, event });
        let row = &self.setup.trace.rows[job.call];
        let due = (row.at_ms + row.deadline_ms()) * 1_000;
        let answered_us = notified_us + Deployment::CALLER_DELAY_US;
        self.calls[job.call].first_token = Some(answered_us);
        let outcome = if answered_us <= due {
            Outcome::InTime
        } else {
            Outcome::Late
        };
        self.close(job.call, outcome);
    }
}
