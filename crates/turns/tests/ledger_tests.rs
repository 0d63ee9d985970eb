//! Tests of a replica's ledger (merging, queries and expiry) and of the assembly of chains.

use foxnotch_membership::Millis;
use foxnotch_turns::budget::BudgetView;
use foxnotch_turns::chain::{compose_body, ChainAssembly, NO_TURN};
use foxnotch_turns::ledger::Ledger;
use foxnotch_wire::{
    Chain, ChainLink, Content, DiskIdentity, NodeId, ProgramKey, ReplicaReport, ReplicaStanding, RunLocation,
    TurnEntry, TurnId, TurnRecord, NOT_SETTLED,
};
use std::sync::Arc;

const START: Millis = Millis(1_000_000);

fn reserved(turn: u128, program: u64, tokens: u32) -> TurnEntry {
    TurnEntry {
        turn: TurnId(turn),
        program: ProgramKey(program),
        retention_ms: 60_000,
        reserved: tokens,
        used: NOT_SETTLED,
        run_location: None,
        elsewhere: None,
        record: Vec::new(),
    }
}

fn recorded(turn: u128, program: u64, previous: u128, input: &str, output: &str) -> TurnEntry {
    let record = TurnRecord {
        previous: TurnId(previous),
        engine: 0,
        regions: Vec::new(),
        input: Content::from(input.as_bytes().to_vec()),
        output: Content::from(output.as_bytes().to_vec()),
    };
    TurnEntry { used: 5, record: vec![record], ..reserved(turn, program, 80) }
}

fn replica_report(node: u32) -> ReplicaReport {
    let own = DiskIdentity { node: NodeId(node), disk: u64::from(node) };
    ReplicaReport { own, standing: ReplicaStanding::Counts, others: Vec::new() }
}

#[test]
fn a_settlement_is_never_reverted() {
    let mut ledger = Ledger::default();
    ledger.add_entry(recorded(1, 7, 0, "in", "out\n"), START);
    ledger.add_entry(reserved(1, 7, 80), START);
    let charges = ledger.charges(ProgramKey(7));
    assert_eq!(charges.len(), 1);
    assert_eq!(charges[0].tokens, 5);
    assert_eq!(ledger.chain(TurnId(1)).len(), 1);
}

/// A turn that ran under an entry reserved ahead has its record under the turn's own identifier. An earlier attempt of
/// the turn may have left a reservation under the same identifier on other replicas.
#[test]
fn an_entry_with_only_a_record_hides_no_reservation() {
    let only_record = TurnEntry { used: NOT_SETTLED, reserved: 0, ..recorded(1, 7, 0, "in", "out\n") };
    let (mut with_reservation, mut without) = (Ledger::default(), Ledger::default());
    with_reservation.add_entry(reserved(1, 7, 80), START);
    for ledger in [&mut with_reservation, &mut without] {
        ledger.add_entry(only_record.clone(), START);
    }
    let mut merged_view = BudgetView::default();
    for ledger in [&with_reservation, &without] {
        merged_view.merge_charges(&ledger.charges(ProgramKey(7)));
    }
    assert_eq!(merged_view.charged_tokens(), 80);
    // After the release of the reservation the turn charges nothing, also on a replica that never had the reservation.
    without.add_entry(TurnEntry { used: 0, ..reserved(1, 7, 0) }, START);
    merged_view.merge_charges(&without.charges(ProgramKey(7)));
    assert_eq!(merged_view.charged_tokens(), 0);
}

#[test]
fn a_chain_is_read_from_the_newest_turn_back() {
    let mut ledger = Ledger::default();
    ledger.add_entry(recorded(1, 7, 0, "a", "b\n"), START);
    ledger.add_entry(recorded(2, 7, 1, "c", "d\n"), START);
    ledger.add_entry(recorded(3, 7, 1, "x", "y\n"), START);
    let turns: Vec<u128> = ledger.chain(TurnId(2)).iter().map(|link| link.turn.0).collect();
    assert_eq!(turns, vec![2, 1]);
    assert!(ledger.chain(TurnId(9)).is_empty());
}

#[test]
fn an_engine_gets_inputs_and_outputs_oldest_first_and_then_the_new_input() {
    let mut ledger = Ledger::default();
    ledger.add_entry(recorded(1, 7, 0, "a", "b\n"), START);
    ledger.add_entry(recorded(2, 7, 1, "c", "d\n"), START);
    let mut assembly = ChainAssembly::default();
    assembly.add_reply(TurnId(2), Chain { report: replica_report(1), links: ledger.chain(TurnId(2)), elsewhere: 0 });
    let chain = assembly.chain_ending_with(TurnId(2)).expect("the chain is complete");
    assert_eq!(compose_body(&chain, b"e"), b"ab\ncd\ne");
}

#[test]
fn a_chain_is_assembled_from_several_replicas() {
    let record = |previous| {
        Arc::new(TurnRecord {
            previous: TurnId(previous),
            engine: 0,
            regions: Vec::new(),
            input: Content::default(),
            output: Content::default(),
        })
    };
    let mut assembly = ChainAssembly::default();
    let link = ChainLink { turn: TurnId(2), record: (*record(1)).clone() };
    assembly.add_reply(TurnId(2), Chain { report: replica_report(1), links: vec![link], elsewhere: 0 });
    assert_eq!(assembly.chain_ending_with(TurnId(2)), Err(TurnId(1)));
    assert_eq!(assembly.denial_count(), 0);
    assembly.insert(TurnId(1), record(0));
    assert!(assembly.chain_ending_with(TurnId(2)).is_ok());
    assert_eq!(assembly.chain_ending_with(NO_TURN), Ok(Vec::new()));
}

#[test]
fn replicas_without_the_newest_turn_deny_it() {
    let mut assembly = ChainAssembly::default();
    assembly.add_reply(TurnId(2), Chain { report: replica_report(1), links: Vec::new(), elsewhere: 0 });
    let refilling = ReplicaReport { standing: ReplicaStanding::Refilling, ..replica_report(2) };
    assembly.add_reply(TurnId(2), Chain { report: refilling, links: Vec::new(), elsewhere: 0 });
    assert_eq!(assembly.denial_count(), 1);
}

#[test]
fn a_program_expires_as_a_whole_after_its_retention() {
    let mut ledger = Ledger::default();
    ledger.add_entry(recorded(1, 7, 0, "a", "b\n"), START);
    ledger.add_entry(recorded(2, 7, 1, "c", "d\n"), START.plus(50_000));
    assert_eq!(ledger.remove_expired_programs(START.plus(109_000)), 0);
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger.remove_expired_programs(START.plus(200_000)), 1);
    assert!(ledger.is_empty());
    assert_eq!(ledger.record_bytes(), 0);
}

#[test]
fn a_program_is_stored_as_long_as_one_that_continues_it() {
    let mut ledger = Ledger::default();
    ledger.add_entry(recorded(1, 7, 0, "a", "b\n"), START);
    ledger.add_entry(recorded(2, 8, 1, "c", "d\n"), START.plus(50_000));
    ledger.remove_expired_programs(START.plus(100_000));
    assert_eq!(ledger.chain(TurnId(2)).len(), 2);
}

#[test]
fn turns_with_more_information_on_another_replica_are_pulled() {
    let mut full = Ledger::default();
    full.add_entry(recorded(1, 7, 0, "a", "b\n"), START);
    full.add_entry(reserved(2, 7, 80), START);
    let mut other = Ledger::default();
    other.add_entry(reserved(1, 7, 80), START);
    let mut missing = other.turns_to_pull(&full.marks());
    missing.sort();
    assert_eq!(missing, vec![TurnId(1), TurnId(2)]);
    assert!(full.turns_to_pull(&other.marks()).is_empty());
}

#[test]
fn a_late_older_entry_does_not_remove_the_run_location() {
    let run_location = RunLocation { engine: 7, part: 2, prompt_tokens: 900 };
    let mut ledger = Ledger::default();
    ledger.add_entry(reserved(1, 9, 80), START);
    ledger.add_entry(TurnEntry { used: 5, run_location: Some(run_location), ..reserved(1, 9, 80) }, START);
    ledger.add_entry(reserved(1, 9, 80), START);
    assert_eq!(ledger.run_locations(ProgramKey(9)), vec![run_location]);
}

#[test]
fn the_longest_prompt_of_each_last_part_is_reported() {
    let mut ledger = Ledger::default();
    let run_locations = [(1, 7, 2, 900), (2, 8, 2, 1200), (3, 9, 2, 1000), (4, 9, 3, 100)]
        .map(|(turn, engine, part, prompt_tokens)| (turn, RunLocation { engine, part, prompt_tokens }));
    for (turn, run_location) in run_locations {
        ledger.add_entry(TurnEntry { run_location: Some(run_location), ..reserved(turn, 9, 80) }, START);
    }
    let mut reported = ledger.run_locations(ProgramKey(9));
    reported.sort_by_key(|run_location| run_location.part);
    assert_eq!(reported, vec![run_locations[1].1, run_locations[3].1]);
}

#[test]
fn failed_engines_are_reported_in_addition_to_run_locations() {
    let mut ledger = Ledger::default();
    let run_locations = [
        RunLocation { engine: 7, part: 2, prompt_tokens: 900 },
        RunLocation::failure_at(8),
        RunLocation::failure_at(8),
        RunLocation::failure_at(9),
    ];
    for (turn, run_location) in (1..).zip(run_locations) {
        ledger.add_entry(TurnEntry { run_location: Some(run_location), ..reserved(turn, 1, 80) }, START);
    }
    let mut reported = ledger.run_locations(ProgramKey(1));
    reported.sort_by_key(|run_location| run_location.engine);
    assert_eq!(reported, vec![run_locations[0], RunLocation::failure_at(8), RunLocation::failure_at(9)]);
}

#[test]
fn a_charge_reports_whether_its_turn_is_settled() {
    let entry = |used| TurnEntry { used, ..reserved(1, 2, 80) };
    let settled =
        |ledger: &Ledger| ledger.charges(ProgramKey(2)).iter().map(|charge| charge.settled).collect::<Vec<_>>();
    let mut ledger = Ledger::default();
    ledger.add_entry(entry(NOT_SETTLED), Millis(0));
    assert_eq!(settled(&ledger), vec![0]);
    // The turn used all of its reservation, so the number of tokens alone does not show that it is settled.
    ledger.add_entry(entry(80), Millis(0));
    assert_eq!(settled(&ledger), vec![1]);
}
