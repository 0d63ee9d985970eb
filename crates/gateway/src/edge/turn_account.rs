//! Accounts for one turn in its program's token budget: reserves tokens before the turn runs, and settles the entry
//! with the used tokens afterwards.

use crate::edge::call::Call;
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::edge::tickets::{budget_entry_of_ticket, AheadReservation};
use crate::edge::turns::{Reservation, TurnError};
use crate::logging::part;
use foxnotch_turns::budget::BudgetView;
use foxnotch_turns::identity::{program_key, turn_id};
use foxnotch_turns::reserve_ahead::ReclaimVerdict;
use foxnotch_turns::resumed_stream::{resuming_entry_id, BudgetLimit, ResumedStream};
use foxnotch_wire::{RunLocation, TakeTicket, Ticket, TurnEntry, TurnId, TurnRecord, NOT_SETTLED};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::oneshot;

/// The facts known about a program when tokens are reserved for one of its turns.
#[derive(Clone, Debug)]
pub(super) struct ProgramSnapshot {
    /// The program's budget entries, from the replicas or from a ticket.
    pub(super) budget: BudgetView,
    /// Whether the program had another turn, completed or in progress, when the tokens were reserved.
    pub(super) has_earlier_turns: bool,
}

/// The tokens that a turn has reserved and used. When the account is dropped, it settles the turn: it writes the number
/// of tokens that were sent to the caller, and only these count towards the budget from then on.
pub(super) struct TurnAccount {
    gateway: Arc<Gateway>,
    /// The turn's own identifier, by which later turns name the turn that they continue.
    turn: TurnId,
    /// The budget entry that the turn uses: the entry with the turn's own identifier, or that of one attempt of a
    /// stream that is resumed.
    pub(super) entry: TurnEntry,
    /// The program's token budget; `None` when the call states none.
    budget: Option<u64>,
    /// The most tokens that the turn may use. An attempt that resumes its stream reserves fewer.
    turn_maximum: u32,
    /// The stream that the turn resumes.
    resumed: Option<ResumedStream>,
    /// Whether the entry may be stored on replicas and is not settled yet.
    is_reserved: bool,
    /// The time by which the call has to be answered.
    expires_at: Instant,
    /// The outcome of the claim of the tokens of the turn's ticket, until the turn has waited for it. `None` without a
    /// ticket.
    pending_claim: Option<oneshot::Receiver<Result<BudgetView, Refusal>>>,
    /// Number of tokens that each event from the service's model counts as.
    event_tokens: u32,
    /// Number of the turn's events that were sent to the caller.
    pub(super) events: u32,
    /// Tokens that the program's other turns had used or reserved when tokens were reserved for this one.
    other_turns_tokens: u64,
    /// Whether the engine's answer was forwarded completely and, if the route stores turns, the turn is stored.
    is_completed: bool,
}

impl TurnAccount {
    /// Creates the account of a turn for which no tokens are reserved yet.
    pub(super) fn open(gateway: &Arc<Gateway>, call: &Call) -> Self {
        let metadata = &call.metadata;
        let program = metadata.program.as_deref().unwrap_or(&metadata.attempt);
        let configuration = gateway.view.get().configuration.value;
        let model = configuration.service(&call.service).and_then(|service| service.model.as_ref());
        let event_tokens = model.map_or(1, |model| model.event_tokens.max(1));
        let turn = turn_id(call.tenant_name(), &metadata.attempt);
        let turn_maximum = if metadata.token_budget.is_some() { metadata.max_tokens } else { 0 };
        let begun_by = call.resumed_stream().map(|attempt| turn_id(call.tenant_name(), attempt));
        let resumed = call
            .resumes_stream()
            .then(|| ResumedStream::new(begun_by, metadata.last_event.as_deref(), turn_maximum, event_tokens));
        let entry = TurnEntry {
            turn: begun_by.map_or(turn, |begun_by| resuming_entry_id(begun_by, rand::random())),
            program: program_key(call.tenant_name(), program),
            retention_ms: u32::try_from(call.route.retention_ms).unwrap_or(u32::MAX),
            reserved: resumed.map_or(turn_maximum, |stream| stream.remaining_tokens()),
            used: NOT_SETTLED,
            run_location: None,
            elsewhere: None,
            record: Vec::new(),
        };
        Self {
            gateway: gateway.clone(),
            turn,
            entry,
            budget: metadata.token_budget,
            turn_maximum,
            resumed,
            is_reserved: false,
            expires_at: call.expires_at,
            pending_claim: None,
            event_tokens,
            events: 0,
            other_turns_tokens: 0,
            is_completed: false,
        }
    }

    /// Reserves the most tokens that the turn may use, and returns the facts known about its program. Asks a quorum of
    /// replicas, and does not wait for its answer if the turn gets a ticket; see [`Self::wait_for_claim`]. Without a
    /// budget, reserves nothing and returns `None`.
    ///
    /// # Errors
    /// [`Refusal::BudgetSpent`], [`Refusal::BudgetUnknown`], [`Refusal::NoQuorum`].
    pub(super) async fn reserve_tokens(&mut self, deadline: Instant) -> Result<Option<ProgramSnapshot>, Refusal> {
        let Some(budget) = self.budget else { return Ok(None) };
        let asker: u64 = rand::random();
        let request = TakeTicket { program: self.entry.program, asker, min_tokens: self.entry.reserved, budget };
        let asked_at = Instant::now();
        // A ticket is for the whole of a turn, and counts beside the earlier attempts of a stream that is resumed.
        if self.resumed.is_none() {
            if let Some(ticket) = self.gateway.tickets.take_ticket(request).await {
                return Ok(Some(self.use_ticket(&ticket, asker, asked_at)));
            }
        }
        self.is_reserved = true;
        let limit = BudgetLimit { budget, resumed: self.resumed };
        let reserved = self.gateway.turns.reserve_tokens(&self.entry, limit, deadline).await;
        let attempt = ReservationAttempt { gateway: &self.gateway, entry: &self.entry, limit, asker };
        let budget_view = attempt.grant_or_refuse(reserved).await?;
        self.other_turns_tokens = budget_view.charged_tokens().saturating_sub(u64::from(self.entry.reserved));
        let has_earlier_turns = budget_view.started_turn_count() > 1;
        Ok(Some(ProgramSnapshot { budget: budget_view, has_earlier_turns }))
    }

    /// Starts to claim the tokens of a ticket: reserves the turn's tokens on a quorum in place of the ticket's entry.
    /// The quorum may take all of the call's time, since the turn cannot be said not to have run.
    fn use_ticket(&mut self, ticket: &Ticket, asker: u64, asked_at: Instant) -> ProgramSnapshot {
        log::info!(
            target: part::TURN,
            "Ticket taken: turn={} program={:016x} entry={} tokens={} after={:?}. The ticket has reserved `tokens` \
             for the turn, so the turn does not wait for a quorum of replicas before it is sent.",
            self.turn,
            self.entry.program.0,
            ticket.entry,
            ticket.reserved,
            asked_at.elapsed(),
        );
        self.is_reserved = true;
        self.other_turns_tokens = ticket.other_turns_tokens;
        let (outcome, pending_claim) = oneshot::channel();
        self.pending_claim = Some(pending_claim);
        let (gateway, entry) = (self.gateway.clone(), self.entry.clone());
        let (budget, deadline) = (self.budget.unwrap_or(ticket.budget), self.expires_at);
        let ticket_entry = budget_entry_of_ticket(ticket, entry.program);
        self.gateway.tickets.run_in_background(async move {
            let reserved = gateway.turns.reserve_in_place_of(ticket_entry, &entry, budget, deadline).await;
            let attempt = ReservationAttempt { gateway: &gateway, entry: &entry, limit: budget.into(), asker };
            // Fails when the turn has ended without waiting for the claim.
            let _ = outcome.send(attempt.grant_or_refuse(reserved).await);
        });
        // A gateway makes a ticket only after a completed turn, so the program has an earlier turn.
        ProgramSnapshot { budget: BudgetView::from_ticket(ticket), has_earlier_turns: true }
    }

    /// Waits until a quorum has granted the tokens of a turn that was sent to an engine with a ticket. Until then, none
    /// of its tokens may be handed out. Returns at once if the turn took no ticket.
    ///
    /// # Errors
    /// [`Refusal::MayHaveRun`] if the tokens are not granted: the ticket was revoked, or no quorum answers.
    pub(super) async fn wait_for_claim(&mut self) -> Result<(), Refusal> {
        let Some(pending_claim) = self.pending_claim.take() else { return Ok(()) };
        let refusal = match pending_claim.await {
            Ok(Ok(budget_view)) => {
                self.gateway.metrics.count_ticket("claimed");
                self.other_turns_tokens = budget_view.charged_tokens().saturating_sub(u64::from(self.entry.reserved));
                return Ok(());
            }
            Ok(Err(refusal)) => refusal.to_string(),
            Err(_) => "the claim of its tokens was abandoned".to_owned(),
        };
        self.gateway.metrics.count_ticket("claim_failed");
        log::warn!(
            target: part::TURN,
            "Turn {} was sent with a ticket whose tokens it could not claim, so its answer is not forwarded: \
             program={:016x}: {refusal}.",
            self.turn,
            self.entry.program.0,
        );
        Err(Refusal::MayHaveRun(refusal))
    }

    /// Records that the turn failed at the engine that it was sent to last.
    pub(super) fn note_engine_failure(&mut self, sends: &SendRecord) {
        self.entry.run_location = sends.last_choice().map(|choice| RunLocation::failure_at(choice.engine.number));
    }

    /// Records that the turn is completed. If [`Self::store_turn`] has not settled it, dropping the account settles it
    /// and also reserves ahead for the program's next turn.
    pub(super) fn note_completed(&mut self) {
        self.is_completed = true;
    }

    /// Stores the completed turn with its record, and reserves ahead for the program's next turn.
    ///
    /// # Errors
    /// [`TurnError`]; whether the turn is stored is then unknown.
    pub(super) async fn store_turn(&mut self, record: TurnRecord, deadline: Instant) -> Result<(), TurnError> {
        let ahead = self.plan_reservation_ahead();
        let stored =
            self.gateway.turns.store_finished_turn(self.entries_to_store(record, ahead.as_ref()), deadline).await;
        if stored.is_ok() {
            self.is_reserved = false;
        }
        if let Some(ahead) = ahead {
            let gateway = self.gateway.clone();
            let written = stored.clone();
            self.gateway
                .tickets
                .run_in_background(async move { gateway.tickets.finish_reservation(ahead, written.ok()).await });
        }
        stored.map(drop)
    }

    /// The entries to write for a completed turn: its record, its settlement and, if `ahead` is present, the
    /// reservation of tokens for the program's next turn.
    fn entries_to_store(&self, record: TurnRecord, ahead: Option<&AheadReservation>) -> Vec<TurnEntry> {
        let settled = TurnEntry { used: self.used_tokens(), ..self.entry.clone() };
        let mut entries = if self.entry.turn == self.turn {
            vec![TurnEntry { record: vec![record], ..settled }]
        } else {
            // The entry with the record has the turn's own identifier, by which later turns name the turn that they
            // continue. This entry is not settled and reserves nothing, so it does not change the charge of an earlier
            // request under the same identifier, if there was one.
            let own = TurnEntry {
                turn: self.turn,
                reserved: 0,
                run_location: None,
                record: vec![record],
                ..self.entry.clone()
            };
            vec![own, settled]
        };
        entries.extend(ahead.map(|ahead| ahead.entry.clone()));
        entries
    }

    /// The reservation for the program's next turn, if one is to be made.
    fn plan_reservation_ahead(&self) -> Option<AheadReservation> {
        let known_total = self.other_turns_tokens.saturating_add(u64::from(self.used_tokens()));
        let turn = TurnEntry { reserved: self.turn_maximum, ..self.entry.clone() };
        self.gateway.tickets.plan_reservation(&turn, self.budget?, known_total)
    }

    /// Whether the tokens of another event may be handed out. When a stream is resumed at an engine that numbers events
    /// in an unusual way, more events may follow the caller's last event than were reserved for.
    pub(super) fn covers_another_event(&self) -> bool {
        let tokens = (self.events + 1).saturating_mul(self.event_tokens);
        self.budget.is_none() || self.resumed.is_none() || tokens <= self.entry.reserved
    }

    /// The number of tokens that were sent to the caller, at most the reserved number.
    fn used_tokens(&self) -> u32 {
        self.events.saturating_mul(self.event_tokens).min(self.entry.reserved)
    }
}

/// A turn whose reservation a quorum has stored or may have stored.
struct ReservationAttempt<'a> {
    gateway: &'a Gateway,
    entry: &'a TurnEntry,
    /// The number of tokens that may be charged to the program.
    limit: BudgetLimit,
    /// The random number that identifies the turn to ticket holders.
    asker: u64,
}

impl ReservationAttempt<'_> {
    /// Returns the program's budget entries if the turn's reservation is granted. Before refusing it, reclaims tokens
    /// that are reserved ahead and not in use.
    async fn grant_or_refuse(&self, reserved: Result<Reservation, TurnError>) -> Result<BudgetView, Refusal> {
        let reservation = reserved.map_err(|error| Refusal::NoQuorum(error.to_string()))?;
        let program = reservation.program;
        if reservation.granted {
            return Ok(program);
        }
        let (tickets, budget) = (&self.gateway.tickets, self.limit.tokens(&program, self.entry.turn));
        match tickets.reclaim_before_refusal(self.entry, &program, self.limit, self.asker).await {
            ReclaimVerdict::Granted => Ok(program),
            ReclaimVerdict::Exhausted => {
                log::info!(
                    target: part::TURN,
                    "Turn refused because it does not fit its program's token budget (`total` counts the tokens \
                     used and reserved, with those of this turn): turn={} program={:016x} total={} budget={budget}.",
                    self.entry.turn,
                    self.entry.program.0,
                    program.charged_tokens(),
                );
                Err(Refusal::BudgetSpent)
            }
            ReclaimVerdict::Unknown => {
                log::info!(
                    target: part::TURN,
                    "Budget not known: turn={} program={:016x} total={} budget={budget} ahead={}. The turn is \
                     refused, because it is unknown whether it fits its program's budget: `total` includes the `ahead` \
                     reservations for later turns, and the replicas that hold their tickets did not report which are \
                     unused.",
                    self.entry.turn,
                    self.entry.program.0,
                    program.charged_tokens(),
                    program.unsettled_ahead_entries().len(),
                );
                Err(Refusal::BudgetUnknown)
            }
        }
    }
}

impl Drop for TurnAccount {
    fn drop(&mut self) {
        if !self.is_reserved {
            return;
        }
        let gateway = self.gateway.clone();
        let entry = TurnEntry { used: self.used_tokens(), ..self.entry.clone() };
        let ahead = if self.is_completed { self.plan_reservation_ahead() } else { None };
        self.gateway.tickets.run_in_background(async move { gateway.tickets.settle_turn(entry, ahead).await });
    }
}
