use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ragwortgrade_policy::claim::{Hash128, owner_of, shard_of};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{ClaimOutcome, Settled};

use crate::lock::lock;
use crate::peer::Peers;
use crate::worker::Worker;

/// Pause between two attempts to record the queued outcomes.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Length of the queue: enough for an outage of a few minutes; at up to 6 KB each, 24 MB.
const OUTCOMES_MAX: usize = 4_096;

/// Outcomes of claims that could not be recorded yet, usually because of an outage.
///
/// The owners treat these claims as running for up to 15 min while this daemon lives, so recording
/// is retried until it succeeds.
#[derive(Debug)]
pub(crate) struct OutcomeQueue {
    pending: Arc<Mutex<VecDeque<ClaimOutcome>>>,
    _worker: Worker,
}

impl OutcomeQueue {
    pub(crate) fn spawn(peers: Arc<dyn Peers>) -> io::Result<Self> {
        let pending = Arc::<Mutex<VecDeque<ClaimOutcome>>>::default();
        let worker = Worker::spawn("outcomes", {
            let pending = Arc::clone(&pending);
            move || {
                report_all(peers.as_ref(), &pending);
                RETRY_PAUSE
            }
        })?;
        Ok(Self {
            pending,
            _worker: worker,
        })
    }

    /// Queues an outcome; drops it when the queue is full.
    pub(crate) fn push(&self, outcome: ClaimOutcome) {
        let mut pending = lock(&self.pending);
        if pending.len() >= OUTCOMES_MAX {
            log::warn!(outcome:? = outcome.outcome; "queue is full; outcome of a claim dropped");
            return;
        }
        log::info!(outcome:? = outcome.outcome; "outcome of a claim queued for recording");
        pending.push_back(outcome);
    }
}

/// Tries to record each queued outcome once.
fn report_all(peers: &dyn Peers, pending: &Mutex<VecDeque<ClaimOutcome>>) {
    let tries = lock(pending).len();
    for _ in 0..tries {
        let Some(outcome) = lock(pending).pop_front() else {
            return;
        };
        if !report(peers, &outcome) {
            lock(pending).push_back(outcome);
        }
    }
}

/// Reports an outcome to the owner of its claim; returns whether it needs no further attempt.
pub(super) fn report(peers: &dyn Peers, outcome: &ClaimOutcome) -> bool {
    let Ok(key) = outcome.key.parse::<Hash128>() else {
        log::error!(key:% = outcome.key; "key of a claim is malformed; its outcome is dropped");
        return true;
    };
    let Some(owner) = owner(peers, shard_of(key)) else {
        return false;
    };
    matches!(peers.settle(&owner, outcome), Ok(Settled::Recorded))
}

/// Returns the owner of a shard among the daemons that are not draining.
pub(super) fn owner(peers: &dyn Peers, shard: u8) -> Option<Name> {
    let members = peers.members();
    let candidates = members.iter().filter(|member| !member.identity.draining);
    owner_of(shard, candidates.map(|member| &member.identity.id)).cloned()
}
