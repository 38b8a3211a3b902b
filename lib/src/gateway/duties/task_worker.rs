//! The task that makes the calls of the holder's tasks.

use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::gateway::duties::{Call, Outcome};

use super::election_worker;
use super::worker::Worker;
use super::{Duty, DutyAnswer, DutyTask, Tenure};

/// Interval at which tasks are asked for calls.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(worker: Worker<'_>) {
    if !worker.runs(Duty::Scale) {
        return;
    }
    loop {
        tokio::time::sleep(ASK_INTERVAL).await;
        let tasks: Vec<Rc<dyn DutyTask>> = worker.state.tasks.borrow().clone();
        for task in tasks {
            let Some(tenure) = worker.tenure() else {
                break;
            };
            for call in task.due_calls(tenure, worker.shared.now()) {
                let Some(outcome) = make(worker, tenure, &call).await else {
                    break;
                };
                task.handle_outcome(&call, outcome, worker.shared.now());
            }
        }
    }
}

/// Makes a call; `None` if the daemon may no longer act.
async fn make(worker: Worker<'_>, tenure: Tenure, call: &Call) -> Option<Outcome> {
    let answer = worker.call(tenure.token, call).await?;
    let is_fencing_required = worker.state.options.settings.is_fencing_required;
    // Where tokens are checked, a conflict may mean either: the store shows who the holder is.
    let is_superseded = answer == DutyAnswer::Conflict
        && is_fencing_required
        && election_worker::is_replaced(worker, tenure.token).await;
    let outcome = if is_superseded {
        worker.step_down(tenure.token);
        Outcome::Superseded
    } else {
        Worker::plain_outcome(answer)
    };
    log::info!(token = tenure.token, call:? = call, outcome:? = outcome; "duty call ended");
    Some(outcome)
}
