//! The writer thread: takes all jobs that wait, appends their records and syncs once for all of them.

use super::reader::{Reader, RecordLocation};
use super::records::NewestRecords;
use super::segments::{segment_path, sync_folder, ClosedSegment, OpenSegment};
use super::{DiskError, Job};
use crate::logging::part;
use foxnotch_turns::segment::{QuotaCap, QuotaCaps, Record};
use foxnotch_wire::ProgramKey;
use std::collections::{HashSet, VecDeque};
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::{fs, io};

/// Maximum number of jobs that are synced together, which limits how long the first of them waits.
const MAX_JOBS_PER_SYNC: usize = 512;

/// The segments of a folder, and the replica state and quota caps with which each new segment begins.
pub(super) struct Writer {
    pub(super) folder: PathBuf,
    pub(super) reader: Reader,
    /// The number that the next new segment gets.
    pub(super) next_number: u64,
    pub(super) open: Option<OpenSegment>,
    /// The segments that are no longer written to, oldest first.
    pub(super) closed: VecDeque<ClosedSegment>,
    pub(super) newest: NewestRecords,
}

impl Writer {
    /// Processes jobs until the last [`super::Disk`] is dropped.
    pub(super) fn run(mut self, queue: &Receiver<Job>) {
        while let Ok(first) = queue.recv() {
            let mut jobs = vec![first];
            while jobs.len() < MAX_JOBS_PER_SYNC {
                let Ok(job) = queue.try_recv() else { break };
                jobs.push(job);
            }
            self.run_jobs(jobs);
        }
    }

    fn run_jobs(&mut self, jobs: Vec<Job>) {
        let mut records = Vec::new();
        let mut completions = Vec::new();
        for job in jobs {
            match job {
                Job::Write { records: more, done } => {
                    completions.push((more.len(), done));
                    records.extend(more);
                }
                Job::Retain { programs } => self.remove_unused_segments(&programs),
            }
        }
        if completions.is_empty() {
            return;
        }
        let outcome = self.write(&records).map_err(|error| DiskError::Refused(error.to_string()));
        if let Err(error) = &outcome {
            log::warn!(
                target: part::DISK,
                "{} records were not written to disk, so the writes that contain them fail: {error}.",
                records.len(),
            );
        }
        let mut locations = outcome.map(Vec::into_iter);
        for (count, done) in completions {
            let own = locations.as_mut().map(|all| all.take(count).collect()).map_err(|error| error.clone());
            // The send fails if the caller has stopped waiting, which needs no handling.
            let _ = done.send(own);
        }
    }

    fn write(&mut self, records: &[Record]) -> io::Result<Vec<RecordLocation>> {
        if self.open.as_ref().is_some_and(OpenSegment::is_full_or_old) {
            self.closed.extend(self.open.take().map(OpenSegment::close));
        }
        self.newest.update(records);
        let mut open = match self.open.take() {
            Some(open) => open,
            None => self.begin_segment()?,
        };
        match open.append(records) {
            Ok(locations) => {
                self.open = Some(open);
                Ok(locations)
            }
            Err(error) => {
                // If truncating fails too, the next start detects the torn frames by their checksums and ignores them.
                let _ = open.truncate_unsynced();
                self.closed.push_back(open.close());
                Err(error)
            }
        }
    }

    fn begin_segment(&mut self) -> io::Result<OpenSegment> {
        let number = self.next_number;
        self.next_number += 1;
        let mut segment = OpenSegment::create(&self.folder, number)?;
        let first = self.initial_records();
        if let Err(error) = segment.append(&first).and_then(|_| sync_folder(&self.folder)) {
            // If the file cannot be removed it does no harm: its records are repeated at the start of the next segment.
            let _ = fs::remove_file(segment_path(&self.folder, number));
            return Err(error);
        }
        Ok(segment)
    }

    /// The records with which each segment begins, since older segments may be removed.
    fn initial_records(&self) -> Vec<Record> {
        let caps = self.newest.caps.iter().map(|(tenant, requests)| QuotaCap { tenant: *tenant, requests: *requests });
        let caps = QuotaCaps { caps: caps.collect() };
        let state = self.newest.state.clone().map(Record::State);
        state.into_iter().chain((!caps.caps.is_empty()).then_some(Record::QuotaCaps(caps))).collect()
    }

    /// Removes closed segments that hold no entry of the programs in `stored_programs`. Removes nothing while no
    /// segment is open, since only a new segment repeats the state and the caps.
    fn remove_unused_segments(&mut self, stored_programs: &HashSet<ProgramKey>) {
        if self.open.is_none() {
            return;
        }
        let (folder, reader) = (&self.folder, &self.reader);
        self.closed.retain(|segment| {
            let is_used = segment.programs.iter().any(|program| stored_programs.contains(program));
            if !is_used {
                reader.close(segment.number);
                // If the file cannot be removed it does no harm: it is read again at the next start.
                let _ = fs::remove_file(segment_path(folder, segment.number));
            }
            is_used
        });
    }
}
