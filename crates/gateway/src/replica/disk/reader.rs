//! Reads single records from the segments.

use super::segments::segment_path;
use crate::locks::lock;
use foxnotch_turns::ledger::StoredRecord;
use foxnotch_turns::segment::{read_single_frame, FrameRange, Record, SegmentError};
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The most segments whose files are kept open for reading.
const MAX_OPEN_FILES: usize = 16;

/// The place of a record in the segments of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The number of the segment.
    segment: u32,
    range: FrameRange,
}

impl RecordLocation {
    /// The place of a frame in the segment with this number.
    ///
    /// # Errors
    /// When there have been more segments than numbers for them, which takes over a thousand years.
    pub(super) fn new(segment: u64, range: FrameRange) -> io::Result<Self> {
        let segment = u32::try_from(segment).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        Ok(Self { segment, range })
    }
}

impl StoredRecord for RecordLocation {
    fn record_bytes(&self) -> usize {
        self.range.length.get() as usize
    }
}

/// Why a stored record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file system returned an error.
    #[error("a stored record cannot be read ({0}); check the disk")]
    Io(#[from] io::Error),
    /// The bytes are no valid record.
    #[error(transparent)]
    Segment(#[from] SegmentError),
}

/// The open files with their segment numbers, the most recently used last.
type OpenFiles = VecDeque<(u32, Arc<File>)>;

/// Reads records, and keeps the files of a few segments open.
#[derive(Clone)]
pub(super) struct Reader {
    folder: Arc<PathBuf>,
    files: Arc<Mutex<OpenFiles>>,
}

impl Reader {
    pub(super) fn new(folder: &Path) -> Self {
        Self { folder: Arc::new(folder.to_owned()), files: Arc::default() }
    }

    pub(super) fn read(&self, location: RecordLocation) -> Result<Record, ReadError> {
        let RecordLocation { segment, range } = location;
        let mut bytes = vec![0; range.length.get() as usize];
        self.file(segment)?.read_exact_at(&mut bytes, u64::from(range.offset))?;
        Ok(read_single_frame(&bytes)?)
    }

    fn file(&self, segment: u32) -> io::Result<Arc<File>> {
        let mut files = lock(&self.files);
        let known = files.iter().position(|(number, _)| *number == segment).and_then(|index| files.remove(index));
        let opened = match known {
            Some(opened) => opened,
            None => (segment, Arc::new(File::open(segment_path(&self.folder, u64::from(segment)))?)),
        };
        let file = opened.1.clone();
        files.push_back(opened);
        if files.len() > MAX_OPEN_FILES {
            files.pop_front();
        }
        Ok(file)
    }

    /// Closes the file of a segment that is removed, so that its space becomes free.
    pub(super) fn close(&self, segment: u64) {
        lock(&self.files).retain(|(number, _)| u64::from(*number) != segment);
    }
}
