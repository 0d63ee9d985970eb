//! An engine's prefix cache: blocks of prompt text that calls share. A program can hold blocks while it pauses between
//! two calls. The cache evicts the least recently used blocks first, and held blocks last.

use foxnotch_core::prefix::{BlockHash, BLOCK_TOKENS};
use foxnotch_wire::{BranchId, ProgramId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Number of events stored for pollers; a poller that has missed more receives a snapshot.
const MAX_STORED_EVENTS: usize = 4096;

/// A block in the cache.
#[derive(Clone, Debug)]
struct Block {
    last_used_us: u64,
    /// Index of the block in its prompt.
    depth: usize,
    /// Number of running calls that use the block.
    users: u32,
    /// Number of holds on the block.
    holds: u32,
}

/// Orders the evictable blocks: the least recently used first. Of blocks that were last used at the same time, the one
/// with the highest index in its prompt is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    last_used_us: u64,
    depth: Reverse<usize>,
    hash: BlockHash,
}

/// Identifies a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldKey {
    /// The program for which blocks are held.
    pub program: ProgramId,
    /// The branch for which blocks are held.
    pub branch: BranchId,
}

/// Blocks held for a branch while it pauses between two calls.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Hashes of the held blocks.
    pub blocks: Vec<BlockHash>,
    /// Start of the hold, microseconds.
    pub since_us: u64,
    /// Time at which the hold expires, microseconds.
    pub until_us: u64,
}

/// A change of the cache. Load reports list it with a lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A block was computed and added.
    Stored(BlockHash),
    /// A block was evicted.
    Removed(BlockHash),
}

/// The prefix cache of one engine.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    evictable: BTreeSet<EvictionKey>,
    holds: BTreeMap<HoldKey, Hold>,
    events: VecDeque<CacheEvent>,
    last_event_number: u64,
    unused_hold_token_seconds: u64,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            evictable: BTreeSet::new(),
            holds: BTreeMap::new(),
            events: VecDeque::new(),
            last_event_number: 0,
            unused_hold_token_seconds: 0,
        }
    }

    /// Number of leading blocks of `hashes` that are in the cache.
    pub fn cached_prefix_blocks(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Adds the missing blocks of `hashes`, evicting other blocks if needed, and marks all blocks of `hashes` as used
    /// by a call. Returns false and changes nothing when too few blocks can be evicted.
    pub fn acquire(&mut self, hashes: &[BlockHash], now_us: u64) -> bool {
        let missing = hashes.iter().filter(|hash| !self.blocks.contains_key(hash)).count();
        let hits = hashes.len() - missing;
        let free = self.capacity.saturating_sub(self.blocks.len());
        let idle_hits =
            hashes.iter().filter(|hash| self.blocks.get(hash).is_some_and(|block| block.users == 0)).count();
        let evictable = self.evictable.len().saturating_sub(idle_hits.min(hits));
        if missing > free + evictable {
            return false;
        }
        for (depth, hash) in hashes.iter().enumerate() {
            self.mark_used(*hash, depth, now_us);
        }
        while self.blocks.len() > self.capacity {
            if !self.evict_one() {
                break;
            }
        }
        true
    }

    fn mark_used(&mut self, hash: BlockHash, depth: usize, now_us: u64) {
        let block = self.blocks.entry(hash).or_insert_with(|| {
            self.events.push_back(CacheEvent::Stored(hash));
            self.last_event_number += 1;
            Block { last_used_us: now_us, depth, users: 0, holds: 0 }
        });
        self.evictable.remove(&EvictionKey { last_used_us: block.last_used_us, depth: Reverse(block.depth), hash });
        block.users += 1;
        block.last_used_us = now_us;
        while self.events.len() > MAX_STORED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Ends a call's use of blocks; blocks without another user become evictable.
    pub fn release_use(&mut self, hashes: &[BlockHash], now_us: u64) {
        for hash in hashes {
            let Some(block) = self.blocks.get_mut(hash) else { continue };
            block.users = block.users.saturating_sub(1);
            block.last_used_us = block.last_used_us.max(now_us);
            if block.users == 0 {
                let key = EvictionKey { last_used_us: block.last_used_us, depth: Reverse(block.depth), hash: *hash };
                self.evictable.insert(key);
            }
        }
    }

    /// Evicts the least recently used block without a hold. When all evictable blocks have holds, evicts the least
    /// recently used of them. Returns false when no block is evictable.
    fn evict_one(&mut self) -> bool {
        let unheld = |key: &&EvictionKey| self.blocks.get(&key.hash).is_none_or(|block| block.holds == 0);
        let victim = self.evictable.iter().find(unheld).or_else(|| self.evictable.first()).copied();
        let Some(victim) = victim else { return false };
        self.evictable.remove(&victim);
        self.blocks.remove(&victim.hash);
        self.events.push_back(CacheEvent::Removed(victim.hash));
        self.last_event_number += 1;
        true
    }

    /// Holds blocks for a branch until `until_us`. An earlier hold of the branch ends, and its blocks count as used
    /// again.
    pub fn hold(&mut self, key: HoldKey, blocks: Vec<BlockHash>, now_us: u64, until_us: u64) {
        self.end_hold(key, now_us, true);
        for hash in &blocks {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.holds += 1;
            }
        }
        self.holds.insert(key, Hold { blocks, since_us: now_us, until_us });
    }

    /// Ends a hold. `used` tells whether a call used the held blocks again. If not, the hold adds to
    /// [`Self::unused_hold_token_seconds`].
    pub fn end_hold(&mut self, key: HoldKey, now_us: u64, used: bool) {
        let Some(hold) = self.holds.remove(&key) else { return };
        for hash in &hold.blocks {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.holds = block.holds.saturating_sub(1);
            }
        }
        if !used {
            let end = now_us.min(hold.until_us);
            let held_us = end.saturating_sub(hold.since_us);
            let tokens = hold.blocks.len() as u64 * BLOCK_TOKENS;
            self.unused_hold_token_seconds += tokens * held_us / 1_000_000;
        }
    }

    /// Ends the holds that have expired.
    pub fn expire_holds(&mut self, now_us: u64) {
        let expired = self.holds.iter().filter(|(_, hold)| hold.until_us <= now_us).map(|(key, _)| *key);
        let expired: Vec<HoldKey> = expired.collect();
        for key in expired {
            self.end_hold(key, now_us, false);
        }
    }

    /// Returns all holds that have not ended, with their keys.
    pub fn holds(&self) -> impl Iterator<Item = (&HoldKey, &Hold)> {
        self.holds.iter()
    }

    /// The number of the last event; 0 before the first one.
    pub fn last_event_number(&self) -> u64 {
        self.last_event_number
    }

    /// The events with numbers above `after`; none when some of them are no longer stored, or `after` is above the last
    /// event's number.
    pub fn events_after(&self, after: u64) -> Option<Vec<CacheEvent>> {
        let missing = self.last_event_number.checked_sub(after)? as usize;
        let start = self.events.len().checked_sub(missing)?;
        Some(self.events.iter().skip(start).copied().collect())
    }

    /// Hashes of all blocks in the cache.
    pub fn snapshot(&self) -> Vec<BlockHash> {
        self.blocks.keys().copied().collect()
    }

    /// Token-seconds of holds that ended without their blocks being used again.
    pub fn unused_hold_token_seconds(&self) -> u64 {
        self.unused_hold_token_seconds
    }

    /// Capacity in blocks.
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}
