use std::collections::HashMap;

use ragwortgrade_schema::engine::{CacheEvent, CacheKind};

/// Prompt prefixes that an engine keeps in the memory which no sequence uses.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    entries: HashMap<u64, Entry>,
    blocks: u32,
    clock: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct Entry {
    tokens: u32,
    blocks: u32,
    used: u64,
}

impl PrefixCache {
    /// Returns the cached tokens of a prefix and marks it as used.
    pub(crate) fn touch(&mut self, prefix: u64) -> u32 {
        self.clock += 1;
        let clock = self.clock;
        self.entries.get_mut(&prefix).map_or(0, |entry| {
            entry.used = clock;
            entry.tokens
        })
    }

    /// Keeps a prefix, as far as `room` blocks allow.
    pub(crate) fn store(&mut self, prefix: u64, tokens: u32, blocks: u32, room: u32) {
        self.clock += 1;
        if blocks > room {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.used = self.clock;
            return;
        }
        self.shrink(room - blocks);
        let used = self.clock;
        self.entries.insert(
            prefix,
            Entry {
                tokens,
                blocks,
                used,
            },
        );
        self.blocks += blocks;
        self.note(CacheKind::Stored, prefix, tokens);
    }

    /// Evicts the least recently used prefixes until at most `room` blocks are used.
    pub(crate) fn shrink(&mut self, room: u32) {
        while self.blocks > room {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.used);
            let Some(prefix) = oldest.map(|(prefix, _)| *prefix) else {
                return;
            };
            if let Some(entry) = self.entries.remove(&prefix) {
                self.blocks -= entry.blocks;
                self.note(CacheKind::Evicted, prefix, entry.tokens);
            }
        }
    }

    /// Takes the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn note(&mut self, kind: CacheKind, prefix: u64, tokens: u32) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            kind,
            prefix,
            sequence: self.sequence,
            tokens,
        });
    }
}
