use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use ragwortgrade_policy::Instant;

use crate::observe::Metrics;

/// Minimum interval between log lines with the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts callers that exceed a limit, and logs them from time to time.
#[derive(Debug)]
pub(super) struct LimitLog {
    metrics: Metrics,
    /// Occurrences since the last line, and its time, by reason.
    reasons: RefCell<HashMap<&'static str, (u64, Option<Instant>)>>,
}

impl LimitLog {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            reasons: RefCell::default(),
        }
    }

    /// Records that a caller exceeded a limit.
    pub(super) fn record(&self, reason: &'static str, client: IpAddr, now: Instant) {
        self.metrics.count(&format!("callers.limited.{reason}"), 1);
        let mut reasons = self.reasons.borrow_mut();
        let (count, logged_at) = reasons.entry(reason).or_default();
        *count += 1;
        let is_due = logged_at.is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if is_due {
            log::warn!(
                reason = reason, client:% = client, callers = *count;
                "callers exceed a limit"
            );
            (*count, *logged_at) = (0, Some(now));
        }
    }
}
