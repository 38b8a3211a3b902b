//! The thread that determines whether former holders have ended.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_policy::authority::{Evidence, Holder};

use super::shared::Shared;
use crate::worker::Worker;

pub(super) fn spawn(shared: Arc<Shared>) -> io::Result<Worker> {
    Worker::spawn("takeover", move || step(&shared))
}

fn step(shared: &Shared) -> Duration {
    let now = shared.now();
    let former_holders = {
        let state = shared.lock();
        let takeover = state.takeover.as_ref().filter(|_| state.lease.is_held(now));
        takeover.map_or_else(Vec::new, |(_, takeover)| takeover.former_holders().to_vec())
    };
    if !former_holders.is_empty() {
        for evidence in collect_evidence(shared, &former_holders) {
            apply_evidence(shared, &evidence);
        }
    }
    shared.timing.poll_interval
}

fn collect_evidence(shared: &Shared, former_holders: &[Holder]) -> Vec<Evidence> {
    let mut found = Vec::new();
    if let Some(gone) = declared_gone(shared) {
        found.push(Evidence::Declared(gone));
    }
    found.extend(shared.environment.entry_vms().map(Evidence::Listed));
    for former in former_holders {
        if let Ok(identity) = shared.peers.identity(&former.address) {
            found.push(Evidence::Answers {
                address: former.address.clone(),
                incarnation: identity.incarnation,
            });
        }
    }
    found
}

/// Returns the former holder that the operators have declared gone.
fn declared_gone(shared: &Shared) -> Option<Holder> {
    let configuration = shared.node.configuration.load();
    let takeover = configuration.as_ref()?.policy.takeover.clone()?;
    match takeover.parse() {
        Ok(holder) => Some(holder),
        Err(error) => {
            log::warn!(takeover, error:% = error; "cannot parse the declared takeover");
            None
        }
    }
}

fn apply_evidence(shared: &Shared, evidence: &Evidence) {
    let now = shared.now();
    let mut state = shared.lock();
    let Some((_, takeover)) = &mut state.takeover else {
        return;
    };
    let gone = takeover.apply_evidence(evidence, now.monotonic);
    for former in &gone {
        log::info!(former:% = former, evidence:? = evidence; "former holder has ended");
    }
    if !gone.is_empty() {
        state.lease.remove_former_holders(&gone);
    }
}
