use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::event::{self, Event};
use ragwortgrade_policy::fleet::Demand;
use ragwortgrade_policy::membership::{
    Departures, Directory, LoadObservation, Loads, Roster, Target,
};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Load;
use ragwortgrade_schema::peer::{Departure, EndpointNews, EndpointState, Gossip, Member};
use ragwortgrade_schema::platform::Vm;

use super::demand_reports::to_wire;
use super::{DemandReports, Endpoint};
use crate::Node;
use crate::lock::lock;

/// Unit of `queued_prefill_thousands` in the rows of load digests.
const PREFILL_UNIT_TOKENS: u64 = 1_000;
/// Unit of `kv_pieces` in the rows of load digests.
const KV_PIECE_TOKENS: u64 = 2_048;
/// Used only in small deployments, where a daemon receives gossip from every data centre every
/// second or two.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Loads are read once a second, and gossip takes a few rounds to spread them.
const REPORT_MAX_AGE: Duration = Duration::from_secs(8);

/// One daemon's view of the daemons, endpoints and loads of the fleet. Passes every change of the
/// endpoints to the router.
#[derive(Debug)]
pub struct Table {
    node: Arc<Node>,
    roster: Arc<Mutex<Roster>>,
    /// Latest state of each endpoint, merged from the VM list and gossip. The result is put into
    /// [`Node::directory`], a [`super::Directory`].
    endpoints: Mutex<Directory>,
    departures: Mutex<Departures>,
    loads: Mutex<Loads>,
    /// Last full report of each engine, by the hash of its name.
    full_reports: Mutex<HashMap<u32, Load>>,
    demand_reports: DemandReports,
    /// Time of the last gossip message from each data centre.
    last_gossip: Mutex<HashMap<Name, Instant>>,
    /// Set when a change has to spread within seconds; see [`Self::targets`].
    is_broadcast_due: AtomicBool,
    /// Set after a pause of this daemon, until the VM list is read.
    has_resumed: AtomicBool,
}

impl Table {
    /// Creates a table that shares its roster with the network.
    #[must_use]
    pub fn open(node: Arc<Node>, roster: Arc<Mutex<Roster>>) -> Self {
        Self {
            node,
            roster,
            endpoints: Mutex::default(),
            departures: Mutex::default(),
            loads: Mutex::default(),
            full_reports: Mutex::default(),
            demand_reports: DemandReports::default(),
            last_gossip: Mutex::default(),
            is_broadcast_due: AtomicBool::new(false),
            has_resumed: AtomicBool::new(false),
        }
    }

    /// Locks the roster of daemons.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Returns the live daemons of this data centre, this one included.
    #[must_use]
    pub fn local_daemons(&self) -> Vec<Name> {
        let own = &self.node.settings.daemon.data_centre;
        let is_local = |member: &Member| member.identity.data_centre == *own;
        let live = self.roster().live();
        live.into_iter()
            .filter(is_local)
            .map(|member| member.identity.id)
            .collect()
    }

    /// Updates the endpoints from the VM list.
    pub fn merge_vm_list(&self, vms: &[Vm]) {
        let (daemons, now) = (self.daemon_count(), self.node.clock.now());
        let changed = lock(&self.endpoints).merge_list(vms, daemons, now);
        if changed
            .iter()
            .any(|update| update.state == EndpointState::Leaving)
        {
            self.is_broadcast_due.store(true, Ordering::Relaxed);
        }
        self.apply_endpoints(&changed);
    }

    /// Updates the table with a peer's gossip; returns the engines whose full report is missing or
    /// outdated and has to be fetched.
    pub fn merge(&self, gossip: &Gossip) -> Vec<Name> {
        let (daemons, now) = (self.daemon_count(), self.node.clock.now());
        self.roster().merge(&gossip.members, now);
        let changed = lock(&self.endpoints).merge(&gossip.endpoints, daemons, now);
        self.apply_endpoints(&changed);
        self.merge_departures(&gossip.departures);
        let is_local = gossip.sender.data_centre == self.node.settings.daemon.data_centre;
        lock(&self.last_gossip).insert(gossip.sender.data_centre.clone(), now);
        // This may be the only daemon of its data centre that received the update.
        if !is_local
            && changed
                .iter()
                .any(|update| update.state == EndpointState::Leaving)
        {
            self.is_broadcast_due.store(true, Ordering::Relaxed);
        }
        if is_local && !gossip.demand.is_empty() {
            self.demand_reports
                .record(&gossip.sender.id, &gossip.demand, now);
        }
        let mut missing_reports = Vec::new();
        for digest in &gossip.digests {
            let observations = lock(&self.loads).merge(digest, is_local, now);
            missing_reports.extend(self.apply_observations(&observations));
        }
        missing_reports
    }

    /// Marks endpoints that get no new work during a planned change, or removes such marks. Gossip
    /// spreads them to the other daemons.
    pub fn mark_departures(&self, departures: &[Departure]) {
        self.is_broadcast_due.store(true, Ordering::Relaxed);
        self.merge_departures(departures);
    }

    fn merge_departures(&self, departures: &[Departure]) {
        let (daemons, now) = (self.daemon_count(), self.node.clock.now());
        let changed = lock(&self.departures).merge(departures, daemons, now);
        self.refresh_leaving(&changed);
    }

    /// Records a report that the load reader requested from an engine at `requested_at`. Gossip
    /// spreads its loads.
    pub fn record_reading(&self, load: Load, requested_at: Instant) {
        let is_newly_draining = {
            let mut loads = lock(&self.loads);
            let was_draining = loads
                .get(&load.engine)
                .is_some_and(|observation| observation.row.draining);
            loads.observe(&load, requested_at);
            load.draining && !was_draining
        };
        if is_newly_draining {
            self.is_broadcast_due.store(true, Ordering::Relaxed);
        }
        self.record_report(load, requested_at);
    }

    /// Records a full report of an engine and passes it to the router. Gossip does not spread it.
    pub fn record_report(&self, load: Load, observed: Instant) {
        let engine = load.engine.clone();
        lock(&self.full_reports).insert(Loads::engine_hash(&engine), load.clone());
        self.node.observe(Event::Reported { load, observed });
        self.refresh_leaving(&[engine]);
    }

    /// Returns the last full report of an engine, updated with the loads gossiped since.
    #[must_use]
    pub fn load(&self, engine: &Name) -> Option<Load> {
        let report = lock(&self.full_reports)
            .get(&Loads::engine_hash(engine))
            .cloned()?;
        let observation = lock(&self.loads).get(engine);
        Some(observation.map_or(report.clone(), |observation| {
            apply_row(&report, &observation)
        }))
    }

    /// Returns whether there is a recent report of an engine; an unreachable engine has none.
    #[must_use]
    pub fn has_recent_report(&self, engine: &Name) -> bool {
        let now = self.node.clock.now();
        let observation = lock(&self.loads).get(engine);
        observation.is_some_and(|observation| now.since(observation.observed) <= REPORT_MAX_AGE)
    }

    /// Returns whether no gossip has arrived from a data centre for longer than `SILENT_AFTER`, for
    /// example because it is partitioned from this one. Its endpoints may still be reachable, and
    /// may be leaving.
    #[must_use]
    pub fn is_silent(&self, data_centre: &Name) -> bool {
        let now = self.node.clock.now();
        let last = lock(&self.last_gossip)
            .get(data_centre)
            .copied()
            .unwrap_or_default();
        now.since(last) > SILENT_AFTER
    }

    /// Estimates the recent demand of this data centre.
    #[must_use]
    pub fn demand(&self) -> Vec<Demand> {
        let now = self.node.clock.now();
        let own = self.node.router().demand(now);
        self.demand_reports
            .total(own, self.local_daemons().len(), now)
    }

    /// Declares overdue suspects dead, expires marks of departures, and applies drains declared in
    /// the configuration.
    pub fn tick(&self) {
        let now = self.node.clock.now();
        self.roster().tick(now);
        lock(&self.departures).expire(now);
        let endpoints: Vec<Name> = self
            .node
            .directory
            .all()
            .into_iter()
            .map(|endpoint| endpoint.id)
            .collect();
        self.refresh_leaving(&endpoints);
    }

    /// Chooses the daemons to contact in this round: usually a few; after a change that must spread
    /// within seconds, all daemons of this data centre and one of each other data centre.
    pub fn targets(&self) -> Vec<Target> {
        if self.is_broadcast_due.swap(false, Ordering::Relaxed) {
            return self.roster().broadcast_targets();
        }
        let remote_chance = lock(&self.loads).remote_probability();
        self.roster().targets(remote_chance)
    }

    /// Records that this daemon resumed after a pause, so that the VM list is read immediately.
    pub(crate) fn mark_resumed(&self) {
        self.has_resumed.store(true, Ordering::Relaxed);
    }

    /// Returns whether this daemon resumed after a pause, and clears the flag.
    pub(crate) fn take_resumed(&self) -> bool {
        self.has_resumed.swap(false, Ordering::Relaxed)
    }

    /// Adds recent changes of membership and the rows of draining engines to a message, and this
    /// daemon's demand if the receiver is in the same data centre.
    pub fn add_membership(&self, gossip: &mut Gossip, is_remote: bool) {
        let now = self.node.clock.now();
        gossip.members = self.roster().updates();
        gossip.endpoints = lock(&self.endpoints).updates();
        gossip.departures = lock(&self.departures).updates();
        if !is_remote {
            let demand = self.node.router().demand(now);
            gossip.demand = demand.into_iter().map(to_wire).collect();
        }
        let draining = lock(&self.loads).draining(now);
        if !draining.rows.is_empty() {
            gossip.digests.push(draining);
        }
    }

    /// Adds the loads to an answer if `is_required` or if they are due in this round. Loads are
    /// sent only in answers because the requesting daemon bounds the delay of an answer.
    pub fn add_loads(&self, answer: &mut Gossip, round: u64, is_required: bool) {
        let loads = lock(&self.loads);
        if is_required || loads.is_digest_due(round) {
            answer.digests.push(loads.digest(self.node.clock.now()));
        }
    }

    /// Adds the complete membership to a message, for a daemon that has just started or resumed
    /// after a pause. The message contains the demand even if that daemon is in another data
    /// centre, where it is ignored.
    pub fn add_full_state(&self, gossip: &mut Gossip) {
        self.add_membership(gossip, false);
        gossip.members = self.roster().all();
        gossip.endpoints = lock(&self.endpoints).all();
        gossip.departures = lock(&self.departures).all();
    }

    /// Recomputes which of the endpoints get no new work, and passes changes to the router.
    pub fn refresh_leaving(&self, endpoints: &[Name]) {
        for id in endpoints {
            let Some(mut endpoint) = self.node.directory.get(id) else {
                continue;
            };
            endpoint.leaving = self.is_leaving(&endpoint);
            let leaving = endpoint.leaving;
            let known = self.node.directory.put(endpoint);
            if known.is_none_or(|known| known.leaving != leaving) {
                log::info!(endpoint:% = id, leaving; "endpoint availability changed");
                self.node.observe(Event::Leaving {
                    endpoint: id.clone(),
                    leaving,
                });
            }
        }
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let now = self.node.clock.now();
        let listed = lock(&self.endpoints).is_leaving(&endpoint.id);
        let marked = lock(&self.departures).is_marked(&endpoint.id, endpoint.incarnation, now);
        let drained = self
            .node
            .configuration
            .load()
            .as_ref()
            .is_some_and(|configuration| {
                configuration
                    .endpoints
                    .get(endpoint.id.as_str())
                    .is_some_and(|declared| declared.drain)
            });
        let reported = lock(&self.loads)
            .get(&endpoint.id)
            .is_some_and(|observation| observation.row.draining);
        listed || marked || drained || reported
    }

    fn apply_endpoints(&self, changed: &[EndpointNews]) {
        for update in changed {
            if update.state == EndpointState::Gone {
                self.remove_endpoint(&update.id);
                continue;
            }
            let endpoint = Endpoint {
                id: update.id.clone(),
                data_centre: update.data_centre.clone(),
                address: update.address.clone(),
                service: update.service.clone(),
                incarnation: update.incarnation,
                leaving: false,
            };
            let known = self.node.directory.put(endpoint.clone());
            if known.is_none_or(|known| known.incarnation != update.incarnation) {
                self.node.observe(Event::Joined(event::Endpoint {
                    id: endpoint.id,
                    data_centre: endpoint.data_centre,
                    service: endpoint.service,
                }));
            }
            self.refresh_leaving(std::slice::from_ref(&update.id));
        }
    }

    fn remove_endpoint(&self, id: &Name) {
        if self.node.directory.remove(id).is_some() {
            log::info!(endpoint:% = id; "endpoint removed");
            self.node.observe(Event::Left {
                endpoint: id.clone(),
            });
        }
        lock(&self.loads).remove(id);
        lock(&self.full_reports).remove(&Loads::engine_hash(id));
    }

    fn apply_observations(&self, observations: &[LoadObservation]) -> Vec<Name> {
        let mut missing_reports = Vec::new();
        for observation in observations {
            let report = lock(&self.full_reports)
                .get(&observation.row.engine)
                .cloned();
            match report {
                Some(load)
                    if Loads::description_checksum(&load)
                        == observation.row.description_checksum =>
                {
                    let engine = load.engine.clone();
                    let load = apply_row(&load, observation);
                    self.node.observe(Event::Reported {
                        load,
                        observed: observation.observed,
                    });
                    self.refresh_leaving(&[engine]);
                }
                _ => missing_reports.extend(self.engine_by_hash(observation.row.engine)),
            }
        }
        missing_reports
    }

    fn engine_by_hash(&self, hash: u32) -> Option<Name> {
        let endpoints = self.node.directory.all();
        let mut names = endpoints.into_iter().map(|endpoint| endpoint.id);
        names.find(|id| Loads::engine_hash(id) == hash)
    }

    fn daemon_count(&self) -> usize {
        self.roster().live().len()
    }
}

/// Returns the last full report of an engine with the fields of a newer digest row.
fn apply_row(load: &Load, observation: &LoadObservation) -> Load {
    let row = &observation.row;
    Load {
        role: row.role,
        sequences: u32::from(row.sequences),
        queued_prefill_tokens: u64::from(row.queued_prefill_thousands) * PREFILL_UNIT_TOKENS,
        kv_tokens: u64::from(row.kv_pieces) * KV_PIECE_TOKENS,
        draining: row.draining,
        changing: row.changing,
        ..load.clone()
    }
}
