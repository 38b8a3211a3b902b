use ragwortgrade_schema::Name;

use super::{ApiKey, Catalog, KeyNews, Route};

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
    Unknown {
        /// Tenant from which the key was removed, if that is known.
        former_tenant: Option<Name>,
    },
}

/// Decides on the key of a request for a route of the catalog. Changes of keys that other daemons
/// have read count if they belong to a later version than the catalog.
///
/// Load: each request, before its body is read; two look-ups in hashed indexes.
#[must_use]
pub fn authorize(
    catalog: &Catalog,
    key_news: &KeyNews,
    route: &Route,
    key: Option<&ApiKey>,
) -> Authorization {
    let Some(tenants) = catalog.tenants() else {
        return Authorization::NoTenants;
    };
    if route.is_public {
        return Authorization::Public;
    }
    let Some(key) = key else {
        return Authorization::Missing;
    };
    let digest = key.digest();
    let owner = match key_news.change_after(&digest, catalog.version()) {
        Some(change) => (!change.is_removed).then_some((&change.tenant, change.rank)),
        None => tenants.find(&digest).map(|it| (&it.name, it.rank)),
    };
    match owner {
        Some((tenant, rank)) => Authorization::Known {
            tenant: tenant.clone(),
            rank,
        },
        None => Authorization::Unknown {
            former_tenant: key_news.former_tenant(&digest).cloned(),
        },
    }
}
