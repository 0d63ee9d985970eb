//! A ledger that holds the records of turns in memory.

use super::{StoredRecord, TurnLedger};
use crate::chain::NO_TURN;
use foxnotch_membership::Millis;
use foxnotch_wire::{ChainLink, TurnEntry, TurnId, TurnRecord};

/// A ledger that holds the records of turns in memory.
pub type Ledger = TurnLedger<TurnRecord>;

impl StoredRecord for TurnRecord {
    fn record_bytes(&self) -> usize {
        self.text_bytes()
    }
}

impl Ledger {
    /// Merges an entry with the stored entry of the same turn, and postpones the expiry of the entry's program.
    pub fn add_entry(&mut self, entry: TurnEntry, now: Millis) {
        let record = entry.record.first().cloned();
        self.add(&entry, record, now);
    }

    /// The merged entry of a turn, if one is stored.
    pub fn entry(&self, turn: TurnId) -> Option<TurnEntry> {
        let record = self.record(turn).cloned().into_iter().collect();
        Some(TurnEntry { record, ..self.entry_without_record(turn)? })
    }

    /// The records of `newest` and of the turns that it continues, newest first. The list ends at the start of the
    /// chain, or before the first turn whose record is missing.
    pub fn chain(&self, newest: TurnId) -> Vec<ChainLink> {
        let mut links = Vec::new();
        let mut next = newest;
        while next != NO_TURN {
            let Some(record) = self.record(next) else { break };
            links.push(ChainLink { turn: next, record: record.clone() });
            next = record.previous;
        }
        links
    }
}
