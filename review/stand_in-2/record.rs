//! The record of a case: what was sent, answered and run. Several processes append lines to one file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    started_ms: u128,
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis())
}

impl Record {
    /// Begins an empty record.
    pub fn begin(path: &Path) -> std::io::Result<Self> {
        File::create(path)?;
        Ok(Self { path: path.to_owned(), started_ms: now_ms() })
    }

    /// Continues the record of another process.
    pub fn join(path: &Path, started_ms: u128) -> Self {
        Self { path: path.to_owned(), started_ms }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn started_ms(&self) -> u128 {
        self.started_ms
    }

    /// Appends a line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", now_ms().saturating_sub(self.started_ms));
        let written = OpenOptions::new().append(true).open(&self.path).and_then(|mut f| f.write_all(line.as_bytes()));
        if let Err(error) = written {
            eprintln!("the record cannot be written: {error}");
        }
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}
