//! Counts that a daemon leaves in the store because the holder does not answer.

use std::time::Duration;

use ragwortgrade_policy::gateway::duties::{TenantCounts, WindowCounts};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::Duty;
use super::election_worker::limited;
use super::worker::Worker;
use crate::gateway::{Put, StoreError, Transaction};

/// Prefix of the keys of counts; the window, the daemon and the start of its process follow.
const COUNTS_PREFIX: &str = "ragwortgrade/duties/counts/";
/// Interval at which counts that nobody has got are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Counts of a daemon for a window, as they are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Deposit {
    daemon: Name,
    started_ms: u64,
    counts: TenantCounts,
}

/// Leaves counts in the store until the future is dropped.
pub(super) async fn run(worker: Worker<'_>) {
    if !worker.runs(Duty::Usage) {
        return;
    }
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let overdue = worker.state.delivery.borrow().overdue(worker.shared.now());
        // The holder has its own counts.
        if worker.state.election.borrow().is_held(worker.now()) {
            continue;
        }
        for window in overdue {
            if let Err(error) = store(worker, window).await {
                log::info!(window, error:% = error; "counts could not be left in the store");
                break;
            }
            log::info!(window; "counts left in the store, as the holder does not answer");
            worker.shared.metrics.count("duties.usage.deposits", 1);
            worker.state.delivery.borrow_mut().record_stored(window);
        }
    }
}

async fn store(worker: Worker<'_>, window: u64) -> Result<(), StoreError> {
    let daemon = worker.shared.options.name.clone();
    let started_ms = worker.state.started_ms;
    let key = format!("{COUNTS_PREFIX}{window}/{daemon}/{started_ms}");
    let counts = worker.state.ledger.borrow().counts(window);
    let deposit = Deposit {
        daemon,
        started_ms,
        counts,
    };
    let transaction = Transaction {
        puts: vec![Put {
            key,
            value: serde_json::to_vec(&deposit).unwrap_or_default(),
            lease: None,
        }],
        ..Transaction::default()
    };
    let store = &worker.shared.options.store;
    limited(worker, store.commit(&transaction)).await?;
    Ok(())
}

/// Adds the counts that daemons have left in the store for `window` to those that arrived; returns their
/// keys, also those of earlier windows, which are no longer needed after that.
pub(super) async fn collect(worker: Worker<'_>, window: u64) -> Result<Vec<String>, StoreError> {
    let store = &worker.shared.options.store;
    let mut keys = Vec::new();
    let mut after: Option<Name> = None;
    loop {
        let page = limited(worker, store.list(COUNTS_PREFIX, after.as_deref())).await?;
        let present = worker.state.reports.borrow().window_at(worker.fleet_ms());
        for item in &page.items {
            let number = item.key.strip_prefix(COUNTS_PREFIX);
            let number = number.and_then(|rest| rest.split('/').next());
            let Some(number) = number.and_then(|number| number.parse::<u64>().ok()) else {
                continue;
            };
            if number <= window {
                keys.push(item.key.to_string());
            }
            let deposit = item.value.as_deref().map(serde_json::from_slice::<Deposit>);
            if let Some(Ok(deposit)) = deposit {
                let counts = WindowCounts {
                    window: number,
                    counts: deposit.counts,
                    is_final: true,
                };
                let mut tally = worker.state.tally.borrow_mut();
                tally.merge(&deposit.daemon, deposit.started_ms, &counts, present);
            }
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(keys);
        }
    }
}
