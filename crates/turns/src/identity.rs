//! Identifiers made from names.

use foxnotch_wire::{NodeId, ProgramKey, TurnId};
use xxhash_rust::xxh3::{xxh3_128, xxh3_64};

/// The turn that a caller names `text`. Never 0, which stands for none.
pub fn turn_id(text: &str) -> TurnId {
    TurnId(xxh3_128(text.as_bytes()).max(1))
}

/// The program that a caller names `text`.
pub fn program_key(text: &str) -> ProgramKey {
    ProgramKey(xxh3_64(text.as_bytes()))
}

/// The node with this name. Two of 500 names meet with a probability of 1 in 34,000.
pub fn node_id(name: &str) -> NodeId {
    NodeId((xxh3_64(name.as_bytes()) as u32).max(1))
}

/// The zone with this name.
pub fn zone_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
