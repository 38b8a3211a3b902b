use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// A declared rule for the requests below one path of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host whose requests match.
    pub host: Name,
    /// Path prefix of matching requests; starts and ends with a slash.
    pub prefix: Name,
    /// Whether a request may be run again.
    pub delivery: DeliverySemantics,
    /// Maximum time until a request is answered.
    pub time_limit: Duration,
    /// Time within which a response, or the first event of a stream, has its full value.
    pub target: Duration,
    /// Longest pause between events with which a stream meets its target.
    pub pause_target: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of endpoints to which one request is sent.
    pub attempts_max: u32,
    /// Services among which the requests are split, with their weights.
    pub traffic_split: Vec<(Name, u32)>,
    /// Whether requests need no key although the configuration has tenants.
    pub is_public: bool,
}

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another endpoint can resume after its last event.
    ResumableStream,
}

impl DeliverySemantics {
    /// Returns whether the request may run again as long as the caller has received nothing.
    #[must_use]
    pub const fn allows_second_run(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Route {
    /// Returns the service for a request. The same request identity always maps to the same
    /// service.
    #[must_use]
    pub fn service_for(&self, request_id: &str) -> Option<&Name> {
        let total: u64 = self
            .traffic_split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.traffic_split.first().map(|(service, _)| service);
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for (service, weight) in &self.traffic_split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
