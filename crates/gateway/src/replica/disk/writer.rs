//! The thread that writes: it takes what waits, appends it and syncs once for all.

use super::records::{newest_caps, newest_state};
use super::segments::{segment_path, sync_folder, ClosedSegment, OpenSegment};
use super::{DiskError, Job};
use crate::logging::part;
use foxnotch_turns::segment::{QuotaCap, QuotaCaps, Record, ReplicaState};
use foxnotch_wire::ProgramKey;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::{fs, io};

/// Jobs that are synced together at most: it bounds how long the first of them waits.
const JOBS_PER_SYNC: usize = 512;

/// The segments of a folder, and what each new one has to begin with.
pub(super) struct Writer {
    pub(super) folder: PathBuf,
    /// The number of the next segment.
    pub(super) next: u64,
    pub(super) open: Option<OpenSegment>,
    /// Oldest first.
    pub(super) closed: VecDeque<ClosedSegment>,
    pub(super) state: Option<ReplicaState>,
    pub(super) caps: BTreeMap<u64, u32>,
}

impl Writer {
    /// Carries out jobs until the last [`super::Disk`] is gone.
    pub(super) fn run(mut self, queue: &Receiver<Job>) {
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
            // A caller that has given up meanwhile does not need the outcome.
            let _ = done.send(outcome.clone());
        }
    }

    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if self.open.as_ref().is_some_and(OpenSegment::is_full) {
            self.closed.extend(self.open.take().map(OpenSegment::close));
        }
        if let Some(state) = newest_state(records) {
            self.state = Some(state.clone());
        }
        self.caps.extend(newest_caps(records));
        let mut open = match self.open.take() {
            Some(open) => open,
            None => self.begin_segment()?,
        };
        match open.append(records) {
            Ok(()) => {
                self.open = Some(open);
                Ok(())
            }
            Err(error) => {
                // What cannot be cut off either is found by the checksums at the next start, and left out there.
                let _ = open.cut_unsynced();
                self.closed.push_back(open.close());
                Err(error)
            }
        }
    }

    fn begin_segment(&mut self) -> io::Result<OpenSegment> {
        let number = self.next;
        self.next += 1;
        let mut segment = OpenSegment::create(&self.folder, number)?;
        let first = self.first_records();
        if let Err(error) = segment.append(&first).and_then(|()| sync_folder(&self.folder)) {
            // A file that stays holds only what the next segment begins with as well.
            let _ = fs::remove_file(segment_path(&self.folder, number));
            return Err(error);
        }
        Ok(segment)
    }

    /// What each segment begins with, since the ones before it may be removed.
    fn first_records(&self) -> Vec<Record> {
        let caps = self.caps.iter().map(|(tenant, requests)| QuotaCap { tenant: *tenant, requests: *requests });
        let caps = QuotaCaps { caps: caps.collect() };
        let state = self.state.clone().map(Record::State);
        state.into_iter().chain((!caps.caps.is_empty()).then_some(Record::QuotaCaps(caps))).collect()
    }

    /// Removes closed segments that hold nothing of the programs that are still held. Not before an open segment holds
    /// the state and the caps.
    fn remove_unused(&mut self, held: &HashSet<ProgramKey>) {
        if self.open.is_none() {
            return;
        }
        let folder = self.folder.clone();
        self.closed.retain(|segment| {
            let is_used = segment.programs.iter().any(|program| held.contains(program));
            if !is_used {
                // A file that stays is read again at the next start and does no harm.
                let _ = fs::remove_file(segment_path(&folder, segment.number));
            }
            is_used
        });
    }
}
