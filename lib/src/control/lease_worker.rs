//! The thread that acquires, renews and releases the lease.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_policy::authority::{Call, Takeover, is_candidate};

use super::call;
use super::shared::Shared;
use crate::worker::Worker;

pub(super) fn spawn(shared: Arc<Shared>) -> io::Result<Worker> {
    let mut fence = None;
    Worker::spawn("lease", move || {
        let pause = step(&shared);
        handle_lease_change(&shared, &mut fence);
        pause
    })
}

/// Makes the call that is due, if any; returns the time until the next check.
fn step(shared: &Shared) -> Duration {
    let is_campaigning = is_campaigning(shared);
    let now = shared.now();
    let due = {
        let mut state = shared.lock();
        state.lease.set_candidate(is_campaigning);
        if shared.is_stopping() && state.lease.is_held(now) && !state.orders.any_in_flight() {
            state.lease.release();
        }
        state.lease.next_call(now)
    };
    let Some(call) = due else {
        return shared.check_interval();
    };
    if call == Call::QueryFences {
        // The VM list is long, so it is read only here: the next call writes the holder record,
        // which says whether the list contains this daemon's VM.
        let is_listed = is_listed(shared);
        shared.lock().lease.set_listed(is_listed);
    }
    let answer = call::perform(&shared.node, &call, shared.timing.ttl);
    log::debug!(call:? = call, answer:? = answer; "lease call ended");
    let now = shared.now();
    shared.lock().lease.handle_answer(answer, now);
    Duration::ZERO
}

/// Returns whether this daemon should try to acquire the lease if it does not hold it.
fn is_campaigning(shared: &Shared) -> bool {
    if shared.is_stopping() {
        return false;
    }
    let daemon = &shared.node.settings.daemon;
    let mut members = shared.peers.members();
    members.retain(|member| {
        member.identity.data_centre == daemon.data_centre && !member.identity.draining
    });
    let live = members.iter().map(|member| &member.identity.id);
    is_candidate(&daemon.data_centre, &daemon.id, live)
}

/// Returns whether the platform's VM list contains this daemon's VM.
fn is_listed(shared: &Shared) -> bool {
    let own = &shared.node.settings.daemon.id;
    shared
        .environment
        .entry_vms()
        .is_some_and(|vms| vms.contains(own))
}

/// Starts the takeover from former holders when the lease was acquired, and logs its acquisition
/// and end.
fn handle_lease_change(shared: &Shared, known_fence: &mut Option<u64>) {
    let now = shared.now();
    let mut state = shared.lock();
    let holder_record = state.lease.holder_record(now).cloned();
    let fence = holder_record
        .as_ref()
        .map(|holder_record| holder_record.fence);
    if fence == *known_fence {
        return;
    }
    if let Some(fence) = *known_fence {
        log::info!(fence; "control lease ended");
    }
    if let Some(holder_record) = holder_record {
        let takeover = Takeover::open(shared.timing, &holder_record, now.monotonic);
        let former_holders = holder_record.former_holders.len();
        log::info!(fence = holder_record.fence, former_holders; "control lease acquired");
        state.takeover = Some((holder_record.fence, takeover));
    }
    *known_fence = fence;
}
