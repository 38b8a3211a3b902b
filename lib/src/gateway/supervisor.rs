use std::cell::Cell;
use std::rc::Rc;

use ragwortgrade_policy::gateway::{RestartDecision, TaskRestart};
use tokio::sync::Notify;
use tokio::task::JoinError;

use super::shared::Shared;

/// Long-lived tasks of the gateway. One that ends or panics is started again.
#[derive(Debug, Default)]
pub(super) struct Supervisor {
    /// Number of tasks that wait for their restart.
    stopped: Cell<u32>,
    /// Task that is not started again, as it fails each time.
    failed: Cell<Option<&'static str>>,
    failure: Notify,
}

impl Supervisor {
    /// Returns whether all tasks run. What a stopped one maintains may be out of date.
    pub(super) fn are_all_running(&self) -> bool {
        self.stopped.get() == 0
    }

    /// Waits until a task has failed so often that it is not started again; returns its name.
    pub(super) async fn wait_for_failure(&self) -> &'static str {
        loop {
            if let Some(name) = self.failed.get() {
                return name;
            }
            self.failure.notified().await;
        }
    }

    fn record_failed(&self, name: &'static str) {
        self.failed.set(Some(name));
        self.failure.notify_one();
    }
}

/// Spawns a task that is started again when it ends; `start` returns its future.
pub(super) fn spawn<F>(shared: &Rc<Shared>, name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let supervisor = &shared.supervisor;
        let mut restart = TaskRestart::default();
        loop {
            let started_at = shared.now();
            let result = tokio::task::spawn_local(start()).await;
            let ran_for = shared.now().since(started_at);
            supervisor.stopped.set(supervisor.stopped.get() + 1);
            shared.metrics.count(&format!("tasks.ended.{name}"), 1);
            let cause = cause(result);
            match restart.record_end(ran_for) {
                RestartDecision::After(delay) => {
                    log::error!(
                        task = name, cause = cause, ran_ms = ran_for.as_millis() as u64,
                        delay_ms = delay.as_millis() as u64;
                        "task ended; starting it again"
                    );
                    tokio::time::sleep(delay).await;
                    supervisor.stopped.set(supervisor.stopped.get() - 1);
                }
                RestartDecision::GiveUp => {
                    log::error!(task = name, cause = cause; "task fails at each start; draining");
                    supervisor.record_failed(name);
                    return;
                }
            }
        }
    });
}

/// Returns why a task has ended.
fn cause(result: Result<(), JoinError>) -> String {
    let Err(error) = result else {
        return "returned".to_owned();
    };
    let Ok(panic) = error.try_into_panic() else {
        return "aborted".to_owned();
    };
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .map_or_else(|| "panic".to_owned(), |text| format!("panic: {text}"))
}
