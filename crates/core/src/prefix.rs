//! The index of the prompt prefixes that each engine has cached, as far as this node knows.
//!
//! It is updated by this node's own dispatches and by the engines' cache events, which arrive late and with gaps.
//! The index is a hint: a wrong entry costs time but causes no wrong result.

use foxnotch_membership::Millis;
use foxnotch_wire::EngineId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text in one block: 64 tokens.
pub const BLOCK_BYTES: usize = 256;
/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 64;

/// The hash of a block and of all text before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// The hashes of the complete blocks of `text`, each seeded with the previous one.
pub fn block_hashes(text: &[u8]) -> Vec<BlockHash> {
    let mut previous = 0;
    let hash_block = |block: &[u8]| {
        previous = xxh3_64_with_seed(block, previous);
        BlockHash(previous)
    };
    text.chunks_exact(BLOCK_BYTES).map(hash_block).collect()
}

/// The blocks that one engine is believed to have cached.
#[derive(Clone, Debug, Default)]
struct EngineBlocks {
    /// The cached blocks with the time at which each was last used.
    last_used: HashMap<BlockHash, Millis>,
    /// The number of blocks that the engine can cache; 0 if not known yet.
    capacity: usize,
    last_event: u64,
}

/// The cached blocks of all engines.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<EngineId, EngineBlocks>,
}

/// The changes of an engine's cache since the previous report.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct CacheEvents {
    /// Number of the last event before this report.
    pub after: u64,
    /// Number of the last event in this report.
    pub last: u64,
    /// Blocks added to the cache.
    pub stored: Vec<BlockHash>,
    /// Blocks removed from the cache.
    pub removed: Vec<BlockHash>,
    /// All blocks in the cache, sent instead of events when the requesting node has missed some.
    pub snapshot: Option<Vec<BlockHash>>,
}

impl PrefixIndex {
    /// Sets the number of blocks that `engine` can cache.
    pub fn set_capacity(&mut self, engine: EngineId, blocks: usize) {
        self.engines.entry(engine).or_default().capacity = blocks;
    }

    /// Records that `engine` has computed `blocks`.
    pub fn insert(&mut self, engine: EngineId, blocks: &[BlockHash], now: Millis) {
        let known = self.engines.entry(engine).or_default();
        for block in blocks {
            known.last_used.insert(*block, now);
        }
        known.evict_oldest();
    }

    /// The number of leading blocks of `blocks` that `engine` has cached.
    pub fn cached_prefix_blocks(&self, engine: EngineId, blocks: &[BlockHash]) -> usize {
        let Some(known) = self.engines.get(&engine) else { return 0 };
        blocks.iter().take_while(|block| known.last_used.contains_key(block)).count()
    }

    /// The number of the last event received from `engine`.
    pub fn last_event(&self, engine: EngineId) -> u64 {
        self.engines.get(&engine).map_or(0, |known| known.last_event)
    }

    /// Applies an engine's events. Events that do not directly follow the last known one are ignored unless they
    /// include a snapshot. The next report is requested from the last known event on, which closes the gap.
    pub fn apply_events(&mut self, engine: EngineId, events: CacheEvents, now: Millis) {
        let known = self.engines.entry(engine).or_default();
        if let Some(snapshot) = events.snapshot {
            known.last_used = snapshot.into_iter().map(|block| (block, now)).collect();
            known.last_event = events.last;
            return;
        }
        if events.after != known.last_event {
            return;
        }
        for block in events.stored {
            known.last_used.insert(block, now);
        }
        for block in events.removed {
            known.last_used.remove(&block);
        }
        known.last_event = events.last;
        known.evict_oldest();
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// The number of blocks believed to be cached, summed over all engines.
    pub fn len(&self) -> usize {
        self.engines.values().map(|known| known.last_used.len()).sum()
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Orders blocks by last use, then by hash, so that eviction does not depend on the iteration order of the map.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BlockAge {
    last_used: Millis,
    block: BlockHash,
}

impl EngineBlocks {
    /// When more blocks are recorded than the engine can cache, evicts the least recently used ones down to nine tenths
    /// of its capacity.
    fn evict_oldest(&mut self) {
        if self.capacity == 0 || self.last_used.len() <= self.capacity {
            return;
        }
        let mut ages: Vec<BlockAge> =
            self.last_used.iter().map(|(block, last_used)| BlockAge { last_used: *last_used, block: *block }).collect();
        let excess = self.last_used.len() - self.capacity * 9 / 10;
        ages.select_nth_unstable(excess - 1);
        for age in &ages[..excess] {
            self.last_used.remove(&age.block);
        }
    }
}
