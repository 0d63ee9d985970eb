//! The ledger of a replica: the entries of all programs whose retention has not expired.
//!
//! The ledger merges all entries of one turn, and never reverts a settlement (the number of tokens that the turn used)
//! or a record (its input and output). It drops a program with all of its turns at once. A write to a program postpones
//! the expiry of that program, and of all programs that it continues, until the retention of the written program has
//! passed.

use crate::chain::NO_TURN;
use crate::zone_regions::ZoneRegions;
use foxnotch_membership::Millis;
use foxnotch_wire::{
    ChainLink, ProgramKey, RegionId, RunLocation, TurnCharge, TurnEntry, TurnId, TurnMark, NOT_SETTLED,
    RECORD_ELSEWHERE, RECORD_HERE, RECORD_UNKNOWN,
};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Milliseconds by which a program is stored longer than requested: the retention that the caller measures starts later
/// than the retention that the replica measures.
const RETENTION_MARGIN_MS: u64 = 15_000;

/// The turns of a program, and the time at which the program expires.
#[derive(Clone, Debug, Default)]
struct StoredProgram {
    /// The program's turns, ascending. Most programs have few, for which a list needs less memory than a hash set.
    turns: Vec<TurnId>,
    /// Other programs that this program continues: they contain the previous turn of one of its turns.
    parents: Vec<ProgramKey>,
    /// The longest retention of the program's entries, in milliseconds, including [`RETENTION_MARGIN_MS`].
    retention: u64,
    /// Time at which the program is dropped. A write to the program, or to one that continues it, postpones this time.
    expires_at: Millis,
}

impl StoredProgram {
    fn add_turn(&mut self, turn: TurnId) {
        if let Err(index) = self.turns.binary_search(&turn) {
            self.turns.insert(index, turn);
        }
    }

    fn add_parent(&mut self, parent: ProgramKey) {
        if !self.parents.contains(&parent) {
            self.parents.push(parent);
        }
    }
}

/// Approximate number of bytes that an entry needs besides its text: the entry, its place in the table of entries, its
/// share of a program, and what the allocator adds.
const ENTRY_BYTES: usize = 400;

/// The budget entries and turn records that one replica stores, with the time at which each program expires.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The replica's zone, as a hash of its name.
    zone: u32,
    /// Decides which texts may be stored in `zone`.
    regions: ZoneRegions,
    /// Boxed, so that growing the table moves and doubles only the keys.
    entries: HashMap<TurnId, Box<TurnEntry>>,
    programs: HashMap<ProgramKey, StoredProgram>,
    /// Total size of all stored texts, in bytes.
    bytes: usize,
}

impl Ledger {
    /// Creates the empty ledger of a replica in a zone, given by the hash of its name. `regions` decides which texts
    /// may be stored in that zone.
    pub fn for_zone(zone: u32, regions: ZoneRegions) -> Self {
        Self { zone, regions, ..Self::default() }
    }

    /// Whether the text of an entry may be stored in the zone of this replica.
    pub fn may_store_text_of(&self, entry: &TurnEntry) -> bool {
        self.regions.may_store_text(self.zone, entry.regions())
    }

    /// Merges an entry with the stored entry of the same turn, and postpones the expiry of the entry's program.
    pub fn add_entry(&mut self, entry: TurnEntry, now: Millis) {
        let turn = entry.turn;
        let program = entry.program;
        let retention = u64::from(entry.retention_ms) + RETENTION_MARGIN_MS;
        let previous = entry.previous();
        self.merge_entry(entry);
        let stored = self.programs.entry(program).or_default();
        stored.add_turn(turn);
        stored.retention = stored.retention.max(retention);
        if let Some(parent) = previous.and_then(|previous| self.entries.get(&previous)).map(|entry| entry.program) {
            if parent != program {
                self.programs.entry(program).or_default().add_parent(parent);
            }
        }
        self.extend_expiry(program, now);
    }

    /// Merges an entry with the stored entry of the same turn. The result has the longest retention, the largest
    /// reservation, the smallest usage and the first run location of both. It also has the record if either entry has
    /// it. If neither does, the result states that other replicas store the record if either entry states it.
    fn merge_entry(&mut self, entry: TurnEntry) {
        let Some(known) = self.entries.get_mut(&entry.turn) else {
            self.bytes += entry.text_bytes();
            self.entries.insert(entry.turn, Box::new(entry));
            return;
        };
        known.retention_ms = known.retention_ms.max(entry.retention_ms);
        known.reserved = known.reserved.max(entry.reserved);
        known.used = known.used.min(entry.used);
        known.run_location = known.run_location.or(entry.run_location);
        if known.record.is_empty() && !entry.record.is_empty() {
            self.bytes -= known.text_bytes();
            known.record = entry.record;
            known.elsewhere = None;
            self.bytes += known.text_bytes();
        }
        if known.record.is_empty() && known.elsewhere.is_none() {
            known.elsewhere = entry.elsewhere;
        }
    }

    /// Postpones the expiry of a program, and of all programs that it continues, until the retention of that program
    /// has passed since `now`.
    fn extend_expiry(&mut self, program: ProgramKey, now: Millis) {
        let Some(retention) = self.programs.get(&program).map(|stored| stored.retention) else { return };
        let expires_at = now.plus(retention);
        let mut waiting = vec![program];
        while let Some(next) = waiting.pop() {
            let Some(stored) = self.programs.get_mut(&next) else { continue };
            if next != program && stored.expires_at >= expires_at {
                continue;
            }
            stored.expires_at = stored.expires_at.max(expires_at);
            waiting.extend(stored.parents.iter().filter(|parent| **parent != program));
        }
    }

    /// The tokens that each turn of a program takes from the budget.
    pub fn charges(&self, program: ProgramKey) -> Vec<TurnCharge> {
        let Some(stored) = self.programs.get(&program) else { return Vec::new() };
        let entries = stored.turns.iter().filter_map(|turn| self.entry(*turn));
        let charge = |entry: &TurnEntry| TurnCharge {
            turn: entry.turn,
            tokens: entry.charged_tokens(),
            settled: u8::from(entry.used != NOT_SETTLED),
        };
        // An entry that only contains a record has no tokens; the reservation of its turn may be on other replicas.
        entries.filter(|entry| entry.reserved > 0 || entry.used != NOT_SETTLED).map(charge).collect()
    }

    /// The locations at which the turns of a program ran. Of the successful turns whose prompts end with the same
    /// part, only the one with the longest prompt is included. Each engine at which a turn failed is included once.
    pub fn run_locations(&self, program: ProgramKey) -> Vec<RunLocation> {
        let Some(stored) = self.programs.get(&program) else { return Vec::new() };
        let mut longest: HashMap<u64, RunLocation> = HashMap::new();
        let mut failed: HashSet<u32> = HashSet::new();
        for location in stored.turns.iter().filter_map(|turn| self.entries.get(turn)?.run_location) {
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

    /// The records of `newest` and of the turns that it continues, newest first. The list ends at the start of the
    /// chain, or before the first turn whose record is missing.
    pub fn chain(&self, newest: TurnId) -> Vec<ChainLink> {
        let mut links = Vec::new();
        let mut next = newest;
        while next != NO_TURN {
            let Some(record) = self.entries.get(&next).and_then(|entry| entry.record.first()) else { break };
            links.push(ChainLink { turn: next, record: record.clone() });
            next = record.previous;
        }
        links
    }

    /// Whether a turn is known to have a record that other replicas store and this replica does not.
    pub fn has_record_elsewhere(&self, turn: TurnId) -> bool {
        self.entries.get(&turn).is_some_and(|entry| entry.record.is_empty() && entry.elsewhere.is_some())
    }

    /// Number of turns whose text may be stored in this zone but is only on other replicas.
    pub fn missing_text_count(&self) -> usize {
        let is_missing = |entry: &&TurnEntry| self.has_record_elsewhere(entry.turn) && self.may_store_text_of(entry);
        self.entries.values().map(Box::as_ref).filter(is_missing).count()
    }

    /// The region lists to which the texts stored here are restricted, each distinct list once.
    pub fn region_lists_of_restricted_texts(&self) -> BTreeSet<Vec<RegionId>> {
        let records = self.entries.values().filter_map(|entry| entry.record.first());
        records.map(|record| record.regions.clone()).filter(|regions| !regions.is_empty()).collect()
    }

    /// Whether the ledger has any turn whose text is restricted to regions, even if only other replicas store the text.
    pub fn has_restricted_text(&self) -> bool {
        self.entries.values().any(|entry| !entry.regions().is_empty())
    }

    /// A mark for each stored turn: whether the turn is settled, and where its record is stored.
    pub fn marks(&self) -> Vec<TurnMark> {
        let mark = |entry: &TurnEntry| TurnMark {
            turn: entry.turn,
            settled: u8::from(entry.used != NOT_SETTLED),
            recorded: record_location_tag(entry),
        };
        self.entries.values().map(Box::as_ref).map(mark).collect()
    }

    /// The turns to pull from another replica that reported `marks`. For each of these turns, that replica has an
    /// entry, a settlement or a record that is missing here.
    pub fn turns_to_pull(&self, marks: &[TurnMark]) -> Vec<TurnId> {
        let needs_pull = |mark: &&TurnMark| match self.entries.get(&mark.turn) {
            None => true,
            Some(entry) => (mark.settled == 1 && entry.used == NOT_SETTLED) || self.needs_record(entry, mark.recorded),
        };
        marks.iter().filter(needs_pull).map(|mark| mark.turn).collect()
    }

    /// Whether another replica has information about the record of `entry` that is missing here. `recorded` is the
    /// [`TurnMark::recorded`] that the other replica reports for the turn. Text that may not be stored in this zone is
    /// not considered missing.
    fn needs_record(&self, entry: &TurnEntry, recorded: u8) -> bool {
        let is_record_known = !entry.record.is_empty() || entry.elsewhere.is_some();
        match recorded {
            RECORD_HERE => entry.record.is_empty() && (!is_record_known || self.may_store_text_of(entry)),
            RECORD_ELSEWHERE => !is_record_known,
            _ => false,
        }
    }

    /// The merged entry of a turn, if one is stored.
    pub fn entry(&self, turn: TurnId) -> Option<&TurnEntry> {
        self.entries.get(&turn).map(Box::as_ref)
    }

    /// The programs that have an entry in the ledger.
    pub fn programs(&self) -> HashSet<ProgramKey> {
        self.programs.keys().copied().collect()
    }

    /// Drops the programs whose retention has expired. Returns the number of dropped programs.
    pub fn remove_expired_programs(&mut self, now: Millis) -> usize {
        let expired: Vec<ProgramKey> =
            self.programs.iter().filter(|(_, stored)| stored.expires_at <= now).map(|(program, _)| *program).collect();
        for program in &expired {
            let Some(stored) = self.programs.remove(program) else { continue };
            for turn in stored.turns {
                if let Some(entry) = self.entries.remove(&turn) {
                    self.bytes -= entry.text_bytes();
                }
            }
        }
        expired.len()
    }

    /// Number of stored turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Approximate number of bytes of memory that the stored turns need.
    pub fn memory_bytes(&self) -> usize {
        self.bytes + self.entries.len() * ENTRY_BYTES
    }

    /// Total size of all stored texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.bytes
    }
}

/// The [`TurnMark::recorded`] of an entry: its record is stored here, is stored on other replicas, or is unknown.
fn record_location_tag(entry: &TurnEntry) -> u8 {
    match (entry.record.is_empty(), &entry.elsewhere) {
        (false, _) => RECORD_HERE,
        (true, Some(_)) => RECORD_ELSEWHERE,
        (true, None) => RECORD_UNKNOWN,
    }
}
