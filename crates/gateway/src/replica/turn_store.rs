//! The turns of a replica: written to disk before they are acknowledged, with an index in memory.
//!
//! The memory does not hold the texts of turns; they are read from the disk when they are asked for.

use crate::clock::SteadyClock;
use crate::locks::lock;
use crate::logging::part;
use crate::replica::disk::{Disk, DiskError, RecordLocation};
use foxnotch_turns::chain::NO_TURN;
use foxnotch_turns::ledger::TurnLedger;
use foxnotch_turns::segment::Record;
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{
    Chain, ChainLink, Entries, FetchEntries, Marks, ProgramKey, RegionId, ReplicaReport, Stored, TurnEntry, TurnId,
    TurnMark, TurnRecord,
};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Semaphore;

/// Maximum number of bytes of text in one answer that has several entries. It is well below the size limit of a
/// message.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// The most threads that read the disk at the same time.
const CONCURRENT_READS: usize = 4;

/// The ledger of a replica, with the place on disk of each record.
pub type TurnIndex = TurnLedger<RecordLocation>;

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
    ledger: Mutex<TurnIndex>,
    /// The programs of entries that are being written, one item for each entry.
    writing: Mutex<Vec<ProgramKey>>,
    /// Limits the threads that read the disk.
    reading: Semaphore,
    /// The number of entries sent to replicas that were missing them, since the start of the process.
    entries_sent: AtomicU64,
}

impl TurnStore {
    /// Creates the store from the entries that were read from disk.
    pub fn new(parts: TurnStoreParts, ledger: TurnIndex) -> Self {
        let TurnStoreParts { zone, regions, clock, disk, memory_limit } = parts;
        Self {
            zone,
            regions,
            clock,
            disk,
            memory_limit,
            ledger: Mutex::new(ledger),
            writing: Mutex::default(),
            reading: Semaphore::new(CONCURRENT_READS),
            entries_sent: AtomicU64::new(0),
        }
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

    /// Writes entries to disk, then merges them into the ledger.
    ///
    /// # Errors
    /// [`DiskError`]; then nothing was merged.
    pub async fn store(&self, entries: Vec<TurnEntry>) -> Result<(), DiskError> {
        let entries: Vec<TurnEntry> = entries.into_iter().map(|entry| self.without_forbidden_text(entry)).collect();
        let _writing = self.begin_write(&entries);
        let records = entries.iter().cloned().map(Record::Entry).collect();
        let locations = self.disk.write(records).await?;
        let now = self.clock.now();
        let mut ledger = lock(&self.ledger);
        for (entry, location) in entries.iter().zip(locations) {
            ledger.add(entry, entry.record.first().map(|_| location), now);
        }
        Ok(())
    }

    /// Keeps the segments with these entries until the returned value is dropped: before the entries are in the ledger,
    /// nothing else tells that their programs are stored.
    fn begin_write(&self, entries: &[TurnEntry]) -> WriteInProgress<'_> {
        let programs: Vec<ProgramKey> = entries.iter().map(|entry| entry.program).collect();
        lock(&self.writing).extend(&programs);
        WriteInProgress { store: self, programs }
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

    /// The number of stored turns, and the bytes of their records on disk.
    pub fn turn_count_and_record_bytes(&self) -> (usize, usize) {
        let ledger = lock(&self.ledger);
        (ledger.len(), ledger.record_bytes())
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
            let mut programs = ledger.programs();
            programs.extend(lock(&self.writing).iter());
            self.disk.retain_programs(programs);
        }
    }

    /// The tokens that each of a program's turns charges to the program's budget, and where the turns ran.
    pub fn program_charges(&self, program: ProgramKey, report: ReplicaReport) -> Stored {
        let ledger = lock(&self.ledger);
        Stored { report, charges: ledger.charges(program), run_locations: ledger.run_locations(program) }
    }

    /// The records of the turns that lead to `turn`: from `turn` back to the start of its chain, or to the first record
    /// that is not stored here or cannot be read.
    pub async fn chain(self: &Arc<Self>, turn: TurnId, report: ReplicaReport) -> Chain {
        let elsewhere = lock(&self.ledger).has_record_elsewhere(turn);
        let (links, is_readable) = self.run_reading(move |store| store.read_chain(turn)).await;
        // A turn whose record cannot be read is not denied.
        Chain { report, links, elsewhere: u8::from(elsewhere || !is_readable) }
    }

    /// Reads a chain, newest turn first, and whether all records were readable.
    fn read_chain(&self, newest: TurnId) -> (Vec<ChainLink>, bool) {
        let mut links = Vec::new();
        let mut next = newest;
        while next != NO_TURN {
            let Some(location) = lock(&self.ledger).record(next).copied() else { break };
            let Some(record) = self.read_record(next, location) else { return (links, false) };
            let turn = std::mem::replace(&mut next, record.previous);
            links.push(ChainLink { turn, record });
        }
        (links, true)
    }

    /// Reads the record of a turn. Logs an error and returns none.
    fn read_record(&self, turn: TurnId, location: RecordLocation) -> Option<TurnRecord> {
        match self.disk.read(location) {
            Ok(Record::Entry(entry)) if entry.turn == turn => entry.record.into_iter().next(),
            Ok(_) => {
                log::warn!(target: part::DISK, "The record of turn {turn} is not where it was written.");
                None
            }
            Err(error) => {
                log::warn!(target: part::DISK, "The record of turn {turn} is not sent: {error}.");
                None
            }
        }
    }

    /// Runs a function that reads the disk, a few at a time, outside of the threads that serve requests.
    async fn run_reading<T: Send + 'static>(self: &Arc<Self>, read: impl FnOnce(&Self) -> T + Send + 'static) -> T {
        let _permit = self.reading.acquire().await;
        let store = self.clone();
        match tokio::task::spawn_blocking(move || read(&store)).await {
            Ok(result) => result,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    /// The entries that another replica requests, as many as fit in one answer, without text that may not be stored in
    /// its zone.
    pub async fn entries_for(self: &Arc<Self>, request: FetchEntries) -> Entries {
        let entries = self.run_reading(move |store| store.read_entries(&request)).await;
        self.entries_sent.fetch_add(entries.len() as u64, Ordering::Relaxed);
        Entries { entries }
    }

    fn read_entries(&self, request: &FetchEntries) -> Vec<TurnEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for turn in &request.turns {
            let Some((entry, location)) = self.entry_and_location(*turn) else { continue };
            let record = location.and_then(|location| self.read_record(*turn, location));
            let entry = TurnEntry { record: record.into_iter().collect(), ..entry };
            let may_carry = self.regions.may_store_text(request.zone, entry.regions());
            let entry = if may_carry { entry } else { entry.without_text() };
            bytes += entry.text_bytes();
            if !entries.is_empty() && bytes > MAX_PAGE_BYTES {
                break;
            }
            entries.push(entry);
        }
        entries
    }

    fn entry_and_location(&self, turn: TurnId) -> Option<(TurnEntry, Option<RecordLocation>)> {
        let ledger = lock(&self.ledger);
        Some((ledger.entry_without_record(turn)?, ledger.record(turn).copied()))
    }
}

/// Entries that are being written, and not yet in the ledger.
struct WriteInProgress<'a> {
    store: &'a TurnStore,
    programs: Vec<ProgramKey>,
}

impl Drop for WriteInProgress<'_> {
    fn drop(&mut self) {
        let mut writing = lock(&self.store.writing);
        for program in &self.programs {
            if let Some(index) = writing.iter().position(|writing| writing == program) {
                writing.swap_remove(index);
            }
        }
    }
}
