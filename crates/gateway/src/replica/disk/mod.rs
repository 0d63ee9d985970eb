//! A replica's files: numbered segments that one thread appends to and syncs.
//!
//! Invariant: a write is reported as done only after its bytes, and all bytes before them in the segment, are synced.
//! Each start and each failed write begins a new segment, so nothing is ever written after a torn frame. A segment is
//! removed as a whole once no turns of its programs are stored any more; each segment begins with the replica's state
//! and its quota caps, since older segments may be removed.
//!
//! [`Disk`] is the handle through which other modules write and read. `writer` is the thread, `reader` reads single
//! records, `segments` handles the files, and `records` finds the newest state and quota caps among records. The format
//! of a frame is defined in `foxnotch_turns::segment`.

mod reader;
mod records;
mod segments;
mod writer;

pub use reader::{ReadError, RecordLocation};
pub use records::{newest_caps, NewestRecords};

use crate::logging::part;
use foxnotch_turns::segment::{read_segment, Record};
use foxnotch_wire::ProgramKey;
use reader::Reader;
use records::program_of;
use segments::{segment_numbers, segment_path, ClosedSegment};
use std::collections::{HashSet, VecDeque};
use std::fs;
use std::io;
use std::path::Path;
use std::sync::mpsc::{channel, Sender};
use tokio::sync::oneshot;
use writer::Writer;

/// The reason why records were not written to this replica's disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// The file system returned an error, or the memory for turns is full.
    #[error(
        "the write was refused ({0}); free some space, replace the disk, or raise resources.memory_mb if the memory \
         is full"
    )]
    Refused(String),
    /// The writer thread has ended.
    #[error("the disk writer thread has ended; restart the replica")]
    Ended,
}

/// A request to the writer thread.
enum Job {
    Write { records: Vec<Record>, done: oneshot::Sender<Result<Vec<RecordLocation>, DiskError>> },
    Retain { programs: HashSet<ProgramKey> },
}

/// A handle to the writer thread of one replica's files.
#[derive(Clone)]
pub struct Disk {
    jobs: Sender<Job>,
    reader: Reader,
}

impl Disk {
    /// Like [`Self::open_with`], but returns all records, oldest first. They need more memory than the turns.
    ///
    /// # Errors
    /// Those of [`Self::open_with`].
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Record>)> {
        let mut records = Vec::new();
        let (disk, _) = Self::open_with(folder, |record, _| records.push(record))?;
        Ok((disk, records))
    }

    /// Reads all segments of a folder, passes their records to `on_record`, oldest first, and starts the writer thread.
    /// Each record comes with the place from which [`Self::read`] reads it.
    /// Holds the records of only one segment at a time, because a folder has several records for each turn. Returns the
    /// newest state and caps too.
    ///
    /// # Errors
    /// When the folder cannot be created or read, or a segment has a record in a format that this version does not
    /// know.
    pub fn open_with(
        folder: &Path,
        mut on_record: impl FnMut(Record, RecordLocation),
    ) -> io::Result<(Self, NewestRecords)> {
        fs::create_dir_all(folder)?;
        let mut newest = NewestRecords::default();
        let mut closed = VecDeque::new();
        for number in segment_numbers(folder)? {
            let path = segment_path(folder, number);
            let content = read_segment(&fs::read(&path)?)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", path.display())))?;
            if content.torn_bytes > 0 {
                log::warn!(
                    target: part::DISK,
                    "Segment {number} of the stored turns ends with {} bytes that were not synced to disk; these bytes \
                     are ignored.",
                    content.torn_bytes,
                );
            }
            let programs = content.records.iter().filter_map(program_of).collect();
            closed.push_back(ClosedSegment { number, programs });
            newest.update(&content.records);
            for (record, range) in content.records.into_iter().zip(content.ranges) {
                on_record(record, RecordLocation::new(number, range)?);
            }
        }
        let reader = Reader::new(folder);
        let writer = Writer {
            folder: folder.to_owned(),
            reader: reader.clone(),
            next_number: closed.back().map_or(1, |segment| segment.number + 1),
            open: None,
            closed,
            newest: newest.clone(),
        };
        let (jobs, queue) = channel();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || writer.run(&queue))?;
        Ok((Self { jobs, reader }, newest))
    }

    /// Writes records; returns once they are synced. Returns the place of each record.
    ///
    /// # Errors
    /// [`DiskError`]; whether the records are on disk is then unknown.
    pub async fn write(&self, records: Vec<Record>) -> Result<Vec<RecordLocation>, DiskError> {
        let (done, completion) = oneshot::channel();
        self.jobs.send(Job::Write { records, done }).map_err(|_| DiskError::Ended)?;
        completion.await.map_err(|_| DiskError::Ended)?
    }

    /// Reads a record that was written and whose program is still stored.
    ///
    /// # Errors
    /// [`ReadError`].
    pub fn read(&self, location: RecordLocation) -> Result<Record, ReadError> {
        self.reader.read(location)
    }

    /// Removes the closed segments that hold no entry of any program in `programs`, which names all programs that are
    /// still stored.
    pub fn retain_programs(&self, programs: HashSet<ProgramKey>) {
        // If the writer thread has ended nothing is removed, and the next write returns an error.
        let _ = self.jobs.send(Job::Retain { programs });
    }
}
