//! The turns of a replica: in memory to answer requests, and written to disk before they are acknowledged.

use crate::clock::SteadyClock;
use crate::locks::lock;
use crate::logging::part;
use crate::replica::disk::{Disk, DiskError};
use foxnotch_turns::ledger::Ledger;
use foxnotch_turns::segment::Record;
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{
    Chain, Entries, FetchEntries, Marks, ProgramKey, RegionId, ReplicaReport, Stored, TurnEntry, TurnId, TurnMark,
};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Maximum number of bytes of text in one answer that has several entries. It is well below the size limit of a
/// message.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// The arguments of [`TurnStore::new`], except the ledger.
pub struct TurnStoreParts {
    /// The replica's zone, as a hash of the zone's name.
    pub zone: u32,
    /// The region of each zone, which decides whether text restricted to regions may be stored here.
    pub regions: ZoneRegions,
    /// The clock by which turns expire.
    pub clock: SteadyClock,
    /// The handle for writes to the replica's disk.
    pub disk: Disk,
    /// Number of bytes of memory that the turns may need.
    pub memory_limit: usize,
}

/// The turns that a replica stores.
pub struct TurnStore {
    zone: u32,
    regions: ZoneRegions,
    clock: SteadyClock,
    disk: Disk,
    memory_limit: usize,
    ledger: Mutex<Ledger>,
    /// The number of entries sent to replicas that were missing them, since the start of the process.
    entries_sent: AtomicU64,
}

impl TurnStore {
    /// Creates the store from the entries that were read from disk.
    pub fn new(parts: TurnStoreParts, ledger: Ledger) -> Self {
        let TurnStoreParts { zone, regions, clock, disk, memory_limit } = parts;
        let ledger = Mutex::new(ledger);
        Self { zone, regions, clock, disk, memory_limit, ledger, entries_sent: AtomicU64::new(0) }
    }

    /// The replica's zone, as a hash of the zone's name.
    pub fn zone(&self) -> u32 {
        self.zone
    }

    /// The region of each zone, which decides whether text restricted to regions may be stored here.
    pub fn regions(&self) -> &ZoneRegions {
        &self.regions
    }

    /// Whether the turns exceed the memory limit.
    pub fn is_full(&self) -> bool {
        lock(&self.ledger).memory_bytes() > self.memory_limit
    }

    /// The number of turns whose text may be stored by this replica but is only on other replicas.
    pub fn missing_text_count(&self) -> usize {
        lock(&self.ledger).missing_text_count()
    }

    /// Whether any turn is stored whose text is restricted to regions.
    pub fn has_restricted_texts(&self) -> bool {
        lock(&self.ledger).has_restricted_text()
    }

    /// The region lists to which texts stored here are restricted, each list once.
    pub fn region_lists_of_restricted_texts(&self) -> BTreeSet<Vec<RegionId>> {
        lock(&self.ledger).region_lists_of_restricted_texts()
    }

    /// Whether an entry may be stored by this replica with its text.
    pub fn may_store_with_text(&self, entry: &TurnEntry) -> bool {
        entry.record.is_empty() || self.regions.may_store_text(self.zone, entry.regions())
    }

    /// Removes an entry's text if the text is restricted to regions other than this replica's, so that the text never
    /// reaches this disk.
    fn without_forbidden_text(&self, entry: TurnEntry) -> TurnEntry {
        if self.may_store_with_text(&entry) {
            return entry;
        }
        log::warn!(
            target: part::REPLICA,
            "The text of a turn is restricted to other regions, so this replica stores the turn without its text: \
             turn={} regions={:?}; check that the setting regions is the same on all nodes.",
            entry.turn,
            entry.regions(),
        );
        entry.without_text()
    }

    /// Writes entries to disk, then merges them into the turns in memory.
    ///
    /// # Errors
    /// [`DiskError`]; then nothing was merged.
    pub async fn store(&self, entries: Vec<TurnEntry>) -> Result<(), DiskError> {
        let entries: Vec<TurnEntry> = entries.into_iter().map(|entry| self.without_forbidden_text(entry)).collect();
        let records = entries.iter().cloned().map(Record::Entry).collect();
        self.disk.write(records).await?;
        let now = self.clock.now();
        let mut ledger = lock(&self.ledger);
        for entry in entries {
            ledger.add_entry(entry, now);
        }
        Ok(())
    }

    /// Summaries of the stored turns, one for each turn. By these marks, another replica finds the entries that it is
    /// missing.
    pub fn marks(&self) -> Vec<TurnMark> {
        lock(&self.ledger).marks()
    }

    /// The turns of which another replica, according to its marks, has stored more than this one.
    pub fn turns_to_pull(&self, marks: &Marks) -> Vec<TurnId> {
        lock(&self.ledger).turns_to_pull(&marks.marks)
    }

    /// The number of stored turns, and the bytes of their texts.
    pub fn turn_count_and_text_bytes(&self) -> (usize, usize) {
        let ledger = lock(&self.ledger);
        (ledger.len(), ledger.text_bytes())
    }

    /// The number of entries sent to replicas that were missing them, since the start of the process.
    pub fn entries_sent(&self) -> u64 {
        self.entries_sent.load(Ordering::Relaxed)
    }

    /// Removes from memory the programs whose retention time has passed, and from disk the segments that hold no entry
    /// of a remaining program.
    pub fn remove_expired_programs(&self) {
        let mut ledger = lock(&self.ledger);
        if ledger.remove_expired_programs(self.clock.now()) > 0 {
            self.disk.retain_programs(ledger.programs());
        }
    }

    /// The tokens that each of a program's turns charges to the program's budget, and where the turns ran.
    pub fn program_charges(&self, program: ProgramKey, report: ReplicaReport) -> Stored {
        let ledger = lock(&self.ledger);
        Stored { report, charges: ledger.charges(program), run_locations: ledger.run_locations(program) }
    }

    /// The records of the turns that lead to `turn`: from `turn` back to the start of its chain, or to the first record
    /// that is not stored here.
    pub fn chain(&self, turn: TurnId, report: ReplicaReport) -> Chain {
        let ledger = lock(&self.ledger);
        let elsewhere = u8::from(ledger.has_record_elsewhere(turn));
        Chain { report, links: ledger.chain(turn), elsewhere }
    }

    /// The entries that another replica requests, as many as fit in one answer, without text that may not be stored in
    /// its zone.
    pub fn entries_for(&self, request: &FetchEntries) -> Entries {
        let ledger = lock(&self.ledger);
        let mut entries = Vec::new();
        let mut bytes = 0;
        for stored in request.turns.iter().filter_map(|turn| ledger.entry(*turn)) {
            let may_carry = self.regions.may_store_text(request.zone, stored.regions());
            let entry = if may_carry { stored.clone() } else { stored.without_text() };
            bytes += entry.text_bytes();
            if !entries.is_empty() && bytes > MAX_PAGE_BYTES {
                break;
            }
            entries.push(entry);
        }
        self.entries_sent.fetch_add(entries.len() as u64, Ordering::Relaxed);
        Entries { entries }
    }
}
