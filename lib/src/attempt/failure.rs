use std::sync::atomic::Ordering;

use crate::endpoint::{Error, Execution};
use crate::front::Context;
use crate::membership::Endpoint;

impl Context {
    /// Updates this daemon's state after a failed attempt: marks an unreachable endpoint, and
    /// records a strike against the request's content when the endpoint crashed. `incarnation` is
    /// that of the endpoint's process when the attempt began.
    pub(crate) fn handle_failure(
        &self,
        endpoint: &Endpoint,
        incarnation: Option<u64>,
        content_digest: u128,
        error: &Error,
    ) {
        log::info!(endpoint:% = endpoint.id; "attempt failed: {error}");
        match error {
            Error::Unreachable { .. } | Error::TimedOut { sent: false, .. } => {
                self.prober.mark_unreachable(&endpoint.id);
            }
            // The timeout of a plain call is the request's own deadline, so it says nothing
            // about the endpoint's health.
            Error::TimedOut { sent: true, .. } if endpoint.service.is_none() => {
                self.prober.mark_unreachable(&endpoint.id);
            }
            Error::AttemptMismatch => {
                self.mismatched_responses.fetch_add(1, Ordering::Relaxed);
            }
            Error::Broken { .. } => {
                self.handle_broken_connection(endpoint, incarnation, content_digest);
            }
            Error::TimedOut { .. } | Error::Refused { .. } | Error::Malformed { .. } => {}
        }
    }

    /// Records a strike when an endpoint whose connection broke has crashed: its process has a new
    /// incarnation, or it fails the query of its incarnation.
    ///
    /// An endpoint that does not answer the query in time may be partitioned or paused. That
    /// affects many requests at once, so no strike is recorded.
    fn handle_broken_connection(
        &self,
        endpoint: &Endpoint,
        previous: Option<u64>,
        content_digest: u128,
    ) {
        let has_crashed = match self.prober.query_incarnation(endpoint) {
            Ok(current) => previous.is_some_and(|previous| previous != current),
            Err(Error::TimedOut { .. }) => {
                self.prober.mark_unreachable(&endpoint.id);
                false
            }
            Err(_) => {
                self.prober.mark_unreachable(&endpoint.id);
                true
            }
        };
        if has_crashed {
            log::warn!(endpoint:% = endpoint.id; "endpoint crashed during a request");
            let incarnation = previous.unwrap_or(endpoint.incarnation);
            self.trials
                .record_crash(content_digest, &endpoint.id, incarnation);
        }
    }
}

/// Returns whether an endpoint refused the request as invalid, as every other endpoint would.
pub(super) fn is_permanent(error: &Error) -> bool {
    const PERMANENT: [u16; 3] = [400, 413, 422];
    matches!(error, Error::Refused { status } if PERMANENT.contains(status))
}

pub(super) fn may_have_run(error: &Error) -> bool {
    error.execution() == Execution::Unknown
}
