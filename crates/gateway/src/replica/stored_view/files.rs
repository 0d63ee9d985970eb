//! The files in which a replica stores the parts of the view: configuration, engines and drained zones.
//!
//! Each part has two files. A write overwrites and syncs the file with the older version and leaves the other one
//! unchanged, so the previous version survives a failed or torn write. No file is renamed, since a loss of power may
//! undo a rename as well.

use crate::logging::part;
use foxnotch_turns::stored_view_file::{decode_file, encode_file, PartKind, StoredViewFileError};
use foxnotch_wire::{NodeId, StoredPart};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Number of files of each part. While one is written, the other holds the previous version.
const FILES_PER_PART: usize = 2;

/// The files of one part.
#[derive(Debug)]
pub struct StoredViewFiles {
    folder: PathBuf,
    node: NodeId,
    kind: PartKind,
    /// The revision of the part in each file; 0 when the file is missing or cannot be used.
    revisions: [u64; FILES_PER_PART],
}

/// The content of a part's files.
#[derive(Debug, Default)]
pub struct StoredContent {
    /// The newest version of the part that can be used; empty, with revision 0, if there is none.
    pub part: StoredPart,
    /// Whether there were files and none could be used, so that an unknown version may have been stored.
    pub is_lost: bool,
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("the file cannot be read ({0}); replace the disk if this persists")]
    Disk(#[from] io::Error),
    #[error(transparent)]
    Content(#[from] StoredViewFileError),
}

impl StoredViewFiles {
    /// Reads the files of a part and returns the newest version. A file that cannot be used is logged and ignored.
    pub fn open(folder: &Path, node: NodeId, kind: PartKind) -> (Self, StoredContent) {
        let mut files = Self { folder: folder.to_owned(), node, kind, revisions: [0; FILES_PER_PART] };
        let mut content = StoredContent::default();
        let mut unusable = 0;
        for slot in 0..FILES_PER_PART {
            match files.read(slot) {
                Ok(Some(part)) => {
                    files.revisions[slot] = part.revision;
                    if part.revision > content.part.revision {
                        content.part = part;
                    }
                }
                Ok(None) => {}
                Err(error) => {
                    unusable += 1;
                    log::warn!(
                        target: part::DISK,
                        "File {}, which stores a part of the view, cannot be used and is ignored: {error}.",
                        files.path(slot).display(),
                    );
                }
            }
        }
        content.is_lost = unusable > 0 && content.part.revision == 0;
        (files, content)
    }

    fn path(&self, slot: usize) -> PathBuf {
        self.folder.join(format!("view-{}-{slot}", self.kind.name()))
    }

    /// Reads the part in a file; none when the file does not exist.
    fn read(&self, slot: usize) -> Result<Option<StoredPart>, ReadError> {
        let bytes = match fs::read(self.path(slot)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        Ok(Some(decode_file(self.node, self.kind, &bytes)?))
    }

    /// Overwrites the file that holds the older version, and returns once it is synced.
    ///
    /// # Errors
    /// When the write fails; the other file is unchanged.
    pub fn write(&mut self, part: &StoredPart) -> io::Result<()> {
        let bytes = encode_file(self.node, self.kind, part)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let slot = if self.revisions[0] <= self.revisions[1] { 0 } else { 1 };
        // Even if the write fails, the file no longer holds its old version.
        self.revisions[slot] = 0;
        let mut file = File::create(self.path(slot))?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        File::open(&self.folder)?.sync_all()?;
        self.revisions[slot] = part.revision;
        Ok(())
    }
}
