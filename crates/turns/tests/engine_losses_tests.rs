//! Tests of the records of engines that were lost under a request.

use foxnotch_membership::Millis;
use foxnotch_turns::engine_losses::{loss_entry, loss_program, served_entry, EngineLosses};
use foxnotch_turns::identity::{request_key, RequestKey};
use foxnotch_turns::ledger::Ledger;
use foxnotch_wire::{decode_rpc, encode_rpc_in_version, NodeId, ProtocolVersion, RpcBody, StoreEntry};
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(60);

fn key(body: &str) -> RequestKey {
    request_key([b"POST".as_slice(), body.as_bytes()])
}

/// Attempts of one request have one key; requests whose parts differ, or are split differently, have others.
#[test]
fn a_key_tells_requests_apart() {
    assert_eq!(key("a"), key("a"));
    assert_ne!(key("a"), key("b"));
    let split = |first: &'static str, second: &'static str| request_key([first.as_bytes(), second.as_bytes()]);
    assert_ne!(split("ab", "c"), split("a", "bc"));
}

/// A replica returns every lost engine, once each, and only those of the request.
#[test]
fn a_ledger_returns_all_losses_of_a_request() {
    let mut ledger = Ledger::default();
    let program = loss_program(key("a"));
    for engine in [7, 8, 8, 9] {
        ledger.add_entry(loss_entry(program, engine, RETENTION), Millis(0));
    }
    ledger.add_entry(loss_entry(loss_program(key("b")), 10, RETENTION), Millis(0));
    let losses = EngineLosses::from_run_locations(program, &ledger.run_locations(program));
    assert_eq!(losses.engines().iter().copied().collect::<Vec<_>>(), [7, 8, 9]);
    assert_eq!(losses.since_served(), 3);
}

/// Losses from before a request was served no longer count; later ones do.
#[test]
fn a_served_request_begins_anew() {
    let mut ledger = Ledger::default();
    let program = loss_program(key("a"));
    let losses = |ledger: &Ledger| EngineLosses::from_run_locations(program, &ledger.run_locations(program));
    for engine in [7, 8] {
        ledger.add_entry(loss_entry(program, engine, RETENTION), Millis(0));
    }
    ledger.add_entry(served_entry(program, 2, RETENTION), Millis(0));
    assert_eq!((losses(&ledger).total(), losses(&ledger).since_served()), (2, 0));
    ledger.add_entry(loss_entry(program, 9, RETENTION), Millis(0));
    ledger.add_entry(served_entry(program, 1, RETENTION), Millis(0));
    assert_eq!(losses(&ledger).since_served(), 1);
}

/// The records do not change the charges of programs, and have a form that nodes of older builds can read.
#[test]
fn nodes_of_older_builds_can_read_a_record() {
    let program = loss_program(key("a"));
    let mut ledger = Ledger::default();
    for entry in [loss_entry(program, 7, RETENTION), served_entry(program, 1, RETENTION)] {
        let request = RpcBody::StoreEntry(StoreEntry { set_version: 3, entry: entry.clone() });
        let bytes =
            encode_rpc_in_version(ProtocolVersion::Seven, NodeId(1), 5, request.clone()).expect("it can be said");
        assert_eq!(decode_rpc(&bytes).expect("it can be read").body, request);
        ledger.add_entry(entry, Millis(0));
    }
    assert!(ledger.charges(program).is_empty());
}
