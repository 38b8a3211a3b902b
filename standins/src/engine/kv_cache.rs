use std::collections::HashMap;

/// Allocation unit of KV cache memory.
pub(super) const BLOCK_TOKENS: u64 = 2_048;

/// KV cache memory, shared by running sequences and cached prefixes, with LRU eviction of prefixes.
#[derive(Debug)]
pub(super) struct KvCache {
    blocks_max: u64,
    used_by_sequences: u64,
    used_by_prefixes: u64,
    prefixes: HashMap<u64, Prefix>,
    /// Number of lookups and stores so far, which orders the uses of prefixes.
    use_count: u64,
}

#[derive(Debug)]
struct Prefix {
    tokens: u32,
    blocks: u64,
    last_use: u64,
}

/// Returns the number of blocks needed for `tokens`.
pub(super) fn block_count(tokens: u64) -> u64 {
    tokens.div_ceil(BLOCK_TOKENS)
}

impl KvCache {
    pub(super) fn open(kv_tokens_max: u64) -> Self {
        Self {
            blocks_max: block_count(kv_tokens_max),
            used_by_sequences: 0,
            used_by_prefixes: 0,
            prefixes: HashMap::new(),
            use_count: 0,
        }
    }

    /// Returns the number of cached tokens of a prefix, or 0 when it is not cached, and marks the
    /// prefix as used.
    pub(super) fn cached_tokens(&mut self, prefix: u64) -> u32 {
        self.use_count += 1;
        let use_count = self.use_count;
        self.prefixes.get_mut(&prefix).map_or(0, |found| {
            found.last_use = use_count;
            found.tokens
        })
    }

    /// Reserves blocks for a sequence and returns the prefixes evicted for it, or `None` when the
    /// running sequences leave too little memory.
    pub(super) fn reserve(&mut self, requested: u64) -> Option<Vec<(u64, u32)>> {
        if self.used_by_sequences + requested > self.blocks_max {
            return None;
        }
        self.used_by_sequences += requested;
        Some(self.evict())
    }

    /// Frees the blocks of a sequence that has ended.
    pub(super) fn release(&mut self, blocks: u64) {
        self.used_by_sequences = self.used_by_sequences.saturating_sub(blocks);
    }

    /// Caches a prefix. Returns whether it was new, and the prefixes evicted for it.
    pub(super) fn store(&mut self, prefix: u64, tokens: u32) -> (bool, Vec<(u64, u32)>) {
        self.use_count += 1;
        if let Some(found) = self.prefixes.get_mut(&prefix) {
            found.last_use = self.use_count;
            return (false, Vec::new());
        }
        let needed = block_count(u64::from(tokens));
        let entry = Prefix {
            tokens,
            blocks: needed,
            last_use: self.use_count,
        };
        self.prefixes.insert(prefix, entry);
        self.used_by_prefixes += needed;
        (true, self.evict())
    }

    /// Returns the capacity of the blocks in use, in tokens.
    pub(super) fn used_tokens(&self) -> u64 {
        (self.used_by_sequences + self.used_by_prefixes) * BLOCK_TOKENS
    }

    /// Evicts the least recently used prefixes until all blocks fit.
    fn evict(&mut self) -> Vec<(u64, u32)> {
        let mut evicted = Vec::new();
        while self.used_by_sequences + self.used_by_prefixes > self.blocks_max {
            let oldest = self.prefixes.iter().min_by_key(|(_, entry)| entry.last_use);
            let Some((&prefix, _)) = oldest else {
                break;
            };
            if let Some(entry) = self.prefixes.remove(&prefix) {
                self.used_by_prefixes -= entry.blocks;
                evicted.push((prefix, entry.tokens));
            }
        }
        evicted
    }
}
