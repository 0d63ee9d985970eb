//! Tests of the entries that tell at which software version streams began.

use foxnotch_membership::Millis;
use foxnotch_turns::identity::{program_key, turn_id};
use foxnotch_turns::ledger::Ledger;
use foxnotch_turns::stream_origin::{origin_entry, origin_in, origin_program, StreamOrigin};
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(16);

fn origin() -> StreamOrigin {
    StreamOrigin::new("drafts", "v1")
}

#[test]
fn an_origin_is_read_back_from_a_ledger_until_its_retention_has_passed() {
    let mut ledger = Ledger::default();
    ledger.add_entry(origin_entry("", "a1", 7, origin(), RETENTION), Millis(0));
    let program = origin_program("", "a1");
    assert_eq!(origin_in(&ledger.run_locations(program)), Some(origin()));
    assert_eq!(origin_in(&ledger.run_locations(origin_program("", "a2"))), None);
    ledger.remove_expired_programs(Millis(16_000));
    assert_eq!(origin_in(&ledger.run_locations(program)), Some(origin()));
    ledger.remove_expired_programs(Millis(60_000));
    assert_eq!(origin_in(&ledger.run_locations(program)), None);
}

/// A write that is repeated late must not replace the origin under which the stream was resumed already.
#[test]
fn the_first_origin_stays() {
    let mut ledger = Ledger::default();
    for version in ["v1", "v2"] {
        let origin = StreamOrigin::new("drafts", version);
        ledger.add_entry(origin_entry("", "a1", 7, origin, RETENTION), Millis(0));
    }
    assert_eq!(origin_in(&ledger.run_locations(origin_program("", "a1"))), Some(origin()));
}

#[test]
fn services_and_versions_have_different_origins() {
    let origins = [origin(), StreamOrigin::new("drafts", "v2"), StreamOrigin::new("plans", "v1")];
    let joined =
        [StreamOrigin::new("drafts", ""), StreamOrigin::new("draft", "sv1"), StreamOrigin::new("", "draftsv1")];
    let all: std::collections::HashSet<StreamOrigin> = origins.into_iter().chain(joined).collect();
    assert_eq!(all.len(), 6);
}

/// The entry charges nothing, so that it takes no tokens from any budget, and it is not one of the caller's turns.
#[test]
fn an_origin_is_no_turn_of_the_callers_program() {
    let entry = origin_entry("hule930", "a1", 7, origin(), RETENTION);
    assert_eq!((entry.charged_tokens(), entry.text_bytes()), (0, 0));
    assert_ne!(entry.turn, turn_id("hule930", "a1"));
    assert_ne!(entry.program, program_key("hule930", "a1"));
    assert_ne!(entry.program, origin_program("", "a1"));
}
