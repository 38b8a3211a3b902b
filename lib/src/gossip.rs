//! Periodic gossip of membership, loads, strikes and the revision of the configuration.

use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::membership::Target;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Gossip, Identity};

use crate::Node;
use crate::membership::Table;
use crate::peer::Network;
use crate::trial::Trials;
use crate::worker::Worker;

const PERIOD: Duration = Duration::from_secs(1);
/// Rounds between contacts of the configured seeds, so that the sides of a partition find each
/// other again after each removed the other's daemons. A daemon without live peers contacts the
/// seeds every round.
const SEED_PERIOD_ROUNDS: u64 = 30;
/// Engines queried for a full report per round.
const REPORTS_PER_ROUND_MAX: usize = 8;

/// Gossips with a few daemons once a second, and answers the gossip of others.
#[derive(Debug)]
pub struct Gossiper {
    node: Arc<Node>,
    table: Arc<Table>,
    network: Arc<Network>,
    trials: Arc<Trials>,
    /// Engines whose full report is missing or outdated and has to be fetched.
    missing_reports: Mutex<VecDeque<Name>>,
    round: AtomicU64,
    hooks: Arc<dyn Hooks>,
}

/// A component of the daemon that adds to outgoing gossip and reads incoming gossip.
pub trait Hooks: std::fmt::Debug + Send + Sync {
    /// Adds the component's fields to a message before it is sent.
    fn on_send(&self, gossip: &mut Gossip);

    /// Handles a received message; its `sender` field names the daemon that sent it.
    fn on_receive(&self, received: &Gossip);
}

impl Gossiper {
    /// Creates a gossiper; `Self::spawn` starts its thread.
    #[must_use]
    pub fn open(
        node: Arc<Node>,
        table: Arc<Table>,
        network: Arc<Network>,
        trials: Arc<Trials>,
        hooks: Arc<dyn Hooks>,
    ) -> Self {
        Self {
            node,
            table,
            network,
            trials,
            missing_reports: Mutex::default(),
            round: AtomicU64::new(0),
            hooks,
        }
    }

    /// Starts the thread that gossips once a second.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub(crate) fn spawn(gossiper: Arc<Self>) -> io::Result<Worker> {
        let mut round = 0;
        Worker::spawn("gossip", move || {
            gossiper.run_round(round);
            round += 1;
            PERIOD
        })
    }

    /// Applies a peer's message and returns the answer: recent changes, or the complete membership
    /// for a new peer or one that requests it.
    pub fn exchange(&self, mut received: Gossip) -> Gossip {
        // A request has no bound on its delay, so its loads may be outdated although they look
        // recent. Only the rows of draining engines are kept, because withholding new work from an
        // engine does no harm.
        for digest in &mut received.digests {
            digest.rows.retain(|row| row.draining);
        }
        let received = &received;
        let wants_changes_only = self.is_known(&received.sender) && !received.wants_all;
        self.apply(received);
        let mut answer = self.new_message();
        if wants_changes_only {
            answer.members = self.table.roster().updates_for(&received.sender.id);
        } else {
            self.table.add_full_state(&mut answer);
        }
        let is_remote = received.sender.data_centre != self.node.settings.daemon.data_centre;
        let round = self.round.load(Ordering::Relaxed);
        self.table
            .add_loads(&mut answer, round, is_remote || !wants_changes_only);
        answer
    }

    /// Returns this daemon's identity.
    #[must_use]
    pub fn identity(&self) -> Identity {
        let daemon = &self.node.settings.daemon;
        Identity {
            id: daemon.id.clone(),
            incarnation: self.node.incarnation,
            data_centre: daemon.data_centre.clone(),
            draining: self.node.is_draining(),
        }
    }

    fn run_round(&self, round: u64) {
        self.round.store(round, Ordering::Relaxed);
        let wants_all = self.node.is_stale();
        if wants_all {
            log::info!("daemon resumed after a pause; requesting the complete state from peers");
            self.table.mark_resumed();
        }
        self.table.tick();
        let targets = self.table.targets();
        // Concurrent, so that a hung daemon does not delay the messages to the others.
        thread::scope(|scope| {
            for target in &targets {
                scope.spawn(|| self.contact(target, wants_all));
            }
        });
        if targets.is_empty() || round.is_multiple_of(SEED_PERIOD_ROUNDS) {
            self.contact_seeds();
        }
        self.node.mark_round_end();
        self.fetch_reports();
        self.report_metrics();
    }

    fn report_metrics(&self) {
        let live = self.table.roster().live().len();
        self.node.metrics.gauge("peer.bytes", self.network.bytes());
        self.node.metrics.gauge("peer.live", live as u64);
        self.node
            .metrics
            .gauge("endpoints", self.node.directory.all().len() as u64);
        self.node.metrics.flush();
    }

    fn contact(&self, target: &Target, wants_all: bool) {
        let mut message = self.new_message();
        message.wants_all = wants_all;
        self.table.add_membership(&mut message, target.is_remote);
        let answer = self.network.exchange(&target.address, message);
        let now = self.node.clock.now();
        self.table
            .roster()
            .record_probe(&target.id, answer.is_ok(), now);
        match answer {
            Ok(answer) => self.apply(&answer),
            Err(error) => {
                log::debug!(peer:% = target.id, error:% = error; "gossip exchange with a peer failed");
            }
        }
    }

    fn contact_seeds(&self) {
        let own = self.network.address().to_string();
        for seed in &self.node.settings.peers.seeds {
            if *seed == own {
                continue;
            }
            let mut message = self.new_message();
            message.members = self.table.roster().updates();
            if let Ok(answer) = self.network.exchange(seed, message) {
                self.apply(&answer);
            }
        }
    }

    fn new_message(&self) -> Gossip {
        let mut message = Gossip {
            sender: self.identity(),
            configuration: 0,
            members: Vec::new(),
            demand: Vec::new(),
            digests: Vec::new(),
            departures: Vec::new(),
            endpoints: Vec::new(),
            wants_all: false,
            strikes: self.trials.strikes(),
            reader: None,
        };
        self.hooks.on_send(&mut message);
        message
    }

    fn apply(&self, received: &Gossip) {
        let missing_reports = self.table.merge(received);
        self.trials.merge(&received.strikes);
        self.hooks.on_receive(received);
        let mut queue = self.lock_missing_reports();
        for engine in missing_reports {
            if !queue.contains(&engine) {
                queue.push_back(engine);
            }
        }
    }

    fn fetch_reports(&self) {
        for _ in 0..REPORTS_PER_ROUND_MAX {
            let Some(engine) = self.lock_missing_reports().pop_front() else {
                return;
            };
            let Some(endpoint) = self.node.directory.get(&engine) else {
                continue;
            };
            match self.node.engines.load(&endpoint.address) {
                Ok(load) if load.engine == engine => {
                    self.table.record_report(load, self.node.clock.now());
                }
                Ok(_) | Err(_) => {}
            }
        }
    }

    fn is_known(&self, sender: &Identity) -> bool {
        let roster = self.table.roster();
        roster
            .get(&sender.id)
            .is_some_and(|member| member.identity.incarnation == sender.incarnation)
    }

    fn lock_missing_reports(&self) -> MutexGuard<'_, VecDeque<Name>> {
        self.missing_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
