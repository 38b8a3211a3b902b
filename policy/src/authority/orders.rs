use std::collections::BTreeMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Order, Want};

use crate::Instant;
use crate::planner::Change;

use super::pending_order::Observation;
use super::{Conclusion, Holder, HolderRecord, LeaseTiming, PendingOrder, SendOutcome, Step};

/// The open orders of one daemon, at most one per engine.
///
/// They outlive the lease, since an order may still be in flight when the lease ends.
#[derive(Clone, Debug)]
pub struct Orders {
    timing: LeaseTiming,
    own: Holder,
    next_number: u64,
    open: BTreeMap<Name, OpenOrder>,
}

#[derive(Clone, Debug)]
struct OpenOrder {
    change: Change,
    /// The order requests the engine's current state, only to make the fencing token known to it.
    is_token_only: bool,
    /// The order interrupts requests, so its engine must have none when it is sent.
    needs_drain: bool,
    /// The order loads weights and counts towards [`Orders::CONCURRENT_LOADS_MAX`].
    loads_weights: bool,
    pending: PendingOrder,
}

impl Orders {
    /// Maximum number of concurrent weight loads; one slot is reserved for an engine without any
    /// model.
    ///
    /// Further loads would share the bandwidth of the weight store, so each would take longer.
    pub const CONCURRENT_LOADS_MAX: usize = 3;

    /// Creates the empty set of orders of the daemon `own`.
    #[must_use]
    pub fn open(timing: LeaseTiming, own: Holder) -> Self {
        Self {
            timing,
            own,
            next_number: 0,
            open: BTreeMap::new(),
        }
    }

    /// Returns whether `engine` has an open order.
    #[must_use]
    pub fn contains(&self, engine: &Name) -> bool {
        self.open.contains_key(engine)
    }

    /// Returns whether any order may have been sent and its outcome is not known yet.
    #[must_use]
    pub fn any_in_flight(&self) -> bool {
        self.open.values().any(|open| open.pending.is_in_flight())
    }

    /// Returns the engines with an open order.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.open.keys()
    }

    /// Returns the engines with an open order that interrupts requests; they must get no new work.
    pub fn draining(&self) -> impl Iterator<Item = &Name> {
        let draining = self.open.iter().filter(|(_, open)| open.needs_drain);
        draining.map(|(engine, _)| engine)
    }

    /// Starts an order for `change` to an engine whose latest report is `load`; returns whether it
    /// was started.
    ///
    /// It is not started when the engine has an open order, when too many weight loads are in
    /// progress, or when the engine already has the wanted state and knows the fencing token.
    pub fn start(
        &mut self,
        change: Change,
        load: &Load,
        record: &HolderRecord,
        now: Instant,
    ) -> bool {
        let loads_weights = loads_weights(load, &change.want);
        let is_up_to_date = load.last_fence >= record.fence && is_reached(load, &change.want);
        if self.contains(&change.engine)
            || is_up_to_date
            || (loads_weights && !self.may_load_weights(load))
        {
            return false;
        }
        let needs_drain = interrupts(load, &change.want);
        let pending = self.new_pending(load, record, needs_drain, now);
        let open = OpenOrder {
            change,
            is_token_only: false,
            needs_drain,
            loads_weights,
            pending,
        };
        self.open.insert(open.change.engine.clone(), open);
        true
    }

    /// Starts an order that changes nothing and only makes the fencing token of `record` known to
    /// an engine; returns whether it was started.
    pub fn publish_fence(&mut self, load: &Load, record: &HolderRecord, now: Instant) -> bool {
        if self.contains(&load.engine) || load.last_fence >= record.fence {
            return false;
        }
        let open = OpenOrder {
            change: Change {
                engine: load.engine.clone(),
                want: current_want(load),
                reason: String::new(),
            },
            is_token_only: true,
            needs_drain: false,
            loads_weights: false,
            pending: self.new_pending(load, record, false, now),
        };
        self.open.insert(load.engine.clone(), open);
        true
    }

    fn new_pending(
        &mut self,
        load: &Load,
        record: &HolderRecord,
        needs_drain: bool,
        now: Instant,
    ) -> PendingOrder {
        let order_id = format!("{}:{:x}:{}", self.own, record.fence, self.next_number);
        self.next_number += 1;
        PendingOrder::open(
            self.timing,
            order_id,
            record.fence,
            load.incarnation,
            needs_drain,
            now,
        )
    }

    /// Returns the steps that are due at `now`.
    #[must_use]
    pub fn steps(&self, now: Instant) -> Vec<(Name, Step)> {
        let due = self.open.iter().filter_map(|(engine, open)| {
            let step = open.pending.step(now)?;
            Some((engine.clone(), step))
        });
        due.collect()
    }

    /// Returns whether the order for `engine` may be sent.
    #[must_use]
    pub fn is_ready(&self, engine: &Name, now: Instant) -> bool {
        let step = self
            .open
            .get(engine)
            .and_then(|open| open.pending.step(now));
        step == Some(Step::Send)
    }

    /// Returns the order for `engine` and records that its call begins; `None` when no order is
    /// ready or when it carries another fencing token than `fence`.
    pub fn begin_send(&mut self, engine: &Name, fence: u64, now: Instant) -> Option<Order> {
        let open = self.open.get_mut(engine)?;
        if open.pending.step(now) != Some(Step::Send) || open.pending.fence() != fence {
            return None;
        }
        open.pending.begin_send();
        Some(Order {
            order: open.pending.order_id().to_owned(),
            fence,
            issuer: self.own.daemon.clone(),
            want: open.change.want.clone(),
        })
    }

    /// Records the end of the call that sends an order; returns the order's outcome if it is known.
    pub fn end_send(
        &mut self,
        engine: &Name,
        outcome: SendOutcome,
        now: Instant,
    ) -> Option<Conclusion> {
        let conclusion = self.open.get_mut(engine)?.pending.end_send(outcome, now);
        self.close(engine, conclusion)
    }

    /// Advances an order with the engine's current state, `None` when it could not be read; returns
    /// the order's outcome once it is known.
    pub fn state_read(
        &mut self,
        engine: &Name,
        load: Option<&Load>,
        now: Instant,
    ) -> Option<Conclusion> {
        let open = self.open.get_mut(engine)?;
        if let Some(load) = load.filter(|_| !open.pending.is_in_flight()) {
            open.refresh(load);
        }
        let conclusion = match load {
            Some(load) if open.is_redundant(load) => Some(Conclusion::Carried),
            Some(load) => open
                .pending
                .state_read(&observation(load, open.needs_drain), now),
            None => open.pending.read_failed(now),
        };
        self.close(engine, conclusion)
    }

    /// Removes the order for an engine that the platform no longer has, if one of its steps is due;
    /// none is while the order can still be delivered. Returns whether it was removed.
    pub fn remove_missing(&mut self, engine: &Name, now: Instant) -> bool {
        let is_removable = |open: &OpenOrder| open.pending.step(now).is_some();
        self.open.get(engine).is_some_and(is_removable) && self.open.remove(engine).is_some()
    }

    /// Removes the orders that were not sent, except those with the fencing token `kept`; returns
    /// their engines.
    pub fn cancel_unsent(&mut self, kept: Option<u64>) -> Vec<Name> {
        let is_removable = |_: &Name, open: &mut OpenOrder| {
            kept != Some(open.pending.fence()) && open.pending.cancel_unsent().is_some()
        };
        let removed = self.open.extract_if(.., is_removable);
        removed.map(|(engine, _)| engine).collect()
    }

    fn close(&mut self, engine: &Name, conclusion: Option<Conclusion>) -> Option<Conclusion> {
        if conclusion.is_some() {
            self.open.remove(engine);
        }
        conclusion
    }

    fn may_load_weights(&self, load: &Load) -> bool {
        let loading = self.open.values().filter(|open| open.loads_weights).count();
        let limit = if load.models.is_empty() {
            Self::CONCURRENT_LOADS_MAX
        } else {
            Self::CONCURRENT_LOADS_MAX - 1
        };
        loading < limit
    }
}

impl OpenOrder {
    /// Updates the order with the engine's current state, since the decision was based on an older
    /// report.
    fn refresh(&mut self, load: &Load) {
        if self.is_token_only {
            self.change.want = current_want(load);
        }
        self.needs_drain |= interrupts(load, &self.change.want);
    }

    /// Returns whether the engine already has the wanted state and knows the fencing token, so that
    /// the order need not be sent; the decision was based on an older report.
    fn is_redundant(&self, load: &Load) -> bool {
        let is_settled = !load.changing && load.last_fence >= self.pending.fence();
        !self.pending.is_in_flight() && is_settled && is_reached(load, &self.change.want)
    }
}

/// Returns the engine's current state, in the form in which an order requests it.
fn current_want(load: &Load) -> Want {
    Want {
        role: load.role,
        models: load.models.clone(),
        adapters: load.adapters.clone(),
    }
}

fn observation(load: &Load, interrupts: bool) -> Observation<'_> {
    Observation {
        incarnation: load.incarnation,
        last_fence: load.last_fence,
        last_order: &load.last_order,
        changing: load.changing,
        busy: load.sequences > 0 || load.queued_prefill_tokens > 0,
        interrupts,
    }
}

/// Returns whether the engine has the state that `want` requests.
fn is_reached(load: &Load, want: &Want) -> bool {
    !interrupts(load, want) && !loads_weights(load, want)
}

/// Returns whether reaching `want` interrupts running requests: a new role or the removal of a
/// model or adapter does, an added one does not.
fn interrupts(load: &Load, want: &Want) -> bool {
    let removes_model = load.models.iter().any(|held| !want.models.contains(held));
    let removes_adapter = load
        .adapters
        .iter()
        .any(|held| !want.adapters.contains(held));
    load.role != want.role || removes_model || removes_adapter
}

/// Returns whether reaching `want` loads weights of a model or adapter.
fn loads_weights(load: &Load, want: &Want) -> bool {
    let adds_model = want
        .models
        .iter()
        .any(|wanted| !load.models.contains(wanted));
    let adds_adapter = want
        .adapters
        .iter()
        .any(|wanted| !load.adapters.contains(wanted));
    adds_model || adds_adapter
}
