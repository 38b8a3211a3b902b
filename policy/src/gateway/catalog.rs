use std::collections::HashMap;

use ragwortgrade_schema::Name;

use super::{Limits, Route, Service, Tenants};

/// Routes and services of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: u64,
    limits: Limits,
    services: HashMap<Name, Service>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Name, Vec<Route>>,
    tenants: Option<Tenants>,
}

impl Catalog {
    /// Creates the catalog of a configuration version.
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
            tenants: None,
        }
    }

    /// Adds the tenants, whose keys requests then have to carry.
    #[must_use]
    pub fn with_tenants(self, tenants: Tenants) -> Self {
        Self {
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns the tenants, if the configuration declares any.
    #[must_use]
    pub const fn tenants(&self) -> Option<&Tenants> {
        self.tenants.as_ref()
    }

    /// Returns the version, which only increases.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of all hosts in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn routes_len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
