//! Estimates which parts of prompts an engine's prompt cache still holds, from the prompts that this gateway sent to
//! it.
//!
//! A wrong estimate costs time but never gives a wrong answer.

use crate::ports::dialect::PromptPart;
use std::collections::HashMap;

/// A prompt part that the engine probably holds, because this gateway sent it to the engine.
#[derive(Clone, Copy, Debug)]
struct HeldPart {
    /// Length in tokens. For the last part of a prompt, it includes the most tokens that the answer may have.
    tokens: u32,
    /// The value of [`PromptPartCache::use_count`] when this gateway last sent the part.
    used_at: u64,
}

/// The prompt parts that one engine probably holds. When they exceed the engine's memory, the least recently used parts
/// are removed.
#[derive(Debug, Default)]
pub struct PromptPartCache {
    /// The parts that the engine probably holds, by [`PromptPart::id`].
    parts: HashMap<u64, HeldPart>,
    /// Sum of the tokens of all parts.
    tokens: u64,
    /// The engine's memory in tokens; 0 for no limit.
    capacity: u64,
    /// Number of prompts inserted so far. It serves as the clock of [`HeldPart::used_at`].
    use_count: u64,
}

impl PromptPartCache {
    /// Creates an empty cache for an engine whose memory has room for `capacity` tokens; 0 for no limit.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// The number of tokens at the start of the prompt that the engine probably holds in its cache and need not read.
    pub fn held_tokens(&self, prompt: &[PromptPart]) -> u32 {
        let mut held = 0;
        for part in prompt {
            let Some(held_part) = self.parts.get(&part.id) else { break };
            held += held_part.tokens.min(part.tokens);
            if held_part.tokens < part.tokens {
                break;
            }
        }
        held
    }

    /// Adds the parts of a prompt that this gateway sends to the engine. The `generated` tokens, the most that the
    /// answer may have, are added to the last part, because the engine then holds the answer too.
    pub fn insert(&mut self, prompt: &[PromptPart], generated: u32) {
        self.use_count += 1;
        for (index, part) in prompt.iter().enumerate() {
            let last = index + 1 == prompt.len();
            let tokens = part.tokens + if last { generated } else { 0 };
            let held_part = HeldPart { tokens, used_at: self.use_count };
            if let Some(previous) = self.parts.insert(part.id, held_part) {
                self.tokens -= u64::from(previous.tokens);
            }
            self.tokens += u64::from(tokens);
        }
        self.evict_least_recently_used();
    }

    /// If the parts exceed the capacity, removes the least recently used ones until the rest takes at most nine tenths
    /// of the capacity.
    fn evict_least_recently_used(&mut self) {
        if self.capacity == 0 || self.tokens <= self.capacity {
            return;
        }
        let mut ids_by_last_use: Vec<(u64, u64)> = self.parts.iter().map(|(id, part)| (part.used_at, *id)).collect();
        ids_by_last_use.sort_unstable();
        let target = self.capacity / 10 * 9;
        for (_, id) in ids_by_last_use {
            if self.tokens <= target {
                return;
            }
            if let Some(part) = self.parts.remove(&id) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
