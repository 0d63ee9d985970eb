//! Tickets for tokens that are reserved ahead. When a turn ends, the gateway reserves tokens for the program's next
//! turn, and deposits a ticket for the reservation at one replica, the ticket holder. If the next turn gets this
//! ticket, it is sent to an engine while a quorum of replicas is asked. Until the quorum has granted the turn a
//! reservation of its own, none of its tokens are handed out.

use crate::edge::turns::{TurnClient, TurnError};
use crate::edge::work::WorkGuard;
use crate::locks::lock;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::addresses::replica_socket_address;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use foxnotch_turns::ahead_entry::{is_revocable, revocable_entry_id, revocable_ticket_key, ticket_holder};
use foxnotch_turns::budget::BudgetView;
use foxnotch_turns::identity::zone_hash;
use foxnotch_turns::reserve_ahead::{
    choose_ticket_holder, run_locations_for_ticket, tokens_to_reserve_ahead, verdict_with_reclaimed,
    with_revoked_entries, ReclaimVerdict, TakenTickets,
};
use foxnotch_turns::resumed_stream::BudgetLimit;
use foxnotch_wire::{
    NodeId, ProgramKey, ReclaimTickets, ReclaimedTickets, ReplicaMember, ReplicaSet, RpcBody, TakeTicket, Ticket,
    TicketAnswer, TicketRequest, TurnEntry, TurnId, NOT_SETTLED,
};
use futures_util::future::join_all;
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest time that a turn waits for a ticket. A healthy holder in another zone of the region answers within this
/// time. Asking a quorum of replicas in several regions instead takes longer.
const TAKE_TIMEOUT: Duration = Duration::from_millis(15);
/// Timeout of each of the two requests by which the gateway releases a ticket whose holder did not answer in time. The
/// first request asks the holder for the ticket again, so that the ticket is not lost. The second one reports that no
/// turn uses the ticket.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for depositing a ticket at its holder.
const DEPOSIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for reclaiming tickets from their holders before a turn is refused: enough for a round trip to the farthest
/// region.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a turn with a ticket has to claim the ticket's tokens on a quorum, before another turn that would be
/// refused because of them releases them. It exceeds a write and a read across regions.
const CLAIM_TIME: Duration = Duration::from_millis(250);
/// Time between two looks for such a claim.
const CLAIM_POLL_PERIOD: Duration = Duration::from_millis(25);
/// Time for which a holder that did not answer is not asked, so that not every turn waits for it.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// Timeout for settling a turn, for deciding on a reservation ahead, or for releasing a reservation. All of these run
/// in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A reservation for a program's next turn, written when the turn before it ends.
#[derive(Clone, Debug)]
pub struct AheadReservation {
    /// The budget entry that reserves the tokens.
    pub entry: TurnEntry,
    /// The replica that is to hold the ticket.
    holder: ReplicaMember,
    /// The program's budget, in tokens.
    budget: u64,
}

/// Takes tickets from the replicas that hold them, and reserves tokens ahead for the next turns.
pub struct TicketClient {
    turns: Arc<TurnClient>,
    client: Arc<RpcClient>,
    /// Hashes of the zones of this gateway's region; `None` when the deployment has only one region.
    region_zones: Option<HashSet<u32>>,
    is_enabled: bool,
    metrics: Arc<Metrics>,
    /// The counter of requests and background tasks that a planned stop waits for.
    pending_work: Arc<AtomicUsize>,
    /// Holders that did not answer, and the time until which the gateway does not ask them.
    silent: Mutex<HashMap<NodeId, Instant>>,
    /// The nodes of the deployment; `None` in tests that run without other nodes.
    members: Option<Arc<Members>>,
}

impl TicketClient {
    /// Creates the client of a gateway whose region has the zones `region_zones`. With `None`, the region has all
    /// zones. The client takes and deposits tickets only if `is_enabled` is set.
    pub fn new(
        turns: Arc<TurnClient>,
        client: Arc<RpcClient>,
        region_zones: Option<Vec<String>>,
        is_enabled: bool,
        metrics: Arc<Metrics>,
    ) -> Self {
        let region_zones = region_zones.map(|zones| zones.iter().map(|zone| zone_hash(zone)).collect());
        Self {
            turns,
            client,
            region_zones,
            is_enabled,
            metrics,
            pending_work: Arc::default(),
            silent: Mutex::default(),
            members: None,
        }
    }

    /// Makes the client reserve ahead only while all `members` support tickets.
    pub fn with_members(mut self, members: Arc<Members>) -> Self {
        self.members = Some(members);
        self
    }

    /// Sets the counter of work that a planned stop waits for. The client counts its background work there.
    pub fn with_pending_work(mut self, pending_work: Arc<AtomicUsize>) -> Self {
        self.pending_work = pending_work;
        self
    }

    /// Runs work in the background; a planned stop waits for it.
    pub(super) fn run_in_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let guard = WorkGuard::new(&self.pending_work);
        tokio::spawn(async move {
            work.await;
            drop(guard);
        });
    }

    /// The replica that holds a program's tickets. `None` if this gateway's region has no replica, or if the holder
    /// failed to answer a request within the last [`SILENCE_PAUSE`].
    fn responsive_holder(&self, set: &ReplicaSet, program: ProgramKey) -> Option<ReplicaMember> {
        let is_in_region =
            |member: &ReplicaMember| self.region_zones.as_ref().is_none_or(|zones| zones.contains(&member.zone));
        let holder = choose_ticket_holder(program, &set.members, is_in_region)?;
        let mut silent = lock(&self.silent);
        silent.retain(|_, until| Instant::now() < *until);
        (!silent.contains_key(&holder.node)).then_some(holder)
    }

    /// Records that a holder did not answer, so that it is not asked during the next [`SILENCE_PAUSE`].
    fn note_silence(&self, holder: NodeId) {
        lock(&self.silent).insert(holder, Instant::now() + SILENCE_PAUSE);
    }

    async fn ask_holder(
        &self,
        holder: &ReplicaMember,
        request: TicketRequest,
        within: Duration,
    ) -> Option<TicketAnswer> {
        // The request is sent directly and never through a relay, because a deposit must not arrive twice, and fetching
        // a ticket through a relay would save no time.
        match self.client.call(replica_socket_address(holder), RpcBody::Ticket(request), within).await {
            Ok(RpcBody::TicketAnswer(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    target: part::TURN,
                    "Node {}, which holds a program's tickets, did not answer: {error}.",
                    holder.node,
                );
                None
            }
        }
    }

    /// Takes a ticket that reserves enough tokens for a turn, if the holder has one.
    pub async fn take_ticket(self: &Arc<Self>, request: TakeTicket) -> Option<Ticket> {
        if !self.is_enabled {
            return None;
        }
        let holder = self.responsive_holder(&self.turns.view.replica_set(), request.program)?;
        let begun_at = Instant::now();
        let mut pending = PendingTake { client: self.clone(), holder, request, is_answered: false };
        let answer = self.ask_holder(&holder, take_revocable(request), TAKE_TIMEOUT).await;
        pending.is_answered = answer.is_some();
        self.metrics.ticket_seconds.observe(begun_at.elapsed().as_secs_f64());
        if answer.is_none() {
            self.note_silence(holder.node);
            log::info!(
                target: part::TURN,
                "The replica that holds the program's tickets (tokens reserved for later turns) did not answer in \
                 time: program={:016x} holder={} after={:?}. The turn reserves its tokens at a quorum of replicas \
                 instead.",
                request.program.0,
                holder.node,
                begun_at.elapsed(),
            );
        }
        match answer {
            Some(TicketAnswer::Given(ticket)) => {
                self.metrics.count_ticket("taken");
                Some(ticket)
            }
            Some(_) => {
                self.metrics.count_ticket("missed");
                None
            }
            None => {
                self.metrics.count_ticket("take_unanswered");
                None
            }
        }
    }

    /// Takes the ticket that a turn no longer waits for, and releases the tokens that the ticket reserves.
    async fn release_late_ticket(self: Arc<Self>, holder: ReplicaMember, request: TakeTicket) {
        // If the holder has already issued a ticket to the request's `asker`, it returns this ticket again. Otherwise,
        // it issues the smallest sufficient ticket now.
        match self.ask_holder(&holder, take_revocable(request), LATE_ANSWER_TIMEOUT).await {
            Some(TicketAnswer::Given(ticket)) => {
                let program = revocable_ticket_key(request.program);
                let reclaim = ReclaimTickets { program, asker: request.asker, entries: vec![ticket.entry] };
                // Reports to the holder that no turn uses the ticket. If the holder does not answer, which
                // [`Self::ask_holder`] logs, another turn may wait as though the ticket were in use.
                let _ = self.ask_holder(&holder, TicketRequest::Reclaim(reclaim), LATE_ANSWER_TIMEOUT).await;
                self.release_reservation(&budget_entry_of_ticket(&ticket, request.program)).await;
            }
            Some(_) => {}
            None => {
                self.metrics.count_ticket("late_unanswered");
                log::info!(
                    target: part::TURN,
                    "A ticket may have been issued to a turn that no longer waits for it; the ticket's tokens then \
                     stay reserved until another turn needs them: program={:016x} holder={}.",
                    request.program.0,
                    holder.node,
                );
            }
        }
    }

    /// Whether all nodes that may get a program's next turn, or hold its ticket, support tickets. A gateway of an older
    /// build counts tokens that are reserved ahead as used, so it would refuse a turn that fits into the budget.
    fn all_nodes_support_tickets(&self) -> bool {
        self.members.as_ref().is_none_or(|members| members.count_nodes_not_on_newest_protocol() == 0)
    }

    /// Plans the reservation for a program's next turn, to be written when the turn of `entry` ends. `known_total` is
    /// the number of the program's tokens that are known to be used or reserved.
    ///
    /// Returns `None` when reserving ahead is disabled, when a node does not support it, when the turn reserved
    /// nothing, when the budget has no room for another reservation of the same size, or when no holder can be asked.
    pub fn plan_reservation(&self, entry: &TurnEntry, budget: u64, known_total: u64) -> Option<AheadReservation> {
        if !self.is_enabled || !self.all_nodes_support_tickets() {
            return None;
        }
        let reserved = tokens_to_reserve_ahead(entry.reserved, known_total, budget)?;
        let holder = self.responsive_holder(&self.turns.view.replica_set(), entry.program)?;
        let turn = revocable_entry_id(holder.node, rand::random());
        let entry =
            TurnEntry { turn, reserved, used: NOT_SETTLED, run_location: None, record: Vec::new(), ..entry.clone() };
        Some(AheadReservation { entry, holder, budget })
    }

    /// Settles a turn: writes how many tokens the turn used, so that only these count towards the budget. The same
    /// write makes the reservation `ahead`, if there is one.
    pub async fn settle_turn(&self, entry: TurnEntry, ahead: Option<AheadReservation>) {
        let written = self.write_settled_entry(entry, ahead.as_ref().map(|ahead| &ahead.entry)).await;
        if let Some(ahead) = ahead {
            self.finish_reservation(ahead, written.ok()).await;
        }
    }

    /// Writes an entry that states its used tokens, and with the same write the entry of a reservation ahead, if there
    /// is one.
    async fn write_settled_entry(
        &self,
        settled: TurnEntry,
        ahead: Option<&TurnEntry>,
    ) -> Result<BudgetView, TurnError> {
        debug_assert!(settled.used != NOT_SETTLED);
        let turn = settled.turn;
        let entries: Vec<TurnEntry> = std::iter::once(settled).chain(ahead.cloned()).collect();
        let written = self.turns.write_entries(&entries, Instant::now() + SETTLE_TIMEOUT).await;
        if let Err(error) = &written {
            log::warn!(
                target: part::TURN,
                "Turn {turn} is not settled, because the number of tokens that it used could not be stored; all \
                 tokens that it reserved count as used: {error}.",
            );
        }
        written
    }

    /// Completes a reservation ahead. If a quorum has stored the reservation, `written` holds the program's budget
    /// entries, and the ticket is deposited if the budget has room. Otherwise the reservation is released.
    pub async fn finish_reservation(&self, ahead: AheadReservation, written: Option<BudgetView>) {
        match written {
            Some(program) => self.deposit_or_release(ahead, program, Instant::now() + SETTLE_TIMEOUT).await,
            None => self.release_reservation(&ahead.entry).await,
        }
    }

    /// Deposits the ticket of a reservation that a quorum has stored, if the reservation fits into the budget. Releases
    /// the reservation otherwise.
    async fn deposit_or_release(&self, ahead: AheadReservation, written: BudgetView, deadline: Instant) {
        let AheadReservation { entry, holder, budget } = ahead;
        let granted = match self.turns.decide_reservation(&entry, written, budget, deadline).await {
            Ok(reservation) => reservation.granted.then_some(reservation.program),
            Err(error) => {
                log::info!(
                    target: part::TURN,
                    "Tokens for a program's next turn could not be reserved, because it is unknown whether they fit \
                     the program's budget; the next turn reserves its tokens when it starts: entry={}: {error}.",
                    entry.turn,
                );
                None
            }
        };
        let Some(program) = granted else {
            self.metrics.count_ticket("not_granted");
            self.release_reservation(&entry).await;
            return;
        };
        let ticket = Ticket {
            entry: entry.turn,
            program: revocable_ticket_key(entry.program),
            reserved: entry.reserved,
            budget,
            other_turns_tokens: program.charged_tokens().saturating_sub(u64::from(entry.reserved)),
            retention_ms: entry.retention_ms,
            run_locations: run_locations_for_ticket(program.run_locations()),
        };
        match self.ask_holder(&holder, TicketRequest::Deposit(ticket), DEPOSIT_TIMEOUT).await {
            Some(TicketAnswer::Held) => self.metrics.count_ticket("deposited"),
            Some(_) => {
                self.metrics.count_ticket("refused");
                self.release_reservation(&entry).await;
            }
            None => {
                // The deposit may have arrived, and a turn may be under way with the ticket. Releasing the reservation
                // here could let the tokens go to another turn.
                self.metrics.count_ticket("deposit_unanswered");
                self.note_silence(holder.node);
                log::info!(
                    target: part::TURN,
                    "A ticket may be lost: entry={} program={:016x} holder={} tokens={}. The holder did not confirm \
                     that it has the ticket. If the ticket is lost, its tokens stay reserved until another turn \
                     needs them.",
                    entry.turn,
                    entry.program.0,
                    holder.node,
                    entry.reserved,
                );
            }
        }
    }

    /// Releases a reservation: settles its entry with no tokens used. Only the owner of its ticket may release the
    /// reservation of an exclusive entry ([`foxnotch_turns::ahead_entry`]).
    async fn release_reservation(&self, entry: &TurnEntry) {
        self.metrics.count_ticket("given_up");
        // If the write fails, [`Self::write_settled_entry`] logs it and the whole reservation counts as used.
        let _ = self.write_settled_entry(TurnEntry { used: 0, ..entry.clone() }, None).await;
    }

    /// Decides on a turn that does not fit into the budget while all tokens reserved ahead count as used. If releasing
    /// the reservations that no turn uses may free enough tokens, releases them. If the outcome depends on turns that
    /// have taken tickets and not claimed the tokens yet, waits up to [`CLAIM_TIME`] for them.
    pub async fn reclaim_before_refusal(
        self: &Arc<Self>,
        refused: &TurnEntry,
        program: &BudgetView,
        limit: impl Into<BudgetLimit>,
        asker: u64,
    ) -> ReclaimVerdict {
        let limit = limit.into();
        let tokens = limit.tokens(program, refused.turn);
        let verdict = verdict_with_reclaimed(program, tokens, &ReclaimedTickets::default());
        if verdict != ReclaimVerdict::Unknown {
            return verdict;
        }
        let mut program = program.clone();
        let claim_deadline = Instant::now() + CLAIM_TIME;
        loop {
            let answers = self.reclaim_tickets(refused.program, &program, asker).await;
            let released = with_revoked_entries(&program, answers.clone(), TakenTickets::Release);
            let reclaimed = with_revoked_entries(&program, answers, TakenTickets::CountAsUsed);
            let tokens = limit.tokens(&program, refused.turn);
            let verdict = verdict_with_reclaimed(&program, tokens, &reclaimed);
            let verdict_if_released = verdict_with_reclaimed(&program, tokens, &released);
            if verdict == verdict_if_released {
                self.finish_reclaim(refused, &program, verdict, reclaimed);
                return verdict;
            }
            if Instant::now() >= claim_deadline {
                self.finish_reclaim(refused, &program, verdict_if_released, released);
                return verdict_if_released;
            }
            tokio::time::sleep(CLAIM_POLL_PERIOD).await;
            match self.turns.read_budget_entries(refused.program, claim_deadline + RECLAIM_TIMEOUT).await {
                Ok(newer) => program.merge(&newer),
                Err(_) => return ReclaimVerdict::Unknown,
            }
        }
    }

    /// Logs the outcome of a reclaim, and releases in the background the reservations that no turn uses.
    fn finish_reclaim(
        self: &Arc<Self>,
        refused: &TurnEntry,
        program: &BudgetView,
        verdict: ReclaimVerdict,
        reclaimed: ReclaimedTickets,
    ) {
        log::info!(
            target: part::TURN,
            "Tickets reclaimed: turn={} program={:016x} entries={} given={} in_use={} outcome={verdict:?}. The turn \
             did not fit its program's budget while `entries` reservations for later turns counted as used. Of \
             these, `given` were unused and no longer count; `in_use` were granted to other turns.",
            refused.turn,
            refused.program.0,
            program.unsettled_ahead_entries().len(),
            reclaimed.given.len(),
            reclaimed.in_use.len(),
        );
        for entry in reclaimed.given {
            let entry =
                TurnEntry { turn: entry, reserved: 0, run_location: None, record: Vec::new(), ..refused.clone() };
            let client = self.clone();
            self.run_in_background(async move { client.release_reservation(&entry).await });
        }
    }

    /// Asks the holders of the tickets for a program's entries reserved ahead to return those tickets that no turn
    /// uses.
    async fn reclaim_tickets(&self, program: ProgramKey, view: &BudgetView, asker: u64) -> ReclaimedTickets {
        let set = self.turns.view.replica_set();
        let ahead = view.unsettled_ahead_entries();
        let requests = set.members.iter().flat_map(|holder| {
            let entries = ahead.iter().map(|(entry, _)| *entry);
            let of_holder = entries.filter(|entry| ticket_holder(*entry) == Some(holder.node));
            let (revocable, exclusive): (Vec<TurnId>, Vec<TurnId>) = of_holder.partition(|entry| is_revocable(*entry));
            let by_key = [(revocable_ticket_key(program), revocable), (program, exclusive)];
            by_key.into_iter().filter(|(_, entries)| !entries.is_empty()).map(move |(program, entries)| {
                let request = ReclaimTickets { program, asker, entries };
                self.ask_holder(holder, TicketRequest::Reclaim(request), RECLAIM_TIMEOUT)
            })
        });
        let mut all = ReclaimedTickets::default();
        for answer in join_all(requests).await.into_iter().flatten() {
            if let TicketAnswer::Reclaimed(answer) = answer {
                all.given.extend(answer.given);
                all.in_use.extend(answer.in_use);
            }
        }
        all
    }
}

/// A request in flight for a ticket. If the request is dropped without an answer, because the answer is late or the
/// caller has disconnected, the gateway asks the holder again and releases the ticket.
struct PendingTake {
    client: Arc<TicketClient>,
    holder: ReplicaMember,
    request: TakeTicket,
    is_answered: bool,
}

impl Drop for PendingTake {
    fn drop(&mut self) {
        if !self.is_answered {
            self.client.run_in_background(self.client.clone().release_late_ticket(self.holder, self.request));
        }
    }
}

/// The request for the ticket of a revocable entry, for the turn of `request`.
fn take_revocable(request: TakeTicket) -> TicketRequest {
    TicketRequest::Take(TakeTicket { program: revocable_ticket_key(request.program), ..request })
}

/// Builds the budget entry of a ticket of `program`, with the fields that are needed to release the ticket's tokens.
pub(super) fn budget_entry_of_ticket(ticket: &Ticket, program: ProgramKey) -> TurnEntry {
    TurnEntry {
        turn: ticket.entry,
        program,
        retention_ms: ticket.retention_ms,
        reserved: ticket.reserved,
        used: NOT_SETTLED,
        run_location: None,
        elsewhere: None,
        record: Vec::new(),
    }
}
