use crate::Instant;

use super::LeaseTiming;

/// One order to one engine, from the decision until its outcome is known.
///
/// The order is sent at most once. Unless its call did not reach the engine, it counts as in flight
/// until [`LeaseTiming::delivery_max`] has passed since the end of the call; then the engine's
/// state is read back. A delayed or duplicated delivery therefore cannot overlap with the engine's
/// next order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingOrder {
    timing: LeaseTiming,
    order_id: String,
    fence: u64,
    incarnation: u64,
    draining_since: Option<Instant>,
    opened_at: Instant,
    next_read_at: Instant,
    phase: Phase,
}

/// Progress of a [`PendingOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The engine's state is being read; if the order would interrupt requests, the engine drains
    /// first.
    Preparing,
    /// The order may be sent.
    Ready,
    /// The call that sends the order is running.
    Sending,
    /// The call has ended; the order may still be delivered.
    Delivering {
        /// Time from which the order can no longer be delivered.
        until: Instant,
    },
}

/// The next action on a [`PendingOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the engine's state.
    Read,
    /// Check that the lease is held, then send the order.
    Send,
}

/// Result of the call that sends an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The engine was not reached.
    NotSent,
    /// The engine answered, or the answer was lost: the order may have been delivered, or be
    /// delivered later.
    MaybeDelivered,
}

/// Final outcome of a [`PendingOrder`]; log lines print the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Conclusion {
    /// The engine accepted the order and finished the change, or had the wanted state before the
    /// order was sent.
    Carried,
    /// The order was not sent, or the engine did not accept it and it can no longer be delivered.
    NotAccepted,
    /// The engine has a new incarnation, and the order can no longer be delivered.
    Restarted,
    /// The engine has accepted a newer fencing token: another daemon holds the lease.
    Superseded,
    /// The order was cancelled before it was sent, or the platform no longer has its engine.
    GivenUp,
}

/// State of an engine from which a [`PendingOrder`] decides how to proceed.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Highest fencing token that it accepted.
    pub last_fence: u64,
    /// Identity of the last order that it accepted.
    pub last_order: &'a str,
    /// Whether the engine is carrying out an order.
    pub changing: bool,
    /// Whether requests are running or queued.
    pub busy: bool,
    /// Whether the order would interrupt running requests.
    pub interrupts: bool,
}

impl PendingOrder {
    /// Creates an order for the engine at `incarnation`; with `needs_drain` the engine must have no
    /// requests before the order is sent.
    #[must_use]
    pub fn open(
        timing: LeaseTiming,
        order_id: String,
        fence: u64,
        incarnation: u64,
        needs_drain: bool,
        now: Instant,
    ) -> Self {
        Self {
            timing,
            order_id,
            fence,
            incarnation,
            draining_since: needs_drain.then_some(now),
            opened_at: now,
            next_read_at: now,
            phase: Phase::Preparing,
        }
    }

    /// Returns the unique identity of the order.
    #[must_use]
    pub fn order_id(&self) -> &str {
        &self.order_id
    }

    /// Returns the fencing token that the order carries.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the progress of the order.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the order may have been sent and its outcome is not known yet.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, Phase::Sending | Phase::Delivering { .. })
    }

    /// Returns the step that is due at `now`.
    #[must_use]
    pub fn step(&self, now: Instant) -> Option<Step> {
        match self.phase {
            Phase::Preparing => (now >= self.next_read_at).then_some(Step::Read),
            // The order must be sent while the state that was read is recent.
            Phase::Ready if now < self.next_read_at => Some(Step::Send),
            Phase::Ready => Some(Step::Read),
            Phase::Sending => None,
            Phase::Delivering { until } => {
                (now >= until && now >= self.next_read_at).then_some(Step::Read)
            }
        }
    }

    /// Records that the call that sends the order begins; from now on the order counts as in
    /// flight.
    pub fn begin_send(&mut self) {
        self.phase = Phase::Sending;
    }

    /// Records the end of the call that sends the order.
    pub fn end_send(&mut self, outcome: SendOutcome, now: Instant) -> Option<Conclusion> {
        match outcome {
            SendOutcome::NotSent => Some(Conclusion::NotAccepted),
            SendOutcome::MaybeDelivered => {
                // Counted from the end of the call, since the process can be paused between the
                // decision to send and the actual send.
                let until = now + self.timing.delivery_max;
                self.phase = Phase::Delivering { until };
                None
            }
        }
    }

    /// Records that the engine's state could not be read.
    pub fn read_failed(&mut self, now: Instant) -> Option<Conclusion> {
        self.next_read_at = now + self.timing.poll_interval;
        if self.phase == Phase::Ready {
            self.phase = Phase::Preparing;
        }
        self.check_drain_timeout(now)
    }

    /// Advances the order with the engine's state, read at `now`.
    pub fn state_read(&mut self, state: &Observation<'_>, now: Instant) -> Option<Conclusion> {
        self.next_read_at = now + self.timing.poll_interval;
        match self.phase {
            Phase::Preparing | Phase::Ready => self.check_preparation(state, now),
            Phase::Delivering { until } if now >= until => self.read_back(state),
            Phase::Sending | Phase::Delivering { .. } => None,
        }
    }

    /// Returns the conclusion of an order that is cancelled because the lease has ended; `None`
    /// when it may have been sent, since its outcome must then be read back.
    #[must_use]
    pub fn cancel_unsent(&self) -> Option<Conclusion> {
        (!self.is_in_flight()).then_some(Conclusion::GivenUp)
    }

    /// Decides from the engine's state whether the order may be sent, must wait or is obsolete.
    fn check_preparation(&mut self, state: &Observation<'_>, now: Instant) -> Option<Conclusion> {
        if state.last_fence > self.fence {
            return Some(Conclusion::Superseded);
        }
        if state.incarnation != self.incarnation {
            return Some(Conclusion::Restarted);
        }
        self.phase = Phase::Preparing;
        // The decision may be based on an outdated report in which the order interrupted nothing.
        if state.interrupts {
            self.draining_since.get_or_insert(now);
        }
        let is_drained = |since| !state.busy && now >= since + self.timing.mark_propagation;
        if !state.changing && self.draining_since.is_none_or(is_drained) {
            self.phase = Phase::Ready;
            return None;
        }
        self.check_drain_timeout(now)
    }

    /// Cancels the order when it has waited for its engine for too long.
    fn check_drain_timeout(&self, now: Instant) -> Option<Conclusion> {
        let limit = self.opened_at + self.timing.drain_timeout;
        (self.phase == Phase::Preparing && now >= limit).then_some(Conclusion::GivenUp)
    }

    /// Decides from the engine's state what became of an order that can no longer be delivered.
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
        if state.last_order == self.order_id {
            Some(Conclusion::Carried)
        } else {
            Some(Conclusion::NotAccepted)
        }
    }
}
