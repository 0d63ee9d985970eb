//! The owner's side of the replication protocol of one history.
//!
//! A proposer first prepares an epoch on a majority and adopts the copy with the highest accepted epoch, then writes
//! entries under its own epoch. Invariant: an entry with an index below [`Proposer::committed`] is on the disks of a
//! majority under this epoch, so every later owner adopts it.

use crate::guard::{Guard, Guards};
use crate::ownership::majority;
use foxnotch_membership::Millis;
use foxnotch_wire::{
    Accept, AcceptReply, AcceptStatus, Entry, Epoch, KnownStore, Message, NodeId, Prepare, ProgramId, Promise,
};
use std::collections::BTreeMap;

/// Milliseconds after which unanswered messages are resent.
const RESEND_DELAY_MS: u64 = 150;
/// Milliseconds without progress after which the proposer prepares a higher epoch, or abandons its epoch if it is
/// leading. A new prepare also includes replicas that had not promised the previous epoch.
const STALL_TIMEOUT_MS: u64 = 600;

/// A message from a proposer to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The replica node to which the message is sent.
    pub to: NodeId,
    /// The message to the replica.
    pub message: Message,
}

/// The phase of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for the promises of a majority.
    Preparing,
    /// A majority has promised the epoch; the proposer writes entries.
    Leading,
    /// A higher epoch exists or the epoch was abandoned; nothing more is written.
    Fenced,
}

/// The state of one replica in the current epoch, as far as the proposer knows it.
#[derive(Clone, Debug, Default)]
struct Follower {
    /// The identifier of the replica's disk, as the replica's promise states it; none before the promise.
    store: Option<u64>,
    /// Number of leading entries that are the same in the replica's copy and in the adopted copy.
    shared_entries: usize,
    /// The replica's promise with its copy of the history, until the proposer adopts a copy.
    promise: Option<Promise>,
    /// Whether the replica has stored the first accept message of this epoch.
    epoch_started: bool,
    /// Number of entries that the replica has stored in this epoch.
    stored_entries: usize,
    /// The last confirmation round that the replica has answered.
    answered_round: u32,
}

/// Writes one program's history to its replicas.
#[derive(Clone, Debug)]
pub struct Proposer {
    node: NodeId,
    guards: Guards,
    program: ProgramId,
    epoch: Epoch,
    phase: Phase,
    followers: BTreeMap<NodeId, Follower>,
    entries: Vec<Entry>,
    committed: usize,
    round: u32,
    highest_seen_epoch: Epoch,
    last_progress_at: Millis,
    last_sent_at: Millis,
}

impl Proposer {
    /// A proposer that has not prepared an epoch yet. The node must never have used `term` before.
    pub fn new(node: NodeId, term: u64, guards: Guards, program: ProgramId, replicas: &[NodeId], now: Millis) -> Self {
        let followers = replicas.iter().map(|replica| (*replica, Follower::default())).collect();
        Self {
            node,
            guards,
            program,
            epoch: Epoch::default().next_for(node, term),
            phase: Phase::Preparing,
            followers,
            entries: Vec::new(),
            committed: 0,
            round: 0,
            highest_seen_epoch: Epoch::default(),
            last_progress_at: now,
            last_sent_at: now,
        }
    }

    /// Returns the phase of the proposer in its current epoch.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The epoch that is being prepared or was promised.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// All entries of the history, committed or not.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The number of leading entries that a majority has on disk.
    pub fn committed(&self) -> usize {
        self.committed
    }

    /// Requests a promise from every replica.
    pub fn prepare(&mut self, now: Millis) -> Vec<Send> {
        self.last_sent_at = now;
        let message = Message::Prepare(Prepare { program: self.program, epoch: self.epoch });
        self.followers.keys().map(|to| Send { to: *to, message: message.clone() }).collect()
    }

    /// Prepares an epoch above all epochs seen.
    fn prepare_higher_epoch(&mut self, now: Millis) -> Vec<Send> {
        self.round = 0;
        self.epoch = self.epoch.max(self.highest_seen_epoch).next_for(self.node, self.epoch.term);
        self.phase = Phase::Preparing;
        self.last_progress_at = now;
        for follower in self.followers.values_mut() {
            *follower = Follower::default();
        }
        self.prepare(now)
    }

    /// Handles a replica's promise. Once a majority has promised, the proposer adopts the copy with the highest
    /// accepted epoch (the longest of several such copies) and enters [`Phase::Leading`]. It then writes the entries of
    /// that copy again under its own epoch.
    pub fn on_promise(&mut self, from: NodeId, promise: Promise, now: Millis) -> Vec<Send> {
        self.highest_seen_epoch = self.highest_seen_epoch.max(promise.log.promised);
        if self.phase == Phase::Fenced || promise.epoch != self.epoch {
            return Vec::new();
        }
        if promise.log.promised != self.epoch {
            if self.phase == Phase::Preparing && promise.log.promised > self.epoch {
                return self.prepare_higher_epoch(now);
            }
            return Vec::new();
        }
        let Some(follower) = self.followers.get_mut(&from) else { return Vec::new() };
        follower.store = Some(promise.store);
        if self.phase == Phase::Leading {
            follower.shared_entries = shared_prefix(&self.entries, &promise.log.entries);
            return self.accept_message_for(from).into_iter().collect();
        }
        follower.promise = Some(promise);
        let promises = self.followers.values().filter(|follower| follower.promise.is_some()).count();
        if promises < self.votes_needed() {
            return Vec::new();
        }
        self.become_leader(now)
    }

    fn votes_needed(&self) -> usize {
        if self.guards.is_active(Guard::Quorum) {
            majority(self.followers.len())
        } else {
            1
        }
    }

    fn become_leader(&mut self, now: Millis) -> Vec<Send> {
        let copies = self.followers.values().filter_map(|follower| follower.promise.as_ref());
        let best = copies.max_by_key(|promise| (promise.log.accepted, promise.log.entries.len()));
        self.entries = best.map(|promise| promise.log.entries.clone()).unwrap_or_default();
        for follower in self.followers.values_mut() {
            if let Some(promise) = follower.promise.take() {
                follower.shared_entries = shared_prefix(&self.entries, &promise.log.entries);
            }
        }
        self.phase = Phase::Leading;
        self.committed = 0;
        self.last_progress_at = now;
        self.accept_messages(now)
    }

    /// Appends entries and sends them to the replicas. Only while leading.
    pub fn append(&mut self, entries: Vec<Entry>, now: Millis) -> Vec<Send> {
        debug_assert_eq!(self.phase, Phase::Leading);
        if self.committed == self.entries.len() {
            self.last_progress_at = now;
        }
        self.entries.extend(entries);
        self.accept_messages(now)
    }

    /// Returns the accept messages for all replicas that are missing entries or have not answered the current round.
    fn accept_messages(&mut self, now: Millis) -> Vec<Send> {
        self.last_sent_at = now;
        let followers: Vec<NodeId> = self.followers.keys().copied().collect();
        followers.into_iter().filter_map(|to| self.accept_message_for(to)).collect()
    }

    /// Asks the replicas to confirm that no higher epoch has replaced this one. Returns the number of the confirmation
    /// round, which is complete once [`Proposer::confirmed_round`] has reached it. Only while leading.
    pub fn start_confirmation(&mut self, now: Millis) -> (u32, Vec<Send>) {
        if self.is_quiescent() {
            self.last_progress_at = now;
        }
        self.round += 1;
        (self.round, self.accept_messages(now))
    }

    /// The last confirmation round that a majority has answered in this epoch.
    pub fn confirmed_round(&self) -> u32 {
        let mut answered: Vec<u32> = self.followers.values().map(|follower| follower.answered_round).collect();
        answered.sort_unstable_by_key(|round| std::cmp::Reverse(*round));
        answered.get(self.votes_needed() - 1).copied().unwrap_or(0)
    }

    /// The accept message with the entries that `to` is missing; none if it has all entries and has answered the
    /// current round, or has not promised this epoch.
    fn accept_message_for(&self, to: NodeId) -> Option<Send> {
        let follower = self.followers.get(&to)?;
        follower.store?;
        let from = if follower.epoch_started { follower.stored_entries } else { follower.shared_entries };
        let has_all = from >= self.entries.len() && (follower.epoch_started || self.entries.is_empty());
        if has_all && follower.answered_round >= self.round {
            return None;
        }
        let accept = Accept {
            program: self.program,
            epoch: self.epoch,
            from_index: from as u32,
            round: self.round,
            starts_epoch: u8::from(!follower.epoch_started),
            stores: self.known_stores(),
            entries: self.entries[from..].to_vec(),
        };
        Some(Send { to, message: Message::Accept(accept) })
    }

    fn known_stores(&self) -> Vec<KnownStore> {
        let known = self.followers.iter().filter_map(|(node, follower)| {
            let store = follower.store?;
            Some(KnownStore { node: *node, store })
        });
        known.collect()
    }

    /// Handles a replica's reply to an accept, which may raise [`Proposer::committed`].
    pub fn on_accept_reply(&mut self, from: NodeId, reply: AcceptReply, now: Millis) -> Vec<Send> {
        self.highest_seen_epoch = self.highest_seen_epoch.max(reply.promised);
        if self.phase != Phase::Leading || reply.epoch != self.epoch {
            return Vec::new();
        }
        let Some(follower) = self.followers.get_mut(&from) else { return Vec::new() };
        match reply.status {
            AcceptStatus::Stored => {
                follower.epoch_started = true;
                follower.stored_entries = follower.stored_entries.max(reply.length as usize);
                follower.answered_round = follower.answered_round.max(reply.round);
                self.advance_committed(now);
                Vec::new()
            }
            AcceptStatus::Fenced => {
                self.phase = Phase::Fenced;
                Vec::new()
            }
            AcceptStatus::Gap => {
                // The missing entries are sent with the next tick: resending at once on every gap could start an
                // endless exchange of messages.
                follower.epoch_started = reply.length > 0 && follower.epoch_started;
                Vec::new()
            }
            AcceptStatus::Unavailable => Vec::new(),
        }
    }

    fn advance_committed(&mut self, now: Millis) {
        let mut stored: Vec<usize> = self.followers.values().map(|follower| follower.stored_entries).collect();
        stored.sort_unstable_by_key(|length| std::cmp::Reverse(*length));
        let majority_length = stored.get(self.votes_needed() - 1).copied().unwrap_or(0);
        if majority_length > self.committed {
            self.committed = majority_length;
            self.last_progress_at = now;
        }
    }

    /// Whether the proposer leads, every entry is committed and every confirmation round is complete.
    pub fn is_quiescent(&self) -> bool {
        let committed = self.committed == self.entries.len();
        self.phase == Phase::Leading && committed && self.confirmed_round() >= self.round
    }

    /// Resends unanswered messages. Without progress for [`STALL_TIMEOUT_MS`], prepares a higher epoch or, while
    /// leading, abandons the epoch.
    pub fn tick(&mut self, now: Millis) -> Vec<Send> {
        if self.phase == Phase::Fenced || self.is_quiescent() || now.since(self.last_sent_at) < RESEND_DELAY_MS {
            return Vec::new();
        }
        let stalled = now.since(self.last_progress_at) >= STALL_TIMEOUT_MS;
        match self.phase {
            Phase::Preparing if stalled => self.prepare_higher_epoch(now),
            Phase::Preparing => self.prepare(now),
            _ if stalled => {
                self.phase = Phase::Fenced;
                Vec::new()
            }
            _ => self.accept_messages(now),
        }
    }
}

/// The number of leading entries that are equal in two copies.
fn shared_prefix(left: &[Entry], right: &[Entry]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}
