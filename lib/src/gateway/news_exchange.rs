//! Exchange of news: what daemons have learned of crashes, limits and departures of endpoints.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use ragwortgrade_policy::gateway::epidemic::{ByteBudget, Digest, Message, Statement};
use ragwortgrade_policy::gateway::{ChangesRequest, Evidence, RateReport, RegistrationSource};
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::endpoint_handler::EndpointHandler;
use super::news_message::NewsMessage;
use super::peers::PeerHandler;
use super::shared::Shared;

/// Time for which news is collected before it is sent, so that one message holds what is learned
/// together, such as the runs that one crash loses.
const COLLECT_TIME: Duration = Duration::from_millis(4);
/// Interval at which a daemon compares what it holds with others, and the number of these.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
const COMPARED_DAEMONS: usize = 2;
/// Fraction of the bytes to other daemons that news may take.
pub(super) const BYTES_FRACTION: f64 = 0.125;
/// Bytes of the IP and UDP headers of a datagram.
pub(super) const HEADER_BYTES: usize = 28;

/// Tells other daemons what this one has learned, and merges what they tell.
pub(super) struct NewsExchange<'a> {
    shared: &'a Shared,
    socket: &'a UdpSocket,
    budget: RefCell<ByteBudget>,
    started_ms: u64,
    /// Number of changes of limits that are published.
    published_limits: Cell<u64>,
}

impl<'a> NewsExchange<'a> {
    pub(super) fn new(shared: &'a Shared, socket: &'a UdpSocket, started_ms: u64) -> Self {
        let bytes_per_second = shared.options.peer_bytes_per_second * BYTES_FRACTION;
        Self {
            shared,
            socket,
            budget: RefCell::new(ByteBudget::new(bytes_per_second)),
            started_ms,
            published_limits: Cell::new(0),
        }
    }

    /// Sends news and digests until the future is dropped.
    pub(super) async fn run(&self) {
        tokio::join!(self.push_news(), self.compare_digests());
    }

    async fn push_news(&self) {
        loop {
            self.shared.wait_for_news().await;
            tokio::time::sleep(COLLECT_TIME).await;
            self.publish();
            while self.shared.broadcast.borrow().has_push() {
                let wait = self.budget.borrow_mut().wait_time(self.shared.now());
                if !wait.is_zero() {
                    tokio::time::sleep(wait).await;
                }
                self.push();
            }
        }
    }

    async fn compare_digests(&self) {
        loop {
            // News about the same endpoint is renewed without a change that would wake the other
            // task.
            self.publish();
            self.push();
            let held = self.held();
            let message = Message::Digest(Digest::new(&held));
            for address in self.choose(COMPARED_DAEMONS) {
                self.send(message.clone(), address);
            }
            self.request_changes();
            tokio::select! {
                () = tokio::time::sleep(COMPARE_INTERVAL) => {}
                () = self.shared.wait_for_peer_list() => {}
            }
        }
    }

    /// Asks other daemons for changes of registrations that this daemon cannot read.
    fn request_changes(&self) {
        let shared = self.shared;
        let reads = [&shared.endpoint_reads, &shared.daemon_reads];
        for request in reads.into_iter().filter_map(|reads| reads.request(shared)) {
            for address in self.choose(COMPARED_DAEMONS) {
                self.send(Message::Changes(request), address);
            }
        }
    }

    /// Answers another daemon's request for changes of registrations.
    fn send_changes(&self, request: &ChangesRequest, address: SocketAddr) {
        let shared = self.shared;
        let reads = match request.source {
            RegistrationSource::Endpoints => &shared.endpoint_reads,
            RegistrationSource::Daemons => &shared.daemon_reads,
        };
        for batch in reads.answer(shared, request) {
            let statement = Statement::Registrations(batch);
            self.send(Message::Statements(vec![statement]), address);
        }
    }

    /// Publishes what this daemon has learned since the last call.
    fn publish(&self) {
        let shared = self.shared;
        let now = shared.now();
        let mut broadcast = shared.broadcast.borrow_mut();
        for statement in shared.quarantine.borrow_mut().take_news() {
            broadcast.publish(statement, now);
        }
        let rate_limits = shared.rate_limits.borrow();
        let version = rate_limits.changes();
        for report in rate_limits.reports(self.published_limits.replace(version)) {
            broadcast.publish(self.rate_statement(report, version), now);
        }
        for report in shared.registry.borrow().departure_reports(now) {
            broadcast.publish(Statement::Departure(report), now);
        }
        for changes in shared.configuration.take_key_changes() {
            broadcast.publish(Statement::Keys(changes), now);
        }
    }

    /// Sends the next statements that wait.
    fn push(&self) {
        let push = self.shared.broadcast.borrow_mut().next_push();
        let Some(push) = push else {
            return;
        };
        let message = Message::Statements(push.statements);
        for address in self.choose(push.recipients) {
            self.send(message.clone(), address);
        }
    }

    /// Returns what this daemon holds.
    fn held(&self) -> Vec<Statement> {
        let shared = self.shared;
        let now = shared.now();
        let evidence = shared.quarantine.borrow().evidence();
        let rate_limits = shared.rate_limits.borrow();
        let version = rate_limits.changes();
        let begun = evidence.begun.into_iter();
        let limits = rate_limits.reports(0).into_iter();
        let departures = shared.registry.borrow().known_departures(now);
        let key_changes = shared.configuration.held_key_changes(now);
        let lost_runs = evidence.lost_runs.into_iter().map(Statement::LostRun);
        lost_runs
            .chain(begun.map(|(identity, at)| Statement::Begun { identity, at }))
            .chain(departures.into_iter().map(Statement::Departure))
            .chain(limits.map(|report| self.rate_statement(report, version)))
            .chain(key_changes.into_iter().map(Statement::Keys))
            .collect()
    }

    fn rate_statement(&self, report: RateReport, version: u64) -> Statement {
        Statement::Rate {
            daemon: self.shared.options.name.clone(),
            started_ms: self.started_ms,
            version,
            report,
        }
    }

    fn choose(&self, count: usize) -> Vec<SocketAddr> {
        let peers = self.shared.peers.borrow();
        let addresses = peers.directory.peers().map(|peer| peer.address);
        let mut broadcast = self.shared.broadcast.borrow_mut();
        broadcast.choose(addresses.collect(), count)
    }

    /// Sends a message unless the budget is overdrawn; the comparison of digests repairs what is
    /// not sent.
    fn send(&self, message: Message, address: SocketAddr) {
        let shared = self.shared;
        let now = shared.now();
        let message = NewsMessage::new(shared.options.name.clone(), message, now);
        let datagram = match message.encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!(error:% = error; "news could not be encoded");
                return;
            }
        };
        let bytes = datagram.len() + HEADER_BYTES;
        if !self.budget.borrow_mut().spend(bytes, now) {
            shared.peer_traffic.record_news_over_budget();
            return;
        }
        shared.peer_traffic.record_news(bytes);
        if let Err(error) = self.socket.try_send_to(&datagram, address) {
            log::debug!(peer:% = address, error:% = error; "news could not be sent");
        }
    }

    /// Handles a datagram with news. Returns whether it can be read.
    pub(super) fn receive(&self, datagram: &[u8], source: SocketAddr) -> bool {
        let Some(message) = NewsMessage::decode(datagram) else {
            return false;
        };
        let now = self.shared.now();
        let daemon = message.daemon.clone();
        let message = message.into_message(now);
        if let Message::Statements(mut statements) = message {
            if !self.shared.peers.borrow().is_registered(source) {
                // Only a registered daemon may change which endpoints, keys and versions are in use.
                statements.retain(|it| {
                    !matches!(
                        it,
                        Statement::Registrations(_)
                            | Statement::Keys(_)
                            | Statement::Catalog { .. }
                    )
                });
            }
            let accepted = self.shared.broadcast.borrow_mut().receive(statements, now);
            self.merge(accepted, &daemon);
            if self.shared.broadcast.borrow().has_push() {
                self.shared.notify_news();
            }
            return true;
        }
        if let Message::Changes(request) = &message {
            self.send_changes(request, source);
            return true;
        }
        let held = self.held();
        let answers = self.shared.broadcast.borrow().answer(&message, &held);
        for answer in answers {
            self.send(answer, source);
        }
        true
    }

    /// Merges what other daemons have learned.
    fn merge(&self, statements: Vec<Statement>, reported_by: &Name) {
        let shared = self.shared;
        let now = shared.now();
        let mut evidence = Evidence::default();
        let mut departures = Vec::new();
        for statement in statements {
            match statement {
                Statement::LostRun(run) => evidence.lost_runs.push(run),
                Statement::Begun { identity, at } => evidence.begun.push((identity, at)),
                Statement::Departure(report) => departures.push(report),
                Statement::Registrations(batch) => match batch.source {
                    RegistrationSource::Endpoints => {
                        EndpointHandler { shared }.apply_batch(batch, reported_by);
                    }
                    RegistrationSource::Daemons => {
                        PeerHandler { shared }.apply_batch(batch, reported_by);
                    }
                },
                Statement::Keys(changes) => {
                    let metrics = &shared.metrics;
                    let configuration = &shared.configuration;
                    configuration.merge_key_changes(changes, reported_by, metrics, now);
                }
                Statement::Catalog { version, read_at } => {
                    let reads = &shared.configuration.reads;
                    reads.record_news(shared, version, read_at, reported_by);
                }
                Statement::StoreAnswered { at } => shared.observe_store_answer(at, reported_by),
                Statement::Rate { daemon, report, .. } => {
                    // A daemon's own number of requests does not come from others.
                    if daemon == shared.options.name {
                        continue;
                    }
                    let mut rate_limits = shared.rate_limits.borrow_mut();
                    for (endpoint, per_second) in rate_limits.merge(&daemon, vec![report], now) {
                        log::info!(
                            endpoint:% = endpoint, requests_per_second:? = per_second,
                            reported_by:% = daemon;
                            "limit of an endpoint changed"
                        );
                    }
                }
            }
        }
        let mut registry = shared.registry.borrow_mut();
        for endpoint in registry.merge_departures(departures, now) {
            log::info!(
                endpoint:% = endpoint, reported_by:% = reported_by;
                "endpoint says that it leaves"
            );
        }
        drop(registry);
        if !evidence.is_empty() {
            shared.update_quarantine(|quarantine, now| quarantine.merge(evidence, now));
        }
    }
}
