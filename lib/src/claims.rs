//! At-most-once execution: a request with an idempotency key for a service that is not idempotent
//! is sent only after it has obtained a claim on the key from the daemon that owns the key's shard.

mod claimant;
mod outcome_queue;
mod shard;

use std::collections::HashSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread::{self, JoinHandle};
use std::time::Duration;

pub(crate) use claimant::{ClaimDecision, Claimant};
pub(crate) use outcome_queue::OutcomeQueue;
use ragwortgrade_policy::claim::{Answer, Hash128, Outcome, Request, SHARDS, owner_of, shard_of};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ClaimState, OutcomeKind, Settled,
};
use shard::Shard;

use crate::Node;
use crate::peer::Peers;

/// Time between two updates of the shard owners from the live daemons.
const MEMBERS_POLL_PERIOD: Duration = Duration::from_millis(250);

/// Answers claims for the shards that this daemon owns.
#[derive(Debug)]
pub struct Claims {
    node: Arc<Node>,
    shards: Vec<Arc<Shard>>,
    stopped: Arc<AtomicBool>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Claims {
    /// Creates the shards of a daemon, which owns none of them until [`Self::start`].
    #[must_use]
    pub fn open(node: Arc<Node>) -> Arc<Self> {
        let shards = (0..SHARDS)
            .map(|shard| Arc::new(Shard::open(shard, Arc::clone(&node))))
            .collect();
        Arc::new(Self {
            node,
            shards,
            stopped: Arc::new(AtomicBool::new(false)),
            threads: Mutex::default(),
        })
    }

    /// Starts a thread for each shard, and one that derives the shard owners from `peers`.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(&self, peers: &Arc<dyn Peers>) -> io::Result<()> {
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        for shard in &self.shards {
            let (shard, stopped) = (Arc::clone(shard), Arc::clone(&self.stopped));
            threads.push(
                thread::Builder::new()
                    .name("claims".to_owned())
                    .spawn(move || shard.run(&stopped))?,
            );
        }
        let updater = OwnershipUpdater {
            own: self.node.settings.daemon.id.clone(),
            // Weak, because the handler of peers' calls holds the claims: a cycle would leak both.
            peers: Arc::downgrade(peers),
            shards: self.shards.clone(),
            node: Arc::clone(&self.node),
        };
        updater.update();
        let stopped = Arc::clone(&self.stopped);
        threads.push(
            thread::Builder::new()
                .name("claims".to_owned())
                .spawn(move || {
                    while !stopped.load(Ordering::Acquire) {
                        thread::park_timeout(MEMBERS_POLL_PERIOD);
                        updater.update();
                    }
                })?,
        );
        Ok(())
    }

    /// Decides on a claim; blocks until its record is written or the request times out.
    #[must_use]
    pub fn claim(&self, request: &ClaimRequest) -> ClaimAnswer {
        let answer = |state, recorded, owner| ClaimAnswer {
            state,
            recorded,
            owner,
        };
        let (Ok(key), Ok(digest), Ok(attempt)) = (
            request.key.parse::<Hash128>(),
            request.request.parse(),
            request.attempt.parse(),
        ) else {
            return answer(ClaimState::Unavailable, None, None);
        };
        let shard = &self.shards[usize::from(shard_of(key))];
        let owner_request = Request::Claim {
            key,
            digest,
            claimant: request.claimant.clone(),
            incarnation: request.incarnation,
            attempt,
        };
        match shard.submit(owner_request) {
            Ok(Answer::Claim(state, recorded)) => answer(state, recorded, None),
            Ok(Answer::Settled(_)) => answer(ClaimState::Unavailable, None, None),
            Err(owner) => answer(ClaimState::NotOwner, None, owner),
        }
    }

    /// Records the outcome of a claimed request; blocks until it is written or the call times out.
    #[must_use]
    pub fn settle(&self, outcome: &ClaimOutcome) -> Settled {
        let (Ok(key), Ok(attempt)) = (outcome.key.parse::<Hash128>(), outcome.attempt.parse())
        else {
            return Settled::Unavailable;
        };
        let shard = &self.shards[usize::from(shard_of(key))];
        let outcome = match (outcome.outcome, &outcome.recorded) {
            (OutcomeKind::Done, Some(recorded)) => Outcome::Done(recorded.clone()),
            (OutcomeKind::Released, _) => Outcome::Released,
            (OutcomeKind::Done | OutcomeKind::Unknown, _) => Outcome::Unknown,
        };
        let owner_request = Request::Settle {
            key,
            attempt,
            outcome,
        };
        match shard.submit(owner_request) {
            Ok(Answer::Settled(true)) => Settled::Recorded,
            Ok(_) => Settled::Unavailable,
            Err(_) => Settled::NotOwner,
        }
    }
}

impl Drop for Claims {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        for shard in &self.shards {
            shard.wake();
        }
        let threads = std::mem::take(
            self.threads
                .get_mut()
                .unwrap_or_else(PoisonError::into_inner),
        );
        for thread in threads {
            thread.thread().unpark();
            if thread.join().is_err() {
                log::error!("a claims thread panicked");
            }
        }
    }
}

/// Assigns the shards to owners as daemons join and leave.
struct OwnershipUpdater {
    own: Name,
    node: Arc<Node>,
    peers: Weak<dyn Peers>,
    shards: Vec<Arc<Shard>>,
}

impl OwnershipUpdater {
    fn update(&self) {
        let Some(peers) = self.peers.upgrade() else {
            return;
        };
        let members = peers.members();
        // A draining daemon hands its shards over while it can still answer.
        let daemons: Vec<Name> = members
            .iter()
            .filter(|member| !member.identity.draining)
            .map(|member| member.identity.id.clone())
            .collect();
        let mut live: HashSet<(Name, u64)> = members
            .into_iter()
            .map(|member| (member.identity.id, member.identity.incarnation))
            .collect();
        // Claims of this process count as running even if the membership has it as dead.
        live.insert((self.own.clone(), self.node.incarnation));
        for (number, shard) in self.shards.iter().enumerate() {
            let owner = owner_of(number as u8, &daemons).cloned();
            shard.set_owner(owner, live.clone());
        }
    }
}
