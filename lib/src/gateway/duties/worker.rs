use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::authority::Timestamp;
use ragwortgrade_policy::gateway::duties::{Call, Outcome, candidates};
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::exchange::Exchange;
use super::state::State;
use super::{Duty, DutyAnswer, DutyStamp, Tenure};
use super::{deposit_worker, election_worker, task_worker, usage_worker};
use crate::gateway::shared::Shared;

/// Fraction of the platform's rate that the holder uses: late calls of a predecessor count, too.
const RATE_FRACTION: f64 = 0.8;

/// Runs the duties until the task is aborted.
pub(in crate::gateway) async fn run(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let Some(state) = shared.duties.state() else {
        return;
    };
    log::info!(
        address:% = state.options.settings.address, duties:? = state.options.settings.duties;
        "duties started"
    );
    let worker = Worker {
        shared: &shared,
        state,
    };
    let exchange = Exchange::new(worker, &socket);
    tokio::join!(
        election_worker::run(worker),
        exchange.run(),
        usage_worker::record(worker, &exchange),
        usage_worker::send(worker),
        task_worker::run(worker),
        deposit_worker::run(worker)
    );
}

/// Access of the workers to the gateway and the state of the duties.
#[derive(Clone, Copy, Debug)]
pub(super) struct Worker<'a> {
    pub(super) shared: &'a Shared,
    pub(super) state: &'a State,
}

impl Worker<'_> {
    pub(super) fn now(&self) -> Timestamp {
        Timestamp {
            monotonic: self.shared.now(),
            unix_ms: self.shared.clock.unix_ms(),
        }
    }

    /// Returns the present Unix time in ms on which the fleet agrees.
    pub(super) fn fleet_ms(&self) -> u64 {
        self.state.clock.borrow().unix_ms(self.shared.now())
    }

    pub(super) fn runs(&self, duty: Duty) -> bool {
        self.state.options.settings.duties.contains(&duty)
    }

    /// Returns the tenure in which this daemon may make calls now.
    pub(super) fn tenure(&self) -> Option<Tenure> {
        if self.shared.is_draining() {
            return None;
        }
        let (token, since) = self.state.election.borrow().tenure(self.now())?;
        Some(Tenure {
            token,
            since,
            store_restores: self.shared.store_restores(),
        })
    }

    /// Returns the candidates among the registered daemons and this one.
    pub(super) fn candidates(&self) -> Vec<Name> {
        let peers = self.shared.peers.borrow();
        let options = &self.shared.options;
        let others = peers.directory.entries();
        let others = others.map(|(name, peer)| (name, &peer.data_centre));
        candidates(others.chain([(&options.name, &options.data_centre)]))
    }

    /// Makes a duty call with this token; `None` if the daemon may not act with it any more.
    pub(super) async fn call(&self, token: u64, call: &Call) -> Option<DutyAnswer> {
        let settings = &self.state.options.settings;
        let now = self.shared.now();
        let slot = self.state.next_call_at.get().max(now);
        let gap = Duration::from_secs_f64(1.0 / (settings.calls_per_second * RATE_FRACTION));
        self.state.next_call_at.set(slot + gap);
        tokio::time::sleep(slot.since(now)).await;
        let stamp = DutyStamp {
            holder: self.shared.options.name.clone(),
            token,
        };
        if self.tenure().is_none_or(|tenure| tenure.token != token) {
            return None;
        }
        let in_flight = InFlight::start(&self.state.calls_in_flight);
        let platform = &self.state.options.platform;
        let answer = platform.call(&stamp, call, self.state.timing.call_timeout);
        let answer = answer.await;
        drop(in_flight);
        self.shared.metrics.count("duties.calls", 1);
        Some(answer)
    }

    /// Gives up the lease because the platform has seen a higher token.
    pub(super) fn step_down(&self, token: u64) {
        log::warn!(token; "duties given up: the platform has seen a higher token");
        self.state.election.borrow_mut().step_down(self.now());
        self.shared.metrics.count("duties.superseded", 1);
    }

    /// Returns the outcome of an answer that is no conflict.
    pub(super) const fn plain_outcome(answer: DutyAnswer) -> Outcome {
        match answer {
            DutyAnswer::Accepted => Outcome::Accepted,
            DutyAnswer::Conflict => Outcome::Refused,
            DutyAnswer::Throttled => Outcome::Throttled,
            DutyAnswer::Unknown => Outcome::Unknown,
        }
    }
}

/// A duty call that has got no outcome yet.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn start(calls: &'a Cell<usize>) -> Self {
        calls.set(calls.get() + 1);
        Self(calls)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
