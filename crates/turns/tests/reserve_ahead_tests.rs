//! Tests of reservations ahead, whichever messages are reordered, lost or repeated. Turns never use more tokens than
//! the budget, and no turn is refused because of a ticket that was not issued. A ticket whose reply was lost counts as
//! issued until it is released.

use foxnotch_membership::Millis;
use foxnotch_turns::ahead_entry::{ahead_entry_id, revocable_entry_id, ticket_holder};
use foxnotch_turns::budget::{BudgetVerdict, BudgetView};
use foxnotch_turns::ledger::Ledger;
use foxnotch_turns::reserve_ahead::{
    tokens_to_reserve_ahead, verdict_with_reclaimed, with_revoked_entries, ReclaimVerdict, TakenTickets,
};
use foxnotch_turns::ticket_book::TicketBook;
use foxnotch_wire::{
    NodeId, ProgramKey, ReclaimTickets, ReclaimedTickets, TakeTicket, Ticket, TicketAnswer, TicketRequest, TurnEntry,
    TurnId, NOT_SETTLED,
};
use proptest::prelude::*;
use std::time::Duration;

const PROGRAM: ProgramKey = ProgramKey(7);
const REPLICAS: usize = 3;
const QUORUM: usize = 2;
/// Number of ticket holders: one in each of two regions.
const HOLDERS: usize = 2;
/// Maximum number of turns of the program that run at the same time.
const CONCURRENT_TURNS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Take,
    Reserve,
    Read,
    Reclaim,
    Run,
    Settle,
    ReadAhead,
    Deposit,
    /// The reply with the ticket was lost: the ticket is requested again to release it.
    ReleaseLostTicket,
    Done,
}

/// A turn and its state at the gateway that received it.
#[derive(Clone, Debug)]
struct Turn {
    number: u64,
    holder: usize,
    first_replica: usize,
    /// Maximum number of tokens that the turn may return. It reserves this number.
    maximum: u32,
    /// Tokens that the turn returns if it runs.
    used: u32,
    phase: Phase,
    /// Number of replicas that the current write or read has reached.
    replicas_reached: usize,
    entry: TurnEntry,
    view: BudgetView,
    ahead: Option<TurnEntry>,
    tokens_returned: u32,
    /// Index in [`World::claims`] of the turn's claim on the budget.
    claim: Option<usize>,
    /// Index in [`World::claims`] of the claim of a ticket whose reply was lost.
    lost_reply_claim: Option<usize>,
    /// [`Claim::ended_at`] of each claim at the time when this turn's last read began.
    ended_claims_at_read_start: Vec<Option<u32>>,
}

/// Tokens that a turn claims, or an issued ticket whose reply was lost.
#[derive(Clone, Copy, Debug)]
struct Claim {
    reserved: u32,
    /// Tokens used by the end of the claim; `None` while it has not ended.
    ended_at: Option<u32>,
}

/// The fault that occurs during a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    LoseAnswer,
    Repeat,
    RestartHolder,
    GatewayDies,
}

struct World {
    budget: u64,
    replicas: Vec<Ledger>,
    ticket_books: Vec<TicketBook>,
    turns: Vec<Turn>,
    claims: Vec<Claim>,
    /// Deposits that were delivered and will be delivered a second time, each with its holder.
    duplicate_deposits: Vec<(usize, TicketRequest)>,
    ahead_entry_count: u64,
}

fn entry(turn: TurnId, reserved: u32) -> TurnEntry {
    TurnEntry {
        turn,
        program: PROGRAM,
        retention_ms: 60_000,
        reserved,
        used: NOT_SETTLED,
        run_location: None,
        elsewhere: None,
        record: Vec::new(),
    }
}

fn ticket(entry: &TurnEntry, budget: u64) -> Ticket {
    let TurnEntry { turn, program, reserved, retention_ms, .. } = entry.clone();
    Ticket { entry: turn, program, reserved, budget, other_turns_tokens: 0, retention_ms, run_locations: Vec::new() }
}

impl World {
    /// Sends a request to a ticket holder and returns its answer.
    fn ask(&mut self, holder: usize, request: TicketRequest) -> TicketAnswer {
        self.ticket_books[holder].answer(request, Duration::ZERO)
    }

    /// Writes entries to the next replica of a quorum and reads its charges. Returns whether a quorum has been reached.
    fn step_quorum(&mut self, index: usize, entries: &[TurnEntry]) -> bool {
        let turn = &mut self.turns[index];
        if turn.replicas_reached == 0 {
            turn.view = BudgetView::default();
        }
        let replica = &mut self.replicas[(turn.first_replica + turn.replicas_reached) % REPLICAS];
        for entry in entries {
            replica.add_entry(entry.clone(), Millis(0));
        }
        turn.view.merge_charges(&replica.charges(PROGRAM));
        turn.replicas_reached += 1;
        let is_complete = turn.replicas_reached == QUORUM;
        if is_complete {
            turn.replicas_reached = 0;
        }
        is_complete
    }

    fn write_to_quorum(&mut self, entry: &TurnEntry) {
        for replica in &mut self.replicas[..QUORUM] {
            replica.add_entry(entry.clone(), Millis(0));
        }
    }

    fn release_reservation(&mut self, turn: TurnId) {
        self.write_to_quorum(&TurnEntry { used: 0, ..entry(turn, 0) });
    }

    /// The index of the turn at position `number`, counted from 0, among the turns that are not done.
    fn nth_running(&self, number: usize) -> Option<usize> {
        let is_running = |index: &usize| self.turns[*index].phase != Phase::Done;
        (0..self.turns.len()).filter(is_running).nth(number)
    }

    fn add_claim(&mut self, reserved: u32) -> Option<usize> {
        self.claims.push(Claim { reserved, ended_at: None });
        Some(self.claims.len() - 1)
    }

    fn end_claim(&mut self, claim: Option<usize>, used: u32) {
        if let Some(claim) = claim {
            self.claims[claim].ended_at = Some(used);
        }
    }

    /// The largest number of tokens in use that a turn's last read can have seen, the turn's own claim included. A
    /// claim counts with its whole reservation, unless it had ended when the read began.
    fn tokens_in_use(&self, index: usize) -> u64 {
        let ended_claims_at_read_start = &self.turns[index].ended_claims_at_read_start;
        let tokens = |(number, claim): (usize, &Claim)| {
            ended_claims_at_read_start.get(number).copied().flatten().unwrap_or(claim.reserved)
        };
        self.claims.iter().enumerate().map(|claim| u64::from(tokens(claim))).sum()
    }

    fn asker(&self, index: usize) -> u64 {
        self.turns[index].number
    }

    fn step(&mut self, index: usize, fault: Fault) -> Result<(), TestCaseError> {
        let phase = self.turns[index].phase;
        if fault == Fault::RestartHolder {
            let holder = self.turns[index].holder;
            self.ticket_books[holder] = TicketBook::default();
            // Repeated deposits arrive on the same connection, which ends with the holder's process.
            self.duplicate_deposits.retain(|(to, _)| *to != holder);
        }
        if fault == Fault::Repeat {
            for (holder, request) in std::mem::take(&mut self.duplicate_deposits) {
                self.ask(holder, request);
            }
        }
        let next = match phase {
            Phase::Take => self.take_ticket(index, fault),
            Phase::Reserve => {
                if self.turns[index].claim.is_none() {
                    self.turns[index].claim = self.add_claim(self.turns[index].maximum);
                }
                let own = self.turns[index].entry.clone();
                let is_complete = self.step_quorum(index, &[own]);
                match self.turns[index].view.verdict_after_write(self.budget) {
                    _ if !is_complete => Phase::Reserve,
                    BudgetVerdict::Granted => Phase::Run,
                    _ => Phase::Read,
                }
            }
            Phase::Read => {
                if self.turns[index].replicas_reached == 0 {
                    self.turns[index].ended_claims_at_read_start =
                        self.claims.iter().map(|claim| claim.ended_at).collect();
                }
                let is_complete = self.step_quorum(index, &[]);
                match self.turns[index].view.verdict_after_read(self.budget) {
                    _ if !is_complete => Phase::Read,
                    BudgetVerdict::Granted => Phase::Run,
                    _ => Phase::Reclaim,
                }
            }
            Phase::Reclaim => self.reclaim(index, fault)?,
            Phase::Run => {
                let turn = &mut self.turns[index];
                turn.tokens_returned = turn.used;
                if fault == Fault::GatewayDies {
                    Phase::Done
                } else {
                    Phase::Settle
                }
            }
            Phase::Settle => self.settle(index),
            Phase::ReadAhead => {
                let is_complete = self.step_quorum(index, &[]);
                let granted = self.turns[index].view.verdict_after_read(self.budget) == BudgetVerdict::Granted;
                if !is_complete {
                    Phase::ReadAhead
                } else if granted {
                    Phase::Deposit
                } else {
                    self.release_ahead(index)
                }
            }
            Phase::Deposit => self.deposit(index, fault),
            Phase::ReleaseLostTicket => self.release_lost_ticket(index),
            Phase::Done => Phase::Done,
        };
        self.turns[index].phase = next;
        Ok(())
    }

    fn take_ticket(&mut self, index: usize, fault: Fault) -> Phase {
        let Turn { holder, maximum, .. } = self.turns[index];
        let request =
            TakeTicket { program: PROGRAM, asker: self.asker(index), min_tokens: maximum, budget: self.budget };
        if fault == Fault::GatewayDies || fault == Fault::LoseAnswer {
            if let TicketAnswer::Given(ticket) = self.ask(holder, TicketRequest::Take(request)) {
                self.turns[index].lost_reply_claim = self.add_claim(ticket.reserved);
            }
            return if fault == Fault::GatewayDies { Phase::Done } else { Phase::Reserve };
        }
        if fault == Fault::Repeat {
            self.ask(holder, TicketRequest::Take(request));
        }
        match self.ask(holder, TicketRequest::Take(request)) {
            TicketAnswer::Given(ticket) => {
                self.turns[index].claim = self.add_claim(ticket.reserved);
                self.turns[index].entry = entry(ticket.entry, ticket.reserved);
                Phase::Run
            }
            _ => Phase::Reserve,
        }
    }

    fn reclaim(&mut self, index: usize, fault: Fault) -> Result<Phase, TestCaseError> {
        let view = self.turns[index].view.clone();
        let entries: Vec<TurnId> = view.unsettled_ahead_entries().iter().map(|(entry, _)| *entry).collect();
        let mut reclaimed = ReclaimedTickets::default();
        for holder in 0..HOLDERS {
            let of_holder = entries.iter().filter(|entry| ticket_holder(**entry) == Some(NodeId(holder as u32 + 1)));
            let request =
                ReclaimTickets { program: PROGRAM, asker: self.asker(index), entries: of_holder.copied().collect() };
            let answer = self.ask(holder, TicketRequest::Reclaim(request));
            if let (TicketAnswer::Reclaimed(answer), true) = (answer, fault != Fault::LoseAnswer) {
                reclaimed.given.extend(answer.given);
                reclaimed.in_use.extend(answer.in_use);
            }
        }
        let verdict = verdict_with_reclaimed(&view, self.budget, &reclaimed);
        for given in reclaimed.given {
            self.release_reservation(given);
        }
        if verdict == ReclaimVerdict::Granted {
            return Ok(Phase::Run);
        }
        if verdict == ReclaimVerdict::Exhausted {
            let tokens_in_use = self.tokens_in_use(index);
            prop_assert!(
                tokens_in_use > self.budget,
                "a turn was refused with 402 although the program's turns use only {tokens_in_use} of {} tokens",
                self.budget
            );
        }
        let own = self.turns[index].entry.turn;
        self.release_reservation(own);
        self.end_claim(self.turns[index].claim, 0);
        Ok(self.final_phase(index))
    }

    fn settle(&mut self, index: usize) -> Phase {
        if self.turns[index].replicas_reached == 0 && self.turns[index].ahead.is_none() {
            self.ahead_entry_count += 1;
            let turn = &mut self.turns[index];
            let random = self.ahead_entry_count;
            let tokens = tokens_to_reserve_ahead(turn.maximum, u64::from(turn.used), self.budget);
            turn.ahead = tokens.map(|tokens| entry(ahead_entry_id(NodeId(turn.holder as u32 + 1), random), tokens));
        }
        let turn = &self.turns[index];
        let mut entries = vec![TurnEntry { used: turn.used, ..turn.entry.clone() }];
        entries.extend(turn.ahead.clone());
        if !self.step_quorum(index, &entries) {
            return Phase::Settle;
        }
        self.end_claim(self.turns[index].claim, self.turns[index].used);
        let turn = &self.turns[index];
        match (&turn.ahead, turn.view.verdict_after_write(self.budget)) {
            (None, _) => self.final_phase(index),
            (Some(_), BudgetVerdict::Granted) => Phase::Deposit,
            (Some(_), _) => Phase::ReadAhead,
        }
    }

    fn release_ahead(&mut self, index: usize) -> Phase {
        if let Some(ahead) = self.turns[index].ahead.clone() {
            self.release_reservation(ahead.turn);
        }
        self.final_phase(index)
    }

    fn deposit(&mut self, index: usize, fault: Fault) -> Phase {
        let Some(ahead) = self.turns[index].ahead.clone() else { return self.final_phase(index) };
        let holder = self.turns[index].holder;
        let request = TicketRequest::Deposit(ticket(&ahead, self.budget));
        if fault == Fault::GatewayDies {
            return self.final_phase(index);
        }
        if fault == Fault::Repeat {
            self.duplicate_deposits.push((holder, request.clone()));
        }
        match self.ask(holder, request) {
            TicketAnswer::Refused if fault != Fault::LoseAnswer => self.release_ahead(index),
            _ => self.final_phase(index),
        }
    }

    fn final_phase(&mut self, index: usize) -> Phase {
        if self.turns[index].lost_reply_claim.is_some() {
            Phase::ReleaseLostTicket
        } else {
            Phase::Done
        }
    }

    fn release_lost_ticket(&mut self, index: usize) -> Phase {
        let Turn { holder, maximum, .. } = self.turns[index];
        let asker = self.asker(index);
        let request = TakeTicket { program: PROGRAM, asker, min_tokens: maximum, budget: self.budget };
        if let TicketAnswer::Given(ticket) = self.ask(holder, TicketRequest::Take(request)) {
            let entries = vec![ticket.entry];
            self.ask(holder, TicketRequest::Reclaim(ReclaimTickets { program: PROGRAM, asker, entries }));
            self.release_reservation(ticket.entry);
            self.end_claim(self.turns[index].lost_reply_claim, 0);
        }
        Phase::Done
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::LoseAnswer),
        1 => Just(Fault::Repeat),
        1 => Just(Fault::RestartHolder),
        1 => Just(Fault::GatewayDies),
    ]
}

/// The fraction of its maximum that a turn uses. It is mostly 1, so that tokens that are granted twice exceed the
/// budget.
fn used_fraction() -> impl Strategy<Value = f64> {
    prop_oneof![3 => Just(1.0), 1 => 0.0_f64..1.0]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Turns of one program from several sub-agents, concurrent and sequential, received by gateways in two regions.
    #[test]
    fn the_budget_is_never_exceeded_and_tickets_that_were_not_issued_refuse_no_turn(
        turns in prop::collection::vec((0..HOLDERS, 0..REPLICAS, 1_u32..4, used_fraction()), 1..14),
        steps in prop::collection::vec((0..CONCURRENT_TURNS, fault()), 0..200),
        budget in 20_u64..250,
    ) {
        let turns = turns.into_iter().enumerate().map(|(index, (holder, first_replica, maximum, used_fraction))| Turn {
            number: index as u64 + 1,
            holder,
            first_replica,
            maximum: maximum * 10,
            used: (f64::from(maximum * 10) * used_fraction) as u32,
            phase: Phase::Take,
            replicas_reached: 0,
            entry: entry(TurnId(index as u128 + 1), maximum * 10),
            view: BudgetView::default(),
            ahead: None,
            tokens_returned: 0,
            claim: None,
            lost_reply_claim: None,
            ended_claims_at_read_start: Vec::new(),
        }).collect::<Vec<_>>();
        let largest_maximum = turns.iter().map(|turn| u64::from(turn.maximum)).max().unwrap_or(0);
        let mut world = World {
            budget,
            replicas: vec![Ledger::default(); REPLICAS],
            ticket_books: vec![TicketBook::default(); HOLDERS],
            turns,
            claims: Vec::new(),
            duplicate_deposits: Vec::new(),
            ahead_entry_count: 0,
        };
        for (index, fault) in steps {
            if let Some(index) = world.nth_running(index) {
                world.step(index, fault)?;
            }
        }
        for index in 0..world.turns.len() {
            while world.turns[index].phase != Phase::Done {
                world.step(index, Fault::None)?;
            }
        }
        let tokens_returned: u64 = world.turns.iter().map(|turn| u64::from(turn.tokens_returned)).sum();
        prop_assert!(tokens_returned <= budget + largest_maximum, "the program used {tokens_returned} tokens and exceeded its budget of {budget} by more than one turn");
        prop_assert!(tokens_returned <= budget, "the program used {tokens_returned} tokens with a budget of {budget}: a ticket was used twice");
    }
}

/// A turn that claims the tokens of a revocable entry, or one without a ticket. Both write to a quorum, then read from
/// one if they have to.
#[derive(Clone, Debug)]
struct Claimant {
    own: TurnEntry,
    /// The entry whose ticket the turn has taken.
    ticket_entry: Option<TurnEntry>,
    first_replica: usize,
    steps: usize,
    view: BudgetView,
    granted: Option<bool>,
}

impl Claimant {
    /// Does the write to the next replica, or the read from it, and decides once a quorum has been reached.
    fn step(&mut self, replicas: &mut [Ledger], budget: u64) {
        if self.granted.is_some() {
            return;
        }
        let replica = &mut replicas[(self.first_replica + self.steps) % REPLICAS];
        if self.steps < QUORUM {
            replica.add_entry(self.own.clone(), Millis(0));
            if let Some(entry) = &self.ticket_entry {
                replica.add_entry(TurnEntry { used: 0, ..entry.clone() }, Millis(0));
            }
        }
        self.view.merge_charges(&replica.charges(PROGRAM));
        self.steps += 1;
        if self.steps == QUORUM && self.view.verdict_after_write(budget) == BudgetVerdict::Granted {
            self.granted = Some(true);
        } else if self.steps == 2 * QUORUM {
            let reclaimed = with_revoked_entries(&self.view, ReclaimedTickets::default(), TakenTickets::Release);
            let verdict = verdict_with_reclaimed(&self.view, budget, &reclaimed);
            assert_ne!(verdict, ReclaimVerdict::Unknown, "revocable entries leave nothing unknown");
            self.granted = Some(verdict == ReclaimVerdict::Granted);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, rng_seed: proptest::test_runner::RngSeed::Fixed(76), ..ProptestConfig::default() })]

    /// Each ticket may have been issued to several turns, because its holder lost its memory, and each entry is
    /// released by turns that do not know of them. A turn alone is refused only if the budget does not hold it.
    #[test]
    fn claims_never_exceed_the_budget_however_often_a_ticket_was_issued(
        tickets in prop::collection::vec(1_u32..60, 1..4),
        turns in prop::collection::vec((prop::option::of(0_usize..4), 1_u32..60, 0_usize..REPLICAS), 1..7),
        order in prop::collection::vec(0_usize..7, 0..60),
    ) {
        let budget = 100;
        let mut replicas = vec![Ledger::default(); REPLICAS];
        let ahead: Vec<TurnEntry> = (0..).zip(&tickets)
            .map(|(number, tokens)| entry(revocable_entry_id(NodeId(1), number), *tokens)).collect();
        for (index, entry) in ahead.iter().enumerate() {
            for replica in 0..QUORUM {
                replicas[(index + replica) % REPLICAS].add_entry(entry.clone(), Millis(0));
            }
        }
        let mut claimants: Vec<Claimant> = (100..).zip(&turns).map(|(number, (ticket, tokens, first_replica))| {
            let ticket_entry = ticket.and_then(|index| ahead.get(index)).cloned();
            let tokens = ticket_entry.as_ref().map_or(*tokens, |entry| entry.reserved);
            let own = entry(TurnId(number), tokens);
            let view = BudgetView::default();
            Claimant { own, ticket_entry, first_replica: *first_replica, steps: 0, view, granted: None }
        }).collect();
        for index in order {
            let count = claimants.len();
            claimants[index % count].step(&mut replicas, budget);
        }
        for claimant in &mut claimants {
            while claimant.granted.is_none() {
                claimant.step(&mut replicas, budget);
            }
        }
        let reserved = |claimant: &Claimant| u64::from(claimant.own.reserved);
        let granted: u64 = claimants.iter().filter(|claimant| claimant.granted == Some(true)).map(reserved).sum();
        prop_assert!(granted <= budget, "{granted} tokens were granted");
        if let [alone] = claimants.as_slice() {
            prop_assert_eq!(alone.granted, Some(true), "a turn was refused because of tickets that no turn uses");
        }
    }
}
