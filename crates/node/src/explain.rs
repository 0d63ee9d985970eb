//! Explains from the logs of gateways and replicas, and from nothing else, how a call ended.
//!
//! The identifier of a program can be given instead of a call's. The calls of the program are found by the log lines
//! that contain both identifiers. All lines of these calls, including replicas' lines that contain a call's turn
//! identifier, are printed in order of time. The last line of the output states how the call ended and why. For a
//! program, it is about one call only: the call of the last log line that shows a dispatch or an end.

use foxnotch_turns::identity::turn_id;
use foxnotch_wire::TurnId;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Text of the log line in which a process reports a pause, that is, a time in which it did not run at all.
const PAUSE_MARK: &str = "The process stood still";
/// Time after a call's last line in which a reported pause is still attributed to the call, in seconds. A process logs
/// a pause only once it runs again.
const PAUSE_MARGIN_S: f64 = 1.0;

/// One line of a log file.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// Seconds since midnight, or since the start of a simulation.
    seconds: f64,
    /// Name of the process that wrote the line.
    process: String,
    /// The line without its time.
    text: String,
}

/// Why [`explain`] failed.
#[derive(Debug, thiserror::Error)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[error("the log file {0} cannot be read ({1}); check the path")]
    Unreadable(PathBuf, io::Error),
    /// No log line contains the identifier.
    #[error("no log line contains {0}; check the identifier, and pass the logs of all gateways")]
    Unknown(String),
}

/// Texts of log lines that show how a call ended, each with the explanation that is printed for it. For a line, the
/// first entry whose text it contains applies, so specific texts come before general ones.
const CAUSES: &[(&str, &str)] = &[
    (
        "cause=no_configuration",
        "refused, not run: the gateway had not received a configuration yet (see its 'view:' and 'store:' lines)",
    ),
    (
        "cause=configuration_behind",
        "refused, not run: the gateway's configuration denied its route, its key or its body's length, and the gateway had not received a newer configuration yet (see its 'view:' lines)",
    ),
    (
        "cause=configuration_unconfirmed",
        "refused, not run: the stored configuration denied its route, its key or its body's length, and the platform's store had not confirmed that configuration yet (see the 'view:' lines)",
    ),
    ("cause=stopping", "refused, not run: the gateway was shutting down and could not have completed it in time"),
    ("cause=no_route", "refused, not run: no route of the configuration in force serves its host and path"),
    (
        "cause=key_denied",
        "refused, not run: no tenant of the configuration in force has its key (see the line with the key and the version)",
    ),
    ("cause=over_limit", "refused, not run: its tenant was over its limit (see the line with the tenant, the limit and the version)"),
    ("cause=limit_unknown", "refused, not run: no replica answered, so it was unknown whether its tenant was over its limit"),
    ("cause=malformed", "refused, not run: the request could not be read"),
    ("cause=too_large", "refused, not run: its body is larger than the limit"),
    ("cause=buffers_full", "refused, not run: the gateway held as many bytes as its memory allows"),
    ("cause=no_room", "refused, not run: no engine had free capacity"),
    (
        "cause=no_engine_reachable",
        "refused, not run: none of the engines that may serve it could be reached (see the 'engine:' lines that name the unreachable ones)",
    ),
    ("cause=zones_drained", "refused, not run: an operator has drained every zone that has an engine for it (see the line that names the zones)"),
    ("cause=no_common_region", "refused, not run: its route and its tenant allow no region in common"),
    ("cause=no_engine_in_regions", "refused, not run: its service has no engine in the regions that it is restricted to"),
    (
        "cause=none_in_service_in_regions",
        "refused, not run: no engine of its service was accepting requests in the regions that it is restricted to",
    ),
    (
        "cause=not_kept_in_regions",
        "refused, not run: no replica is in the regions that it is restricted to, so its turn could not be stored",
    ),
    (
        "cause=chain_outside_regions",
        "refused, not run: the turns that it continues are restricted to regions that its route and tenant do not allow",
    ),
    ("cause=no_quorum", "refused, not run: too few replicas answered in time to reserve its tokens"),
    ("cause=chain_unknown", "refused, not run: too few replicas answered to read the turn that it continues"),
    ("cause=no_such_turn", "refused, not run: the turn that it continues does not exist"),
    ("cause=budget_spent", "refused, not run: its program's token budget was exhausted"),
    (
        "cause=budget_unknown",
        "refused, not run: its program's budget covers it only if tokens that a gateway reserved ahead are unused, and that gateway did not answer (see the line 'Budget not known')",
    ),
    (
        "cause=stream_version_unknown",
        "refused, not run: it resumes a stream that engines of any of several software versions may have begun",
    ),
    (
        "cause=stream_version_gone",
        "refused, not run: no engine of the software version that began the stream it resumes was in service",
    ),
    (
        "cause=engine_losses_unknown",
        "refused, not run: how many engines had ended under it could not be read from the replicas or recorded there",
    ),
    (
        "cause=engines_ended",
        "failed: engines ended while they ran it, so it was sent to no other engine; it may have run (see the line 'engines ended under it')",
    ),
    ("cause=out_of_time", "refused, not run: its deadline passed before an engine had free capacity"),
    ("cause=may_have_run", "failed: the engine's answer was lost; it may have run and was not sent again"),
    ("cause=timed_out", "failed: no answer came before its deadline; it may have run"),
    ("the engine broke off", "aborted: the engine's stream ended early"),
    ("the caller left", "aborted: the caller closed the connection"),
    ("the time was over", "aborted: its deadline passed before the stream had ended"),
    ("the turn could not be kept", "aborted: too few replicas answered to store the finished turn"),
    ("status=200", "answered"),
    ("status=", "answered by the engine with an error status"),
    ("answered:", "answered"),
    (" sent:", "sent to an engine; these logs do not show how it ended (the process stopped, or its log is missing)"),
];

/// Explains the call or program `identifier` from the log files `files`. Returns the log lines of the call, or of all
/// calls of the program, in order of time, and after them the cause.
///
/// # Errors
/// Any [`ExplainError`].
pub fn explain(identifier: &str, files: &[PathBuf]) -> Result<String, ExplainError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    let calls = find_calls(identifier, &lines);
    let identifiers: Vec<String> =
        calls.iter().flat_map(|call| [call.clone(), find_turn_id(call, &lines).to_string()]).collect();
    let mut call_lines: Vec<&LogLine> =
        lines.iter().filter(|line| identifiers.iter().any(|known| line.text.contains(known.as_str()))).collect();
    if call_lines.is_empty() {
        return Err(ExplainError::Unknown(identifier.to_owned()));
    }
    call_lines.sort_by(|left, right| left.seconds.total_cmp(&right.seconds));
    let pauses = pauses_during(&call_lines, &lines);
    let mut text = String::new();
    for line in call_lines.iter().chain(&pauses) {
        text.push_str(&format!("{:>12.4} {} {}\n", line.seconds, line.process, line.text));
    }
    let pause_note = if pauses.is_empty() { "" } else { "; its process was paused meanwhile" };
    text.push_str(&format!("cause: {}{pause_note}\n", last_cause(&call_lines)));
    Ok(text)
}

/// Lines that report a pause, from processes that logged something about the call. The lines are limited to the time
/// from the call's first line to [`PAUSE_MARGIN_S`] after its last.
fn pauses_during<'a>(call_lines: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let (Some(first), Some(last)) = (call_lines.first(), call_lines.last()) else { return Vec::new() };
    let is_involved = |line: &LogLine| call_lines.iter().any(|known| known.process == line.process);
    let is_during = |line: &LogLine| line.seconds >= first.seconds && line.seconds <= last.seconds + PAUSE_MARGIN_S;
    lines.iter().filter(|line| line.text.contains(PAUSE_MARK) && is_involved(line) && is_during(line)).collect()
}

/// The identifiers of the calls of the program `identifier`. If no line names such a program, `identifier` is returned
/// as the identifier of a call.
fn find_calls(identifier: &str, lines: &[LogLine]) -> BTreeSet<String> {
    let program = format!("program={identifier} ");
    let program_calls =
        lines.iter().filter(|line| line.text.contains(&program)).filter_map(|line| parse_call_id(&line.text));
    let calls: BTreeSet<String> = program_calls.collect();
    if calls.is_empty() {
        BTreeSet::from([identifier.to_owned()])
    } else {
        calls
    }
}

/// The turn identifier that replicas use for a call. It is derived from the call's identifier and its tenant. The
/// tenant is read from the call's log lines and is empty if no line names one.
fn find_turn_id(call: &str, lines: &[LogLine]) -> TurnId {
    let mark = format!("Call {call} ");
    let call_lines = lines.iter().filter(|line| line.text.contains(&mark));
    let tenant =
        call_lines.filter_map(|line| line.text.split_once(" tenant=")).find_map(|(_, rest)| rest.split(' ').next());
    turn_id(tenant.unwrap_or_default(), call)
}

/// The call identifier that follows `Call ` in a line.
fn parse_call_id(text: &str) -> Option<String> {
    let (_, rest) = text.split_once("Call ")?;
    rest.split_whitespace().next().map(str::to_owned)
}

/// The explanation for the last line that matches an entry of [`CAUSES`], with the process and time of the line.
fn last_cause(call_lines: &[&LogLine]) -> String {
    for line in call_lines.iter().rev() {
        if let Some((_, cause)) = CAUSES.iter().find(|(mark, _)| line.text.contains(mark)) {
            return format!("{cause} ({} at {:.4})", line.process, line.seconds);
        }
    }
    "none of these log lines shows how the call ended".to_owned()
}

fn read_log(path: &Path) -> Result<Vec<LogLine>, ExplainError> {
    let bytes = fs::read(path).map_err(|error| ExplainError::Unreadable(path.to_owned(), error))?;
    let process = path.file_stem().map_or(String::new(), |name| name.to_string_lossy().into_owned());
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(|line| parse_line(line, &process)).collect())
}

/// Parses `12:03:04.005 INFO call: …`, or `SECONDS PROCESS 12:03:04.005 INFO call: …` from a merged log of many
/// processes. Returns none for any other form.
fn parse_line(line: &str, process: &str) -> Option<LogLine> {
    let line = line.trim_start();
    let (first, rest) = line.split_once(' ')?;
    if let Some(seconds) = parse_time_of_day(first) {
        return Some(LogLine { seconds, process: process.to_owned(), text: rest.to_owned() });
    }
    let seconds: f64 = first.parse().ok()?;
    let (process, rest) = rest.trim_start().split_once(' ')?;
    let (time, text) = rest.trim_start().split_once(' ')?;
    parse_time_of_day(time)?;
    Some(LogLine { seconds, process: process.to_owned(), text: text.to_owned() })
}

/// Parses `HH:MM:SS.mmm` into seconds since midnight.
fn parse_time_of_day(text: &str) -> Option<f64> {
    let mut parts = text.splitn(3, ':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}
