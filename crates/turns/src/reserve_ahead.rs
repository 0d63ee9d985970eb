//! Rules for tokens reserved ahead of a program's next turn: how many to reserve, which replica holds the ticket, and
//! how a refusal takes such reservations into account.
//!
//! A reservation ahead is an entry of the program with an identifier of its own ([`crate::ahead_entry`]). One replica
//! holds the entry's ticket until a turn takes it ([`crate::ticket_book`]); the identifier of the entry names this
//! replica. A turn with the ticket is sent to an engine at once. Before any of its tokens are handed out, a quorum has
//! to grant the turn a reservation of its own, in a write that also releases the entry. So a ticket is only a forecast
//! that this reservation will be granted: an entry whose ticket is lost can be released by anyone, and a ticket that
//! was issued twice spends no token twice.

use crate::ahead_entry::is_revocable;
use crate::budget::BudgetView;
use foxnotch_wire::{ProgramKey, ReclaimedTickets, ReplicaMember, RunLocation, TurnId};
use std::cmp::Reverse;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of run locations in a ticket, which take 256 bytes. Programs typically run fewer sub-agents in
/// parallel, and each sub-agent needs one location.
const MAX_LOCATIONS: usize = 16;

/// Chooses the replica that holds tickets of a program for the gateways of one region. All gateways of the region with
/// the same replica set choose the same replica. Returns `None` if no member is in the region (`is_in_region`): a
/// replica in another region takes as long to reply as a quorum, so its ticket would save no time.
pub fn choose_ticket_holder(
    program: ProgramKey,
    members: &[ReplicaMember],
    is_in_region: impl Fn(&ReplicaMember) -> bool,
) -> Option<ReplicaMember> {
    let weight = |member: &&ReplicaMember| {
        let mut bytes = program.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(&member.node.0.to_le_bytes());
        xxh3_64(&bytes)
    };
    members.iter().filter(|member| is_in_region(member)).max_by_key(weight).copied()
}

/// Selects the run locations for a ticket, without duplicates: first failed engines, then the longest prompts.
pub fn run_locations_for_ticket(locations: &[RunLocation]) -> Vec<RunLocation> {
    let mut selected = locations.to_vec();
    // The marker for a failed turn is the largest value of `prompt_tokens`, so failures sort first.
    selected.sort_unstable_by_key(|location| Reverse((location.prompt_tokens, location.engine, location.part)));
    selected.dedup();
    selected.truncate(MAX_LOCATIONS);
    selected.shrink_to_fit();
    selected
}

/// The number of tokens to reserve ahead when a turn ends: as many as the turn itself reserved (`reserved`). Returns
/// `None` if the turn reserved none, or if the program's known charges (`known_charges`) show that the budget is too
/// small.
pub fn tokens_to_reserve_ahead(reserved: u32, known_charges: u64, budget: u64) -> Option<u32> {
    let fits_budget = known_charges.saturating_add(u64::from(reserved)) <= budget;
    (reserved > 0 && fits_budget).then_some(reserved)
}

/// The decision on a turn that does not fit the budget while all reservations ahead count as used. The gateway decides
/// first without any reclaimed tickets. If the decision is [`Self::Unknown`], the gateway asks the ticket holders for
/// the program's unused tickets and decides again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimVerdict {
    /// The turn may run: the reclaimed reservations free enough of the budget.
    Granted,
    /// The turn is refused: the budget would be exceeded even if every ticket of unknown state were unused.
    Exhausted,
    /// The turn fits the budget only if some tickets of unknown state are unused.
    Unknown,
}

/// Whether an unclaimed entry whose ticket another turn has taken counts as used in [`with_revoked_entries`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenTickets {
    /// The turn may be about to claim the entry.
    CountAsUsed,
    /// The turn has had enough time to claim the entry. If it claims the entry later, the claim is decided like any
    /// other reservation.
    Release,
}

/// Completes the answers of the ticket holders: adds to [`ReclaimedTickets::given`] the revocable entries that may be
/// released without their tickets, because no turn is known to have taken them.
pub fn with_revoked_entries(program: &BudgetView, answers: ReclaimedTickets, taken: TakenTickets) -> ReclaimedTickets {
    let mut reclaimed = answers;
    if taken == TakenTickets::Release {
        reclaimed.in_use.retain(|entry| !is_revocable(*entry));
    }
    let known: HashSet<TurnId> = reclaimed.given.iter().chain(&reclaimed.in_use).copied().collect();
    let unclaimed = program.unsettled_ahead_entries().into_iter().map(|(entry, _)| entry);
    reclaimed.given.extend(unclaimed.filter(|entry| is_revocable(*entry) && !known.contains(entry)));
    reclaimed
}

/// Decides on a turn that does not fit the budget while all reservations ahead count as used. `budget` is in tokens. Of
/// the reservations ahead, those in `reclaimed.given` are subtracted from the charges, and those in `reclaimed.in_use`
/// are not. Whether the tickets of all other reservations ahead are used is unknown.
pub fn verdict_with_reclaimed(program: &BudgetView, budget: u64, reclaimed: &ReclaimedTickets) -> ReclaimVerdict {
    let given: HashSet<TurnId> = reclaimed.given.iter().copied().collect();
    let in_use: HashSet<TurnId> = reclaimed.in_use.iter().copied().collect();
    let ahead = program.unsettled_ahead_entries();
    let tokens_of = |is_selected: &dyn Fn(&TurnId) -> bool| -> u64 {
        ahead.iter().filter(|(entry, _)| is_selected(entry)).map(|(_, tokens)| u64::from(*tokens)).sum()
    };
    let total = program.charged_tokens() - tokens_of(&|entry| given.contains(entry));
    let unknown = tokens_of(&|entry| !given.contains(entry) && !in_use.contains(entry));
    if total <= budget {
        ReclaimVerdict::Granted
    } else if total - unknown <= budget {
        ReclaimVerdict::Unknown
    } else {
        ReclaimVerdict::Exhausted
    }
}
