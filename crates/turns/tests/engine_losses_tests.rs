//! Tests of the records of engines that were lost under a request.

use foxnotch_membership::Millis;
use foxnotch_turns::engine_losses::{
    loss_program, suspect_index, suspect_index_entry, suspects_in_index, EngineLosses, LossRecord, LostSend,
    RecordedSend, SendNumber,
};
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

fn send(engine: u32, number: u32) -> RecordedSend {
    RecordedSend { engine, number: SendNumber::from_random(number) }
}

fn losses_in(ledger: &Ledger, request: RequestKey) -> EngineLosses {
    let program = loss_program(request);
    EngineLosses::from_run_locations(program, &ledger.run_locations(program))
}

/// The engines of the lost sends.
fn lost_engines(losses: &EngineLosses) -> Vec<u32> {
    losses.lost().map(|lost| lost.engine).collect()
}

/// Number of sends under which engines may have ended.
fn possible_ends(losses: &EngineLosses) -> usize {
    losses.lost().count() + losses.open_sends().count()
}

/// A replica returns every lost engine, once each, and only those of the request.
#[test]
fn a_ledger_returns_all_losses_of_a_request() {
    let mut ledger = Ledger::default();
    let program = loss_program(key("a"));
    for engine in [7, 8, 8, 9] {
        ledger.add_entry(LossRecord::Loss(engine).entry(program, RETENTION), Millis(0));
    }
    ledger.add_entry(LossRecord::Loss(10).entry(loss_program(key("b")), RETENTION), Millis(0));
    let losses = losses_in(&ledger, key("a"));
    assert_eq!(lost_engines(&losses), [7, 8, 9]);
    assert_eq!(possible_ends(&losses), 3);
}

/// A send counts until its outcome is known, also if the same engine was sent to before. A loss counts for good.
#[test]
fn a_send_without_an_outcome_counts() {
    let mut ledger = Ledger::default();
    let program = loss_program(key("a"));
    let mut possible_ends_with = |record: LossRecord| {
        ledger.add_entry(record.entry(program, RETENTION), Millis(0));
        possible_ends(&losses_in(&ledger, key("a")))
    };
    assert_eq!(possible_ends_with(LossRecord::Loss(7)), 1);
    assert_eq!(possible_ends_with(LossRecord::Send(send(8, 100))), 2);
    assert_eq!(possible_ends_with(LossRecord::Send(send(9, 200))), 3);
    assert_eq!(possible_ends_with(LossRecord::Outcome(send(8, 100))), 2);
    assert_eq!(possible_ends_with(LossRecord::Send(send(8, 300))), 3);
    assert_eq!(possible_ends_with(LossRecord::LostSend(send(8, 300))), 3);
    // The loss of the engine that older builds read is that of the same send.
    assert_eq!(possible_ends_with(LossRecord::Loss(8)), 3);
    assert_eq!(possible_ends_with(LossRecord::Outcome(send(9, 200))), 2);
    assert_eq!(possible_ends_with(LossRecord::End(10)), 3);
    assert_eq!(lost_engines(&losses_in(&ledger, key("a"))), [8, 7, 10]);
}

/// A node that has not heard of the outcome of a send counts it once, together with another that knows it as lost.
#[test]
fn a_send_that_is_lost_at_the_engine_chosen_later_counts_once() {
    let number = SendNumber::from_random(14);
    let records = [
        LossRecord::Send(RecordedSend::before_choice(number)),
        LossRecord::LostSend(RecordedSend { engine: 3, number }),
    ];
    assert_eq!(possible_ends(&EngineLosses::of_records(&records)), 1);
}

/// An engine that was lost, was started again and was lost once more counts twice.
#[test]
fn two_lost_sends_to_one_engine_count_twice() {
    let records = [7, 8].map(|number| LossRecord::LostSend(send(1, number)));
    let losses = EngineLosses::of_records(&[records[0], records[1], LossRecord::Loss(1)]);
    assert_eq!(possible_ends(&losses), 2);
}

/// What one gateway tells another of its sends counts there as it does here.
#[test]
fn sends_that_are_listed_count_like_the_records() {
    let program = loss_program(key("a"));
    let records = [LossRecord::LostSend(send(1, 7)), LossRecord::Loss(2), LossRecord::Send(send(3, 9))];
    let losses = EngineLosses::of_records(&records);
    let mut told = EngineLosses::default();
    for lost in losses.lost() {
        let (listed_program, record) = LostSend::from_listed_location(lost.listed_location(program));
        assert_eq!(listed_program, program);
        told.add(record);
    }
    for open in losses.open_sends() {
        let (listed_program, open) = RecordedSend::from_listed_location(open.listed_location(program));
        assert_eq!(listed_program, program);
        told.add(LossRecord::Send(open));
    }
    assert_eq!(told, losses);
    assert_eq!(EngineLosses::from_run_locations(program, &losses.run_locations(program)), losses);
}

/// The order in which nodes learn records does not matter, nor how often.
#[test]
fn losses_of_several_nodes_merge_in_any_order() {
    let records = [
        LossRecord::Loss(7),
        LossRecord::End(7),
        LossRecord::Send(send(8, 2)),
        LossRecord::Outcome(send(8, 2)),
        LossRecord::Send(send(9, 4)),
    ];
    let merge = |order: &[usize]| {
        let mut all = EngineLosses::default();
        for index in order {
            let mut one = EngineLosses::default();
            one.add(records[*index]);
            all.merge(&one);
        }
        all
    };
    let expected = merge(&[0, 1, 2, 3, 4]);
    assert_eq!(possible_ends(&expected), 2);
    for order in [[4, 3, 2, 1, 0].as_slice(), &[3, 2, 3, 1, 4, 0, 2], &[1, 0, 4, 3, 2, 4]] {
        assert_eq!(merge(order), expected);
    }
}

/// The records do not change the charges of programs, and have a form that nodes of older builds can read.
#[test]
fn nodes_of_older_builds_can_read_a_record() {
    let program = loss_program(key("a"));
    let mut ledger = Ledger::default();
    let records = [
        LossRecord::Loss(7),
        LossRecord::End(7),
        LossRecord::Send(send(8, u32::MAX)),
        LossRecord::Outcome(send(8, u32::MAX)),
        LossRecord::LostSend(send(8, 0)),
    ];
    for entry in records.map(|record| record.entry(program, RETENTION)) {
        let request = RpcBody::StoreEntry(StoreEntry { set_version: 3, entry: entry.clone() });
        let bytes =
            encode_rpc_in_version(ProtocolVersion::Seven, NodeId(1), 5, request.clone()).expect("it can be said");
        assert_eq!(decode_rpc(&bytes).expect("it can be read").body, request);
        ledger.add_entry(entry, Millis(0));
    }
    assert!(ledger.charges(program).is_empty());
    assert!(!ledger.run_locations(program).iter().any(foxnotch_wire::RunLocation::is_failure));
}

/// The build before this one stores losses and that the request was served since. Its losses count, whatever it served.
#[test]
fn losses_that_an_older_build_stored_count() {
    let program = loss_program(key("a"));
    let hash = |text: &str| xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    let loss = |engine: u32| foxnotch_wire::RunLocation {
        engine,
        part: hash(&format!("{:016x} {engine}", program.0)),
        prompt_tokens: 0,
    };
    let served =
        foxnotch_wire::RunLocation { engine: 0, part: hash(&format!("{:016x} served", program.0)), prompt_tokens: 2 };
    let losses = EngineLosses::from_run_locations(program, &[loss(7), loss(8), served, loss(9)]);
    assert_eq!(possible_ends(&losses), 3);
}

/// A replica returns each request of the suspect index once.
#[test]
fn the_suspect_index_lists_each_request_once() {
    let mut ledger = Ledger::default();
    let programs = [loss_program(key("a")), loss_program(key("b"))];
    for program in [programs[0], programs[1], programs[0]] {
        ledger.add_entry(suspect_index_entry(program, RETENTION), Millis(0));
    }
    let mut listed: Vec<_> = suspects_in_index(&ledger.run_locations(suspect_index())).collect();
    listed.sort_by_key(|program| *program != programs[0]);
    assert_eq!(listed, programs);
    ledger.remove_expired_programs(Millis(100_000));
    assert_eq!(suspects_in_index(&ledger.run_locations(suspect_index())).count(), 0);
}
