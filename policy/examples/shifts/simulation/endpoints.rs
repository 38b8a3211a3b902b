use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::engine::Role;

use super::{Simulation, What};
use crate::call::Verdict;
use crate::deployment::Deployment;
use crate::job::{Job, Product, Stage};

impl Simulation<'_> {
    /// Time after which a daemon gives up an engine that does not answer, in microseconds.
    const CONNECT_TIMEOUT_US: u64 = 250_000;
    /// Time in a change after which the injected crash happens, in microseconds.
    const CRASH_IN_CHANGE_US: u64 = 2_000_000;

    pub(super) fn at_engine(&mut self, engine: usize, job: Job) {
        if !self.is_current(job.call, job.attempt) {
            return;
        }
        let daemon_place = Self::place_of(self.calls[job.call].daemon);
        let place = self.engines[engine].place;
        let (call, one_way) = (job.call, self.one_way(daemon_place, place));
        if !self.engines[engine].alive || self.separated(daemon_place, place) {
            self.fail(call, 0, 0, self.now + Self::CONNECT_TIMEOUT_US);
        } else if self.engines[engine].accepts(job.stage) {
            self.engines[engine].submit(job);
            self.kick(engine);
        } else {
            let name = self.engines[engine].name.clone();
            self.calls[call].avoid.push(name);
            self.fail(call, 0, 0, self.now + one_way);
        }
    }

    /// Starts the engine's next step or the change that waits for it to be idle.
    pub(super) fn kick(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if let Some(length) = state.start_step(&self.setup.speeds) {
            let incarnation = state.incarnation;
            let what = What::StepEnds {
                engine,
                incarnation,
            };
            self.calendar.add(self.now + length, what);
        } else if state.ordered.is_some() && !state.in_change && state.is_idle() {
            self.begin_change(engine);
        }
        self.emit_cache_events(engine);
    }

    fn begin_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.in_change = true;
        state.cache.shrink(0);
        let incarnation = state.incarnation;
        let length = (self.setup.speeds.role_change_ms * 1_000.0) as u64;
        let what = What::Changed {
            engine,
            incarnation,
        };
        self.calendar.add(self.now + length, what);
        let late = self.now > self.setup.trace.length_ms() * 500;
        if self.setup.faults.crash && late && !self.crashed_in_change {
            self.crashed_in_change = true;
            let at = self.now + Self::CRASH_IN_CHANGE_US;
            self.calendar.add(at, What::Crash(engine));
        }
    }

    pub(super) fn changed(&mut self, engine: usize, incarnation: u64) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.in_change {
            return;
        }
        state.in_change = false;
        if let Some(role) = state.ordered.take() {
            state.role = role;
        }
        self.kick(engine);
    }

    pub(super) fn order(&mut self, engine: usize, role: Role) {
        let state = &mut self.engines[engine];
        if state.ordered.is_some() || state.role == role || !state.alive {
            return;
        }
        state.ordered = Some(role);
        self.score.role_changes += 1;
        self.kick(engine);
    }

    pub(super) fn step_ends(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation || !self.engines[engine].alive {
            return;
        }
        for product in self.engines[engine].end_step(&self.setup.speeds) {
            match product {
                Product::FirstToken { call, attempt } if self.is_current(call, attempt) => {
                    self.first_token(call, engine);
                }
                Product::Finished {
                    call,
                    attempt,
                    long_gaps,
                } if self.is_current(call, attempt) => self.finished(call, engine, long_gaps),
                Product::Exported {
                    call,
                    attempt,
                    blocks,
                } => self.exported(engine, call, attempt, blocks),
                Product::FirstToken { .. } | Product::Finished { .. } => {}
            }
        }
        self.kick(engine);
    }

    fn exported(&mut self, engine: usize, call: usize, attempt: u32, blocks: u32) {
        let endpoint = self.calls[call].endpoint;
        let Some(to) = endpoint.filter(|_| self.is_current(call, attempt)) else {
            self.engines[engine].release(blocks);
            return;
        };
        let job = self.job(call, Stage::Import);
        let cached = job.prefix.map_or(0, |(prefix, tokens)| {
            self.engines[to].cache.touch(prefix).min(tokens)
        });
        let bytes = f64::from(job.prompt - cached) * self.setup.speeds.kv_bytes_per_token;
        let seconds = bytes / self.setup.speeds.transfer_bytes_per_second;
        let link_free = self.engines[engine].link_free;
        let crossing = self.one_way(self.engines[engine].place, self.engines[to].place);
        let at = link_free.max(self.now) + (seconds * 1e6) as u64;
        self.engines[engine].link_free = at;
        let what = What::Fetched {
            from: engine,
            incarnation: self.engines[engine].incarnation,
            blocks,
            to,
            job,
        };
        self.calendar.add(at + crossing, what);
        let daemon = self.calls[call].daemon;
        let heard = self.now + self.one_way(Self::place_of(daemon), self.engines[engine].place);
        let event = Event::Prefilled {
            request: call as u64,
        };
        self.calendar.add(heard, What::Hear { daemon, event });
    }

    /// Frees the exporting engine's memory once the KV cache has been fetched.
    pub(super) fn fetched(&mut self, from: usize, incarnation: u64, blocks: u32) {
        if self.engines[from].incarnation == incarnation && self.engines[from].alive {
            self.engines[from].release(blocks);
            self.kick(from);
        }
    }

    pub(super) fn at_worker(&mut self, worker: usize, job: Job) {
        let daemon_place = Self::place_of(self.calls[job.call].daemon);
        if self.separated(daemon_place, worker / Deployment::WORKERS) {
            let call = job.call;
            let name = Self::worker_name(worker, &self.setup.trace.rows[call].service);
            self.calls[call].avoid.push(name);
            self.calls[call].endpoint = None;
            self.fail(call, 0, 0, self.now + Self::CONNECT_TIMEOUT_US);
            return;
        }
        self.workers[worker].submit(job);
        self.start_worker(worker);
    }

    fn start_worker(&mut self, worker: usize) {
        let limit = self.setup.speeds.plain_calls as u32;
        let length = (self.setup.speeds.plain_ms * 1_000.0) as u64;
        while let Some(job) = self.workers[worker].start(limit) {
            let what = What::WorkerEnds { worker, job };
            self.calendar.add(self.now + length, what);
        }
    }

    pub(super) fn worker_ends(&mut self, worker: usize, job: &Job) {
        self.workers[worker].finish();
        self.start_worker(worker);
        if !self.is_current(job.call, job.attempt) {
            return;
        }
        let daemon = self.calls[job.call].daemon;
        let heard = self.now + self.one_way(Self::place_of(daemon), worker / Deployment::WORKERS);
        let event = Event::Finished {
            request: job.call as u64,
            output_tokens: 1,
        };
        self.calendar.add(heard, What::Hear { daemon, event });
        let row = &self.setup.trace.rows[job.call];
        let due = (row.at_ms + row.deadline_ms()) * 1_000;
        let seen = heard + Deployment::CALLER_US;
        self.calls[job.call].first_token = Some(seen);
        let verdict = if seen <= due {
            Verdict::InTime
        } else {
            Verdict::Late
        };
        self.close(job.call, verdict);
    }
}
