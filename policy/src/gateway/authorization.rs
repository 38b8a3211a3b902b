use ragwortgrade_schema::Name;

use super::{ApiKey, Catalog, Route};

/// Decision on the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authorization {
    /// The configuration has no tenants; keys have no meaning.
    NoTenants,
    /// The route takes requests of everyone.
    Public,
    /// The key belongs to a tenant.
    Known {
        /// Name of the tenant.
        tenant: Name,
        /// Rank of its requests, if it takes precedence over that of the route.
        rank: Option<u8>,
    },
    /// The request has no key.
    Missing,
    /// The key belongs to no tenant.
    Unknown,
}

/// Decides on the key of a request for a route of the catalog.
///
/// Load: each request, before its body is read; one look-up in a hashed index.
#[must_use]
pub fn authorize(catalog: &Catalog, route: &Route, key: Option<&ApiKey>) -> Authorization {
    let Some(tenants) = catalog.tenants() else {
        return Authorization::NoTenants;
    };
    if route.is_public {
        return Authorization::Public;
    }
    let Some(key) = key else {
        return Authorization::Missing;
    };
    tenants
        .find(key)
        .map_or(Authorization::Unknown, |tenant| Authorization::Known {
            tenant: tenant.name.clone(),
            rank: tenant.rank,
        })
}
