use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::duties::WindowCounts;
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::DEMAND_BYTES_MAX;
use super::message::{Body, Message, Report, to_list};
use super::worker::Worker;
use crate::gateway::shared::Shared;

/// Interval between reports of a daemon to the candidates, and during its drain.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the end of a window for which its counts are sent in each report. After it they are sent
/// in every fourth one, for new candidates.
const FREQUENT_TIME: Duration = Duration::from_millis(3_500);
const RARE_REPORTS: u64 = 4;
/// Maximum number of counts in a datagram, so that it stays below 12 KB.
const COUNTS_MAX: usize = 400;
/// Fixed reports that the holder tells the candidates of, in separate datagrams.
const FIXED_REPORTS: usize = 3;
/// Time for which the holder that a candidate has named gets reports.
const HOLDER_AGE_MAX: Duration = Duration::from_secs(5);
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Exchange of counts between the daemons and the candidates.
#[derive(Debug)]
pub(super) struct Exchange<'a> {
    worker: Worker<'a>,
    socket: &'a UdpSocket,
    /// Number of reports that were sent.
    sequence: Cell<u64>,
}

impl<'a> Exchange<'a> {
    pub(super) const fn new(worker: Worker<'a>, socket: &'a UdpSocket) -> Self {
        Self {
            worker,
            socket,
            sequence: Cell::new(0),
        }
    }

    /// Sends reports until the future is dropped.
    pub(super) async fn run(&self) {
        loop {
            self.report();
            if self.worker.tenure().is_some() {
                self.publish_fixed();
            }
            let interval = if self.worker.shared.is_draining() {
                DRAIN_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Sends this daemon's counts to the candidates and the holder, and records them here, too.
    pub(super) fn report(&self) {
        let worker = self.worker;
        let now = worker.now();
        let windows = self.due_windows(now.monotonic);
        let mut delivery = worker.state.delivery.borrow_mut();
        delivery.record_report(&windows, now.monotonic);
        drop(delivery);
        let demand = self.demand(now.monotonic);
        let recipients = self.recipients();
        let mut sections = split(windows).into_iter().peekable();
        let mut demand = demand;
        while let Some(windows) = sections.next() {
            let is_last = sections.peek().is_none();
            let section = if is_last { demand.take() } else { None };
            let report = Report::new(worker.state.started_ms, &windows, section);
            let own = &worker.shared.options.name;
            merge(worker, own, now.unix_ms, &report);
            let message = self.message(now.unix_ms, Body::Report(report));
            self.send(&message, &recipients);
        }
        if worker.state.candidate_since.get().is_some() {
            let mut clock = worker.state.clock.borrow_mut();
            if let Some((unix_ms, clocks)) = clock.median(now.monotonic) {
                let own = &worker.shared.options.name;
                clock.observe_median(own, unix_ms, clocks, now.monotonic);
            }
        }
    }

    fn due_windows(&self, now: Instant) -> Vec<WindowCounts> {
        let state = self.worker.state;
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        let age = if sequence.is_multiple_of(RARE_REPORTS) {
            state.options.settings.usage_late
        } else {
            FREQUENT_TIME
        };
        let ledger = state.ledger.borrow();
        ledger.recent(now, age, &state.clock.borrow())
    }

    fn demand(&self, now: Instant) -> Option<Vec<u8>> {
        let tasks = self.worker.state.tasks.borrow();
        let demand = tasks.iter().find_map(|task| task.demand(now))?;
        if demand.len() > DEMAND_BYTES_MAX {
            log::warn!(bytes = demand.len(); "section `demand` is too long; not sent");
            return None;
        }
        Some(demand)
    }

    /// Returns the addresses of the candidates and of the holder, without this daemon's.
    fn recipients(&self) -> Vec<SocketAddr> {
        let worker = self.worker;
        let mut names = worker.candidates();
        let known_holder = worker.state.known_holder.borrow();
        if let Some((holder, named_at)) = &*known_holder
            && worker.shared.now().since(*named_at) < HOLDER_AGE_MAX
            && !names.contains(holder)
        {
            names.push(holder.clone());
        }
        let peers = worker.shared.peers.borrow();
        let chosen = peers.directory.entries();
        let chosen = chosen.filter(|(name, _)| names.contains(name));
        chosen.map(|(_, peer)| peer.address).collect()
    }

    /// Tells the other candidates which reports this daemon has fixed as the holder.
    pub(super) fn publish_fixed(&self) {
        let (latest, accepted) = self.worker.state.reports.borrow().latest(FIXED_REPORTS);
        let recipients = self.recipients();
        for (window, counts) in latest {
            let counts = to_list(&counts);
            let body = Body::Fixed {
                contents: vec![(window, counts)],
                accepted,
            };
            let now = self.worker.now();
            self.send(&self.message(now.unix_ms, body), &recipients);
        }
    }

    fn message(&self, unix_ms: u64, body: Body) -> Message {
        Message {
            daemon: self.worker.shared.options.name.clone(),
            token: self.worker.state.election.borrow().highest_token(),
            unix_ms,
            body,
        }
    }

    fn send(&self, message: &Message, recipients: &[SocketAddr]) {
        send(self.worker.shared, self.socket, message, recipients);
    }
}

/// Divides windows among datagrams. A window with more counts than fit is split, and no part of it is
/// final.
fn split(windows: Vec<WindowCounts>) -> Vec<Vec<WindowCounts>> {
    let mut sections: Vec<Vec<WindowCounts>> = Vec::new();
    let mut room = 0;
    for window in windows {
        if window.counts.len() > COUNTS_MAX {
            let counts: Vec<_> = window.counts.into_iter().collect();
            for part in counts.chunks(COUNTS_MAX) {
                sections.push(vec![WindowCounts {
                    window: window.window,
                    counts: part.iter().cloned().collect(),
                    is_final: false,
                }]);
            }
            room = 0;
            continue;
        }
        match sections.last_mut() {
            Some(section) if window.counts.len() <= room => {
                room -= window.counts.len();
                section.push(window);
            }
            _ => {
                room = COUNTS_MAX - window.counts.len();
                sections.push(vec![window]);
            }
        }
    }
    sections
}

/// Handles a datagram of another daemon. Returns whether it can be read.
pub(in crate::gateway) fn receive(
    shared: &Shared,
    socket: &UdpSocket,
    datagram: &[u8],
    source: SocketAddr,
) -> bool {
    let Some(message) = Message::decode(datagram) else {
        return false;
    };
    let Some(state) = shared.duties.state() else {
        return true;
    };
    // Only the counts of registered daemons are reported to the platform.
    if !shared.peers.borrow().is_registered(source) {
        return true;
    }
    let worker = Worker { shared, state };
    state.election.borrow_mut().observe_token(message.token);
    let now = worker.now();
    match message.body {
        Body::Report(report) => {
            merge(worker, &message.daemon, message.unix_ms, &report);
            if state.candidate_since.get().is_some() {
                answer(worker, socket, source);
            }
        }
        Body::Answer { clocks, holder } => {
            let mut clock = state.clock.borrow_mut();
            let clocks = clocks as usize;
            clock.observe_median(&message.daemon, message.unix_ms, clocks, now.monotonic);
            if holder.as_ref() == Some(&message.daemon) {
                state.delivery.borrow_mut().record_answer();
            }
            if let Some(holder) = holder {
                state.known_holder.replace(Some((holder, now.monotonic)));
            }
        }
        Body::Fixed { contents, accepted } => {
            let mut reports = state.reports.borrow_mut();
            for (window, counts) in contents {
                reports.learn(window, counts.into_iter().collect());
            }
            reports.learn_accepted(accepted);
        }
    }
    true
}

/// Records the counts and the demand of a daemon.
fn merge(worker: Worker<'_>, daemon: &Name, unix_ms: u64, report: &Report) {
    let state = worker.state;
    let now = worker.shared.now();
    state.clock.borrow_mut().observe_clock(daemon, unix_ms, now);
    let present = state.reports.borrow().window_at(worker.fleet_ms());
    let mut tally = state.tally.borrow_mut();
    for counts in report.windows() {
        tally.merge(daemon, report.started_ms, &counts, present);
    }
    drop(tally);
    if let Some(demand) = &report.demand
        && state.candidate_since.get().is_some()
    {
        for task in state.tasks.borrow().iter() {
            task.receive_demand(daemon, demand, now);
        }
    }
}

/// Answers a report with the median of the clocks and the holder.
fn answer(worker: Worker<'_>, socket: &UdpSocket, source: SocketAddr) {
    let state = worker.state;
    let now = worker.now();
    let Some((unix_ms, clocks)) = state.clock.borrow().median(now.monotonic) else {
        return;
    };
    let election = state.election.borrow();
    let holder = if election.is_held(now) {
        Some(worker.shared.options.name.clone())
    } else {
        election.seen_holder().map(|holder| holder.daemon.clone())
    };
    let message = Message {
        daemon: worker.shared.options.name.clone(),
        token: election.highest_token(),
        unix_ms,
        body: Body::Answer {
            clocks: u32::try_from(clocks).unwrap_or(u32::MAX),
            holder,
        },
    };
    send(worker.shared, socket, &message, &[source]);
}

fn send(shared: &Shared, socket: &UdpSocket, message: &Message, recipients: &[SocketAddr]) {
    let datagram = match message.encode() {
        Ok(datagram) => datagram,
        Err(error) => {
            log::warn!(error:% = error; "datagram of the duties could not be encoded");
            return;
        }
    };
    let bytes = (datagram.len() + HEADER_BYTES) * recipients.len();
    shared.metrics.count("duties.exchange.bytes", bytes as u64);
    for address in recipients {
        // The next report repeats the counts.
        if let Err(error) = socket.try_send_to(&datagram, *address) {
            log::debug!(peer:% = address, error:% = error; "counts could not be sent");
        }
    }
}
