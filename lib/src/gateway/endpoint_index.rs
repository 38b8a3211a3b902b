use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Registry;
use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum interval between two rebuilds.
const REBUILD_INTERVAL: Duration = Duration::from_millis(100);

/// Identities of the known endpoints by the short numbers that stand for them in load updates.
///
/// Two of 1,000 endpoints have the same number with a probability of 1 in 8,600; then the work on
/// one of them counts for the other.
#[derive(Debug, Default)]
pub(super) struct EndpointIndex {
    ids: HashMap<u32, Name>,
    built_at: Option<Instant>,
}

impl EndpointIndex {
    /// Returns the number that stands for an endpoint.
    pub(super) fn number(id: &Name) -> u32 {
        xxh3_64(id.as_bytes()) as u32
    }

    /// Returns the endpoint that a number stands for, if it is known.
    pub(super) fn find(&mut self, number: u32, registry: &Registry, now: Instant) -> Option<Name> {
        let is_stale = self
            .built_at
            .is_none_or(|built_at| now.since(built_at) >= REBUILD_INTERVAL);
        if is_stale && !self.ids.contains_key(&number) {
            let ids = registry.ids();
            self.ids = ids.map(|id| (Self::number(id), id.clone())).collect();
            self.built_at = Some(now);
        }
        self.ids.get(&number).cloned()
    }
}
