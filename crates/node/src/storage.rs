//! Stores histories on disk in a redb database. One thread writes all waiting batches in one synchronous commit.

use crate::logging::part;
use deku::prelude::*;
use foxnotch_core::node::Disk;
use foxnotch_core::replica::{LogRecord, Record, StoredState};
use foxnotch_wire::{Entry, Epoch, KnownStore, NodeId, ProgramId, ReplicaLog};
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition, WriteTransaction};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};

/// Identity and state of the disk, by [`STORE_KEY`] and [`COMPLETE_KEY`].
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Identities of the other replicas' disks, by node.
const PEER_STORES: TableDefinition<u32, u64> = TableDefinition::new("peer_stores");
/// Encoded [`LogHead`]s, by program.
const LOGS: TableDefinition<u128, &[u8]> = TableDefinition::new("logs");
/// Encoded history entries, by program and index.
const ENTRIES: TableDefinition<(u128, u32), &[u8]> = TableDefinition::new("entries");

/// Key of the disk's identity, a number that each new or emptied data folder gets.
const STORE_KEY: &str = "store";
/// Key that is present once the replica may vote with this disk: after a refill, or in a new deployment.
const COMPLETE_KEY: &str = "complete";
/// Name of the database file in the data folder.
const FILE_NAME: &str = "histories.redb";
/// Size of redb's cache, in bytes.
const CACHE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of batches in one commit.
const MAX_BATCHES_PER_COMMIT: usize = 256;

/// Why the storage cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The database reported an error.
    #[error(
        "the histories cannot be read or written ({0}); check the disk, or empty the data folder to have it refilled"
    )]
    Database(Box<redb::Error>),
    /// A stored record cannot be decoded, or a record cannot be encoded.
    #[error("a stored entry cannot be read ({0}); empty the data folder to have it refilled")]
    Corrupt(String),
    /// The data folder cannot be created.
    #[error("the data folder cannot be created ({0}); check its parent folder")]
    Folder(std::io::Error),
}

impl<E: Into<redb::Error>> From<E> for StorageError {
    fn from(error: E) -> Self {
        Self::Database(Box::new(error.into()))
    }
}

/// The stored header of one history. The entries are stored separately, each under its own key.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug)]
#[deku(endian = "little")]
struct LogHead {
    promised: Epoch,
    accepted: Epoch,
    length: u32,
}

/// Records to write together.
#[derive(Debug)]
pub struct WriteBatch {
    /// Identifies the batch in [`StorageEvent::Written`].
    pub ticket: u64,
    /// The records, in the order in which they apply.
    pub records: Vec<Record>,
}

/// A report of the writer thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageEvent {
    /// The batch with this ticket is on disk.
    Written(u64),
    /// Whether the disk is considered full: true once usage exceeds the limit, false once it has fallen to 90 % of the
    /// limit.
    Full(bool),
    /// A write failed. The writer thread has ended, and the process has to end too.
    Failed,
}

/// The database with the histories of one node.
pub struct Storage {
    database: Database,
    /// Size of all stored entries, in bytes.
    bytes: u64,
    limit_bytes: u64,
    /// Whether the disk is considered full, as determined by the last call of [`Storage::update_full`].
    full: bool,
}

/// Marks an empty data folder as belonging to a new deployment, so that its replica votes without a refill. `store`
/// becomes the identity of the disk. Returns false, and changes nothing, if the folder has been used before.
///
/// # Errors
/// Any [`StorageError`].
pub fn initialise(folder: &Path, store: u64) -> Result<bool, StorageError> {
    let storage = Storage::open(folder, u64::MAX)?;
    if storage.read_meta(STORE_KEY)?.is_some() {
        return Ok(false);
    }
    let transaction = storage.database.begin_write()?;
    {
        let mut meta = transaction.open_table(META)?;
        meta.insert(STORE_KEY, store)?;
        meta.insert(COMPLETE_KEY, 1)?;
    }
    transaction.commit()?;
    Ok(true)
}

impl Storage {
    /// Opens or creates the database in `folder`. [`StorageEvent::Full`] reports when the stored entries exceed
    /// `limit_bytes` in total.
    ///
    /// # Errors
    /// Any [`StorageError`].
    pub fn open(folder: &Path, limit_bytes: u64) -> Result<Self, StorageError> {
        std::fs::create_dir_all(folder).map_err(StorageError::Folder)?;
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let database = builder.create(folder.join(FILE_NAME))?;
        let transaction = database.begin_write()?;
        transaction.open_table(META)?;
        transaction.open_table(PEER_STORES)?;
        transaction.open_table(LOGS)?;
        transaction.open_table(ENTRIES)?;
        transaction.commit()?;
        Ok(Self { database, bytes: 0, limit_bytes, full: false })
    }

    /// Reads the value of a key in [`META`]; none if it is absent.
    fn read_meta(&self, key: &str) -> Result<Option<u64>, StorageError> {
        let transaction = self.database.begin_read()?;
        let meta = transaction.open_table(META)?;
        let value = meta.get(key)?;
        Ok(value.map(|value| value.value()))
    }

    /// Reads the content that a replica starts with. A disk that is not marked as complete is emptied and gets
    /// `new_store` as its identity. Its replica has to be refilled by the other replicas before it votes.
    ///
    /// # Errors
    /// Any [`StorageError`].
    pub fn recover(&mut self, new_store: u64) -> Result<Disk, StorageError> {
        let complete = self.read_meta(COMPLETE_KEY)?.is_some();
        if let Some(store) = self.read_meta(STORE_KEY)?.filter(|_| complete) {
            return Ok(Disk::Recovered(self.read_all(store)?));
        }
        let transaction = self.database.begin_write()?;
        transaction.delete_table(ENTRIES)?;
        transaction.delete_table(LOGS)?;
        transaction.delete_table(PEER_STORES)?;
        transaction.open_table(ENTRIES)?;
        transaction.open_table(LOGS)?;
        transaction.open_table(PEER_STORES)?;
        transaction.open_table(META)?.insert(STORE_KEY, new_store)?;
        transaction.commit()?;
        Ok(Disk::Empty(new_store))
    }

    fn read_all(&mut self, store: u64) -> Result<StoredState, StorageError> {
        let transaction = self.database.begin_read()?;
        let mut state = StoredState { store, ..StoredState::default() };
        for row in transaction.open_table(PEER_STORES)?.iter()? {
            let (node, store) = row?;
            state.peer_stores.push(KnownStore { node: NodeId(node.value()), store: store.value() });
        }
        let entries = transaction.open_table(ENTRIES)?;
        for row in transaction.open_table(LOGS)?.iter()? {
            let (program, head) = row?;
            let program = program.value();
            let head = decode_head(head.value())?;
            let mut log = ReplicaLog {
                program: ProgramId(program),
                promised: head.promised,
                accepted: head.accepted,
                entries: Vec::with_capacity(head.length as usize),
            };
            for row in entries.range((program, 0)..(program, head.length))? {
                let (_, entry) = row?;
                self.bytes += entry.value().len() as u64;
                log.entries.push(decode_entry(entry.value())?);
            }
            state.logs.push(log);
        }
        Ok(state)
    }

    /// Writes batches in one synchronous commit.
    ///
    /// # Errors
    /// Any [`StorageError`]. In this case none of the batches has been written.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        let transaction = self.database.begin_write()?;
        let mut bytes = self.bytes;
        for record in batches.iter().flat_map(|batch| &batch.records) {
            write_record(&transaction, record, &mut bytes)?;
        }
        transaction.commit()?;
        self.bytes = bytes;
        Ok(())
    }

    /// Updates whether the disk is considered full, and returns the new value if it has changed. The disk becomes full
    /// when usage exceeds the limit, and remains full until usage is at most 90 % of the limit.
    fn update_full(&mut self) -> Option<bool> {
        let is_full = if self.full { self.bytes > self.limit_bytes / 10 * 9 } else { self.bytes > self.limit_bytes };
        let has_changed = is_full != self.full;
        self.full = is_full;
        has_changed.then_some(is_full)
    }
}

fn write_record(transaction: &WriteTransaction, record: &Record, bytes: &mut u64) -> Result<(), StorageError> {
    match record {
        Record::PeerStore(known) => {
            transaction.open_table(PEER_STORES)?.insert(known.node.0, known.store)?;
        }
        Record::RefillComplete => {
            transaction.open_table(META)?.insert(COMPLETE_KEY, 1)?;
        }
        Record::Log(log) => write_log(transaction, log, bytes)?,
        Record::DropHistory(program) => {
            let mut logs = transaction.open_table(LOGS)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            remove_entries(&mut entries, program.0, 0, bytes)?;
            logs.remove(program.0)?;
        }
    }
    Ok(())
}

/// Replaces the entries of a history from `log.from_index` on, and its header.
fn write_log(transaction: &WriteTransaction, log: &LogRecord, bytes: &mut u64) -> Result<(), StorageError> {
    let mut logs = transaction.open_table(LOGS)?;
    let mut entries = transaction.open_table(ENTRIES)?;
    let program = log.program.0;
    remove_entries(&mut entries, program, log.from_index, bytes)?;
    for (index, entry) in log.entries.iter().enumerate() {
        let encoded = entry.to_bytes().map_err(|error| StorageError::Corrupt(error.to_string()))?;
        *bytes += encoded.len() as u64;
        entries.insert((program, log.from_index + index as u32), encoded.as_slice())?;
    }
    let length = log.from_index + log.entries.len() as u32;
    let head = LogHead { promised: log.promised, accepted: log.accepted, length };
    let encoded = head.to_bytes().map_err(|error| StorageError::Corrupt(error.to_string()))?;
    logs.insert(program, encoded.as_slice())?;
    Ok(())
}

/// Removes the entries of a history from index `from` on, and subtracts their size from `bytes`.
fn remove_entries(
    entries: &mut Table<'_, (u128, u32), &'static [u8]>,
    program: u128,
    from: u32,
    bytes: &mut u64,
) -> Result<(), StorageError> {
    let mut removed = 0;
    entries.retain_in((program, from)..=(program, u32::MAX), |_, entry| {
        removed += entry.len() as u64;
        false
    })?;
    *bytes = bytes.saturating_sub(removed);
    Ok(())
}

fn decode_head(bytes: &[u8]) -> Result<LogHead, StorageError> {
    let decoded = LogHead::from_bytes((bytes, 0));
    decoded.map(|(_, head)| head).map_err(|error| StorageError::Corrupt(error.to_string()))
}

fn decode_entry(bytes: &[u8]) -> Result<Entry, StorageError> {
    let decoded = Entry::from_bytes((bytes, 0));
    decoded.map(|(_, entry)| entry).map_err(|error| StorageError::Corrupt(error.to_string()))
}

/// Starts the writer thread, which writes the batches sent to the returned sender. The thread calls `report` with each
/// result. It ends when `report` returns false, which means that the receiver of the reports has been dropped.
pub fn spawn_writer(
    mut storage: Storage,
    report: impl Fn(StorageEvent) -> bool + Send + 'static,
) -> Sender<WriteBatch> {
    let (sender, receiver) = channel::<WriteBatch>();
    std::thread::spawn(move || {
        while let Some(batches) = receive_batches(&receiver) {
            if let Err(error) = storage.write(&batches) {
                log::error!(target: part::DISK, "The process stops because a write failed: {error}");
                report(StorageEvent::Failed);
                return;
            }
            if let Some(full) = storage.update_full() {
                log::warn!(target: part::DISK, "The disk limit of {} bytes was {}; the replica stores nothing while it is reached.", storage.limit_bytes, if full { "reached" } else { "left" });
                report(StorageEvent::Full(full));
            }
            if !batches.iter().all(|batch| report(StorageEvent::Written(batch.ticket))) {
                return;
            }
        }
    });
    sender
}

/// Waits for a batch and returns it with all others that are waiting, up to [`MAX_BATCHES_PER_COMMIT`]. None once all
/// senders have been dropped.
fn receive_batches(receiver: &Receiver<WriteBatch>) -> Option<Vec<WriteBatch>> {
    let mut batches = vec![receiver.recv().ok()?];
    while batches.len() < MAX_BATCHES_PER_COMMIT {
        let Ok(batch) = receiver.try_recv() else { break };
        batches.push(batch);
    }
    Some(batches)
}
