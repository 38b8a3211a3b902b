use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::revision::{Document, DocumentHistory, PeerUpdate, ReaderElection};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::admin::InForce;
use ragwortgrade_schema::peer::{ConfigurationAnswer, Gossip};
use rand::seq::IteratorRandom as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use super::Reader;
use super::state::State;
use crate::Node;
use crate::gossip::Hooks;
use crate::peer::{Error, Peers};
use crate::worker::Worker;

/// Interval at which a replica checks whether to query a peer.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which a random peer is queried for its checksum, to detect two different documents
/// with the same revision.
const COMPARISON_PERIOD: Duration = Duration::from_secs(10);
/// Interval at which a daemon without a configuration queries a random peer.
const BOOTSTRAP_PERIOD: Duration = Duration::from_millis(500);

/// Peers queried before a document from the platform is accepted. Gossip spreads an accepted
/// document to every daemon within seconds, so a small random sample finds it even if most of the
/// sample does not answer.
const QUERIED_PEERS: usize = 8;

/// One daemon's replica of the configuration; it pulls newer revisions from peers.
pub struct Replica {
    pub(super) node: Arc<Node>,
    peers: Arc<dyn Peers>,
    state: Mutex<State>,
}

/// Threads of a replica; dropping this stops them.
#[derive(Debug)]
pub struct ReplicaThreads {
    _reader: Worker,
    _puller: Worker,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replica")
            .field("revision", &self.state().history.revision())
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Creates a replica without a document; [`Self::spawn`] starts its threads.
    #[must_use]
    pub fn open(node: Arc<Node>, peers: Arc<dyn Peers>) -> Arc<Self> {
        let now = node.clock.now();
        let own = node.settings.daemon.id.clone();
        let state = State {
            history: DocumentHistory::default(),
            election: ReaderElection::open(own, node.incarnation, now),
            random: ChaCha8Rng::seed_from_u64(node.incarnation),
            peers_ahead: std::collections::BTreeMap::new(),
            next_random_query: now,
            needs_conflict_read: false,
            platform_reachable: None,
            rejected: None,
        };
        Arc::new(Self {
            node,
            peers,
            state: Mutex::new(state),
        })
    }

    /// Starts the threads that read the platform and query peers.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn spawn(replica: &Arc<Self>) -> io::Result<ReplicaThreads> {
        let mut reader = Reader::open(Arc::clone(replica));
        let puller = Arc::clone(replica);
        Ok(ReplicaThreads {
            _reader: Worker::spawn("configuration", move || reader.step())?,
            _puller: Worker::spawn("configuration-peers", move || {
                puller.pull();
                POLL_PERIOD
            })?,
        })
    }

    /// Records whether this daemon holds the control lease, whose holder is preferred as the
    /// reader.
    pub fn set_holds_lease(&self, holds_lease: bool) {
        self.state().election.set_holds_lease(holds_lease);
    }

    /// Returns the changes since revision `since`, or the whole document if they are not available.
    #[must_use]
    pub fn answer(&self, since: u64) -> ConfigurationAnswer {
        self.state().history.answer(since)
    }

    /// Returns the state of the configuration for the operators' interface.
    #[must_use]
    pub fn in_force(&self) -> InForce {
        let now = self.node.clock.now();
        let state = self.state();
        let configuration = self.node.configuration.load_full();
        let header = configuration.as_ref().map(|it| &it.header);
        InForce {
            revision: header.map_or(0, |header| header.revision),
            apply_id: header.map_or_else(String::new, |header| header.apply_id.clone()),
            author: header.map_or_else(String::new, |header| header.author.clone()),
            reader: state.election.reader(now).map(|reader| reader.daemon),
            platform_reachable: state.platform_reachable,
            rejected: state.rejected.clone(),
        }
    }

    /// Pulls missing changes from a peer with a higher revision or, periodically, from a random
    /// one.
    pub fn pull(&self) {
        let Some(peer) = self.choose_peer() else {
            return;
        };
        if let Err(error) = self.pull_from(&peer) {
            log::debug!(peer:% = peer, error:% = error; "cannot pull the configuration from a peer");
        }
    }

    /// Puts a newer document in force if its declarations are valid; otherwise records the
    /// rejection.
    pub(super) fn apply(&self, document: Document, source: &str) {
        let revision = document.revision();
        let configuration = match ragwortgrade_operator::parse(&document.text()) {
            Ok(configuration) => Arc::new(configuration),
            Err(problems) => {
                let reason = problems.to_string();
                if self
                    .state()
                    .record_rejection(revision, document.apply_id(), &reason)
                {
                    log::error!(revision, source, reason; "rejected an invalid configuration");
                }
                return;
            }
        };
        // The lock is held until the node and the router are updated, so that a concurrent call
        // cannot publish an older document last.
        let mut state = self.state();
        if state.history.accept(document) {
            self.node
                .configuration
                .store(Some(Arc::clone(&configuration)));
            self.node.observe(Event::Configured(configuration));
            self.node.metrics.gauge("configuration.revision", revision);
            log::info!(revision, source; "new configuration in force");
        }
    }

    /// Queries a few peers for a document that supersedes this one (another document of the same
    /// revision, or a later one) and pulls it. Returns whether any peer has one.
    pub(super) fn pull_superseding(&self, document: &Document) -> bool {
        let peers = self.sample_peers(QUERIED_PEERS);
        let superseding: Vec<Name> = thread::scope(|scope| {
            let queries = peers.into_iter().map(|peer| {
                scope.spawn(move || {
                    let answer = self.peers.configuration(&peer, document.revision());
                    let answer = answer.ok()?;
                    document.is_superseded_by(&answer).then_some(peer)
                })
            });
            let queries: Vec<_> = queries.collect();
            let answers = queries.into_iter().map(thread::ScopedJoinHandle::join);
            answers.filter_map(|answer| answer.ok().flatten()).collect()
        });
        for peer in &superseding {
            if let Err(error) = self.pull_from(peer) {
                log::debug!(peer:% = peer, error:% = error; "cannot pull the configuration from a peer");
            }
        }
        !superseding.is_empty()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the peer to query now: one that reported a higher revision or, if a query is due, a
    /// random one.
    fn choose_peer(&self) -> Option<Name> {
        let now = self.node.clock.now();
        let mut state = self.state();
        if let Some(peer) = state.take_peer_ahead() {
            return Some(peer);
        }
        if now < state.next_random_query {
            return None;
        }
        let has_document = state.history.current().is_some();
        state.next_random_query = now
            + if has_document {
                COMPARISON_PERIOD
            } else {
                BOOTSTRAP_PERIOD
            };
        drop(state);
        self.sample_peers(1).pop()
    }

    fn sample_peers(&self, count: usize) -> Vec<Name> {
        let own = &self.node.settings.daemon.id;
        let members = self.peers.members().into_iter().map(|it| it.identity.id);
        let others: Vec<Name> = members.filter(|id| id != own).collect();
        let mut state = self.state();
        others.into_iter().sample(&mut state.random, count)
    }

    fn pull_from(&self, peer: &Name) -> Result<(), Error> {
        let since = self.state().history.revision();
        let answer = self.peers.configuration(peer, since)?;
        let mut proposal = self.state().history.evaluate(&answer);
        if let Err(error) = &proposal {
            log::info!(peer:% = peer, error:% = error; "cannot apply the changes from a peer; requesting the whole configuration");
            let answer = self.peers.configuration(peer, 0)?;
            proposal = self.state().history.evaluate(&answer);
        }
        match proposal {
            Ok(PeerUpdate::Newer(document)) => self.apply(*document, peer),
            Ok(PeerUpdate::Conflicting) => {
                log::warn!(peer:% = peer, revision = since; "peer has a different configuration of the same revision");
                self.state().needs_conflict_read = true;
            }
            Ok(PeerUpdate::Nothing) => {}
            Err(error) => {
                log::warn!(peer:% = peer, error:% = error; "cannot use the configuration from a peer");
            }
        }
        Ok(())
    }
}

impl Hooks for Replica {
    fn on_send(&self, gossip: &mut Gossip) {
        let now = self.node.clock.now();
        let state = self.state();
        gossip.configuration = state.history.revision();
        gossip.reader = state.election.reader(now);
    }

    fn on_receive(&self, received: &Gossip) {
        let now = self.node.clock.now();
        let mut state = self.state();
        state.record_peer_revision(&received.sender.id, received.configuration);
        let is_local = received.sender.data_centre == self.node.settings.daemon.data_centre;
        if let Some(reader) = received.reader.as_ref().filter(|_| is_local) {
            state.election.observe_reader(reader, now);
        }
    }
}
