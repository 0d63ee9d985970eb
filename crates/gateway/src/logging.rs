//! Logs to standard output: one short sentence per line, with the name of the part of the program before it.
//!
//! Lines are passed to a writer thread over a bounded queue. When standard output is too slow, or more lines than the
//! limit arrive in a second, lines are dropped and counted; no request ever waits for a log line.
//!
//! Uses `log4rs` for the format of lines and for levels, but not its appender for standard output, which would block on
//! a full pipe.

use crate::locks::lock;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The format of a line: time of day (UTC), level, part, sentence. `foxnotch explain` parses it.
const PATTERN: &str = "{d(%H:%M:%S%.3f)(utc)} {l} {t}: {m}{n}";
/// Maximum number of lines in the queue: enough for more than two seconds at [`LINES_PER_SECOND`].
const QUEUE_LINES: usize = 1024;
/// Maximum number of lines per second. Warnings and errors are written even above this limit. The limit bounds the
/// processor time that log lines cost in a burst of requests.
const LINES_PER_SECOND: u64 = 400;
/// Maximum number of lines that are written with one system call.
const LINES_PER_WRITE: usize = 64;
/// The longest time that the process waits at its end until the queued lines are written. It is part of the time of a
/// planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two checks whether the queued lines are written.
const FLUSH_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// The longest time until dropped lines are reported.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The parts of the program that log, as they appear before each sentence. Operators filter lines by them.
pub mod part {
    /// Start, stop and reloading of the settings.
    pub const PROCESS: &str = "process";
    /// Callers' requests.
    pub const CALL: &str = "call";
    /// Engines: sends to them, their warmth and reachability.
    pub const ENGINE: &str = "engine";
    /// Turns and budgets.
    pub const TURN: &str = "turn";
    /// Messages and connections between nodes.
    pub const PEER: &str = "peer";
    /// This node's view of the platform: the configuration, engines, drained zones and the replica set.
    pub const VIEW: &str = "view";
    /// The platform's store.
    pub const STORE: &str = "store";
    /// The replica process.
    pub const REPLICA: &str = "replica";
    /// Files on disk.
    pub const DISK: &str = "disk";
    /// All parts. Lines of other targets come from libraries.
    pub const ALL: [&str; 9] = [PROCESS, CALL, ENGINE, TURN, PEER, VIEW, STORE, REPLICA, DISK];
}

/// Number of lines dropped since the start of the process.
static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines that are queued and not yet written.
static LINES_QUEUED: AtomicU64 = AtomicU64::new(0);

/// The number of lines dropped since the start because standard output was too slow or the limit was reached.
pub(crate) fn dropped_line_count() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Counts the lines of the current second.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    lines: u64,
}

/// The `log4rs` appender that passes lines to the writer thread.
#[derive(Debug)]
struct QueueAppender {
    encoder: PatternEncoder,
    queue: SyncSender<Vec<u8>>,
    rate_window: Mutex<RateWindow>,
}

impl QueueAppender {
    /// Counts a line, and returns whether it is within [`LINES_PER_SECOND`].
    fn count_line_and_check_limit(&self) -> bool {
        let mut rate_window = lock(&self.rate_window);
        if rate_window.started_at.elapsed() >= Duration::from_secs(1) {
            *rate_window = RateWindow { started_at: Instant::now(), lines: 0 };
        }
        rate_window.lines += 1;
        rate_window.lines <= LINES_PER_SECOND
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.count_line_and_check_limit() && record.level() > log::Level::Warn {
            LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(200));
        self.encoder.encode(&mut line, record)?;
        LINES_QUEUED.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(line.0).is_err() {
            LINES_QUEUED.fetch_sub(1, Ordering::Relaxed);
            LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes queued lines until the process ends, and reports how many lines were dropped.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut reported_dropped = 0;
    loop {
        let mut lines = 1;
        let mut text = match queue.recv_timeout(REPORT_PERIOD) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                lines = 0;
                Vec::new()
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        while lines < LINES_PER_WRITE {
            let Ok(line) = queue.try_recv() else { break };
            text.extend_from_slice(&line);
            lines += 1;
        }
        let dropped = dropped_line_count();
        if dropped > reported_dropped {
            text.extend_from_slice(
                format!(
                    "log: {} lines were dropped, because there were too many in a second or standard output was too \
                     slow.\n",
                    dropped - reported_dropped
                )
                .as_bytes(),
            );
            reported_dropped = dropped;
        }
        // If standard output cannot be written, there is nowhere to report it.
        let _ = output.write_all(&text);
        LINES_QUEUED.fetch_sub(lines as u64, Ordering::Relaxed);
    }
}

/// Waits until the queued lines are written, at most [`FLUSH_TIMEOUT`]. Lines logged later may be lost.
pub fn flush_pending_lines() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while LINES_QUEUED.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_CHECK_PERIOD);
    }
}

/// Starts logging at a level. Libraries log only warnings and errors.
///
/// # Errors
/// If logging was started before, or the writer thread cannot be started.
pub fn start(level: &str) -> anyhow::Result<()> {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&lines, std::io::stdout()))?;
    let rate_window = Mutex::new(RateWindow { started_at: Instant::now(), lines: 0 });
    let appender = QueueAppender { encoder: PatternEncoder::new(PATTERN), queue, rate_window };
    // The validation of the settings has refused any other level.
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let mut config = Config::builder().appender(Appender::builder().build("stdout", Box::new(appender)));
    for name in part::ALL {
        config = config.logger(Logger::builder().build(name, level));
    }
    let root = Root::builder().appender("stdout").build(LevelFilter::Warn.min(level));
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}
