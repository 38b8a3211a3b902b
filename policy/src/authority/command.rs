use crate::Instant;

use super::Terms;

/// One order to one engine, from the decision to its known outcome.
///
/// The order may be sent once. Whatever its call answered, it counts as under way until the
/// longest delivery time has passed; then the engine's state is read back. So neither a late nor a
/// doubled delivery meets the next order of this engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Command {
    terms: Terms,
    order: String,
    fence: u64,
    incarnation: u64,
    draining_since: Option<Instant>,
    opened: Instant,
    poll_at: Instant,
    phase: Phase,
}

/// How far a [`Command`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The engine's state is read; if the order would interrupt requests, the engine gets no new
    /// work and runs empty.
    Preparing,
    /// The order may be sent.
    Ready,
    /// The call of the order has begun.
    Sending,
    /// The call has ended; the order may still arrive.
    Delivering {
        /// When it can arrive no more.
        until: Instant,
    },
}

/// What a [`Command`] needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the engine's state.
    Read,
    /// Check authority, then send the order.
    Send,
}

/// How the call of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// The engine was not reached.
    Not,
    /// The engine answered, or the answer was lost.
    Maybe,
}

/// The known outcome of a [`Command`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Conclusion {
    /// The engine accepted the order and finished the change.
    Carried,
    /// The engine did not accept the order, and it can arrive no more.
    NotAccepted,
    /// The engine has a new incarnation, and the order can arrive no more.
    Restarted,
    /// The engine has accepted a newer fencing token: another daemon has authority.
    Superseded,
    /// The order was given up before it was sent.
    GivenUp,
}

/// What a [`Command`] takes from an engine's state.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Highest fencing token that it accepted.
    pub last_fence: u64,
    /// Identity of the last order that it accepted.
    pub last_order: &'a str,
    /// It is carrying out an order.
    pub changing: bool,
    /// It has requests running or waiting.
    pub busy: bool,
    /// The order would interrupt requests that run.
    pub interrupts: bool,
}

impl Command {
    /// Opens a command for the engine at `incarnation`; `drains` says whether the engine must run
    /// empty first.
    #[must_use]
    pub fn open(
        terms: Terms,
        order: String,
        fence: u64,
        incarnation: u64,
        drains: bool,
        now: Instant,
    ) -> Self {
        Self {
            terms,
            order,
            fence,
            incarnation,
            draining_since: drains.then_some(now),
            opened: now,
            poll_at: now,
            phase: Phase::Preparing,
        }
    }

    /// Returns the identity of the order.
    #[must_use]
    pub fn order(&self) -> &str {
        &self.order
    }

    /// Returns the fencing token under which the order goes out.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns how far the command is.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Tells whether the order was or may have been sent and its outcome is not known.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        matches!(self.phase, Phase::Sending | Phase::Delivering { .. })
    }

    /// Returns the step that is due at `now`.
    #[must_use]
    pub fn step(&self, now: Instant) -> Option<Step> {
        match self.phase {
            Phase::Preparing => (now >= self.poll_at).then_some(Step::Read),
            // The state that was read must not grow old before the order goes out.
            Phase::Ready if now < self.poll_at => Some(Step::Send),
            Phase::Ready => Some(Step::Read),
            Phase::Sending => None,
            Phase::Delivering { until } => {
                (now >= until && now >= self.poll_at).then_some(Step::Read)
            }
        }
    }

    /// Notes that the call of the order begins; from here on it counts as under way.
    pub fn sending(&mut self) {
        self.phase = Phase::Sending;
    }

    /// Takes the end of the order's call.
    pub fn sent(&mut self, sent: Sent, now: Instant) -> Option<Conclusion> {
        match sent {
            Sent::Not => Some(Conclusion::NotAccepted),
            Sent::Maybe => {
                // Counted from the end of the call, since a process can be paused between the
                // decision to send and the sending.
                let until = now + self.terms.under_way;
                self.phase = Phase::Delivering { until };
                None
            }
        }
    }

    /// Notes that the engine's state could not be read.
    pub fn unreadable(&mut self, now: Instant) -> Option<Conclusion> {
        self.poll_at = now + self.terms.poll;
        if self.phase == Phase::Ready {
            self.phase = Phase::Preparing;
        }
        self.preparing_too_long(now)
    }

    /// Takes in the engine's current state, read at `now`.
    pub fn observed(&mut self, state: &Observation<'_>, now: Instant) -> Option<Conclusion> {
        self.poll_at = now + self.terms.poll;
        match self.phase {
            Phase::Preparing | Phase::Ready => self.prepared(state, now),
            Phase::Delivering { until } if now >= until => self.read_back(state),
            Phase::Sending | Phase::Delivering { .. } => None,
        }
    }

    /// Gives the order up if it was not sent, since authority has ended.
    #[must_use]
    pub fn give_up(&self) -> Option<Conclusion> {
        (!self.is_under_way()).then_some(Conclusion::GivenUp)
    }

    fn prepared(&mut self, state: &Observation<'_>, now: Instant) -> Option<Conclusion> {
        if state.last_fence > self.fence {
            return Some(Conclusion::Superseded);
        }
        if state.incarnation != self.incarnation {
            return Some(Conclusion::Restarted);
        }
        self.phase = Phase::Preparing;
        // The decision may rest on a lagging report from which no interruption was expected.
        if state.interrupts {
            self.draining_since.get_or_insert(now);
        }
        let is_empty = |since| !state.busy && now >= since + self.terms.notice;
        if !state.changing && self.draining_since.is_none_or(is_empty) {
            self.phase = Phase::Ready;
            return None;
        }
        self.preparing_too_long(now)
    }

    fn preparing_too_long(&self, now: Instant) -> Option<Conclusion> {
        let limit = self.opened + self.terms.drain;
        (self.phase == Phase::Preparing && now >= limit).then_some(Conclusion::GivenUp)
    }

    fn read_back(&self, state: &Observation<'_>) -> Option<Conclusion> {
        if state.last_fence > self.fence {
            return Some(Conclusion::Superseded);
        }
        if state.incarnation != self.incarnation {
            return Some(Conclusion::Restarted);
        }
        if state.changing {
            return None;
        }
        if state.last_order == self.order {
            Some(Conclusion::Carried)
        } else {
            Some(Conclusion::NotAccepted)
        }
    }
}
