use std::collections::BTreeMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Order, Want};

use crate::Instant;
use crate::planner::Change;

use super::command::Observation;
use super::{Command, Conclusion, Holder, Sent, Step, Tenure, Terms};

/// The orders of one holder that are not settled: at most one for each engine.
///
/// It outlives a tenure, since an order may still be under way when authority ends.
#[derive(Clone, Debug)]
pub struct Orders {
    terms: Terms,
    own: Holder,
    next_number: u64,
    open: BTreeMap<Name, Open>,
}

#[derive(Clone, Debug)]
struct Open {
    change: Change,
    /// The order asks for the engine's own state, only to make the fencing token known.
    is_token_only: bool,
    drains: bool,
    loads: bool,
    command: Command,
}

impl Orders {
    /// Weight loads under way at once; a slot is kept free for an engine without any model.
    ///
    /// Further ones would share the weight store's rate, so each would take longer.
    pub const LOADS: usize = 3;

    /// Opens the empty set of orders of the daemon `own`.
    #[must_use]
    pub fn open(terms: Terms, own: Holder) -> Self {
        Self {
            terms,
            own,
            next_number: 0,
            open: BTreeMap::new(),
        }
    }

    /// Tells whether an order for `engine` is not settled.
    #[must_use]
    pub fn contains(&self, engine: &Name) -> bool {
        self.open.contains_key(engine)
    }

    /// Tells whether any order was or may have been sent and its outcome is not known.
    #[must_use]
    pub fn are_under_way(&self) -> bool {
        self.open.values().any(|open| open.command.is_under_way())
    }

    /// Returns the engines with an order that is not settled.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.open.keys()
    }

    /// Returns the engines with an order that is not settled and takes them out of service.
    pub fn draining(&self) -> impl Iterator<Item = &Name> {
        let draining = self.open.iter().filter(|(_, open)| open.drains);
        draining.map(|(engine, _)| engine)
    }

    /// Takes up a change of an engine whose latest report is `load`; returns whether it was
    /// taken up.
    ///
    /// It is not when the engine has an order that is not settled, when too many weight loads are
    /// under way, or when the engine is already as wanted and knows the fencing token.
    pub fn take_up(&mut self, change: Change, load: &Load, tenure: &Tenure, now: Instant) -> bool {
        let loads = loads_weights(load, &change.want);
        let settled = load.last_fence >= tenure.fence && is_reached(load, &change.want);
        if self.contains(&change.engine) || settled || (loads && !self.may_load(load)) {
            return false;
        }
        let drains = interrupts(load, &change.want);
        let command = self.command(load, tenure, drains, now);
        let open = Open {
            change,
            is_token_only: false,
            drains,
            loads,
            command,
        };
        self.open.insert(open.change.engine.clone(), open);
        true
    }

    /// Takes up an order that changes nothing but makes the tenure's token known to an engine.
    pub fn make_known(&mut self, load: &Load, tenure: &Tenure, now: Instant) -> bool {
        if self.contains(&load.engine) || load.last_fence >= tenure.fence {
            return false;
        }
        let open = Open {
            change: Change {
                engine: load.engine.clone(),
                want: state_of(load),
                reason: String::new(),
            },
            is_token_only: true,
            drains: false,
            loads: false,
            command: self.command(load, tenure, false, now),
        };
        self.open.insert(load.engine.clone(), open);
        true
    }

    fn command(&mut self, load: &Load, tenure: &Tenure, drains: bool, now: Instant) -> Command {
        let order = format!("{}:{:x}:{}", self.own, tenure.fence, self.next_number);
        self.next_number += 1;
        Command::open(
            self.terms,
            order,
            tenure.fence,
            load.incarnation,
            drains,
            now,
        )
    }

    /// Returns the steps that are due at `now`.
    #[must_use]
    pub fn steps(&self, now: Instant) -> Vec<(Name, Step)> {
        let due = self.open.iter().filter_map(|(engine, open)| {
            let step = open.command.step(now)?;
            Some((engine.clone(), step))
        });
        due.collect()
    }

    /// Tells whether the order for `engine` may be sent.
    #[must_use]
    pub fn is_ready(&self, engine: &Name, now: Instant) -> bool {
        let step = self
            .open
            .get(engine)
            .and_then(|open| open.command.step(now));
        step == Some(Step::Send)
    }

    /// Returns the order for `engine` and notes that its call begins; `None` when no order is ready
    /// or when it was decided under another token than `fence`.
    pub fn begin(&mut self, engine: &Name, fence: u64, now: Instant) -> Option<Order> {
        let open = self.open.get_mut(engine)?;
        if open.command.step(now) != Some(Step::Send) || open.command.fence() != fence {
            return None;
        }
        open.command.sending();
        Some(Order {
            order: open.command.order().to_owned(),
            fence,
            issuer: self.own.daemon.clone(),
            want: open.change.want.clone(),
        })
    }

    /// Takes the end of an order's call.
    pub fn sent(&mut self, engine: &Name, sent: Sent, now: Instant) -> Option<Conclusion> {
        let conclusion = self.open.get_mut(engine)?.command.sent(sent, now);
        self.settle(engine, conclusion)
    }

    /// Takes the engine's current state; `None` when it could not be read.
    pub fn read(&mut self, engine: &Name, load: Option<&Load>, now: Instant) -> Option<Conclusion> {
        let open = self.open.get_mut(engine)?;
        if let Some(load) = load.filter(|_| !open.command.is_under_way()) {
            open.refresh(load);
        }
        let conclusion = match load {
            Some(load) if open.is_needless(load) => Some(Conclusion::Carried),
            Some(load) => open.command.observed(&observation(load, open.drains), now),
            None => open.command.unreadable(now),
        };
        self.settle(engine, conclusion)
    }

    /// Drops the order for an engine that the platform does not have any more, unless it can still
    /// arrive; returns whether it was dropped.
    pub fn drop_gone(&mut self, engine: &Name, now: Instant) -> bool {
        let is_over = |open: &Open| open.command.step(now).is_some();
        self.open.get(engine).is_some_and(is_over) && self.open.remove(engine).is_some()
    }

    /// Drops the orders that were not sent, except those under the token `kept`; returns their
    /// engines.
    pub fn give_up(&mut self, kept: Option<u64>) -> Vec<Name> {
        let is_over = |_: &Name, open: &mut Open| {
            kept != Some(open.command.fence()) && open.command.give_up().is_some()
        };
        let over = self.open.extract_if(.., is_over);
        over.map(|(engine, _)| engine).collect()
    }

    fn settle(&mut self, engine: &Name, conclusion: Option<Conclusion>) -> Option<Conclusion> {
        if conclusion.is_some() {
            self.open.remove(engine);
        }
        conclusion
    }

    fn may_load(&self, load: &Load) -> bool {
        let under_way = self.open.values().filter(|open| open.loads).count();
        let limit = if load.models.is_empty() {
            Self::LOADS
        } else {
            Self::LOADS - 1
        };
        under_way < limit
    }
}

impl Open {
    /// Compares the change with the engine's current state; the decision rests on a lagging one.
    fn refresh(&mut self, load: &Load) {
        if self.is_token_only {
            self.change.want = state_of(load);
        }
        self.drains |= interrupts(load, &self.change.want);
    }

    /// The decision was made on a lagging report; the engine may be as wanted already.
    fn is_needless(&self, load: &Load) -> bool {
        let is_settled = !load.changing && load.last_fence >= self.command.fence();
        !self.command.is_under_way() && is_settled && is_reached(load, &self.change.want)
    }
}

/// Returns what an order must ask for to change nothing.
fn state_of(load: &Load) -> Want {
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

fn is_reached(load: &Load, want: &Want) -> bool {
    !interrupts(load, want) && !loads_weights(load, want)
}

/// An added model or adapter leaves running requests alone; a new role or a removal does not.
fn interrupts(load: &Load, want: &Want) -> bool {
    let removes_model = load.models.iter().any(|held| !want.models.contains(held));
    let removes_adapter = load
        .adapters
        .iter()
        .any(|held| !want.adapters.contains(held));
    load.role != want.role || removes_model || removes_adapter
}

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
