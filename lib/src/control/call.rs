//! Carries out the platform calls of the lease state machine.

use std::thread;

use ragwortgrade_policy::authority::{Answer, Call, HolderRecord, LockRecord};
use ragwortgrade_schema::platform::Write;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Node;
use crate::membership::Endpoint;
use crate::platform::{Error, KeyValue};

/// Carries out `call`; takes at most a few seconds.
pub(super) fn perform(node: &Node, call: &Call, ttl: std::time::Duration) -> Answer {
    let data_centre = &node.settings.daemon.data_centre;
    let lock_key = format!("control/{data_centre}");
    let record_key = format!("tenure/{data_centre}");
    let key_value = &*node.key_value;
    let answer = match call {
        Call::ReadLock => read::<LockRecord>(key_value, &lock_key).map(Answer::Lock),
        Call::OpenLease => key_value.grant(ttl).map(Answer::Granted),
        Call::CreateLock(lock) => write(key_value, &lock_key, lock, 0, Some(lock.lease)),
        Call::ReadRecord => read::<HolderRecord>(key_value, &record_key).map(Answer::HolderRecord),
        Call::QueryFences => Ok(Answer::HighestFence(query_highest_fence(node))),
        Call::WriteRecord { expect, record } => {
            write(key_value, &record_key, record, *expect, None)
        }
        Call::KeepAlive(lease) => key_value.keep_alive(*lease).map(|()| Answer::Done),
        Call::Revoke(lease) => key_value.revoke(*lease).map(|()| Answer::Done),
    };
    answer.unwrap_or_else(|error| classify_failure(&error))
}

fn classify_failure(error: &Error) -> Answer {
    match error {
        Error::Conflict { .. } => Answer::Conflict,
        Error::LeaseEnded => Answer::Ended,
        Error::AnswerLost { .. } | Error::Malformed { .. } => Answer::Lost,
        Error::Unreachable { .. } | Error::RateLimited | Error::Refused { .. } => Answer::Failed,
    }
}

fn read<A: DeserializeOwned>(
    key_value: &dyn KeyValue,
    key: &str,
) -> Result<Option<(A, u64)>, Error> {
    let Some(entry) = key_value.get(key)? else {
        return Ok(None);
    };
    let Some(value) = entry.value else {
        return Ok(None);
    };
    let value = serde_json::from_str(&value).map_err(malformed)?;
    Ok(Some((value, entry.revision)))
}

fn write(
    key_value: &dyn KeyValue,
    key: &str,
    value: &impl Serialize,
    expect: u64,
    lease: Option<u64>,
) -> Result<Answer, Error> {
    let write = Write {
        key: key.to_owned(),
        value: Some(serde_json::to_string(value).map_err(malformed)?),
        expect,
        lease,
    };
    key_value.write(&write).map(Answer::Written)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "map_err passes the error by value"
)]
fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed {
        reason: error.to_string(),
    }
}

/// Returns the highest fencing token that any engine of the data centre has accepted.
///
/// Engines that do not answer are left out. The holder record also contains the highest token; the
/// engines are needed only when the platform was restored from older data.
fn query_highest_fence(node: &Node) -> u64 {
    let engines = engines(node);
    let query_fence = |engine: &Endpoint| {
        let state = node.engines.state(&engine.address);
        state.map_or(0, |state| state.last_fence)
    };
    // Concurrently, so that engines that hang do not use up the time of the lease.
    thread::scope(|scope| {
        let queries: Vec<_> = engines
            .iter()
            .map(|engine| scope.spawn(move || query_fence(engine)))
            .collect();
        let fences = queries.into_iter().map(|query| query.join().unwrap_or(0));
        fences.max().unwrap_or(0)
    })
}

/// Returns the engines of the daemon's data centre.
pub(super) fn engines(node: &Node) -> Vec<Endpoint> {
    let own = &node.settings.daemon.data_centre;
    let mut endpoints = node.directory.all();
    endpoints.retain(|endpoint| endpoint.service.is_none() && endpoint.data_centre == *own);
    endpoints
}
