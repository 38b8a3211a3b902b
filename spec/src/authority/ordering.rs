use ragwortgrade_policy::authority::{Command, Conclusion, Phase, Sent, Step};
use ragwortgrade_schema::configuration::Fencing;

use super::daemon::holder;
use super::engine::Order;
use super::world::Steps;
use super::{Event, Mechanism, Setup, Violation, World};

/// The steps of orders.
impl World {
    pub(super) fn order_steps(&self, setup: &Setup, index: usize, steps: &mut Steps) {
        let daemon = &self.daemons[index];
        let now = daemon.now(setup, self.tick);
        let step = daemon
            .command
            .as_ref()
            .and_then(|command| command.step(now.monotonic));
        if self.may_decide(setup, index) {
            steps.push(self.then(Event::Decide(index), |next| next.decide(setup, index)));
        }
        if step == Some(Step::Read) {
            steps.push(self.then(Event::Read(index), |next| next.read(setup, index)));
        }
        if step == Some(Step::Send) && daemon.permitted(setup, now).is_some() {
            steps.push(self.then(Event::Check(index), |next| next.check(setup, index)));
        }
        if step == Some(Step::Send) && !daemon.lease.is_held(now) {
            steps.push(self.then(Event::GiveUp(index), |next| {
                next.daemons[index].command = None;
            }));
        }
        let is_sending = |command: &Command| command.phase() == Phase::Sending;
        if daemon.outbox.is_none() && daemon.command.as_ref().is_some_and(is_sending) {
            steps.push(self.then(Event::Return(index), |next| next.returned(setup, index)));
        }
    }

    fn may_decide(&self, setup: &Setup, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let is_free = match &daemon.command {
            None => true,
            Some(command) => !setup.has(Mechanism::OneOrder) && command.is_under_way(),
        };
        let now = daemon.now(setup, self.tick);
        is_free
            && daemon.outbox.is_none()
            && daemon.decided < setup.orders[index]
            && daemon.lease.is_held(now)
    }

    pub(super) fn decide(&mut self, setup: &Setup, index: usize) {
        let daemon = &mut self.daemons[index];
        let now = daemon.now(setup, self.tick);
        let Some(tenure) = daemon.lease.tenure(now) else {
            return;
        };
        daemon.decided += 1;
        daemon.command = Some(Command::open(
            setup.terms(),
            format!("{index}.{}", daemon.decided),
            tenure.fence,
            self.engine.incarnation,
            false,
            now.monotonic,
        ));
        self.read(setup, index);
    }

    fn read(&mut self, setup: &Setup, index: usize) {
        let daemon = &mut self.daemons[index];
        let now = daemon.now(setup, self.tick);
        let Some(command) = &mut daemon.command else {
            return;
        };
        let conclusion = command.observed(&self.engine.observation(), now.monotonic);
        if conclusion.is_some() {
            daemon.command = None;
        }
        if conclusion == Some(Conclusion::Superseded) {
            daemon.lease.step_down(now);
        }
    }

    pub(super) fn check(&mut self, setup: &Setup, index: usize) {
        let daemon = &mut self.daemons[index];
        let now = daemon.now(setup, self.tick);
        let permitted = daemon.permitted(setup, now);
        let Some(command) = &mut daemon.command else {
            return;
        };
        if permitted != Some(command.fence()) {
            daemon.command = None;
            return;
        }
        command.sending();
        daemon.outbox = Some(Order {
            id: command.order().to_owned(),
            fence: command.fence(),
            issuer: index,
            number: daemon.decided,
            sent: 0,
        });
        if !self.is_entitled(setup, index) {
            self.violation = Some(Violation::ActedWithoutLease);
        }
    }

    /// Tells whether the daemon's lock record exists, or was lost by a rollback a short time ago.
    fn is_entitled(&self, setup: &Setup, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let own = holder(setup, index, daemon.run);
        let has_lock = self
            .platform
            .lock
            .as_ref()
            .is_some_and(|(lock, _)| lock.holder == own);
        let usable = setup.terms().usable().as_secs() + daemon.missed;
        let is_recent = |rolled_back: u64| self.tick < rolled_back + usable;
        has_lock || self.platform.rolled_back.is_some_and(is_recent)
    }

    pub(super) fn send(&mut self, setup: &Setup, index: usize) {
        let Some(mut order) = self.daemons[index].outbox.take() else {
            return;
        };
        order.sent = self.tick;
        let conflicts = |other: &Order| {
            other.id != order.id
                && (other.fence == order.fence || setup.fencing == Fencing::Ignored)
        };
        if self.network.iter().any(conflicts) {
            self.violation = Some(Violation::ConflictingOrders);
        }
        self.network.push(order);
        self.network.sort();
    }

    fn returned(&mut self, setup: &Setup, index: usize) {
        let daemon = &mut self.daemons[index];
        let now = daemon.now(setup, self.tick);
        if let Some(command) = &mut daemon.command {
            command.sent(Sent::Maybe, now.monotonic);
        }
        if !setup.has(Mechanism::ReadBack) {
            daemon.command = None;
        }
    }
}
