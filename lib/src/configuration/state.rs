use std::collections::BTreeMap;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::revision::{DocumentHistory, ReaderElection};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::admin::RejectedDocument;
use rand_chacha::ChaCha8Rng;

/// State of a replica, behind one lock that is never held during a network call.
#[derive(Debug)]
pub(super) struct State {
    pub(super) history: DocumentHistory,
    pub(super) election: ReaderElection,
    pub(super) random: ChaCha8Rng,
    /// Peers whose gossip reported a higher revision, with that revision.
    pub(super) peers_ahead: BTreeMap<Name, u64>,
    /// Time of the next query of a random peer while no peer reports a higher revision.
    pub(super) next_random_query: Instant,
    /// A peer holds a different document of the same revision; one read of the platform resolves
    /// the conflict, even if this daemon is not the reader.
    pub(super) needs_conflict_read: bool,
    /// Whether the last read of the platform succeeded; `None` if this daemon is not the reader.
    pub(super) platform_reachable: Option<bool>,
    /// The last rejected document.
    pub(super) rejected: Option<RejectedDocument>,
}

impl State {
    /// Records a peer's revision if it is higher than both the one held and the last rejected one.
    pub(super) fn record_peer_revision(&mut self, peer: &Name, revision: u64) {
        let rejected = self.rejected.as_ref().map_or(0, |it| it.revision);
        if revision > self.history.revision() && revision > rejected {
            self.peers_ahead.insert(peer.clone(), revision);
        }
    }

    /// Removes and returns the peer with the highest revision above the one held.
    pub(super) fn take_peer_ahead(&mut self) -> Option<Name> {
        let held = self.history.revision();
        self.peers_ahead.retain(|_, revision| *revision > held);
        let highest = self
            .peers_ahead
            .iter()
            .max_by_key(|(_, revision)| **revision);
        let peer = highest.map(|(peer, _)| peer.clone())?;
        self.peers_ahead.remove(&peer);
        Some(peer)
    }

    /// Records a rejected document; returns whether it differs from the last one recorded.
    pub(super) fn record_rejection(&mut self, revision: u64, apply_id: &str, reason: &str) -> bool {
        let rejected = RejectedDocument {
            revision,
            apply_id: apply_id.to_owned(),
            reason: reason.to_owned(),
        };
        let is_new = self.rejected.as_ref() != Some(&rejected);
        self.rejected = Some(rejected);
        is_new
    }
}
