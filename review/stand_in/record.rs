//! What was sent, run and answered, and the rules that are checked on it.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// One try of a client.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// Whether more than one run is allowed.
    pub may_repeat: bool,
    /// The engines that began work on it, in order.
    pub runs: Vec<String>,
    /// The status that the client got; `None` without an answer.
    pub status: Option<u16>,
    /// Whether the client got an answer that is not complete or not that of the engine.
    pub wrong: Option<String>,
    /// How long the client waited, in milliseconds.
    pub waited_ms: u64,
}

/// The record of a run.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
    attempts: Mutex<BTreeMap<String, Attempt>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Mutex::default(), attempts: Mutex::default() }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {text}"));
    }

    pub fn sent(&self, attempt: &str, may_repeat: bool, what: &str) {
        self.line(&format!("client {attempt} sends {what}"));
        let record = Attempt { may_repeat, ..Attempt::default() };
        self.attempts.lock().unwrap().insert(attempt.to_owned(), record);
    }

    pub fn ran(&self, attempt: &str, engine: &str) {
        self.line(&format!("engine {engine} runs {attempt}"));
        self.attempts.lock().unwrap().entry(attempt.to_owned()).or_default().runs.push(engine.to_owned());
    }

    pub fn answered(&self, attempt: &str, status: Option<u16>, wrong: Option<String>, waited_ms: u64) {
        let text = status.map_or("no answer".to_owned(), |status| status.to_string());
        self.line(&format!("client {attempt} gets {text} after {waited_ms} ms"));
        if let Some(known) = self.attempts.lock().unwrap().get_mut(attempt) {
            known.status = status;
            known.wrong = wrong;
            known.waited_ms = waited_ms;
        }
    }

    pub fn attempts(&self) -> BTreeMap<String, Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    /// Requests that may not be repeated and ran more than once.
    pub fn twice(&self) -> Vec<String> {
        let attempts = self.attempts();
        let twice = attempts.iter().filter(|(_, attempt)| !attempt.may_repeat && attempt.runs.len() > 1);
        twice.map(|(name, attempt)| format!("TWICE {name} ran at {:?}", attempt.runs)).collect()
    }

    /// Requests that may not be repeated, ran, and were refused as not run.
    pub fn falsely_refused(&self) -> Vec<String> {
        let attempts = self.attempts();
        let is_false = |attempt: &Attempt| {
            !attempt.may_repeat && !attempt.runs.is_empty() && matches!(attempt.status, Some(408 | 421 | 429 | 503))
        };
        let refused = attempts.iter().filter(|(_, attempt)| is_false(attempt));
        refused.map(|(name, attempt)| format!("REFUSED {name} got {:?}, ran at {:?}", attempt.status, attempt.runs)).collect()
    }

    /// Writes all lines and the findings to a file.
    pub fn write(&self, path: &Path, findings: &[String]) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        writeln!(file, "--- {} findings", findings.len())?;
        findings.iter().try_for_each(|finding| writeln!(file, "{finding}"))
    }
}
