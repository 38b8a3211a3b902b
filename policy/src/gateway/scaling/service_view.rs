use ragwortgrade_schema::Name;

use super::{Need, Terms, Worker};
use crate::Instant;

/// What is known of a service whose workers are ordered.
#[derive(Clone, Debug)]
pub struct ServiceView<'a> {
    /// Name of the service.
    pub service: &'a Name,
    /// Terms of its workers.
    pub terms: &'a Terms,
    /// Registered workers.
    pub workers: &'a [Worker],
    /// Since when the registrations have been current and their number the same, as far as that was
    /// observed before this value decides.
    pub stable_since: Option<Instant>,
    /// Demand of all daemons; `None` while too few of them have reported it.
    pub demand: Option<MeasuredDemand>,
}

/// Demand of all daemons for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredDemand {
    /// Workers that serve it.
    pub need: Need,
    /// Fraction of the requests that were refused.
    pub refused_share: f64,
}
