use std::cell::Cell;
use std::time::Duration;

use super::shared::Shared;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What this daemon has sent to other daemons since the last log line.
#[derive(Debug, Default)]
pub(super) struct PeerTraffic {
    local_updates: Cell<u64>,
    remote_updates: Cell<u64>,
    load_datagrams: Cell<u64>,
    load_bytes: Cell<u64>,
    news_datagrams: Cell<u64>,
    news_bytes: Cell<u64>,
    /// News that was not sent, as its budget was overdrawn.
    news_over_budget: Cell<u64>,
    received: Cell<u64>,
}

impl PeerTraffic {
    pub(super) fn record_load_update(&self, is_local: bool, recipients: usize, bytes: usize) {
        let updates = if is_local {
            &self.local_updates
        } else {
            &self.remote_updates
        };
        add(updates, 1);
        add(&self.load_datagrams, recipients as u64);
        add(&self.load_bytes, bytes as u64);
    }

    pub(super) fn record_news(&self, bytes: usize) {
        add(&self.news_datagrams, 1);
        add(&self.news_bytes, bytes as u64);
    }

    pub(super) fn record_news_over_budget(&self) {
        add(&self.news_over_budget, 1);
    }

    pub(super) fn record_received(&self) {
        add(&self.received, 1);
    }

    /// Logs and counts what was sent from time to time, until the future is dropped.
    pub(super) async fn report(&self, shared: &Shared) {
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            let load_bytes = self.load_bytes.take();
            let news_bytes = self.news_bytes.take();
            let news_over_budget = self.news_over_budget.take();
            log::info!(
                daemons = shared.peers.borrow().directory.len(),
                local_updates = self.local_updates.take(),
                remote_updates = self.remote_updates.take(),
                load_datagrams = self.load_datagrams.take(), load_bytes = load_bytes,
                news_datagrams = self.news_datagrams.take(), news_bytes = news_bytes,
                news_over_budget = news_over_budget, received = self.received.take();
                "traffic with other daemons"
            );
            shared.metrics.count("peers.loads.bytes", load_bytes);
            shared.metrics.count("peers.news.bytes", news_bytes);
            shared
                .metrics
                .count("peers.news.over_budget", news_over_budget);
        }
    }
}

fn add(counter: &Cell<u64>, count: u64) {
    counter.set(counter.get() + count);
}
