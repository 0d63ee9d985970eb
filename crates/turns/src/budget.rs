//! Decides whether a turn fits the token budget of its program.
//!
//! [`BudgetView`] merges the charges that replicas report for a program's turns. Its verdicts grant or refuse a
//! reservation.

use crate::ahead_entry::ticket_holder;
use foxnotch_wire::{RunLocation, Ticket, TurnCharge, TurnId};
use std::collections::BTreeMap;

/// The merged reports of several replicas about one program: the charge of each turn, and where turns ran.
#[derive(Clone, Debug, Default)]
pub struct BudgetView {
    charges: BTreeMap<TurnId, Charge>,
    /// Engines that processed prompts of the program or failed its turns, with duplicates: one item for each report.
    locations: Vec<RunLocation>,
}

/// The tokens that one turn takes from the budget: the reservation, or after settlement the tokens used.
#[derive(Clone, Copy, Debug)]
struct Charge {
    tokens: u32,
    is_settled: bool,
}

/// Whether a turn fits the budget, as decided by a [`BudgetView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetVerdict {
    /// The turn may run.
    Granted,
    /// Not decided yet: the charges have to be read from a quorum again, now that a quorum stores the reservation.
    ReadAgain,
    /// The turn does not fit the budget.
    Exhausted,
}

impl BudgetView {
    /// Merges the charges that one replica reports. The charge of a turn never rises, so the lowest one is the newest.
    pub fn merge_charges(&mut self, charges: &[TurnCharge]) {
        for charge in charges {
            let reported = Charge { tokens: charge.tokens, is_settled: charge.settled == 1 };
            let known = self.charges.entry(charge.turn).or_insert(reported);
            known.tokens = known.tokens.min(reported.tokens);
            known.is_settled |= reported.is_settled;
        }
    }

    /// Merges another view of the same program.
    pub fn merge(&mut self, other: &Self) {
        for (turn, reported) in &other.charges {
            let known = self.charges.entry(*turn).or_insert(*reported);
            known.tokens = known.tokens.min(reported.tokens);
            known.is_settled |= reported.is_settled;
        }
        self.locations.extend_from_slice(&other.locations);
    }

    /// Creates the budget view for a turn that runs under a ticket. The view contains the ticket's reservation and run
    /// locations, and no charges of other turns.
    pub fn from_ticket(ticket: &Ticket) -> Self {
        let own = Charge { tokens: ticket.reserved, is_settled: false };
        Self { charges: BTreeMap::from([(ticket.entry, own)]), locations: ticket.run_locations.clone() }
    }

    /// The run locations of the program's turns, including failed turns, with duplicates: one item for each report.
    pub fn run_locations(&self) -> &[RunLocation] {
        &self.locations
    }

    /// The unsettled entries that are reserved ahead of the program's next turns, with their reserved tokens.
    pub fn unsettled_ahead_entries(&self) -> Vec<(TurnId, u32)> {
        let ahead = |(turn, charge): &(&TurnId, &Charge)| {
            ticket_holder(**turn).is_some() && !charge.is_settled && charge.tokens > 0
        };
        self.charges.iter().filter(ahead).map(|(turn, charge)| (*turn, charge.tokens)).collect()
    }

    /// Adds the run locations that one replica reports for the program.
    pub fn add_run_locations(&mut self, locations: &[RunLocation]) {
        self.locations.extend_from_slice(locations);
    }

    /// The engine number ([`RunLocation::engine`]) of the engine that is expected to hold the longest prefix of a
    /// prompt in its cache. `parts` are the hashes of the prompt's parts, first to last. The result is the engine of
    /// the turn whose last part comes latest in `parts`; of several such turns, the one with the longest prompt. `None`
    /// if `parts` contains no successful turn's last part.
    pub fn engine_with_longest_prefix(&self, parts: &[u64]) -> Option<u32> {
        let index_of_part = |location: &RunLocation| parts.iter().rposition(|part| *part == location.part);
        let succeeded = self.locations.iter().filter(|location| !location.is_failure());
        let continued = succeeded.filter_map(|location| Some((index_of_part(location)?, location)));
        let longest = continued.max_by_key(|(index, location)| (*index, location.prompt_tokens))?;
        Some(longest.1.engine)
    }

    /// Engine numbers ([`RunLocation::engine`]) of the engines that failed a turn of the program, ascending.
    pub fn failed_engines(&self) -> Vec<u32> {
        let mut engines: Vec<u32> =
            self.locations.iter().filter(|location| location.is_failure()).map(|location| location.engine).collect();
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// Number of turns with a charge: those that run, and those that returned tokens to the caller. A turn that was
    /// refused after its reservation has a charge of 0 and does not count.
    pub fn started_turn_count(&self) -> usize {
        self.charges.values().filter(|charge| charge.tokens > 0).count()
    }

    /// Tokens charged for all turns of the program.
    pub fn charged_tokens(&self) -> u64 {
        self.charged_tokens_of(|_| true)
    }

    /// Tokens charged for the turns whose entries are selected.
    pub fn charged_tokens_of(&self, is_selected: impl Fn(TurnId) -> bool) -> u64 {
        let selected = self.charges.iter().filter(|(entry, _)| is_selected(**entry));
        selected.map(|(_, charge)| u64::from(charge.tokens)).sum()
    }

    /// Decides after the write of the reservation, from the charges in the replies to that write. `budget` is in
    /// tokens.
    ///
    /// Quorums overlap, so of two concurrent reservations at least one sees the other. If each of them sees charges of
    /// at most half of the budget, all of them together fit the budget. If the charges are higher, they have to be read
    /// again.
    pub fn verdict_after_write(&self, budget: u64) -> BudgetVerdict {
        if self.charged_tokens().saturating_mul(2) <= budget {
            BudgetVerdict::Granted
        } else {
            BudgetVerdict::ReadAgain
        }
    }

    /// Decides whether the reservation is granted, from charges that were read from a quorum, merged with those in the
    /// replies to the write of the reservation. The read must begin after a quorum has stored the reservation. `budget`
    /// is in tokens.
    ///
    /// The sum of all granted reservations never exceeds the budget: the one that was written last was granted from
    /// charges that include all the others. A reservation that was on fewer replicas than a quorum during the read may
    /// be granted without another read, from replies without this reservation; then the replies to the write of this
    /// reservation include it.
    pub fn verdict_after_read(&self, budget: u64) -> BudgetVerdict {
        if self.charged_tokens() <= budget {
            BudgetVerdict::Granted
        } else {
            BudgetVerdict::Exhausted
        }
    }
}
