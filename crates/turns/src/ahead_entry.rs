//! Encodes and decodes the identifiers of entries that reserve tokens ahead of a program's next turn.
//!
//! There are two kinds. A turn that takes the ticket of a *revocable* entry claims its tokens on a quorum before it
//! hands out any of them, so any gateway may release an entry that is not claimed. A turn that takes the ticket of an
//! *exclusive* entry runs under the entry without a quorum, so only the owner of the ticket may release it. Builds
//! before the revocable kind make and use exclusive entries only.

use crate::identity::program_key;
use foxnotch_wire::{NodeId, ProgramKey, TurnId};

/// The highest 32 bits of the identifier of an entry reserved ahead. The identifier of an ordinary turn has the same
/// highest bits with a probability of 1 in 4 billion. Such a turn is mistaken for an entry reserved ahead, and a
/// refusal that depends on its tokens is reported as uncertain.
const AHEAD_PREFIX: u128 = 0x7ea5_e7f0;
/// The 32 bits after the prefix in the identifier of a revocable entry. In an exclusive entry these bits are random, so
/// it has them with a probability of 1 in 4 billion.
const REVOCABLE_MARK: u64 = 0x5e7a_b1e0;
/// Separates a program's number from the rest of the name of [`revocable_ticket_key`].
const TICKET_KEY_PREFIX: &str = "\0\0revocable tickets of ";

/// The identifier of an exclusive entry reserved ahead: the prefix in the highest 32 bits, then 64 random bits that
/// make the identifier unique, then the 32-bit identifier of the node that holds the entry's ticket (`holder`).
pub fn ahead_entry_id(holder: NodeId, random: u64) -> TurnId {
    TurnId(AHEAD_PREFIX << 96 | u128::from(random) << 32 | u128::from(holder.0))
}

/// The identifier of a revocable entry reserved ahead: like [`ahead_entry_id`], with a mark in the first half of the
/// random bits. Builds that know no revocable entries read it as an entry reserved ahead.
pub fn revocable_entry_id(holder: NodeId, random: u32) -> TurnId {
    ahead_entry_id(holder, REVOCABLE_MARK << 32 | u64::from(random))
}

/// The replica that holds the ticket of `entry`, or `None` if the entry is not reserved ahead.
pub fn ticket_holder(entry: TurnId) -> Option<NodeId> {
    (entry.0 >> 96 == AHEAD_PREFIX).then_some(NodeId(entry.0 as u32))
}

/// Whether `entry` is a revocable entry reserved ahead.
pub fn is_revocable(entry: TurnId) -> bool {
    entry.0 >> 64 == AHEAD_PREFIX << 32 | u128::from(REVOCABLE_MARK)
}

/// The key under which a holder keeps the tickets of a program's revocable entries. Gateways of builds that know no
/// revocable entries ask for tickets by the program's own key, so they never get such a ticket, which they would use
/// without claiming its tokens.
pub fn revocable_ticket_key(program: ProgramKey) -> ProgramKey {
    program_key("", &format!("{TICKET_KEY_PREFIX}{:016x}", program.0))
}
