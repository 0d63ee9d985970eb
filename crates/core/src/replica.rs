//! A replica of program histories.
//!
//! Invariants: each reply is returned together with the record that it depends on, and is sent only once the record is
//! on disk. A replica stores no entry of an epoch lower than the highest one it has promised.

use crate::guard::{Guard, Guards};
use foxnotch_wire::{
    Accept, AcceptReply, AcceptStatus, Entry, Epoch, KnownStore, NodeId, Prepare, ProgramId, Promise, RefillPage,
    RefillRequest, ReplicaLog,
};
use std::collections::BTreeMap;

/// Bytes of entries after which a refill page ends; the last history in the page may exceed this limit.
const MAX_REFILL_PAGE_BYTES: usize = 1024 * 1024;
/// Maximum number of histories in one refill page.
const MAX_REFILL_PAGE_HISTORIES: usize = 64;

/// A change that has to be on disk before the reply that depends on it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A change to one history.
    Log(LogRecord),
    /// Another replica has started with a new disk.
    PeerStore(KnownStore),
    /// A history whose retention time has passed is deleted.
    DropHistory(ProgramId),
    /// All histories have been refilled, so the replica on this disk may vote.
    RefillComplete,
}

/// A change to one history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The program whose history changes.
    pub program: ProgramId,
    /// The highest epoch that the replica has promised.
    pub promised: Epoch,
    /// The epoch under which the entries were written.
    pub accepted: Epoch,
    /// Index from which on the stored entries are replaced by `entries`.
    pub from_index: u32,
    /// The entries to store from `from_index` on.
    pub entries: Vec<Entry>,
}

/// The content of a replica's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The identifier of the disk; each empty disk gets a new one.
    pub store: u64,
    /// The current disks of the other replicas. Contains only replicas that have replaced their disk.
    pub peer_stores: Vec<KnownStore>,
    /// All histories on the disk, one per program.
    pub logs: Vec<ReplicaLog>,
}

/// Whether the replica votes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Mode {
    Voting,
    /// The replica fetches histories from the other replicas in `pending`; the value is the last program received from
    /// each, none before its first page.
    Refilling {
        pending: BTreeMap<NodeId, Option<ProgramId>>,
    },
}

/// A refill request and its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefillSend {
    /// The replica from which histories are requested.
    pub to: NodeId,
    /// The request for the next page of histories.
    pub request: RefillRequest,
}

/// The replica of a node: the histories that it stores.
#[derive(Clone, Debug)]
pub struct Replica {
    guards: Guards,
    mode: Mode,
    disk_full: bool,
    /// The identifier of the disk.
    store: u64,
    /// The identifiers of the current disks of the other replicas. Contains only replicas that have replaced their
    /// disk.
    peer_stores: BTreeMap<NodeId, u64>,
    logs: BTreeMap<ProgramId, ReplicaLog>,
}

impl Replica {
    /// A replica that starts with the state read from its disk.
    pub fn recovered(guards: Guards, stored: StoredState) -> Self {
        let logs = stored.logs.into_iter().map(|log| (log.program, log)).collect();
        let peer_stores = stored.peer_stores.into_iter().map(|known| (known.node, known.store)).collect();
        Self { guards, mode: Mode::Voting, disk_full: false, store: stored.store, peer_stores, logs }
    }

    /// A replica whose disk is new and empty. It votes only once all `others` have sent their histories: every majority
    /// that included the lost disk includes at least one of them.
    pub fn refilling(guards: Guards, others: &[NodeId], store: u64) -> Self {
        let mode = Mode::Refilling { pending: others.iter().map(|other| (*other, None)).collect() };
        let mode = if guards.is_active(Guard::RefillVote) && !others.is_empty() { mode } else { Mode::Voting };
        Self { guards, mode, disk_full: false, store, peer_stores: BTreeMap::new(), logs: BTreeMap::new() }
    }

    /// Whether the replica votes.
    pub fn is_voting(&self) -> bool {
        self.mode == Mode::Voting
    }

    /// Sets whether the disk is full. While it is, the replica stores nothing and answers accepts with
    /// [`AcceptStatus::Unavailable`].
    pub fn set_disk_full(&mut self, disk_full: bool) {
        self.disk_full = disk_full;
    }

    /// Returns the stored history of `program`; none if the replica stores none.
    pub fn history(&self, program: ProgramId) -> Option<&ReplicaLog> {
        self.logs.get(&program)
    }

    /// Returns all stored histories.
    pub fn histories(&self) -> impl Iterator<Item = &ReplicaLog> {
        self.logs.values()
    }

    /// Deletes a history whose retention time has passed.
    pub fn drop_history(&mut self, program: ProgramId) -> Record {
        self.logs.remove(&program);
        Record::DropHistory(program)
    }

    /// Answers a prepare. The replica grants it unless it has promised a higher epoch; a refusal states that epoch and
    /// contains no entries. Exactly one takeover uses an epoch, so a repeated prepare of the same epoch is granted
    /// again, with the current copy of the history. Returns none while the replica is refilling or its disk is full.
    pub fn prepare(&mut self, prepare: Prepare) -> Option<(Promise, Option<Record>)> {
        if !self.is_voting() || self.disk_full {
            return None;
        }
        let log = self.logs.entry(prepare.program).or_insert_with(|| empty_log(prepare.program));
        let granted = prepare.epoch >= log.promised || !self.guards.is_active(Guard::FencingEpoch);
        if !granted {
            let refused = ReplicaLog { entries: Vec::new(), ..log.clone() };
            return Some((Promise { epoch: prepare.epoch, store: self.store, log: refused }, None));
        }
        log.promised = prepare.epoch;
        let record = promise_record(log);
        Some((Promise { epoch: prepare.epoch, store: self.store, log: log.clone() }, Some(record)))
    }

    /// Answers an accept. Stores the entries, unless this replica is refilling, its disk is full, it has promised a
    /// higher epoch, the owner counts the vote of a disk that has been replaced, or earlier entries are missing.
    pub fn accept(&mut self, accept: Accept) -> (AcceptReply, Option<Record>) {
        let program = accept.program;
        let reply = |status, length: usize, promised| AcceptReply {
            program,
            epoch: accept.epoch,
            round: accept.round,
            status,
            length: length as u32,
            promised,
        };
        if !self.is_voting() || self.disk_full {
            return (reply(AcceptStatus::Unavailable, 0, Epoch::default()), None);
        }
        let counts_replaced_disk = self.counts_replaced_disk(&accept.stores);
        let log = self.logs.entry(program).or_insert_with(|| empty_log(program));
        let fenced = accept.epoch < log.promised || counts_replaced_disk;
        if fenced && self.guards.is_active(Guard::FencingEpoch) {
            return (reply(AcceptStatus::Fenced, log.entries.len(), log.promised), None);
        }
        let from = accept.from_index as usize;
        let same_epoch = accept.epoch == log.accepted;
        if from > log.entries.len() || (!same_epoch && accept.starts_epoch == 0) {
            let length = if same_epoch { log.entries.len() } else { 0 };
            return (reply(AcceptStatus::Gap, length, log.promised), None);
        }
        if same_epoch && from + accept.entries.len() <= log.entries.len() {
            return (reply(AcceptStatus::Stored, log.entries.len(), log.promised), None);
        }
        log.promised = log.promised.max(accept.epoch);
        log.accepted = accept.epoch;
        log.entries.truncate(from);
        log.entries.extend(accept.entries.iter().cloned());
        let record = Record::Log(LogRecord {
            program,
            promised: log.promised,
            accepted: log.accepted,
            from_index: accept.from_index,
            entries: accept.entries,
        });
        (reply(AcceptStatus::Stored, log.entries.len(), log.promised), Some(record))
    }

    /// Whether `stores`, the disks whose votes an owner counts, contains a disk that has been replaced since.
    fn counts_replaced_disk(&self, stores: &[KnownStore]) -> bool {
        stores.iter().any(|known| self.peer_stores.get(&known.node).is_some_and(|store| *store != known.store))
    }

    /// The refill requests to send to the other replicas; none if the replica votes.
    pub fn refill_requests(&self) -> Vec<RefillSend> {
        let Mode::Refilling { pending } = &self.mode else { return Vec::new() };
        let send = |(to, after): (&NodeId, &Option<ProgramId>)| {
            let first = u8::from(after.is_none());
            let after = after.unwrap_or_default();
            RefillSend { to: *to, request: RefillRequest { store: self.store, first, after } }
        };
        pending.iter().map(send).collect()
    }

    /// Answers another replica's refill request with a page of histories. From then on this replica refuses every owner
    /// that counts a vote of the disk that the other replica has lost. Once the returned record is on this replica's
    /// disk, no entry can reach a majority with a vote of the lost disk.
    pub fn serve_refill(&mut self, from: NodeId, request: RefillRequest) -> Option<(RefillPage, Record)> {
        if !self.is_voting() || self.disk_full {
            return None;
        }
        self.peer_stores.insert(from, request.store);
        let mut page = RefillPage { store: request.store, last: 1, logs: Vec::new() };
        let mut bytes = 0;
        for (program, log) in &self.logs {
            if request.first == 0 && *program <= request.after {
                continue;
            }
            if page.logs.len() == MAX_REFILL_PAGE_HISTORIES || bytes > MAX_REFILL_PAGE_BYTES {
                page.last = 0;
                break;
            }
            bytes += log.entries.iter().map(entry_text_bytes).sum::<usize>();
            page.logs.push(log.clone());
        }
        Some((page, Record::PeerStore(KnownStore { node: from, store: request.store })))
    }

    /// Applies one page of another replica's histories. The records have to be on disk before the replica votes.
    pub fn apply_refill_page(&mut self, from: NodeId, page: RefillPage) -> Vec<Record> {
        let Mode::Refilling { pending } = &mut self.mode else { return Vec::new() };
        if page.store != self.store || !pending.contains_key(&from) {
            return Vec::new();
        }
        if page.last == 1 {
            pending.remove(&from);
        } else if let Some(log) = page.logs.last() {
            pending.insert(from, Some(log.program));
        }
        let complete = pending.is_empty();
        let mut records: Vec<Record> = page.logs.into_iter().map(|log| self.merge_copy(log)).collect();
        if complete {
            self.mode = Mode::Voting;
            records.push(Record::RefillComplete);
        }
        records
    }

    /// Merges a received copy into the stored one. The copy with the higher accepted epoch wins, at equal epochs the
    /// longer one. The higher promised epoch of the two is stored.
    fn merge_copy(&mut self, offered: ReplicaLog) -> Record {
        let log = self.logs.entry(offered.program).or_insert_with(|| empty_log(offered.program));
        log.promised = log.promised.max(offered.promised);
        if (offered.accepted, offered.entries.len()) > (log.accepted, log.entries.len()) {
            log.accepted = offered.accepted;
            log.entries = offered.entries;
        }
        Record::Log(LogRecord {
            program: log.program,
            promised: log.promised,
            accepted: log.accepted,
            from_index: 0,
            entries: log.entries.clone(),
        })
    }
}

/// The record of a promise, which changes no entries.
fn promise_record(log: &ReplicaLog) -> Record {
    Record::Log(LogRecord {
        program: log.program,
        promised: log.promised,
        accepted: log.accepted,
        from_index: log.entries.len() as u32,
        entries: Vec::new(),
    })
}

fn empty_log(program: ProgramId) -> ReplicaLog {
    ReplicaLog { program, ..ReplicaLog::default() }
}

/// The size of an entry's text fields, in bytes.
fn entry_text_bytes(entry: &Entry) -> usize {
    match entry {
        Entry::Opened(opened) => opened.tenant.len() + opened.instance.len() + opened.key.len(),
        Entry::BranchOpened(opened) => opened.key.len(),
        Entry::Dispatched(dispatched) => dispatched.input.len(),
        Entry::Answered(answered) => answered.output.len(),
        Entry::Closed(_) => 0,
    }
}
