use std::rc::Rc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::Timestamp;
use ragwortgrade_policy::gateway::duties::RunId;
use ragwortgrade_schema::Name;

use super::state::State;
use super::{DutyOptions, DutyTask};

/// Handle of the duties; without duties, its methods do nothing.
#[derive(Debug)]
pub(in crate::gateway) struct Duties {
    state: Option<State>,
}

impl Duties {
    pub(in crate::gateway) fn new(
        name: &Name,
        options: Option<&DutyOptions>,
        now: Timestamp,
    ) -> Self {
        Self {
            state: options.map(|options| State::new(name, options.clone(), now)),
        }
    }

    pub(super) const fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Adds a task that the holder performs.
    pub(in crate::gateway) fn add_task(&self, task: Rc<dyn DutyTask>) {
        if let Some(state) = &self.state {
            state.tasks.borrow_mut().push(task);
        }
    }

    /// Counts a run that began at `at`.
    pub(in crate::gateway) fn count_run(&self, tenant: Option<&Name>, at: Instant) {
        if let Some(state) = &self.state {
            let clock = state.clock.borrow();
            state.ledger.borrow_mut().count(tenant, at, &clock);
        }
    }

    /// Records that a run was sent whose outcome is not known yet.
    pub(super) fn begin_run(&self, at: Instant) -> Option<RunId> {
        let state = self.state.as_ref()?;
        Some(state.ledger.borrow_mut().begin(at))
    }

    /// Counts a run that was sent and may have begun.
    pub(super) fn count_sent_run(&self, run: RunId, tenant: Option<&Name>) {
        if let Some(state) = &self.state {
            let clock = state.clock.borrow();
            let mut ledger = state.ledger.borrow_mut();
            ledger.count_pending(run, tenant, &clock);
        }
    }

    /// Records that a run that was sent did not begin.
    pub(super) fn discard_run(&self, run: RunId) {
        if let Some(state) = &self.state {
            state.ledger.borrow_mut().discard(run);
        }
    }
}
