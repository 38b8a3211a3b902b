use std::net::SocketAddr;
use std::time::Duration;

use ragwortgrade_policy::Instant;

/// Minimum interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Datagrams that could not be read, which are logged together.
#[derive(Debug, Default)]
pub(super) struct UnreadableDatagrams {
    count: u64,
    logged_at: Option<Instant>,
}

impl UnreadableDatagrams {
    /// Records a datagram, and logs the latest one from time to time.
    pub(super) fn record(&mut self, source: SocketAddr, bytes: usize, now: Instant) {
        self.count += 1;
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if is_due {
            log::warn!(
                source:% = source, bytes = bytes, unreadable = self.count;
                "datagrams cannot be read; dropped"
            );
            self.count = 0;
            self.logged_at = Some(now);
        }
    }
}
