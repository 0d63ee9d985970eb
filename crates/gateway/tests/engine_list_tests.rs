//! Tests lists of engines that nodes update by changes instead of whole lists, in any order and from any node.

use foxnotch_gateway::peers::engine_list::{ApplyOutcome, EngineChanges, EngineList};
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::peers::view_exchange;
use foxnotch_gateway::ports::configuration::EngineEntry;
use foxnotch_wire::ViewUpdate;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

fn engine(id: usize, slots: u32) -> EngineEntry {
    EngineEntry {
        id: format!("e{id}"),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", 1000 + id),
        zone: "z".to_owned(),
        slots,
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version: Some(String::new()),
    }
}

fn engines(count: usize) -> Vec<EngineEntry> {
    (0..count).map(|id| engine(id, 1)).collect()
}

fn change_of(entry: EngineEntry) -> EngineChanges {
    EngineChanges { changed: vec![entry], gone: Vec::new() }
}

#[test]
fn changes_that_build_on_a_newer_list_are_not_applied() {
    let mut list = EngineList::default();
    assert_eq!(list.apply_changes(5, 6, change_of(engine(1, 1))), ApplyOutcome::Gap);
    assert!(list.replace(3, engines(2)));
    assert_eq!(list.apply_changes(5, 6, change_of(engine(1, 2))), ApplyOutcome::Gap);
    assert_eq!(list.apply_changes(2, 6, change_of(engine(1, 2))), ApplyOutcome::Applied);
    assert_eq!(list.apply_changes(2, 6, change_of(engine(1, 3))), ApplyOutcome::AlreadyKnown);
    assert_eq!((list.revision(), list.engines()[1].slots), (6, 2));
}

#[test]
fn a_node_with_too_old_a_list_or_too_many_changes_gets_the_whole_list() {
    let mut list = EngineList::default();
    list.replace(10, engines(3));
    assert_eq!(list.changes_since(9), None);
    for revision in 11..400 {
        list.apply_changes(revision - 1, revision, change_of(engine(0, revision as u32)));
    }
    assert_eq!(list.changes_since(11), None);
    assert_eq!(list.changes_since(398).map(|changes| changes.changed.len()), Some(1));
    let all = EngineChanges { changed: engines(3), gone: Vec::new() };
    list.apply_changes(399, 400, all);
    assert_eq!(list.changes_since(399), None);
}

/// Guards against needless traffic: in a fleet of 295 machines, each change of one of 153 engines sent the whole list,
/// some 30 KB, to each machine.
#[test]
fn a_change_of_one_engine_is_sent_in_a_few_hundred_bytes() {
    let (sender, receiver) = (ViewHolder::default(), ViewHolder::default());
    for view in [&sender, &receiver] {
        view.adopt_engines(10, engines(153), Origin::Store);
    }
    sender.adopt_engine_changes(10, 11, change_of(engine(7, 9)), Origin::Store);
    let known = ViewUpdate { engines_revision: 10, ..ViewUpdate::default() };
    let update = view_exchange::build_update_for_peer(&sender, &known);
    assert!(
        update.engines.bytes.len() < 400,
        "the update of the engine list is too large: {} bytes",
        update.engines.bytes.len()
    );
    view_exchange::adopt_update(&receiver, &update);
    assert_eq!(receiver.get().engines.value, sender.get().engines.value);
    assert_eq!(receiver.get().engines.revision, 11);
}

/// Returns the slots of each engine in the store at `revision`, by the engine's number. Each entry of `history` is the
/// change of one revision: the engine's number and its new slots, or `None` for a deletion. Revision 1 has six engines
/// with one slot each.
fn state_at(history: &[(usize, Option<u32>)], revision: u64) -> BTreeMap<usize, u32> {
    let mut state: BTreeMap<usize, u32> = (0..6).map(|id| (id, 1)).collect();
    for (id, slots) in &history[..revision as usize - 1] {
        match slots {
            Some(slots) => state.insert(*id, *slots),
            None => state.remove(id),
        };
    }
    state
}

fn list_at(history: &[(usize, Option<u32>)], revision: u64) -> Vec<EngineEntry> {
    state_at(history, revision).into_iter().map(|(id, slots)| engine(id, slots)).collect()
}

/// Returns the changes that a watch returns between two revisions.
fn changes_between(history: &[(usize, Option<u32>)], since: u64, revision: u64) -> EngineChanges {
    let touched: Vec<usize> = history[since as usize - 1..revision as usize - 1].iter().map(|(id, _)| *id).collect();
    let state = state_at(history, revision);
    let mut changes = EngineChanges::default();
    for id in touched {
        match state.get(&id) {
            Some(slots) => changes.changed.push(engine(id, *slots)),
            None => changes.gone.push(format!("e{id}")),
        }
    }
    changes
}

/// A step by which one of three nodes gets engines.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The node lists the engines at the revision at this fraction of the store's history.
    List(usize, f64),
    /// The node's watch returns the changes from its own revision to the one at this fraction of the history.
    Watch(usize, f64),
    /// The first node pulls the view from the second.
    Pull(usize, usize),
}

fn arbitrary_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 0.0..1.0).prop_map(|(node, fraction)| Step::List(node, fraction)),
        (0..3_usize, 0.0..1.0).prop_map(|(node, fraction)| Step::Watch(node, fraction)),
        (0..3_usize, 0..3_usize).prop_map(|(receiver, sender)| Step::Pull(receiver, sender)),
    ]
}

proptest! {
    /// A node's list equals the store's list at the same revision, whichever steps led to it.
    #[test]
    fn a_list_equals_the_stores_list_at_its_revision(
        history in proptest::collection::vec((0..6_usize, proptest::option::of(1..9_u32)), 20..60),
        steps in proptest::collection::vec(arbitrary_step(), 1..60),
    ) {
        let newest = history.len() as u64 + 1;
        let revision_at = |fraction: f64| 1 + (fraction * newest as f64) as u64;
        let nodes = [ViewHolder::default(), ViewHolder::default(), ViewHolder::default()];
        for step in steps {
            match step {
                Step::List(node, fraction) => {
                    let revision = revision_at(fraction).min(newest);
                    nodes[node].adopt_engines(revision, list_at(&history, revision), Origin::Store);
                }
                Step::Watch(node, fraction) => {
                    let since = nodes[node].get().engines.revision;
                    let revision = revision_at(fraction).min(newest);
                    if since > 0 && revision > since {
                        let changes = changes_between(&history, since, revision);
                        nodes[node].adopt_engine_changes(since, revision, changes, Origin::Store);
                    }
                }
                Step::Pull(receiver, sender) => {
                    let known = ViewUpdate {
                        engines_revision: nodes[receiver].get().engines.revision,
                        ..ViewUpdate::default()
                    };
                    view_exchange::adopt_update(
                        &nodes[receiver],
                        &view_exchange::build_update_for_peer(&nodes[sender], &known),
                    );
                }
            }
            for node in &nodes {
                let engines = node.get().engines;
                if engines.revision > 0 {
                    prop_assert_eq!(&*engines.value, &list_at(&history, engines.revision));
                }
            }
        }
    }
}

fn with_version(engine: EngineEntry, version: Option<&str>) -> EngineEntry {
    EngineEntry { software_version: version.map(str::to_owned), ..engine }
}

fn versions(list: &EngineList) -> Vec<Option<&str>> {
    list.engines().iter().map(|engine| engine.software_version.as_deref()).collect()
}

/// Nodes of older builds send entries without software versions. Guards against a list that loses the versions it had,
/// or stays without them because the whole list has the same revision.
#[test]
fn missing_software_versions_are_filled_in_by_any_entry_of_the_same_start() {
    let mut list = EngineList::default();
    assert!(list.replace(10, vec![with_version(engine(0, 4), Some("v1")), with_version(engine(1, 4), None)]));
    assert_eq!(versions(&list), [Some("v1"), None]);
    // A newer list of an older build.
    assert!(list.replace(11, vec![with_version(engine(0, 6), None), with_version(engine(1, 6), None)]));
    assert_eq!(versions(&list), [Some("v1"), None]);
    // Newer changes of an older build.
    let changes = EngineChanges { changed: vec![with_version(engine(0, 8), None)], gone: Vec::new() };
    assert_eq!(list.apply_changes(11, 12, changes), ApplyOutcome::Applied);
    assert_eq!(versions(&list), [Some("v1"), None]);
    // The same revision, and an older one, from a node of this build.
    let changes = |version| EngineChanges { changed: vec![with_version(engine(1, 4), version)], gone: Vec::new() };
    assert_eq!(list.apply_changes(11, 12, changes(None)), ApplyOutcome::AlreadyKnown);
    assert_eq!(list.apply_changes(10, 11, changes(Some("v2"))), ApplyOutcome::VersionsFilledIn);
    assert_eq!(versions(&list), [Some("v1"), Some("v2")]);
    assert_eq!((list.revision(), list.engines()[1].slots), (12, 6));
    // A version that is known stays, whatever an older list says.
    assert_eq!(list.apply_changes(10, 11, changes(Some("v3"))), ApplyOutcome::AlreadyKnown);
    assert!(!list.replace(12, vec![with_version(engine(1, 4), Some("v3"))]));
    assert_eq!(versions(&list), [Some("v1"), Some("v2")]);
}

/// A node of an older build also leaves out when an engine started and how long it stays cold. Guards against a list
/// that keeps such an entry until the next change, although the store sends the whole one at the same revision.
#[rstest]
#[case::by_the_list(true)]
#[case::by_changes(false)]
fn the_whole_entry_of_the_same_revision_replaces_an_older_nodes_partial_one(#[case] by_list: bool) {
    let whole = EngineEntry { started_at_ms: Some(1000), cold_left_ms: 3000, ..with_version(engine(0, 4), Some("v1")) };
    let partial = EngineEntry { started_at_ms: None, cold_left_ms: 0, software_version: None, ..whole.clone() };
    let mut list = EngineList::default();
    assert!(list.replace(10, vec![partial.clone()]));
    // An older revision may describe another start of the engine.
    let changes = |entry: &EngineEntry| EngineChanges { changed: vec![entry.clone()], gone: Vec::new() };
    assert_eq!(list.apply_changes(8, 9, changes(&whole)), ApplyOutcome::AlreadyKnown);
    assert_eq!(list.engines()[0], partial);
    if by_list {
        assert!(list.replace(10, vec![whole.clone()]));
    } else {
        assert_eq!(list.apply_changes(9, 10, changes(&whole)), ApplyOutcome::VersionsFilledIn);
    }
    assert_eq!(list.engines()[0], whole);
    assert!(!list.replace(10, vec![partial]));
}

#[test]
fn a_software_version_is_not_filled_in_from_another_start_of_the_engine() {
    let first = EngineEntry { started_at_ms: Some(1000), ..with_version(engine(0, 4), Some("v1")) };
    let second = EngineEntry { started_at_ms: Some(2000), ..with_version(engine(0, 4), None) };
    let moved = EngineEntry { address: "10.0.0.9:81".to_owned(), started_at_ms: Some(1000), ..second.clone() };
    for other_start in [second, moved] {
        let mut list = EngineList::default();
        assert!(list.replace(10, vec![first.clone()]));
        assert!(list.replace(11, vec![other_start]));
        assert_eq!(versions(&list), [None]);
    }
}
