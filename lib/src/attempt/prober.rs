use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::Name;

use super::incarnations::Incarnations;
use crate::Node;
use crate::membership::Endpoint;
use crate::worker::Worker;

const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of endpoints probed per round, in parallel; each probe takes at most the timeout
/// of one call.
const PROBES_MAX: usize = 16;

/// Excludes endpoints that this daemon cannot reach from routing until they answer a probe, and
/// queries the incarnations of those that it sends work to.
///
/// Gossip is not enough: the daemon that reads an endpoint's load may be another one, which can
/// still reach the endpoint during a partition.
#[derive(Debug)]
pub(crate) struct Prober {
    shared: Arc<Shared>,
    _worker: Worker,
}

#[derive(Debug)]
struct Shared {
    node: Arc<Node>,
    incarnations: Incarnations,
    pending: Mutex<Pending>,
}

#[derive(Debug, Default)]
struct Pending {
    unreachable: BTreeSet<Name>,
    unqueried: BTreeSet<Name>,
}

impl Prober {
    pub(crate) fn spawn(node: Arc<Node>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            node,
            incarnations: Incarnations::default(),
            pending: Mutex::default(),
        });
        let worker = Worker::spawn("prober", {
            let shared = Arc::clone(&shared);
            move || {
                shared.probe();
                PROBE_PERIOD
            }
        })?;
        Ok(Self {
            shared,
            _worker: worker,
        })
    }

    /// Returns the incarnation of an endpoint's process; if it is unknown, schedules a query.
    pub(crate) fn incarnation(&self, endpoint: &Endpoint) -> Option<u64> {
        let incarnation = self.shared.incarnations.get(endpoint);
        if incarnation.is_none() {
            self.shared.lock().unqueried.insert(endpoint.id.clone());
        }
        incarnation
    }

    /// Queries the incarnation of an endpoint's process and waits for the answer.
    pub(crate) fn query_incarnation(
        &self,
        endpoint: &Endpoint,
    ) -> Result<u64, crate::endpoint::Error> {
        self.shared.query_incarnation(endpoint)
    }

    /// Records that this daemon cannot reach an endpoint.
    pub(crate) fn mark_unreachable(&self, endpoint: &Name) {
        if self.shared.lock().unreachable.insert(endpoint.clone()) {
            log::info!(endpoint:% = endpoint, reachable = false; "endpoint unreachable");
            self.shared.node.observe(Event::Reachable {
                endpoint: endpoint.clone(),
                reachable: false,
            });
        }
    }
}

impl Shared {
    fn probe(&self) {
        let names: BTreeSet<Name> = {
            let mut pending = self.lock();
            let unqueried = std::mem::take(&mut pending.unqueried);
            let due = pending.unreachable.iter().chain(&unqueried);
            due.take(PROBES_MAX).cloned().collect()
        };
        thread::scope(|scope| {
            for name in &names {
                scope.spawn(|| self.probe_one(name));
            }
        });
        let directory = &self.node.directory;
        self.incarnations
            .retain(|name| directory.get(name).is_some());
    }

    fn probe_one(&self, name: &Name) {
        let endpoint = self.node.directory.get(name);
        let is_resolved = endpoint.is_none_or(|endpoint| self.query_incarnation(&endpoint).is_ok());
        if is_resolved && self.lock().unreachable.remove(name) {
            self.node.observe(Event::Reachable {
                endpoint: name.clone(),
                reachable: true,
            });
        }
    }

    fn query_incarnation(&self, endpoint: &Endpoint) -> Result<u64, crate::endpoint::Error> {
        let incarnation = if endpoint.service.is_some() {
            self.node
                .plain_services
                .load(&endpoint.address)?
                .incarnation
        } else {
            self.node.engines.load(&endpoint.address)?.incarnation
        };
        self.incarnations.record(endpoint, incarnation);
        Ok(incarnation)
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
