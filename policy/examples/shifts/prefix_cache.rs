use std::collections::HashMap;

use ragwortgrade_schema::engine::{CacheEvent, CacheKind};

/// Prompt prefixes cached in the KV memory that no sequence uses, with LRU eviction.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    entries: HashMap<u64, Entry>,
    blocks: u32,
    /// Number of uses so far; orders the entries by their latest use.
    clock: u64,
    /// Sequence number of the latest event.
    sequence: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct Entry {
    tokens: u32,
    blocks: u32,
    last_used: u64,
}

impl PrefixCache {
    /// Returns the number of cached tokens of a prefix and marks it as recently used.
    pub(crate) fn touch(&mut self, prefix: u64) -> u32 {
        self.clock += 1;
        let clock = self.clock;
        self.entries.get_mut(&prefix).map_or(0, |entry| {
            entry.last_used = clock;
            entry.tokens
        })
    }

    /// Stores a prefix if it fits into `free_blocks`, evicting others as needed.
    pub(crate) fn store(&mut self, prefix: u64, tokens: u32, blocks: u32, free_blocks: u32) {
        self.clock += 1;
        if blocks > free_blocks {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.last_used = self.clock;
            return;
        }
        self.shrink(free_blocks - blocks);
        let last_used = self.clock;
        self.entries.insert(
            prefix,
            Entry {
                tokens,
                blocks,
                last_used,
            },
        );
        self.blocks += blocks;
        self.push_event(CacheKind::Stored, prefix, tokens);
    }

    /// Evicts the least recently used prefixes until the cache takes at most `blocks_max`.
    pub(crate) fn shrink(&mut self, blocks_max: u32) {
        while self.blocks > blocks_max {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
            let Some(prefix) = oldest.map(|(prefix, _)| *prefix) else {
                return;
            };
            if let Some(entry) = self.entries.remove(&prefix) {
                self.blocks -= entry.blocks;
                self.push_event(CacheKind::Evicted, prefix, entry.tokens);
            }
        }
    }

    /// Returns the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, kind: CacheKind, prefix: u64, tokens: u32) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            kind,
            prefix,
            sequence: self.sequence,
            tokens,
        });
    }
}
