//! A table of entries by turn that needs little memory for each entry and grows without copying the entries.

use foxnotch_wire::{ProgramKey, RunLocation, TurnId};
use hashbrown::HashTable;
use xxhash_rust::xxh3::xxh3_64;

/// Number of entries that are allocated at once.
const ENTRIES_PER_CHUNK: usize = 1024;

/// The place of an entry in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EntryIndex(u32);

impl EntryIndex {
    fn position(self) -> (usize, usize) {
        (self.0 as usize / ENTRIES_PER_CHUNK, self.0 as usize % ENTRIES_PER_CHUNK)
    }
}

/// The index that stands for no entry in [`StoredEntry::next`].
const NO_ENTRY: EntryIndex = EntryIndex(u32::MAX);

/// A list of regions in [`super::TurnLedger::region_lists`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RegionListIndex(pub(super) u32);

/// What the ledger holds of one turn. `R` is the turn's record, or where it is stored.
#[derive(Clone, Debug)]
pub(super) struct StoredEntry<R> {
    /// The 128 bits of the turn's identifier. As one number they would be aligned to 16 bytes.
    turn: [u64; 2],
    pub(super) program: ProgramKey,
    /// The fields of the run location; see [`Self::run_location`].
    part: u64,
    engine: u32,
    prompt_tokens: u32,
    has_run_location: bool,
    /// Number of reserved tokens.
    pub(super) reserved: u32,
    /// Number of used tokens, or [`foxnotch_wire::NOT_SETTLED`].
    pub(super) used: u32,
    /// The regions that the record is restricted to.
    pub(super) regions: RegionListIndex,
    /// The next entry of the program, or [`NO_ENTRY`].
    next: EntryIndex,
    /// The record, if it is stored here.
    pub(super) record: Option<R>,
}

impl<R> StoredEntry<R> {
    /// An entry that reserves nothing and is not settled.
    pub(super) fn new(turn: TurnId, program: ProgramKey) -> Self {
        Self {
            turn: [turn.0 as u64, (turn.0 >> u64::BITS) as u64],
            program,
            part: 0,
            engine: 0,
            prompt_tokens: 0,
            has_run_location: false,
            reserved: 0,
            used: foxnotch_wire::NOT_SETTLED,
            regions: RegionListIndex::default(),
            next: NO_ENTRY,
            record: None,
        }
    }

    pub(super) fn turn(&self) -> TurnId {
        TurnId(u128::from(self.turn[1]) << u64::BITS | u128::from(self.turn[0]))
    }

    pub(super) fn run_location(&self) -> Option<RunLocation> {
        let location = RunLocation { engine: self.engine, part: self.part, prompt_tokens: self.prompt_tokens };
        self.has_run_location.then_some(location)
    }

    /// Sets the run location unless there is one.
    pub(super) fn set_run_location_if_none(&mut self, location: Option<RunLocation>) {
        let Some(RunLocation { engine, part, prompt_tokens }) = location.filter(|_| !self.has_run_location) else {
            return;
        };
        (self.engine, self.part, self.prompt_tokens, self.has_run_location) = (engine, part, prompt_tokens, true);
    }
}

/// The entries of all turns, and for each program a list of its entries.
#[derive(Clone, Debug)]
pub(super) struct EntryTable<R> {
    chunks: Vec<Vec<StoredEntry<R>>>,
    /// Finds the index of a turn's entry.
    by_turn: HashTable<EntryIndex>,
    /// Indices of removed entries.
    free: Vec<EntryIndex>,
}

impl<R> Default for EntryTable<R> {
    fn default() -> Self {
        Self { chunks: Vec::new(), by_turn: HashTable::new(), free: Vec::new() }
    }
}

fn hash(turn: TurnId) -> u64 {
    xxh3_64(&turn.0.to_le_bytes())
}

fn entry_at<R>(chunks: &[Vec<StoredEntry<R>>], index: EntryIndex) -> &StoredEntry<R> {
    let (chunk, position) = index.position();
    &chunks[chunk][position]
}

impl<R> EntryTable<R> {
    /// Bytes of memory for each entry: the entry, and its place in the hash table, which is at least 7/16 full.
    pub(super) const ENTRY_BYTES: usize = size_of::<StoredEntry<R>>() + 12;

    pub(super) fn len(&self) -> usize {
        self.by_turn.len()
    }

    fn find(&self, turn: TurnId) -> Option<EntryIndex> {
        self.by_turn.find(hash(turn), |index| entry_at(&self.chunks, *index).turn() == turn).copied()
    }

    pub(super) fn get(&self, turn: TurnId) -> Option<&StoredEntry<R>> {
        self.find(turn).map(|index| entry_at(&self.chunks, index))
    }

    pub(super) fn get_mut(&mut self, turn: TurnId) -> Option<&mut StoredEntry<R>> {
        let (chunk, position) = self.find(turn)?.position();
        self.chunks.get_mut(chunk)?.get_mut(position)
    }

    /// Adds the entry of a turn that has none, at the head of its program's list, which begins with `first`. Returns the
    /// new head.
    pub(super) fn insert(&mut self, mut entry: StoredEntry<R>, first: Option<EntryIndex>) -> EntryIndex {
        entry.next = first.unwrap_or(NO_ENTRY);
        let turn = entry.turn();
        let index = match self.free.pop() {
            Some(index) => {
                let (chunk, position) = index.position();
                self.chunks[chunk][position] = entry;
                index
            }
            None => self.push(entry),
        };
        let Self { chunks, by_turn, .. } = self;
        by_turn.insert_unique(hash(turn), index, |index| hash(entry_at(chunks, *index).turn()));
        index
    }

    fn push(&mut self, entry: StoredEntry<R>) -> EntryIndex {
        if self.chunks.last().is_none_or(|chunk| chunk.len() == ENTRIES_PER_CHUNK) {
            self.chunks.push(Vec::with_capacity(ENTRIES_PER_CHUNK));
        }
        let chunk = self.chunks.len() - 1;
        self.chunks[chunk].push(entry);
        let index = chunk * ENTRIES_PER_CHUNK + self.chunks[chunk].len() - 1;
        EntryIndex(u32::try_from(index).expect("fewer entries than the memory limit allows"))
    }

    /// The entries of the program whose list begins with `first`, the newest first.
    pub(super) fn list(&self, first: Option<EntryIndex>) -> impl Iterator<Item = &StoredEntry<R>> {
        let next = |entry: &&StoredEntry<R>| {
            let next = entry.next;
            (next != NO_ENTRY).then(|| entry_at(&self.chunks, next))
        };
        std::iter::successors(first.map(|index| entry_at(&self.chunks, index)), next)
    }

    /// Removes the entries of the program whose list begins with `first`. Returns their turns and records.
    pub(super) fn remove_list(&mut self, first: Option<EntryIndex>) -> Vec<(TurnId, Option<R>)> {
        let mut removed = Vec::new();
        let mut next = first.unwrap_or(NO_ENTRY);
        while next != NO_ENTRY {
            let (chunk, position) = next.position();
            let entry = &mut self.chunks[chunk][position];
            let (index, turn) = (next, entry.turn());
            next = entry.next;
            removed.push((turn, entry.record.take()));
            if let Ok(found) = self.by_turn.find_entry(hash(turn), |known| *known == index) {
                found.remove();
            }
            self.free.push(index);
        }
        removed
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &StoredEntry<R>> {
        self.by_turn.iter().map(|index| entry_at(&self.chunks, *index))
    }
}
