use std::collections::{HashMap, VecDeque};

/// Index of the engines that hold each prompt prefix.
///
/// It is built from cache events, which are delayed and may be lost. Entries may be missing or
/// outdated, so they only shorten the expected prefill.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
    /// Prefixes in insertion order, for eviction.
    order: VecDeque<u64>,
}

/// An engine that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) engine: usize,
    pub(crate) tokens: u32,
}

impl PrefixIndex {
    /// Maximum number of prefixes; at about 100 bytes each they take 6 MB.
    const PREFIXES_MAX: usize = 65_536;
    /// Maximum number of engines per prefix. More would not change a choice among a few candidates.
    pub(crate) const HOLDERS_MAX: usize = 8;

    pub(crate) fn insert(&mut self, prefix: u64, holder: Holder) {
        if !self.holders.contains_key(&prefix) {
            if self.order.len() >= Self::PREFIXES_MAX
                && let Some(oldest) = self.order.pop_front()
            {
                self.holders.remove(&oldest);
            }
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if let Some(known) = holders.iter_mut().find(|it| it.engine == holder.engine) {
            known.tokens = holder.tokens;
            return;
        }
        if holders.len() >= Self::HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(holder);
    }

    pub(crate) fn remove(&mut self, prefix: u64, engine: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Removes an engine whose cache was cleared.
    pub(crate) fn remove_engine(&mut self, engine: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    pub(crate) fn holders(&self, prefix: u64) -> &[Holder] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }
}
