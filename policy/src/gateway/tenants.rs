use std::collections::HashMap;
use std::rc::Rc;

use ragwortgrade_schema::Name;

use super::{ApiKey, KeyDigest, Tenant};

/// Tenants of one version of the configuration, by the digests of their keys.
///
/// Load: a look-up costs one SHA-256 digest (below 1 µs) for each request. A change of the
/// configuration costs one digest for each key of a changed tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_digest: HashMap<KeyDigest, Rc<Entry>>,
    by_name: HashMap<Name, Rc<Entry>>,
}

#[derive(Debug)]
struct Entry {
    tenant: Tenant,
    /// Digests of the tenant's keys, in the same order.
    digests: Vec<KeyDigest>,
}

impl Tenants {
    /// Indexes the tenants; the digests of tenants that are the same in `previous` are reused.
    ///
    /// A key that several tenants have belongs to the first of them.
    #[must_use]
    pub fn new(tenants: Vec<Tenant>, previous: Option<&Self>) -> Self {
        let mut index = Self::default();
        for tenant in tenants {
            let known = previous.and_then(|previous| previous.by_name.get(&tenant.name));
            let entry = match known {
                Some(entry) if entry.tenant == tenant => Rc::clone(entry),
                _ => Rc::new(Entry::new(tenant)),
            };
            for digest in &entry.digests {
                let owner = index.by_digest.entry(*digest);
                owner.or_insert_with(|| Rc::clone(&entry));
            }
            index.by_name.insert(entry.tenant.name.clone(), entry);
        }
        index
    }

    /// Returns the tenant that has this key.
    #[must_use]
    pub fn find(&self, key: &ApiKey) -> Option<&Tenant> {
        self.by_digest.get(&key.digest()).map(|it| &it.tenant)
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no tenants, so that all keys are unknown.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

impl Entry {
    fn new(tenant: Tenant) -> Self {
        let digests = tenant.keys.iter().map(ApiKey::digest).collect();
        Self { tenant, digests }
    }
}
