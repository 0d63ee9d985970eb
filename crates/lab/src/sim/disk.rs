//! A simulated disk. Finished writes survive a crash. Of the pending writes, the oldest survive; the caller chooses how
//! many.

use foxnotch_core::node::Disk;
use foxnotch_core::replica::{LogRecord, Record, StoredState};
use foxnotch_wire::{KnownStore, NodeId, ProgramId, ReplicaLog};
use std::collections::BTreeMap;

/// Records submitted for writing and not yet synchronised.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// Identifies the write.
    pub ticket: u64,
    /// The records of this write, in order.
    pub records: Vec<Record>,
}

/// One node's disk.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    /// Identity of the disk's content; an emptied disk gets a new one.
    store: u64,
    /// Whether the disk was initialised as a new replica's disk or its refill has finished.
    complete: bool,
    /// Identities of the other replicas' disks, as the node recorded them.
    peer_stores: BTreeMap<NodeId, u64>,
    logs: BTreeMap<ProgramId, ReplicaLog>,
    pending: Vec<PendingWrite>,
}

impl SimDisk {
    /// An initialised, complete and empty disk: a replica's disk in a new deployment.
    pub fn initialised(store: u64) -> Self {
        Self { store, complete: true, ..Self::default() }
    }

    /// Queues records for writing.
    pub fn queue_write(&mut self, write: PendingWrite) {
        self.pending.push(write);
    }

    /// Completes all pending writes up to and including a ticket.
    pub fn finish_writes(&mut self, ticket: u64) {
        while self.pending.first().is_some_and(|write| write.ticket <= ticket) {
            let write = self.pending.remove(0);
            self.write(write);
        }
    }

    /// Crashes the machine: the first `survivors` pending writes reach the disk, the others are lost.
    pub fn crash(&mut self, survivors: usize) {
        let pending = std::mem::take(&mut self.pending);
        for write in pending.into_iter().take(survivors) {
            self.write(write);
        }
    }

    /// The number of pending writes.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn write(&mut self, write: PendingWrite) {
        for record in write.records {
            match record {
                Record::Log(log) => self.write_log(log),
                Record::PeerStore(known) => {
                    self.peer_stores.insert(known.node, known.store);
                }
                Record::DropHistory(program) => {
                    self.logs.remove(&program);
                }
                Record::RefillComplete => self.complete = true,
            }
        }
    }

    fn write_log(&mut self, record: LogRecord) {
        let log = self.logs.entry(record.program).or_default();
        log.program = record.program;
        log.promised = record.promised;
        log.accepted = record.accepted;
        log.entries.truncate(record.from_index as usize);
        log.entries.extend(record.entries);
    }

    /// Returns the disk's content as a starting node reads it. A disk whose refill is not complete is emptied and gets
    /// `new_store` as its identity.
    pub fn start(&mut self, new_store: u64) -> Disk {
        if !self.complete {
            *self = Self { store: new_store, ..Self::default() };
            return Disk::Empty(new_store);
        }
        Disk::Recovered(StoredState {
            store: self.store,
            peer_stores: self
                .peer_stores
                .iter()
                .map(|(node, store)| KnownStore { node: *node, store: *store })
                .collect(),
            logs: self.logs.values().cloned().collect(),
        })
    }
}
