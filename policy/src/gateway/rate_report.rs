use ragwortgrade_schema::Name;

use crate::Instant;

/// What one daemon knows about the limit of an endpoint, as it is sent to others.
#[derive(Clone, Debug, PartialEq)]
pub struct RateReport {
    /// Endpoint that named the limit.
    pub endpoint: Name,
    /// Limit in requests per second for all daemons together; `None` if it was lifted.
    pub per_second: Option<f64>,
    /// When a response last named or lifted it.
    pub named_at: Instant,
    /// Requests that the daemon has sent to the endpoint since it knows the limit.
    pub sent: u32,
}
