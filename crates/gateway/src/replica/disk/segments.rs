//! The segment files of a folder: their names, and appending to the open one.

use super::reader::RecordLocation;
use super::records::program_of;
use foxnotch_turns::segment::{append_frame, FrameRange, Record};
use foxnotch_wire::ProgramKey;
use std::collections::HashSet;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Size of a segment, in bytes, above which a new segment is begun. A segment is removed as a whole, so it should be
/// much smaller than the data of a replica.
const MAX_SEGMENT_BYTES: u64 = 4 << 20;
/// Age of a segment above which a new segment is begun, so that a replica with few writes can free space as well.
const MAX_SEGMENT_AGE: Duration = Duration::from_secs(15);
/// The prefix of the names of segment files.
const FILE_NAME_PREFIX: &str = "turns-";

/// The path of a segment's file.
pub(super) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FILE_NAME_PREFIX}{number:010}"))
}

/// The numbers of the segments in a folder, ascending. Other files are ignored.
pub(super) fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(FILE_NAME_PREFIX))
            .and_then(|digits| digits.parse::<u64>().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// A segment that is no longer written to.
pub(super) struct ClosedSegment {
    pub(super) number: u64,
    /// The programs of its entries.
    pub(super) programs: HashSet<ProgramKey>,
}

/// The segment that is written to.
pub(super) struct OpenSegment {
    number: u64,
    file: File,
    /// Number of bytes that were written and synced.
    bytes: u64,
    started_at: Instant,
    programs: HashSet<ProgramKey>,
}

impl OpenSegment {
    /// Creates the file of a segment.
    pub(super) fn create(folder: &Path, number: u64) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(segment_path(folder, number))?;
        Ok(Self { number, file, bytes: 0, started_at: Instant::now(), programs: HashSet::new() })
    }

    /// Whether a new segment should be begun.
    pub(super) fn is_full_or_old(&self) -> bool {
        self.bytes > MAX_SEGMENT_BYTES || self.started_at.elapsed() > MAX_SEGMENT_AGE
    }

    /// Appends records and syncs them. Returns the place of each record.
    pub(super) fn append(&mut self, records: &[Record]) -> io::Result<Vec<RecordLocation>> {
        let mut buffer = Vec::new();
        let mut locations = Vec::with_capacity(records.len());
        for record in records {
            let start = buffer.len();
            append_frame(&mut buffer, record).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            let range = FrameRange::between(self.bytes as usize + start, self.bytes as usize + buffer.len());
            let range = range.ok_or_else(|| io::Error::new(io::ErrorKind::FileTooLarge, "the segment is too long"))?;
            locations.push(RecordLocation::new(self.number, range)?);
        }
        self.file.write_all(&buffer)?;
        self.file.sync_data()?;
        self.bytes += buffer.len() as u64;
        self.programs.extend(records.iter().filter_map(program_of));
        Ok(locations)
    }

    /// Truncates the file to the bytes that are synced.
    pub(super) fn truncate_unsynced(&self) -> io::Result<()> {
        self.file.set_len(self.bytes)
    }

    /// Closes the segment; nothing is written to it afterwards.
    pub(super) fn close(self) -> ClosedSegment {
        ClosedSegment { number: self.number, programs: self.programs }
    }
}

/// Syncs a folder, so that the names of new files in it survive a loss of power.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
