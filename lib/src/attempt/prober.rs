use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::Name;

use crate::Node;
use crate::worker::Worker;

const PERIOD: Duration = Duration::from_secs(1);
/// Endpoints probed side by side, each for at most the connect timeout.
const PROBES_MAX: usize = 16;

/// Keeps work away from endpoints that this daemon failed to reach until they answer again.
///
/// The observer of an endpoint may be another daemon, which a partition can leave connected.
#[derive(Debug)]
pub(crate) struct Prober {
    node: Arc<Node>,
    unreachable: Arc<Mutex<BTreeSet<Name>>>,
    _worker: Worker,
}

impl Prober {
    pub(crate) fn spawn(node: Arc<Node>) -> io::Result<Self> {
        let unreachable = Arc::new(Mutex::new(BTreeSet::new()));
        let worker = Worker::spawn("prober", {
            let (node, unreachable) = (Arc::clone(&node), Arc::clone(&unreachable));
            move || {
                probe(&node, &unreachable);
                PERIOD
            }
        })?;
        Ok(Self {
            node,
            unreachable,
            _worker: worker,
        })
    }

    /// Takes in that a connection to an endpoint could not be opened.
    pub(crate) fn failed(&self, endpoint: &Name) {
        let mut unreachable = lock(&self.unreachable);
        if unreachable.insert(endpoint.clone()) {
            drop(unreachable);
            log::info!(endpoint:% = endpoint, reachable = false; "endpoint unreachable");
            self.node.observe(Event::Reachable {
                endpoint: endpoint.clone(),
                reachable: false,
            });
        }
    }
}

fn lock(unreachable: &Mutex<BTreeSet<Name>>) -> std::sync::MutexGuard<'_, BTreeSet<Name>> {
    unreachable.lock().unwrap_or_else(PoisonError::into_inner)
}

fn probe(node: &Node, unreachable: &Mutex<BTreeSet<Name>>) {
    let names: Vec<Name> = lock(unreachable).iter().take(PROBES_MAX).cloned().collect();
    let over: Vec<bool> = thread::scope(|scope| {
        let probes: Vec<_> = names
            .iter()
            .map(|name| scope.spawn(|| answers(node, name)))
            .collect();
        probes
            .into_iter()
            .map(|probe| probe.join().unwrap_or(true))
            .collect()
    });
    for (name, over) in names.into_iter().zip(over) {
        if over {
            lock(unreachable).remove(&name);
            node.observe(Event::Reachable {
                endpoint: name,
                reachable: true,
            });
        }
    }
}

/// Tells whether an endpoint answers again, or is not known any more.
fn answers(node: &Node, name: &Name) -> bool {
    let Some(endpoint) = node.directory.get(name) else {
        return true;
    };
    if endpoint.service.is_some() {
        return node.plains.load(&endpoint.address).is_ok();
    }
    node.engines.load(&endpoint.address).is_ok()
}
