use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::{
    Answer, Call, Command, Evidence, Holder, Lease, Moment, Phase, Takeover,
};
use ragwortgrade_schema::Name;

use super::engine::Order;
use super::{Mechanism, Setup};

/// One daemon: the state machines of `policy` and what lies between them and the outside.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) index: usize,
    pub(super) run: u64,
    pub(super) is_up: bool,
    /// Seconds that the monotonic clock is behind.
    pub(super) suspended: u64,
    /// Seconds that both clocks are behind.
    pub(super) missed: u64,
    pub(super) lease: Lease,
    /// Answer that the daemon has not taken in yet.
    pub(super) answer: Option<Answer>,
    pub(super) takeover: Option<(u64, Takeover)>,
    pub(super) command: Option<Command>,
    /// Order that has passed the check and has not left yet.
    pub(super) outbox: Option<Order>,
    pub(super) decided: u8,
}

impl Daemon {
    pub(super) fn start(setup: &Setup, index: usize, run: u64) -> Self {
        let mut lease = Lease::open(setup.terms(), holder(setup, index, run), Duration::ZERO);
        lease.set_candidate(true);
        Self {
            index,
            run,
            is_up: true,
            suspended: 0,
            missed: 0,
            lease,
            answer: None,
            takeover: None,
            command: None,
            outbox: None,
            decided: 0,
        }
    }

    /// Loses everything that the process held.
    pub(super) fn crash(&mut self, setup: &Setup) {
        let decided = self.decided;
        *self = Self::start(setup, self.index, self.run);
        self.is_up = false;
        self.decided = decided;
    }

    pub(super) fn restart(&mut self, setup: &Setup) {
        let decided = self.decided;
        *self = Self::start(setup, self.index, self.run + 1);
        self.decided = decided;
    }

    /// Reads both clocks in second `tick`.
    pub(super) fn now(&self, setup: &Setup, tick: u64) -> Moment {
        let system = tick.saturating_sub(self.missed);
        let monotonic = system.saturating_sub(self.suspended);
        let unix = if setup.has(Mechanism::SystemClock) {
            system
        } else {
            monotonic
        };
        Moment {
            monotonic: Instant::from_millis(monotonic * 1_000),
            unix_ms: unix * 1_000,
        }
    }

    /// Takes in the answer to the call under way.
    pub(super) fn take_answer(&mut self, setup: &Setup, answer: Answer, now: Moment) {
        self.lease.answer(answer, now);
        let Some(tenure) = self.lease.tenure(now) else {
            return;
        };
        if self
            .takeover
            .as_ref()
            .is_none_or(|(fence, _)| *fence != tenure.fence)
        {
            let mut tenure = tenure.clone();
            if !setup.has(Mechanism::FormerFate) {
                tenure.formers.clear();
            }
            let mut terms = setup.terms();
            if !setup.has(Mechanism::DeliveryWait) {
                terms.under_way = Duration::ZERO;
            }
            let takeover = Takeover::open(terms, &tenure, now.monotonic);
            self.takeover = Some((tenure.fence, takeover));
        }
    }

    /// Returns the token under which the daemon may order the engine now.
    pub(super) fn permitted(&self, setup: &Setup, now: Moment) -> Option<u64> {
        let tenure = self.lease.tenure(now)?;
        let (fence, takeover) = self.takeover.as_ref()?;
        let permits = *fence == tenure.fence && takeover.permits(setup.fencing, now.monotonic);
        permits.then_some(tenure.fence)
    }

    /// Tells whether the daemon would act now, unless it is paused; a renewal may fail.
    pub(super) fn is_busy(&self, now: Moment) -> bool {
        let is_sending = |command: &Command| command.phase() == Phase::Sending;
        let call = self.lease.clone().call(now);
        self.answer.is_some()
            || self.outbox.is_some()
            || self.command.as_ref().is_some_and(is_sending)
            || call.is_some_and(|call| !matches!(call, Call::KeepAlive(_)))
    }

    /// Learns that `other` does not run as the former holder any more.
    pub(super) fn learn(&mut self, other: &Holder, is_up: bool, now: Moment) -> bool {
        let Some((_, takeover)) = &mut self.takeover else {
            return false;
        };
        let evidence = if is_up {
            Evidence::Answers {
                address: other.address.clone(),
                incarnation: other.incarnation,
            }
        } else {
            Evidence::Listed(Vec::new())
        };
        let gone = takeover.learn(&evidence, now.monotonic);
        self.lease.forget(&gone);
        !gone.is_empty()
    }
}

/// Names the run of a daemon as a holder.
pub(super) fn holder(setup: &Setup, index: usize, run: u64) -> Holder {
    // Incarnations that are equal in the low 16 bits give equal low bits of tokens.
    let step = if setup.has(Mechanism::DistinctTokens) {
        1
    } else {
        1 << 16
    };
    Holder {
        daemon: Name::from(["a", "b"][index]),
        // Daemon 0 has the higher incarnation, so that the low bits alone do not order the tokens.
        incarnation: 1 + step * (2 * run + 1 - index as u64),
        address: ["a", "b"][index].to_owned(),
        listed: true,
    }
}
