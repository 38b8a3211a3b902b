//! The task that acquires, renews and releases the lease of the holder.

use std::time::Duration;

use ragwortgrade_policy::authority::{Answer, Call, HolderRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::worker::Worker;
use crate::gateway::{Item, LeaseId, Put, StoreError, StoreResponse, Transaction};

/// Key that is attached to the lease of the holder.
const LOCK_KEY: &str = "ragwortgrade/duties/lock";
/// Key of the holder record.
pub(super) const RECORD_KEY: &str = "ragwortgrade/duties/holder";
/// Interval at which due calls are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of attempts of a read, which the store may refuse, and the pause between them.
const READ_ATTEMPTS: usize = 3;
const READ_PAUSE: Duration = Duration::from_millis(40);
/// Time after the start of the process for which a daemon that knows no other one is no candidate.
const ALONE_TIME: Duration = Duration::from_millis(4_500);

pub(super) async fn run(worker: Worker<'_>) {
    let started_at = worker.shared.now();
    let mut known_token = None;
    loop {
        update(worker, started_at);
        log_tenure(worker, &mut known_token);
        let call = worker.state.election.borrow_mut().next_call(worker.now());
        let Some(call) = call else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        let answer = perform(worker, &call).await;
        log::debug!(call:? = call, answer:? = answer; "lease call of the duties ended");
        let mut election = worker.state.election.borrow_mut();
        election.handle_answer(answer, worker.now());
    }
}

/// Passes what has changed to the election.
fn update(worker: Worker<'_>, started_at: ragwortgrade_policy::Instant) {
    let (shared, state) = (worker.shared, worker.state);
    let now = shared.now();
    let is_listed = worker.candidates().contains(&shared.options.name);
    // Until the others are listed, each daemon would be a candidate.
    let knows_others = !shared.peers.borrow().directory.is_empty();
    let is_ready = shared.is_registered.get()
        && (knows_others || now.since(started_at) >= ALONE_TIME)
        && !shared.is_draining();
    let is_candidate = is_listed && is_ready;
    let mut election = state.election.borrow_mut();
    let since = state.candidate_since.get();
    let is_member = is_candidate || election.is_held(worker.now());
    state
        .candidate_since
        .set(since.or(Some(now)).filter(|_| is_member));
    election.set_candidate(is_candidate);
    election.set_store(shared.store_restores(), shared.store_era_named());
    if shared.is_draining() && state.calls_in_flight.get() == 0 {
        election.release();
    }
}

fn log_tenure(worker: Worker<'_>, known_token: &mut Option<u64>) {
    let tenure = worker.tenure();
    let token = tenure.map(|tenure| tenure.token);
    if token == *known_token {
        return;
    }
    let metrics = &worker.shared.metrics;
    metrics.gauge("duties.holder", u64::from(token.is_some()));
    if let Some(token) = token {
        log::info!(token; "duties acquired");
        metrics.gauge("duties.token", token);
        metrics.count("duties.tenures", 1);
    } else if let Some(token) = *known_token {
        let reason = if worker.shared.is_draining() {
            "drain"
        } else {
            "lease_ended"
        };
        log::info!(token, reason = reason; "duties ended");
        for task in worker.state.tasks.borrow().iter() {
            task.handle_end();
        }
    }
    *known_token = token;
}

async fn perform(worker: Worker<'_>, call: &Call) -> Answer {
    let store = &worker.shared.options.store;
    match call {
        Call::ReadLock => match read(worker, LOCK_KEY).await {
            Ok(lock) => Answer::Lock(lock),
            Err(_error) => Answer::Failed,
        },
        Call::OpenLease => {
            let granted = limited(worker, store.grant(worker.state.timing.lease.ttl)).await;
            granted.map_or(Answer::Failed, |LeaseId(lease)| Answer::Granted(lease))
        }
        Call::CreateLock(lock) => {
            let lease = Some(LeaseId(lock.lease));
            write(worker, LOCK_KEY, 0, lock, lease).await
        }
        Call::ReadRecord => match read::<HolderRecord>(worker, RECORD_KEY).await {
            Ok(record) => Answer::HolderRecord(record),
            Err(_error) => Answer::Failed,
        },
        Call::QueryFences => {
            let election = worker.state.election.borrow();
            Answer::HighestFence(election.token_floor(worker.now()))
        }
        Call::WriteRecord { expect, record } => {
            write(worker, RECORD_KEY, *expect, record, None).await
        }
        Call::KeepAlive(lease) => {
            let timeout = worker.state.timing.call_timeout;
            match limited(worker, store.renew(LeaseId(*lease), timeout)).await {
                Ok(()) => Answer::Done,
                Err(StoreError::LeaseNotFound) => Answer::Ended,
                Err(_error) => Answer::Failed,
            }
        }
        Call::Revoke(lease) => match limited(worker, store.end_lease(LeaseId(*lease))).await {
            Ok(()) => Answer::Done,
            Err(_error) => Answer::Lost,
        },
    }
}

/// Waits for a call to the store, but no longer than the lease allows.
pub(super) async fn limited<T>(
    worker: Worker<'_>,
    call: impl Future<Output = StoreResponse<T>>,
) -> Result<T, StoreError> {
    let call = worker.shared.call_store(call);
    let timeout = worker.state.timing.call_timeout;
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or(Err(StoreError::TimedOut))
}

/// Reads a document and its revision, with repetitions.
async fn read<T: DeserializeOwned>(
    worker: Worker<'_>,
    key: &str,
) -> Result<Option<(T, u64)>, StoreError> {
    let item = read_item(worker, key).await?;
    let Some(item) = item else {
        return Ok(None);
    };
    let document = item.value.as_deref().map(serde_json::from_slice);
    let Some(Ok(document)) = document else {
        log::warn!(key; "document of the duties cannot be parsed");
        return Err(StoreError::Malformed(key.to_owned()));
    };
    Ok(Some((document, item.revision)))
}

/// Reads a key, with repetitions.
pub(super) async fn read_item(worker: Worker<'_>, key: &str) -> Result<Option<Item>, StoreError> {
    let mut attempts = 1;
    loop {
        match limited(worker, worker.shared.options.store.get(key)).await {
            Err(_error) if attempts < READ_ATTEMPTS => {
                attempts += 1;
                tokio::time::sleep(READ_PAUSE).await;
            }
            result => return result,
        }
    }
}

async fn write(
    worker: Worker<'_>,
    key: &str,
    expected_revision: u64,
    document: &impl Serialize,
    lease: Option<LeaseId>,
) -> Answer {
    let transaction = Transaction {
        expected: vec![(key.to_owned(), expected_revision)],
        puts: vec![Put {
            key: key.to_owned(),
            value: serde_json::to_vec(document).unwrap_or_default(),
            lease,
        }],
        remove: Vec::new(),
    };
    let store = &worker.shared.options.store;
    match limited(worker, store.commit(&transaction)).await {
        Ok(revision) => Answer::Written(revision),
        Err(StoreError::Conflict) => Answer::Conflict,
        Err(StoreError::LeaseNotFound) => Answer::Ended,
        Err(StoreError::Status(_)) => Answer::Failed,
        Err(_error) => Answer::Lost,
    }
}

/// Returns whether the stored holder record names another holder than this daemon with `token`.
pub(super) async fn is_replaced(worker: Worker<'_>, token: u64) -> bool {
    let record = read::<HolderRecord>(worker, RECORD_KEY).await;
    matches!(record, Ok(Some((record, _))) if record.fence != token)
}
