use std::collections::HashMap;

use ragwortgrade_schema::Name;

use super::{Limits, Route, Service};

/// The operators' routes and services at one version.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: u64,
    limits: Limits,
    services: HashMap<Name, Service>,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<Name, Vec<Route>>,
}

impl Catalog {
    /// Builds the catalog of one version.
    #[must_use]
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut hosts: HashMap<Name, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            limits,
            services,
            hosts,
        }
    }

    /// Returns the version; versions only grow.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the route with the longest prefix that begins `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn routes_len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
