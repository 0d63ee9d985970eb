//! A replica's files: numbered segments that are appended to and synced by one thread.
//!
//! Invariant: a write is reported as done only after its bytes, and all bytes before them in the segment, are synced.
//! Each start and each failure begins a new segment, so nothing is ever written behind a torn frame. A segment goes as
//! a whole once no program in it is kept any more; each segment begins with the replica's state and caps.

use crate::logging::part;
use foxnotch_turns::segment::{append_frame, read_segment, QuotaCap, QuotaCaps, Record, ReplicaState};
use foxnotch_wire::ProgramKey;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Bytes after which a new segment is begun.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Time after which a new segment is begun.
const SEGMENT_AGE: Duration = Duration::from_secs(15);
/// Jobs that are synced together.
const JOBS_PER_SYNC: usize = 512;
/// The start of a segment's file name.
const PREFIX: &str = "turns-";

/// Why something is not on disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// The disk refused it.
    #[error("the disk takes nothing now ({0}); free some space or replace the disk")]
    Refused(String),
    /// The writer has ended.
    #[error("the disk's writer has ended; restart the replica")]
    Ended,
}

enum Job {
    Write { records: Vec<Record>, done: oneshot::Sender<Result<(), DiskError>> },
    Retain { programs: HashSet<ProgramKey> },
}

/// Writes to the files of one replica.
#[derive(Clone)]
pub struct Disk {
    jobs: Sender<Job>,
}

impl Disk {
    /// Reads all segments of a folder and starts a writer. Returns what was read, oldest first.
    ///
    /// # Errors
    /// When the folder cannot be made or read, or holds a record that this version does not know.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Record>)> {
        fs::create_dir_all(folder)?;
        let mut records = Vec::new();
        let mut old = VecDeque::new();
        for number in segment_numbers(folder)? {
            let path = segment_path(folder, number);
            let content = read_segment(&fs::read(&path)?)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", path.display())))?;
            if content.torn_bytes > 0 {
                log::warn!(target: part::DISK, "Segment {number} ends with {} bytes that were not synced; they are left out.", content.torn_bytes);
            }
            old.push_back(OldSegment { number, programs: content.records.iter().filter_map(program_of).collect() });
            records.extend(content.records);
        }
        let next = old.back().map_or(1, |segment| segment.number + 1);
        let state = records.iter().rev().find_map(state_of);
        let caps = caps_of(&records);
        let writer = Writer { folder: folder.to_owned(), next, active: None, old, state, caps };
        let (jobs, queue) = channel();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || writer.run(&queue))?;
        Ok((Self { jobs }, records))
    }

    /// Writes records; returns once they are synced.
    ///
    /// # Errors
    /// [`DiskError`]; the records may then be on disk or not.
    pub async fn write(&self, records: Vec<Record>) -> Result<(), DiskError> {
        let (done, waiting) = oneshot::channel();
        self.jobs.send(Job::Write { records, done }).map_err(|_| DiskError::Ended)?;
        waiting.await.map_err(|_| DiskError::Ended)?
    }

    /// Removes segments that hold nothing of these programs.
    pub fn retain(&self, programs: HashSet<ProgramKey>) {
        // A writer that has ended removes nothing.
        let _ = self.jobs.send(Job::Retain { programs });
    }
}

fn program_of(record: &Record) -> Option<ProgramKey> {
    match record {
        Record::Entry(entry) => Some(entry.program),
        Record::State(_) | Record::QuotaCaps(_) => None,
    }
}

fn state_of(record: &Record) -> Option<ReplicaState> {
    match record {
        Record::Entry(_) | Record::QuotaCaps(_) => None,
        Record::State(state) => Some(state.clone()),
    }
}

/// The newest cap of each tenant, from records in their order.
pub fn caps_of(records: &[Record]) -> BTreeMap<u64, u32> {
    let caps = records.iter().filter_map(|record| match record {
        Record::QuotaCaps(caps) => Some(&caps.caps),
        Record::Entry(_) | Record::State(_) => None,
    });
    caps.flatten().map(|cap| (cap.tenant, cap.requests)).collect()
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:010}"))
}

fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number =
            name.to_str().and_then(|name| name.strip_prefix(PREFIX)).and_then(|digits| digits.parse::<u64>().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// A segment that is no longer written to.
struct OldSegment {
    number: u64,
    programs: HashSet<ProgramKey>,
}

/// The segment that is written to.
struct ActiveSegment {
    number: u64,
    file: File,
    bytes: u64,
    begun_at: Instant,
    programs: HashSet<ProgramKey>,
}

struct Writer {
    folder: PathBuf,
    next: u64,
    active: Option<ActiveSegment>,
    old: VecDeque<OldSegment>,
    state: Option<ReplicaState>,
    caps: BTreeMap<u64, u32>,
}

impl Writer {
    fn run(mut self, queue: &Receiver<Job>) {
        while let Ok(first) = queue.recv() {
            let mut jobs = vec![first];
            while jobs.len() < JOBS_PER_SYNC {
                let Ok(job) = queue.try_recv() else { break };
                jobs.push(job);
            }
            self.carry_out(jobs);
        }
    }

    fn carry_out(&mut self, jobs: Vec<Job>) {
        let mut records = Vec::new();
        let mut waiting = Vec::new();
        for job in jobs {
            match job {
                Job::Write { records: more, done } => {
                    records.extend(more);
                    waiting.push(done);
                }
                Job::Retain { programs } => self.remove_unused(&programs),
            }
        }
        if waiting.is_empty() {
            return;
        }
        let outcome = self.write(&records).map_err(|error| DiskError::Refused(error.to_string()));
        if let Err(error) = &outcome {
            log::warn!(target: part::DISK, "{} records were not written: {error}.", records.len());
        }
        for done in waiting {
            // An asker that has left does not need the outcome.
            let _ = done.send(outcome.clone());
        }
    }

    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.rotate_if_due();
        if let Some(state) = records.iter().rev().find_map(state_of) {
            self.state = Some(state);
        }
        self.caps.extend(caps_of(records));
        let mut active = match self.active.take() {
            Some(active) => active,
            None => self.begin_segment()?,
        };
        let synced_bytes = active.bytes;
        match append(&mut active, records) {
            Ok(()) => {
                self.active = Some(active);
                Ok(())
            }
            Err(error) => {
                // What was not synced is cut off; a failure to do so is found by the checksums.
                let _ = active.file.set_len(synced_bytes);
                self.old.push_back(OldSegment { number: active.number, programs: active.programs });
                Err(error)
            }
        }
    }

    fn rotate_if_due(&mut self) {
        let due = self
            .active
            .as_ref()
            .is_some_and(|active| active.bytes > SEGMENT_BYTES || active.begun_at.elapsed() > SEGMENT_AGE);
        if !due {
            return;
        }
        if let Some(active) = self.active.take() {
            self.old.push_back(OldSegment { number: active.number, programs: active.programs });
        }
    }

    fn begin_segment(&mut self) -> io::Result<ActiveSegment> {
        let number = self.next;
        self.next += 1;
        let path = segment_path(&self.folder, number);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let mut active = ActiveSegment { number, file, bytes: 0, begun_at: Instant::now(), programs: HashSet::new() };
        let first = self.first_records();
        if let Err(error) = append(&mut active, &first).and_then(|()| sync_folder(&self.folder)) {
            // An empty segment holds nothing that is missed.
            let _ = fs::remove_file(&path);
            return Err(error);
        }
        Ok(active)
    }

    /// What each segment begins with, since the ones before it may go.
    fn first_records(&self) -> Vec<Record> {
        let caps = self.caps.iter().map(|(tenant, requests)| QuotaCap { tenant: *tenant, requests: *requests });
        let caps = QuotaCaps { caps: caps.collect() };
        let state = self.state.clone().map(Record::State);
        state.into_iter().chain((!caps.caps.is_empty()).then_some(Record::QuotaCaps(caps))).collect()
    }

    fn remove_unused(&mut self, kept: &HashSet<ProgramKey>) {
        if self.active.is_none() {
            return;
        }
        let folder = self.folder.clone();
        self.old.retain(|segment| {
            let used = segment.programs.iter().any(|program| kept.contains(program));
            if !used {
                // A file that stays is read again at the next start and does no harm.
                let _ = fs::remove_file(segment_path(&folder, segment.number));
            }
            used
        });
    }
}

fn append(active: &mut ActiveSegment, records: &[Record]) -> io::Result<()> {
    let mut buffer = Vec::new();
    for record in records {
        append_frame(&mut buffer, record).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    }
    active.file.write_all(&buffer)?;
    active.file.sync_data()?;
    active.bytes += buffer.len() as u64;
    active.programs.extend(records.iter().filter_map(program_of));
    Ok(())
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
