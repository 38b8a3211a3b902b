use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use ragwortgrade_schema::Name;

use super::{KeyChange, KeyDigest, Tenant};

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
    /// A key that several tenants have belongs to the first of them. Tenants with the same name are
    /// one tenant.
    #[must_use]
    pub fn new(tenants: Vec<Tenant>, previous: Option<&Self>) -> Self {
        let mut index = Self::default();
        for mut tenant in tenants {
            if let Some(earlier) = index.by_name.get(&tenant.name) {
                tenant.keys.extend_from_slice(&earlier.tenant.keys);
            }
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

    /// Returns the tenant that has the key with this digest.
    #[must_use]
    pub fn find(&self, digest: &KeyDigest) -> Option<&Tenant> {
        self.by_digest.get(digest).map(|it| &it.tenant)
    }

    /// Returns the keys that were added, removed or given to another tenant or rank since
    /// `previous`, the removed ones first, in the same order at all daemons.
    #[must_use]
    pub fn changes_since(&self, previous: &Self) -> Vec<KeyChange> {
        let mut digests = BTreeSet::new();
        for (name, entry) in &self.by_name {
            let before = previous.by_name.get(name);
            if before.is_none_or(|before| !Rc::ptr_eq(before, entry)) {
                digests.extend(entry.digests.iter().copied());
            }
        }
        for (name, entry) in &previous.by_name {
            let after = self.by_name.get(name);
            if after.is_none_or(|after| !Rc::ptr_eq(after, entry)) {
                digests.extend(entry.digests.iter().copied());
            }
        }
        let changes = digests.into_iter().filter_map(|digest| {
            let (before, after) = (previous.find(&digest), self.find(&digest));
            let owner = |tenant: &Tenant| (tenant.name.clone(), tenant.rank);
            let (tenant, rank) = after.or(before).map(owner)?;
            let is_changed = before.map(owner) != after.map(owner);
            is_changed.then_some(KeyChange {
                digest,
                tenant,
                rank,
                is_removed: after.is_none(),
            })
        });
        let mut changes: Vec<KeyChange> = changes.collect();
        changes.sort_by_key(|change| !change.is_removed);
        changes
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
        let digests = tenant.keys.iter().map(super::ApiKey::digest).collect();
        Self { tenant, digests }
    }
}
