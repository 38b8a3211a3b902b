use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::gateway::{Endpoint, Fingerprint, LostRun};
use ragwortgrade_schema::Name;

use super::shared::Shared;

/// Connections that are tried after a run was lost: an endpoint that crashes may close its
/// connections before its listening socket.
const CONNECTS_MAX: u32 = 2;
const CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one of them. An endpoint that does not answer may also be cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Tells crashes of endpoints from lost connections, and records the runs that crashes lose.
#[derive(Debug, Default)]
pub(super) struct CrashDetector {
    /// Runs lost on endpoints that are being checked, by endpoint and its start time.
    pending: RefCell<HashMap<(Name, u64), Vec<LostRun>>>,
}

impl CrashDetector {
    /// Records that a run was lost before its output began. It counts as lost in a crash if the
    /// endpoint then refuses connections.
    pub(super) fn run_lost(shared: &Rc<Shared>, endpoint: &Endpoint, fingerprint: &Fingerprint) {
        let lost_run = LostRun {
            endpoint: endpoint.id.clone(),
            endpoint_started_ms: endpoint.started_ms.unwrap_or_default(),
            at: shared.now(),
            parts: fingerprint.shared_parts.clone(),
            content: Some(fingerprint.content),
        };
        let key = (lost_run.endpoint.clone(), lost_run.endpoint_started_ms);
        let mut pending = shared.crash_detector.pending.borrow_mut();
        if let Some(lost_runs) = pending.get_mut(&key) {
            lost_runs.push(lost_run);
            return;
        }
        pending.insert(key.clone(), vec![lost_run]);
        tokio::task::spawn_local(check_endpoint(Rc::clone(shared), endpoint.clone(), key));
    }
}

async fn check_endpoint(shared: Rc<Shared>, endpoint: Endpoint, key: (Name, u64)) {
    let is_crashed = refuses_connections(&shared, &endpoint).await;
    let lost_runs = shared.crash_detector.pending.borrow_mut().remove(&key);
    let lost_runs = lost_runs.unwrap_or_default();
    log::info!(
        endpoint:% = endpoint.id, endpoint_started_ms = endpoint.started_ms, is_crashed = is_crashed,
        lost_runs = lost_runs.len();
        "endpoint checked after lost runs"
    );
    if !is_crashed {
        return;
    }
    shared.metrics.count("endpoints.crashed", 1);
    shared.update_quarantine(|quarantine, now| {
        for lost_run in lost_runs {
            quarantine.record_lost_run(lost_run, now);
        }
    });
}

async fn refuses_connections(shared: &Shared, endpoint: &Endpoint) -> bool {
    for connects in 1..=CONNECTS_MAX {
        if shared
            .client
            .is_refused(endpoint.address, CONNECT_TIMEOUT)
            .await
        {
            return true;
        }
        if connects < CONNECTS_MAX {
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
    }
    false
}
