//! Logging of `foxnotch node`. Each line has the time, the level, the part of the process and one sentence.

use crate::settings::Settings;
use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// log4rs pattern of a line: time, level, part, sentence.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} {l} {t}: {m}{n}";

/// Names of the parts of the process that write log lines. They are used as log targets and printed in each line.
pub mod part {
    /// HTTP interface for callers and operators.
    pub const API: &str = "api";
    /// The node's state machine.
    pub const NODE: &str = "node";
    /// Messages between nodes.
    pub const PEER: &str = "peer";
    /// Storage of histories on disk.
    pub const DISK: &str = "disk";
    /// Engines and plain back ends.
    pub const ENGINE: &str = "engine";
    /// Client of the object API.
    pub const STORE: &str = "store";
    /// Client of the machine list.
    pub const MACHINES: &str = "machines";
    /// Start and stop of the process.
    pub const PROCESS: &str = "process";
    /// The names of all parts.
    pub const ALL: [&str; 8] = [API, NODE, PEER, DISK, ENGINE, STORE, MACHINES, PROCESS];
}

/// Starts logging with the level and file of the settings. Of the libraries' lines, only warnings and errors are
/// written.
///
/// # Errors
/// When the log file cannot be opened or logging was started before.
pub fn start(settings: &Settings) -> anyhow::Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &settings.log_file {
        Some(file) => {
            let built = FileAppender::builder().encoder(encoder).build(file);
            Box::new(built.with_context(|| {
                format!("log_file {} cannot be opened; check that its folder exists and is writable", file.display())
            })?)
        }
        None => Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build()),
    };
    let level: LevelFilter = settings.log_level.parse().unwrap_or(LevelFilter::Info);
    let mut config = Config::builder().appender(Appender::builder().build("log", appender));
    for name in part::ALL {
        config = config.logger(Logger::builder().build(name, level));
    }
    let config = config.build(Root::builder().appender("log").build(LevelFilter::Warn.min(level)))?;
    log4rs::init_config(config)?;
    Ok(())
}
