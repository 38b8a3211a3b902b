use std::rc::Rc;

use ragwortgrade_policy::gateway::Failure;
use ragwortgrade_policy::gateway::duties::RunId;
use ragwortgrade_schema::Name;

use crate::gateway::shared::Shared;

/// A request that was sent to a plain service. Unless it turns out not to have run, it counts at the
/// time at which it was sent, also if its caller leaves.
#[derive(Debug)]
pub(in crate::gateway) struct RunGuard {
    shared: Rc<Shared>,
    tenant: Option<Name>,
    run: Option<RunId>,
}

impl RunGuard {
    pub(in crate::gateway) fn start(shared: &Rc<Shared>, tenant: Option<&Name>) -> Self {
        Self {
            shared: Rc::clone(shared),
            tenant: tenant.cloned(),
            run: shared.duties.begin_run(shared.now()),
        }
    }

    /// Records why the run failed.
    pub(in crate::gateway) fn fail(mut self, failure: Failure) {
        let has_not_run = match failure {
            Failure::NotSent | Failure::NotRun | Failure::WrongEndpoint => true,
            Failure::Unknown | Failure::Failed => false,
        };
        if has_not_run && let Some(run) = self.run.take() {
            self.shared.duties.discard_run(run);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            let tenant = self.tenant.as_ref();
            self.shared.duties.count_sent_run(run, tenant);
        }
    }
}
