use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use ragwortgrade_schema::Name;

/// An endpoint and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, the key in the [`Directory`].
    pub id: Name,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Plain service that it runs; `None` for an engine.
    pub service: Option<Name>,
    /// Differs at each start of its process.
    pub incarnation: u64,
    /// Whether it is leaving or draining, and so gets no new work.
    pub leaving: bool,
}

/// Endpoints to which this daemon can send requests, by name, with their addresses.
///
/// [`super::Table`] fills it: [`ragwortgrade_policy::membership::Directory`] merges the VM list and
/// gossip into the latest state of each endpoint, and this directory holds the endpoints that are
/// not gone. Whether they get new work also depends on drains, marks and load reports.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: RwLock<BTreeMap<Name, Endpoint>>,
}

impl Directory {
    /// Returns an endpoint by name.
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<Endpoint> {
        self.read(|endpoints| endpoints.get(id).cloned())
    }

    /// Returns all endpoints, sorted by name.
    #[must_use]
    pub fn all(&self) -> Vec<Endpoint> {
        self.read(|endpoints| endpoints.values().cloned().collect())
    }

    /// Adds or replaces an endpoint; returns the previous entry.
    pub fn put(&self, endpoint: Endpoint) -> Option<Endpoint> {
        let mut endpoints = self
            .endpoints
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        endpoints.insert(endpoint.id.clone(), endpoint)
    }

    /// Removes an endpoint and returns its entry.
    pub fn remove(&self, id: &Name) -> Option<Endpoint> {
        self.endpoints
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id)
    }

    fn read<A>(&self, lookup: impl FnOnce(&BTreeMap<Name, Endpoint>) -> A) -> A {
        lookup(
            &self
                .endpoints
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}
