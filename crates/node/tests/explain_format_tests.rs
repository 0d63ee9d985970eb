//! Tests the format of the gateway's log lines that `foxnotch explain` reads. The gateway's sources have to write these
//! lines, and `explain` has to explain each cause of a refusal. The gateway's `refusal_format_tests.rs` lists the same
//! causes. Operators' own tools read these lines too.
//!
//! When a line is changed, change the text that `explain.rs` searches for and the list here as well.

use foxnotch::explain::explain;
use rstest::rstest;
use std::fs;
use std::path::Path;

/// The beginnings of log lines, with `{}` for each value.
const LINES: [&str; 9] = [
    "\"Call {} sent: program={} tenant={} route={} engine={} ",
    "\"Call {} answered: route={} service={} engine={} status={} after={}.\"",
    "\"Call {} answered: route={} service={} engine={} events={} after={}.\"",
    "\"Call {} refused: cause={} status={} after={}: {}.\"",
    "\"Call {} broken off: route={} service={} engine={} events={} after={}: {}.\"",
    "\"Call {} broken off: after={}: the caller left.\"",
    "\"Call {} leaves its region: program={} ",
    "\"Call {} may not begin: program={} ",
    "\"The process stood still: for={}. ",
];

/// The reasons that log lines about streams that ended early give.
const ENDS: [&str; 4] = [
    "\"the engine broke off ({})\"",
    "\"the caller left\"",
    "\"the time was over\"",
    "\"the turn could not be kept ({})\"",
];

/// log4rs pattern with which the gateway writes a line: time of day, level, part and sentence.
const PATTERN: &str = "\"{d(%H:%M:%S%.3f)(utc)} {l} {t}: {m}{n}\"";

fn read_sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the path can be read").path();
        if path.is_dir() {
            text.push_str(&read_sources(&path));
        } else {
            text.push_str(&fs::read_to_string(&path).expect("the path can be read"));
        }
    }
    text
}

fn read_gateway_sources() -> String {
    read_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../gateway/src"))
}

/// Replaces each `{name}` in source text by `{}` and joins strings that continue on the next line, so that names of
/// variables and line breaks may change.
fn normalise_format_strings(text: &str) -> String {
    let mut plain = String::new();
    for (index, piece) in text.split('{').enumerate() {
        match piece.split_once('}') {
            Some((name, rest)) if index > 0 && !name.contains(['\n', ' ']) => {
                plain.push_str("{}");
                plain.push_str(rest);
            }
            _ if index > 0 => {
                plain.push('{');
                plain.push_str(piece);
            }
            _ => plain.push_str(piece),
        }
    }
    let mut joined = plain.split("\\\n").map(str::trim_start);
    let first = joined.next().unwrap_or_default().to_owned();
    joined.fold(first, |text, piece| text + piece)
}

#[test]
fn gateway_sources_write_the_lines_that_explain_reads() {
    let sources = normalise_format_strings(&read_gateway_sources());
    for text in LINES.iter().chain(&ENDS) {
        assert!(sources.contains(text), "no source file of the gateway writes {text}");
    }
    assert!(read_gateway_sources().contains(PATTERN));
}

/// The last line that `explain` prints for the call `c1` and a log that contains only `line`.
fn explain_line(line: &str) -> String {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = folder.path().join("gateway-1.log");
    fs::write(&file, format!("10:00:01.500 INFO call: {line}\n")).expect("the file can be written");
    let text = explain("c1", &[file]).expect("the log contains the call");
    text.lines().last().expect("the explanation has a last line").to_owned()
}

#[rstest]
#[case("no_configuration", 503, "had not received a configuration yet")]
#[case("configuration_behind", 503, "had not received a newer configuration")]
#[case("configuration_unconfirmed", 503, "had not confirmed that configuration")]
#[case("stopping", 503, "was shutting down")]
#[case("no_route", 404, "no route of the configuration")]
#[case("key_denied", 401, "no tenant of the configuration")]
#[case("over_limit", 429, "its tenant was over its limit")]
#[case("limit_unknown", 503, "no replica answered, so it was unknown whether its tenant")]
#[case("malformed", 400, "the request could not be read")]
#[case("too_large", 413, "its body is larger than the limit")]
#[case("buffers_full", 503, "held as many bytes as its memory allows")]
#[case("no_room", 503, "no engine had free capacity")]
#[case("zones_drained", 503, "an operator has drained every zone")]
#[case("no_common_region", 503, "allow no region in common")]
#[case("no_engine_in_regions", 503, "its service has no engine in")]
#[case("none_in_service_in_regions", 503, "was accepting requests in")]
#[case("not_kept_in_regions", 503, "no replica is in the regions")]
#[case("chain_outside_regions", 503, "the turns that it continues are restricted")]
#[case("no_quorum", 503, "too few replicas answered in time to reserve")]
#[case("chain_unknown", 503, "too few replicas answered to read the turn")]
#[case("no_such_turn", 404, "the turn that it continues does not exist")]
#[case("budget_spent", 402, "token budget was exhausted")]
#[case("budget_unknown", 503, "that gateway did not answer")]
#[case("stream_version_unknown", 503, "engines of any of several software versions may have begun")]
#[case("stream_version_gone", 503, "no engine of the software version that began the stream")]
#[case("engine_losses_unknown", 503, "how many engines had ended under it")]
#[case("engines_ended", 502, "engines ended while they ran it")]
#[case("out_of_time", 503, "its deadline passed before an engine had free capacity")]
#[case("may_have_run", 502, "the engine's answer was lost")]
#[case("timed_out", 504, "no answer came before its deadline")]
fn refusal_is_explained(#[case] name: &str, #[case] status: u16, #[case] cause: &str) {
    let explained = explain_line(&format!("Call c1 refused: cause={name} status={status} after=1ms: x."));
    assert!(explained.starts_with("cause: ") && explained.contains(cause), "{explained}");
}

#[rstest]
#[case("Call c1 broken off: route=r events=2 after=1ms: the engine broke off (x).", "the engine's stream ended early")]
#[case("Call c1 broken off: after=1ms: the caller left.", "the caller closed the connection")]
#[case("Call c1 broken off: route=r events=2 after=1ms: the time was over.", "before the stream had ended")]
#[case("Call c1 broken off: route=r after=1ms: the turn could not be kept (x).", "too few replicas answered to store")]
#[case("Call c1 answered: route=r service=s engine=e status=200 after=1ms.", "cause: answered (")]
#[case(
    "Call c1 answered: route=r service=s engine=e status=500 after=1ms.",
    "answered by the engine with an error status"
)]
#[case("Call c1 answered: route=r service=s engine=e events=3 after=1ms.", "cause: answered (")]
#[case("Call c1 sent: program=p tenant=t route=r engine=e.", "these logs do not show how it ended")]
fn end_of_call_is_explained(#[case] line: &str, #[case] cause: &str) {
    let explained = explain_line(line);
    assert!(explained.contains(cause), "{explained}");
}
