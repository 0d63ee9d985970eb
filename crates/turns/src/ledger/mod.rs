//! The ledger of a replica: the entries of all programs whose retention has not expired.
//!
//! The ledger merges all entries of one turn, and never reverts a settlement (the number of tokens that the turn used)
//! or a record (its input and output). It drops a program with all of its turns at once. A write to a program postpones
//! the expiry of that program, and of all programs that it continues, until the retention of the written program has
//! passed. What the ledger holds does not depend on the order in which entries are added.
//!
//! A ledger holds a value of type `R` for each record: the record itself ([`Ledger`]), or where it is stored, so that
//! the memory of a replica does not grow with the length of texts.

mod entry_table;
mod in_memory;

pub use in_memory::Ledger;

use crate::zone_regions::ZoneRegions;
use entry_table::{EntryIndex, EntryTable, RegionListIndex, StoredEntry};
use foxnotch_membership::Millis;
use foxnotch_wire::{
    ProgramKey, RecordElsewhere, RegionId, RunLocation, TurnCharge, TurnEntry, TurnId, TurnMark, NOT_SETTLED,
    RECORD_ELSEWHERE, RECORD_HERE, RECORD_UNKNOWN,
};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Milliseconds by which a program is stored longer than requested: the retention that the caller measures starts later
/// than the retention that the replica measures.
const RETENTION_MARGIN_MS: u64 = 15_000;
/// Approximate number of bytes that a program needs besides its entries.
const PROGRAM_BYTES: usize = 128;

/// What a ledger holds for the record of a turn.
pub trait StoredRecord {
    /// The size of the record, in bytes.
    fn record_bytes(&self) -> usize;
}

/// The turns of a program, and the time at which the program expires.
#[derive(Clone, Debug, Default)]
struct StoredProgram {
    /// The first of the program's entries.
    first: Option<EntryIndex>,
    /// Other programs that this program continues: they contain the previous turn of one of its turns.
    parents: Vec<ProgramKey>,
    /// The longest retention of the program's entries, in milliseconds, without [`RETENTION_MARGIN_MS`].
    retention_ms: u32,
    /// Time at which the program is dropped. A write to the program, or to one that continues it, postpones this time.
    expires_at: Millis,
}

/// The budget entries and turn records that one replica stores, with the time at which each program expires.
#[derive(Clone, Debug)]
pub struct TurnLedger<R> {
    /// The replica's zone, as a hash of its name.
    zone: u32,
    /// Decides which texts may be stored in `zone`.
    regions: ZoneRegions,
    entries: EntryTable<R>,
    programs: HashMap<ProgramKey, StoredProgram>,
    /// The records of turns that only other replicas store.
    elsewhere: HashMap<TurnId, RecordElsewhere>,
    /// Each list of regions that records are restricted to, once. The first one is empty.
    region_lists: Vec<Vec<RegionId>>,
    /// Programs with a turn that continues a turn without an entry, by that turn. The entry may still come.
    waiting_for: HashMap<TurnId, Vec<ProgramKey>>,
    /// Total size of all stored records, in bytes.
    record_bytes: usize,
}

impl<R> Default for TurnLedger<R> {
    fn default() -> Self {
        Self {
            zone: 0,
            regions: ZoneRegions::default(),
            entries: EntryTable::default(),
            programs: HashMap::new(),
            elsewhere: HashMap::new(),
            region_lists: vec![Vec::new()],
            waiting_for: HashMap::new(),
            record_bytes: 0,
        }
    }
}

impl<R: StoredRecord> TurnLedger<R> {
    /// Creates the empty ledger of a replica in a zone, given by the hash of its name. `regions` decides which texts
    /// may be stored in that zone.
    pub fn for_zone(zone: u32, regions: ZoneRegions) -> Self {
        Self { zone, regions, ..Self::default() }
    }

    /// Whether text that is restricted to these regions may be stored in the zone of this replica.
    fn may_store_text(&self, regions: &[RegionId]) -> bool {
        self.regions.may_store_text(self.zone, regions)
    }

    /// Merges an entry with the stored entry of the same turn, and postpones the expiry of the entry's program.
    /// `record` stands for the entry's record, if it has one.
    pub fn add(&mut self, entry: &TurnEntry, record: Option<R>, now: Millis) {
        self.merge_entry(entry, record);
        let stored = self.programs.entry(entry.program).or_default();
        stored.retention_ms = stored.retention_ms.max(entry.retention_ms);
        if let Some(previous) = entry.previous().filter(|previous| *previous != crate::chain::NO_TURN) {
            self.link_to_previous(entry.program, previous);
        }
        self.link_waiting_programs(entry);
        let retention = self.programs.get(&entry.program).map_or(0, |stored| u64::from(stored.retention_ms));
        self.extend_expiry(entry.program, now.plus(retention + RETENTION_MARGIN_MS));
    }

    /// Merges an entry with the stored entry of the same turn. The result has the largest reservation, the smallest
    /// usage and the first run location of both. It also has the record if either entry has it. If neither does, the
    /// result states that other replicas store the record if either entry states it.
    fn merge_entry(&mut self, entry: &TurnEntry, record: Option<R>) {
        let regions = self.region_list_index(entry.regions());
        if self.entries.get(entry.turn).is_none() {
            let program = self.programs.entry(entry.program).or_default();
            program.first = Some(self.entries.insert(StoredEntry::new(entry.turn, entry.program), program.first));
        }
        let Some(known) = self.entries.get_mut(entry.turn) else { return };
        known.reserved = known.reserved.max(entry.reserved);
        known.used = known.used.min(entry.used);
        known.set_run_location_if_none(entry.run_location);
        if known.record.is_none() && record.is_some() {
            self.record_bytes += record.as_ref().map_or(0, R::record_bytes);
            known.record = record;
            known.regions = regions;
            self.elsewhere.remove(&entry.turn);
        }
        if known.record.is_none() {
            if let Some(elsewhere) = &entry.elsewhere {
                known.regions = regions;
                self.elsewhere.entry(entry.turn).or_insert_with(|| elsewhere.clone());
            }
        }
    }

    fn region_list_index(&mut self, regions: &[RegionId]) -> RegionListIndex {
        let known = self.region_lists.iter().position(|list| list == regions);
        let index = known.unwrap_or_else(|| {
            self.region_lists.push(regions.to_vec());
            self.region_lists.len() - 1
        });
        RegionListIndex(u32::try_from(index).expect("few lists of regions are configured"))
    }

    /// Links a program to the program of the turn that one of its turns continues.
    fn link_to_previous(&mut self, program: ProgramKey, previous: TurnId) {
        match self.entries.get(previous).map(|entry| entry.program) {
            Some(parent) => self.add_parent(program, parent),
            None => {
                let waiting = self.waiting_for.entry(previous).or_default();
                if !waiting.contains(&program) {
                    waiting.push(program);
                }
            }
        }
    }

    /// Links the programs that continue the turn of an entry to the program of the entry, and stores the latter as long
    /// as them.
    fn link_waiting_programs(&mut self, entry: &TurnEntry) {
        for child in self.waiting_for.remove(&entry.turn).unwrap_or_default() {
            let Some(expires_at) = self.programs.get(&child).map(|stored| stored.expires_at) else { continue };
            self.add_parent(child, entry.program);
            self.extend_expiry(entry.program, expires_at);
        }
    }

    fn add_parent(&mut self, program: ProgramKey, parent: ProgramKey) {
        let Some(stored) = self.programs.get_mut(&program) else { return };
        if parent != program && !stored.parents.contains(&parent) {
            stored.parents.push(parent);
        }
    }

    /// Postpones the expiry of a program to `expires_at`, and that of all programs that it continues, so that none of
    /// them expires before it.
    fn extend_expiry(&mut self, program: ProgramKey, expires_at: Millis) {
        let Some(stored) = self.programs.get_mut(&program) else { return };
        stored.expires_at = stored.expires_at.max(expires_at);
        let expires_at = stored.expires_at;
        let mut waiting = stored.parents.clone();
        while let Some(next) = waiting.pop() {
            let Some(stored) = self.programs.get_mut(&next) else { continue };
            if stored.expires_at < expires_at {
                stored.expires_at = expires_at;
                waiting.extend(&stored.parents);
            }
        }
    }

    fn entries_of(&self, program: ProgramKey) -> impl Iterator<Item = &StoredEntry<R>> {
        self.entries.list(self.programs.get(&program).and_then(|stored| stored.first))
    }

    /// The tokens that each turn of a program takes from the budget.
    pub fn charges(&self, program: ProgramKey) -> Vec<TurnCharge> {
        let charge = |entry: &StoredEntry<R>| TurnCharge {
            turn: entry.turn(),
            tokens: if entry.used == NOT_SETTLED { entry.reserved } else { entry.used },
            settled: u8::from(entry.used != NOT_SETTLED),
        };
        // An entry that only contains a record has no tokens; the reservation of its turn may be on other replicas.
        let charged = self.entries_of(program).filter(|entry| entry.reserved > 0 || entry.used != NOT_SETTLED);
        let mut charges: Vec<TurnCharge> = charged.map(charge).collect();
        charges.sort_unstable_by_key(|charge| charge.turn);
        charges
    }

    /// The locations at which the turns of a program ran. Of the successful turns whose prompts end with the same
    /// part, only the one with the longest prompt is included. Each engine at which a turn failed is included once.
    pub fn run_locations(&self, program: ProgramKey) -> Vec<RunLocation> {
        let mut longest: HashMap<u64, RunLocation> = HashMap::new();
        let mut failed: HashSet<u32> = HashSet::new();
        for location in self.entries_of(program).filter_map(StoredEntry::run_location) {
            if location.is_failure() {
                failed.insert(location.engine);
                continue;
            }
            let known = longest.entry(location.part).or_insert(location);
            if location.prompt_tokens > known.prompt_tokens {
                *known = location;
            }
        }
        longest.into_values().chain(failed.into_iter().map(RunLocation::failure_at)).collect()
    }

    /// What stands for the record of a turn; `None` if it is not stored here.
    pub fn record(&self, turn: TurnId) -> Option<&R> {
        self.entries.get(turn)?.record.as_ref()
    }

    /// The merged entry of a turn without its record, if an entry is stored.
    pub fn entry_without_record(&self, turn: TurnId) -> Option<TurnEntry> {
        let stored = self.entries.get(turn)?;
        Some(TurnEntry {
            turn,
            program: stored.program,
            retention_ms: self.programs.get(&stored.program).map_or(0, |program| program.retention_ms),
            reserved: stored.reserved,
            used: stored.used,
            run_location: stored.run_location(),
            elsewhere: self.elsewhere.get(&turn).cloned(),
            record: Vec::new(),
        })
    }

    /// The regions that the record of a turn is restricted to, wherever it is stored. Empty without restriction.
    pub fn regions_of(&self, turn: TurnId) -> &[RegionId] {
        self.entries.get(turn).map_or(&[], |entry| self.region_list(entry))
    }

    fn region_list(&self, entry: &StoredEntry<R>) -> &[RegionId] {
        self.region_lists.get(entry.regions.0 as usize).map_or(&[], Vec::as_slice)
    }

    /// Whether a turn is known to have a record that other replicas store and this replica does not.
    pub fn has_record_elsewhere(&self, turn: TurnId) -> bool {
        self.elsewhere.contains_key(&turn)
    }

    /// Number of turns whose text may be stored in this zone but is only on other replicas.
    pub fn missing_text_count(&self) -> usize {
        self.elsewhere.values().filter(|elsewhere| self.may_store_text(&elsewhere.regions)).count()
    }

    /// The region lists to which the texts stored here are restricted, each distinct list once.
    pub fn region_lists_of_restricted_texts(&self) -> BTreeSet<Vec<RegionId>> {
        let used: HashSet<u32> =
            self.entries.iter().filter(|entry| entry.record.is_some()).map(|entry| entry.regions.0).collect();
        let lists = used.into_iter().filter_map(|index| self.region_lists.get(index as usize));
        lists.filter(|list| !list.is_empty()).cloned().collect()
    }

    /// Whether the ledger has any turn whose text is restricted to regions, even if only other replicas store the text.
    pub fn has_restricted_text(&self) -> bool {
        self.region_lists.len() > 1 && self.entries.iter().any(|entry| !self.region_list(entry).is_empty())
    }

    /// A mark for each stored turn: whether the turn is settled, and where its record is stored.
    pub fn marks(&self) -> Vec<TurnMark> {
        let mark = |entry: &StoredEntry<R>| TurnMark {
            turn: entry.turn(),
            settled: u8::from(entry.used != NOT_SETTLED),
            recorded: self.record_location_tag(entry),
        };
        self.entries.iter().map(mark).collect()
    }

    /// The [`TurnMark::recorded`] of an entry: its record is stored here, is stored on other replicas, or is unknown.
    fn record_location_tag(&self, entry: &StoredEntry<R>) -> u8 {
        if entry.record.is_some() {
            RECORD_HERE
        } else if self.has_record_elsewhere(entry.turn()) {
            RECORD_ELSEWHERE
        } else {
            RECORD_UNKNOWN
        }
    }

    /// The turns to pull from another replica that reported `marks`. For each of these turns, that replica has an
    /// entry, a settlement or a record that is missing here.
    pub fn turns_to_pull(&self, marks: &[TurnMark]) -> Vec<TurnId> {
        let needs_pull = |mark: &&TurnMark| match self.entries.get(mark.turn) {
            None => true,
            Some(entry) => (mark.settled == 1 && entry.used == NOT_SETTLED) || self.needs_record(entry, mark.recorded),
        };
        marks.iter().filter(needs_pull).map(|mark| mark.turn).collect()
    }

    /// Whether another replica has information about the record of `entry` that is missing here. `recorded` is the
    /// [`TurnMark::recorded`] that the other replica reports for the turn. Text that may not be stored in this zone is
    /// not considered missing.
    fn needs_record(&self, entry: &StoredEntry<R>, recorded: u8) -> bool {
        let own = self.record_location_tag(entry);
        match recorded {
            RECORD_HERE => {
                own == RECORD_UNKNOWN || (own == RECORD_ELSEWHERE && self.may_store_text(self.region_list(entry)))
            }
            RECORD_ELSEWHERE => own == RECORD_UNKNOWN,
            _ => false,
        }
    }

    /// The programs that have an entry in the ledger.
    pub fn programs(&self) -> HashSet<ProgramKey> {
        self.programs.keys().copied().collect()
    }

    /// The time at which a program expires, unless it is written to before; `None` for an unknown program.
    pub fn expires_at(&self, program: ProgramKey) -> Option<Millis> {
        self.programs.get(&program).map(|stored| stored.expires_at)
    }

    /// Drops the programs whose retention has expired. Returns the number of dropped programs.
    pub fn remove_expired_programs(&mut self, now: Millis) -> usize {
        let expired: Vec<ProgramKey> =
            self.programs.iter().filter(|(_, stored)| stored.expires_at <= now).map(|(program, _)| *program).collect();
        for program in &expired {
            let Some(stored) = self.programs.remove(program) else { continue };
            for (turn, record) in self.entries.remove_list(stored.first) {
                self.record_bytes -= record.as_ref().map_or(0, R::record_bytes);
                self.elsewhere.remove(&turn);
            }
        }
        if !expired.is_empty() {
            let programs = &self.programs;
            self.waiting_for.retain(|_, waiting| {
                waiting.retain(|program| programs.contains_key(program));
                !waiting.is_empty()
            });
        }
        expired.len()
    }

    /// Number of stored turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.len() == 0
    }

    /// Total size of all stored records, in bytes.
    pub fn record_bytes(&self) -> usize {
        self.record_bytes
    }

    /// Approximate number of bytes of memory that the stored turns need, without what `R` refers to.
    pub fn memory_bytes(&self) -> usize {
        self.entries.len() * EntryTable::<R>::ENTRY_BYTES + self.programs.len() * PROGRAM_BYTES
    }
}
