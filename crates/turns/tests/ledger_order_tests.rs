//! What a ledger holds does not depend on the order in which entries come: in the order of the writes, in the order of
//! another replica's marks, in parts, more than once, or from the disk after a restart.

use foxnotch_membership::Millis;
use foxnotch_turns::ledger::Ledger;
use foxnotch_wire::{Content, ProgramKey, RecordElsewhere, TurnEntry, TurnId, TurnMark, TurnRecord, NOT_SETTLED};
use proptest::prelude::*;
use proptest::sample::Index;

const NOW: Millis = Millis(1_000_000);
/// The longest retention of an entry, in seconds.
const MAX_RETENTION_S: u32 = 120;
/// Time after which every program has expired, in seconds.
const ALL_EXPIRED_S: u64 = 200;

/// One write of a turn.
#[derive(Clone, Copy, Debug)]
enum Write {
    Reservation,
    Settlement,
    Record,
    /// The record is on other replicas.
    Elsewhere,
}

/// A turn: its program, the index of the turn that it continues among the earlier ones, its retention and its writes.
#[derive(Clone, Debug)]
struct Turn {
    program: u64,
    previous: Option<Index>,
    retention_s: u32,
    writes: Vec<Write>,
}

fn turns() -> impl Strategy<Value = Vec<Turn>> {
    let write =
        prop_oneof![Just(Write::Reservation), Just(Write::Settlement), Just(Write::Record), Just(Write::Elsewhere)];
    let turn =
        (1_u64..6, prop::option::weighted(0.8, any::<Index>()), 1..MAX_RETENTION_S, prop::collection::vec(write, 1..4));
    let turn =
        turn.prop_map(|(program, previous, retention_s, writes)| Turn { program, previous, retention_s, writes });
    prop::collection::vec(turn, 1..14)
}

fn entries(turns: &[Turn]) -> Vec<TurnEntry> {
    let mut entries = Vec::new();
    for (index, turn) in turns.iter().enumerate() {
        let previous = turn.previous.filter(|_| index > 0).map_or(0, |previous| previous.index(index) as u128 + 1);
        let reserved = TurnEntry {
            turn: TurnId(index as u128 + 1),
            program: ProgramKey(turn.program),
            retention_ms: turn.retention_s * 1000,
            reserved: 80,
            used: NOT_SETTLED,
            run_location: None,
            elsewhere: None,
            record: Vec::new(),
        };
        let record = TurnRecord {
            previous: TurnId(previous),
            engine: 3,
            regions: Vec::new(),
            input: Content::from(vec![b'i'; index + 1]),
            output: Content::from(vec![b'o'; 2]),
        };
        let elsewhere = RecordElsewhere { previous: TurnId(previous), regions: Vec::new() };
        entries.extend(turn.writes.iter().map(|write| match write {
            Write::Reservation => reserved.clone(),
            Write::Settlement => TurnEntry { used: 5, ..reserved.clone() },
            Write::Record => TurnEntry { used: 5, record: vec![record.clone()], ..reserved.clone() },
            Write::Elsewhere => TurnEntry { used: 5, elsewhere: Some(elsewhere.clone()), ..reserved.clone() },
        }));
    }
    entries
}

fn ledger_of<'a>(entries: impl IntoIterator<Item = &'a TurnEntry>) -> Ledger {
    let mut ledger = Ledger::default();
    entries.into_iter().for_each(|entry| ledger.add_entry(entry.clone(), NOW));
    ledger
}

/// Adds to `ledger` what it lacks of `other`, in the order that `order` gives to the other's marks.
fn pull(ledger: &mut Ledger, other: &Ledger, order: &[Index]) {
    let mut marks: Vec<TurnMark> = other.marks();
    marks.sort_by_key(|mark| mark.turn);
    let marks = shuffled(&marks, order);
    for turn in ledger.turns_to_pull(&marks) {
        let entry = other.entry(turn).expect("a replica has what it lists");
        ledger.add_entry(entry, NOW);
    }
}

fn shuffled<T: Clone>(items: &[T], order: &[Index]) -> Vec<T> {
    let mut left = items.to_vec();
    let mut shuffled = Vec::new();
    for index in order.iter().cycle() {
        if left.is_empty() {
            break;
        }
        shuffled.push(left.swap_remove(index.index(left.len())));
    }
    shuffled
}

/// The stored turns with their reservations, settlements, charges and chains, and the turns that are left at each second.
fn contents_over_time(ledger: &Ledger, turn_count: usize) -> (Vec<String>, Vec<Vec<u128>>) {
    let mut ledger = ledger.clone();
    let describe = |turn: u128| {
        let entry = ledger.entry(TurnId(turn))?;
        let chain: Vec<u128> = ledger.chain(TurnId(turn)).iter().map(|link| link.turn.0).collect();
        let charges = ledger.charges(entry.program);
        Some(format!("{turn} {entry:?} {chain:?} {charges:?}"))
    };
    let turns = (1..=turn_count as u128).filter_map(describe).collect();
    let at_second = |second: u64| {
        ledger.remove_expired_programs(NOW.plus(second * 1000));
        (1..=turn_count as u128).filter(|turn| ledger.entry(TurnId(*turn)).is_some()).collect()
    };
    (turns, (0..=ALL_EXPIRED_S).map(at_second).collect())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]

    /// Programs that continue turns of others lost the begin of their chains after replicas were refilled, because the
    /// entries of a refill come in another order than the writes.
    #[test]
    fn a_ledger_is_the_same_in_any_order_of_its_entries(
        turns in turns(),
        order in prop::collection::vec(any::<Index>(), 1..20),
        repeated in prop::collection::vec(any::<Index>(), 0..8),
    ) {
        let entries = entries(&turns);
        let expected = contents_over_time(&ledger_of(&entries), turns.len());
        prop_assert!(expected.1.last().is_some_and(Vec::is_empty));
        let mut other_order = shuffled(&entries, &order);
        other_order.extend(repeated.iter().map(|index| entries[index.index(entries.len())].clone()));
        prop_assert_eq!(&contents_over_time(&ledger_of(&other_order), turns.len()), &expected);

        // Parts of the entries are on two replicas; a third one pulls from both.
        let part = order[0].index(entries.len() + 1);
        let (first, second) = other_order.split_at(part);
        let mut refilled = Ledger::default();
        pull(&mut refilled, &ledger_of(first), &order);
        pull(&mut refilled, &ledger_of(second), &repeated.iter().chain(&order).copied().collect::<Vec<_>>());
        prop_assert_eq!(&contents_over_time(&refilled, turns.len()), &expected);
    }
}
