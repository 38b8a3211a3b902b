//! Restarts of long-lived tasks.

use std::time::Duration;

use ragwortgrade_policy::gateway::{RestartDecision, TaskRestart};

fn decisions(ran_for: Duration, ends: usize) -> Vec<RestartDecision> {
    let mut restart = TaskRestart::default();
    (0..ends).map(|_| restart.record_end(ran_for)).collect()
}

/// Guards against a daemon that goes on serving while it no longer learns of changes.
#[test]
fn task_that_fails_at_each_start_is_given_up() {
    let decisions = decisions(Duration::ZERO, 7);
    let delays_ms = [100, 200, 400, 800, 1_600, 1_600];
    let expected = delays_ms.map(|delay| RestartDecision::After(Duration::from_millis(delay)));
    assert_eq!(decisions[..6], expected);
    assert_eq!(decisions[6], RestartDecision::GiveUp);
}

/// Guards against a daemon that ends because of rare failures over a long time.
#[test]
fn rare_failures_never_end_the_daemon() {
    let decisions = decisions(Duration::from_mins(1), 20);
    let first = RestartDecision::After(Duration::from_millis(100));
    assert!(decisions.iter().all(|decision| *decision == first));
}
