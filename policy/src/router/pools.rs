use std::collections::HashMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Role;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Index of endpoints by capability, so that a decision examines only a few of them.
#[derive(Debug, Default)]
pub(super) struct Pools {
    pools: HashMap<Key, Pool>,
    /// Keys to which each endpoint is assigned.
    assigned: HashMap<usize, Vec<Key>>,
}

/// Capability of a pool's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Key {
    /// Prefills prompts of a model for other engines.
    Prefill(Name),
    /// Answers requests of a model.
    Decode(Name),
    /// Answers calls of a plain service.
    Plain(Name),
}

/// Endpoints of one kind, those of the local data centre separate from the others.
#[derive(Debug, Default)]
pub(super) struct Pool {
    local: Vec<usize>,
    remote: Vec<usize>,
}

impl Key {
    pub(super) fn for_role(role: Role, model: &Name) -> Self {
        match role {
            Role::Prefill => Self::Prefill(model.clone()),
            Role::Decode | Role::Mixed => Self::Decode(model.clone()),
        }
    }
}

impl Pools {
    /// Replaces the keys to which an endpoint is assigned.
    pub(super) fn assign(&mut self, endpoint: usize, is_local: bool, keys: Vec<Key>) {
        let old = self.assigned.get(&endpoint);
        if old.is_some_and(|old| *old == keys) {
            return;
        }
        for key in self.assigned.remove(&endpoint).unwrap_or_default() {
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.local.retain(|it| *it != endpoint);
                pool.remote.retain(|it| *it != endpoint);
            }
        }
        for key in &keys {
            let pool = self.pools.entry(key.clone()).or_default();
            if is_local {
                pool.local.push(endpoint);
            } else {
                pool.remote.push(endpoint);
            }
        }
        self.assigned.insert(endpoint, keys);
    }

    /// Returns whether an endpoint is assigned to a key.
    pub(super) fn contains(&self, endpoint: usize, key: &Key) -> bool {
        let keys = self.assigned.get(&endpoint);
        keys.is_some_and(|keys| keys.contains(key))
    }

    pub(super) fn len(&self, key: &Key) -> usize {
        let pool = self.pools.get(key);
        pool.map_or(0, |pool| pool.local.len() + pool.remote.len())
    }

    /// Adds distinct endpoints of a pool to `sample`: up to `local` of this data centre and up to
    /// `remote` of the others.
    pub(super) fn sample(
        &self,
        key: &Key,
        (local, remote): (usize, usize),
        random: &mut ChaCha8Rng,
        sample: &mut Vec<usize>,
    ) {
        let Some(pool) = self.pools.get(key) else {
            return;
        };
        Self::pick(&pool.local, local, random, sample);
        Self::pick(&pool.remote, remote, random, sample);
    }

    /// Samples consecutive list entries from a random start. The list's order is arbitrary, so one
    /// random number suffices for any count.
    fn pick(list: &[usize], count: usize, random: &mut ChaCha8Rng, sample: &mut Vec<usize>) {
        if list.is_empty() {
            return;
        }
        let start = random.random_range(0..list.len());
        for offset in 0..count.min(list.len()) {
            let endpoint = list[(start + offset) % list.len()];
            if !sample.contains(&endpoint) {
                sample.push(endpoint);
            }
        }
    }
}
