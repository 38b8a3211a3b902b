use std::sync::atomic::Ordering;

use crate::endpoint::{Error, Ran};
use crate::front::Context;
use crate::membership::Endpoint;

impl Context {
    /// Draws the conclusions from a failed attempt: whether the endpoint can be reached, and
    /// whether its crash counts against the content that it ran.
    pub(crate) fn examine(&self, endpoint: &Endpoint, subject: u128, error: &Error) {
        log::info!(endpoint:% = endpoint.id; "attempt failed: {error}");
        match error {
            Error::Unreachable { .. } => self.prober.failed(&endpoint.id),
            Error::Crossed => {
                self.crossed.fetch_add(1, Ordering::Relaxed);
            }
            Error::Broken { .. } if self.has_crashed(endpoint) => {
                log::warn!(endpoint:% = endpoint.id; "endpoint crashed under a request");
                self.trials
                    .crashed(subject, &endpoint.id, endpoint.incarnation);
                self.prober.failed(&endpoint.id);
            }
            Error::Broken { .. } | Error::Refused { .. } | Error::Malformed { .. } => {}
        }
    }

    /// Asks an endpoint whose connection broke for its incarnation. An endpoint that cannot be
    /// asked counts as crashed: a strike too many only makes a request run apart from others.
    fn has_crashed(&self, endpoint: &Endpoint) -> bool {
        let incarnation = if endpoint.service.is_some() {
            let load = self.node.plains.load(&endpoint.address);
            load.map(|load| load.incarnation)
        } else {
            let load = self.node.engines.load(&endpoint.address);
            load.map(|load| load.incarnation)
        };
        incarnation.map_or(true, |incarnation| incarnation != endpoint.incarnation)
    }
}

/// Tells whether an engine refuses the request itself, which another engine would refuse as well.
pub(super) fn is_final(error: &Error) -> bool {
    const FINAL: [u16; 3] = [400, 413, 422];
    matches!(error, Error::Refused { status } if FINAL.contains(status))
}

/// Tells whether what an error left open may include a run.
pub(super) fn may_have_run(error: &Error) -> bool {
    error.ran() == Ran::Unknown
}
