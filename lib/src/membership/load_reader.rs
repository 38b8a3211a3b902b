use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::rendezvous;
use ragwortgrade_schema::Name;

use super::{Endpoint, Table};
use crate::Node;
use crate::worker::Worker;

const PERIOD: Duration = Duration::from_secs(1);
/// Two daemons read each endpoint, so that its load stays known while one of them is paused.
const READERS: usize = 2;
/// One failed read may be a lost answer; after two in a row the endpoint gets no new work.
const FAILURES_TO_UNREACHABLE: u32 = 2;
/// Number of endpoints in the fleet up to which every daemon itself reads those of a silent data
/// centre: while no gossip arrives from there, nothing else reports that they are leaving. In a
/// larger fleet that costs too much.
const SILENT_ENDPOINTS_MAX: usize = 60;
/// Passes after which the loads count as known even if no assigned endpoint has answered: a daemon
/// without assigned endpoints receives them by gossip within a few passes.
const PASSES_TO_READY: u32 = 5;

/// Reads the loads of the endpoints assigned to this daemon once a second.
#[derive(Debug)]
pub struct LoadReader {
    _worker: Worker,
}

impl LoadReader {
    /// Spawns the reader's thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(node: Arc<Node>, table: Arc<Table>) -> io::Result<Self> {
        let mut failures = HashMap::new();
        let mut passes = 0;
        let worker = Worker::spawn("load-reader", move || {
            let has_read = read_loads(&node, &table, &mut failures);
            passes += 1;
            if has_read || passes >= PASSES_TO_READY {
                node.mark_loads_known();
            }
            PERIOD
        })?;
        Ok(Self { _worker: worker })
    }
}

/// Reads every assigned endpoint once; returns whether any of them answered.
fn read_loads(node: &Node, table: &Table, failures: &mut HashMap<Name, u32>) -> bool {
    let daemons = table.local_daemons();
    let daemon = &node.settings.daemon;
    // The router needs the number of daemons that send work to the same endpoints.
    let count = table.roster().live().len() as u32;
    node.observe(Event::Daemons { count });
    let endpoints = node.directory.all();
    let reads_silent = endpoints.len() <= SILENT_ENDPOINTS_MAX;
    let assigned: Vec<Endpoint> = endpoints
        .into_iter()
        .filter(|endpoint| {
            if endpoint.data_centre == daemon.data_centre {
                return rendezvous::is_among_highest(&daemon.id, &endpoint.id, &daemons, READERS);
            }
            reads_silent && table.is_silent(&endpoint.data_centre)
        })
        .collect();
    failures.retain(|id, _| assigned.iter().any(|endpoint| endpoint.id == *id));
    // Concurrent, so that a hung endpoint does not delay the reports of the others.
    let answered: Vec<bool> = thread::scope(|scope| {
        let reads: Vec<_> = assigned
            .iter()
            .map(|endpoint| scope.spawn(|| read(node, table, endpoint)))
            .collect();
        reads
            .into_iter()
            .map(|read| read.join().unwrap_or(false))
            .collect()
    });
    for (endpoint, &answered) in assigned.iter().zip(&answered) {
        let failed_reads = failures.entry(endpoint.id.clone()).or_default();
        let before = *failed_reads;
        *failed_reads = if answered { 0 } else { before + 1 };
        let was_unreachable = before >= FAILURES_TO_UNREACHABLE;
        let is_unreachable = *failed_reads >= FAILURES_TO_UNREACHABLE;
        if was_unreachable != is_unreachable {
            log::info!(endpoint:% = endpoint.id, reachable = !is_unreachable; "endpoint reachability changed");
            let reachable = !is_unreachable;
            node.observe(Event::Reachable {
                endpoint: endpoint.id.clone(),
                reachable,
            });
        }
    }
    answered.contains(&true)
}

/// Reads an endpoint once; returns whether it answered.
fn read(node: &Node, table: &Table, endpoint: &Endpoint) -> bool {
    if endpoint.service.is_some() {
        return node.plain_services.load(&endpoint.address).is_ok();
    }
    let requested_at = node.clock.now();
    match node.engines.load(&endpoint.address) {
        // Another engine may have been given the address.
        Ok(load) if load.engine == endpoint.id => {
            // Dated by the time of the request: if this daemon was paused during the call, the
            // answer is old and must not replace a newer report.
            table.record_reading(load, requested_at);
            true
        }
        Ok(_) | Err(_) => false,
    }
}
