//! Compares the rules of a replica set with the reference rules, for all sets and pulls up to a small size.

mod support;

use foxnotch_turns::replica_set::{
    self, check_change_allowed, check_pull_sufficient, check_retirement_complete, decide_bootstrap, decide_join,
    decide_refill_completion, decide_removal_before_join, decide_replacement, decide_retirement,
    majority_overlap_quorum, member_to_remove, refill_quorum, BootstrapDecision, JoinChange, JoinFacts, MissingTexts,
    NewestVersion, PulledReplica, RefillDecision, RefillFacts, RetirementDecision, RetirementFacts, SilentNodes,
    SyncedMember, Tolerance, WaitReason,
};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};
use rstest::rstest;
use std::time::Duration;
use support::reference_rules::{self, JoinKind, Newest, Pulled, Texts, WaitCause};
use support::sets::{grown_set, member, select_by_bits, shrunk_set};

/// A node that is a member of no set.
const NON_MEMBER: NodeId = NodeId(90);

fn wait_cause(reason: WaitReason) -> WaitCause {
    match reason {
        WaitReason::NotSynced { version } => WaitCause::NotSynced(version),
        WaitReason::TooFewRemain { remaining } => WaitCause::TooFewRemain(remaining),
        WaitReason::LastInRegions => WaitCause::LastInRegions,
        WaitReason::MembersNotRead { count } => WaitCause::MembersNotRead(count),
        WaitReason::TextsMissing { missing, not_read } => WaitCause::TextsMissing { missing, unread: not_read },
        WaitReason::TooFewComplete { read, .. } | WaitReason::EarlierVersionNotCovered { read } => {
            WaitCause::TooFewRead(read)
        }
        WaitReason::NewestNotConfirmed { version } => WaitCause::NotConfirmed(version),
    }
}

fn reference_newest(newest: NewestVersion) -> Newest {
    match newest {
        NewestVersion::NotChecked => Newest::NotChecked,
        NewestVersion::Confirmed => Newest::Confirmed,
        NewestVersion::NotConfirmed => Newest::NotConfirmed,
    }
}

/// The sets with `size` members: one that has just grown, one that has just shrunk and, for a size of 2, one in which a
/// member was just replaced.
fn sets_with_size(size: u32) -> Vec<ReplicaSet> {
    let grown = grown_set(size);
    let mut sets = vec![grown.clone(), shrunk_set(size)];
    if size == 2 {
        sets.push(replica_set::with_replacement(&grown, NodeId(2), member(8)));
    }
    sets
}

/// All nodes from which a replica may pull: the members of the set and of its previous version.
fn members_and_previous_members(set: &ReplicaSet) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = set.members.iter().chain(&set.previous).map(|member| member.node).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

/// The possible results of a pull from one node: nothing was pulled, the node is incomplete, or it is complete and
/// synced to version 0, to the previous version or to the current one.
const PULL_STATES: u32 = 5;

/// Decodes the results of the pulls from `nodes`. `code` has one digit in base [`PULL_STATES`] for each node.
fn pulled(set: &ReplicaSet, nodes: &[NodeId], mut code: u32) -> Vec<PulledReplica> {
    let mut pulled = Vec::new();
    for node in nodes {
        let state = code % PULL_STATES;
        code /= PULL_STATES;
        let (complete, synced) = match state {
            0 => continue,
            1 => (false, 0),
            2 => (true, 0),
            3 => (true, set.version - 1),
            _ => (true, set.version),
        };
        pulled.push(PulledReplica { node: *node, complete, synced, known_replicas: Vec::new() });
    }
    pulled
}

fn as_reference_input(pulled: &[PulledReplica]) -> Vec<Pulled> {
    let pulled = pulled.iter();
    pulled.map(|known| Pulled { node: known.node, complete: known.complete, synced: known.synced }).collect()
}

/// The missing texts as the rules and as the reference rules take them.
fn missing_texts(count: usize, gone: &[NodeId]) -> (MissingTexts, Texts) {
    let texts = MissingTexts { count, gone_members: gone.to_vec() };
    (texts, Texts { missing: count, gone: gone.to_vec() })
}

/// Calls `check` for each combination of a set of this size, a node that decides, and a result of its pull.
fn for_each_pull(size: u32, mut check: impl FnMut(&ReplicaSet, NodeId, &[PulledReplica])) {
    for set in sets_with_size(size) {
        let nodes = members_and_previous_members(&set);
        for own in [nodes[0], *nodes.last().expect("a set has members"), NON_MEMBER] {
            let others: Vec<NodeId> = nodes.iter().copied().filter(|node| *node != own).collect();
            for code in 0..PULL_STATES.pow(others.len() as u32) {
                check(&set, own, &pulled(&set, &others, code));
            }
        }
    }
}

#[rstest]
fn refill_decisions_match_the_reference(#[values(1, 2, 3, 4, 5)] size: u32, #[values(0, 1, 2, 3)] machines: usize) {
    let tolerance = Tolerance { machines, zones: 0 };
    for_each_pull(size, |set, own, pulled| {
        for version in [NewestVersion::NotChecked, NewestVersion::Confirmed, NewestVersion::NotConfirmed] {
            for (texts, reference_texts) in
                [missing_texts(0, &[]), missing_texts(3, &[]), missing_texts(3, &[NodeId(2)])]
            {
                let facts = RefillFacts { set, tolerance, own, pulled, newest: version };
                let expected = reference_rules::refill(
                    set,
                    tolerance,
                    own,
                    &as_reference_input(pulled),
                    reference_newest(version),
                    &reference_texts,
                );
                let has_unavailable = texts.count > 0;
                let decided = match decide_refill_completion(&facts, || texts) {
                    RefillDecision::Refilled(enough) => {
                        assert_eq!(enough.unavailable_texts.is_some(), has_unavailable);
                        Ok(enough.read)
                    }
                    RefillDecision::ConfirmNewest => Err(WaitCause::ConfirmNewest),
                    RefillDecision::Wait(wait) => Err(wait_cause(wait)),
                };
                assert_eq!(
                    decided, expected,
                    "set {set:?}, own node {own}, pulled {pulled:?}, newest version {version:?}"
                );
            }
        }
    });
}

#[rstest]
fn sync_decisions_match_the_reference(#[values(1, 2, 3, 4, 5)] size: u32, #[values(0, 1, 2, 3)] machines: usize) {
    let tolerance = Tolerance { machines, zones: 0 };
    for_each_pull(size, |set, own, pulled| {
        for own_synced in [0, set.version - 1] {
            for (texts, reference_texts) in
                [missing_texts(0, &[]), missing_texts(3, &[]), missing_texts(3, &[NodeId(2)])]
            {
                let own = SyncedMember { node: own, synced: own_synced };
                let expected =
                    reference_rules::sync(set, tolerance, own, &as_reference_input(pulled), &reference_texts);
                let decided = check_pull_sufficient(set, tolerance, own, pulled, || texts);
                assert_eq!(
                    decided.map(|enough| enough.read).map_err(wait_cause),
                    expected,
                    "set {set:?}, own member {own:?}, pulled {pulled:?}"
                );
            }
        }
    });
}

#[rstest]
fn join_decisions_match_the_reference(#[values(1, 2, 3, 4, 5)] size: u32) {
    for_each_pull(size, |set, own, pulled| {
        for dead in [None, Some(NodeId(2))] {
            for is_newly_started in [false, true] {
                let facts = JoinFacts { set, own, pulled, is_newly_started };
                let expected = reference_rules::join(set, own, &as_reference_input(pulled), dead, is_newly_started);
                let decided = decide_join(&facts, || dead).map_err(wait_cause);
                let decided = decided.map(|change| match change {
                    JoinChange::Replace(dead) => JoinKind::Replace(dead),
                    JoinChange::Add => JoinKind::Add,
                });
                assert_eq!(decided, expected, "set {set:?}, own node {own}, pulled {pulled:?}");
            }
        }
    });
}

#[rstest]
fn set_change_decisions_match_the_reference(
    #[values(1, 2, 3, 4, 5, 6, 7)] size: u32,
    #[values(0, 1, 2, 3)] machines: usize,
    #[values(0, 1)] zones: usize,
) {
    let tolerance = Tolerance { machines, zones };
    for set in sets_with_size(size) {
        let members: Vec<NodeId> = set.members.iter().map(|member| member.node).collect();
        for bits in 0..1_u32 << members.len() {
            let selected = select_by_bits(&members, bits);
            for is_unsynced in [false, true] {
                let changed = check_change_allowed(&set, &selected, is_unsynced).map_err(wait_cause);
                assert_eq!(changed, reference_rules::change(&set, &selected, is_unsynced));
            }
            for up in 0..=members.len() {
                let retired = check_retirement_complete(&set, &selected, up).map_err(wait_cause);
                assert_eq!(retired, reference_rules::retired(&set, &selected, up));
            }
            for own in members.iter().copied().chain([NON_MEMBER]) {
                let nobody = Vec::new();
                for (long_silent, gone_for_good) in [(&nobody, &nobody), (&selected, &nobody), (&selected, &selected)] {
                    let silent = SilentNodes { long_silent, gone_for_good };
                    let is_dead = |node| selected.contains(&node);
                    let removed = member_to_remove(&set, own, tolerance, silent, is_dead);
                    let expected = reference_rules::remove(&set, own, tolerance, long_silent, gone_for_good, is_dead);
                    assert_eq!(removed, expected);
                }
            }
            let replaced = decide_replacement(&set, members[0], member(NON_MEMBER.0), &selected).map_err(wait_cause);
            assert_eq!(replaced, reference_rules::replace(&set, members[0], member(NON_MEMBER.0), &selected));
        }
        for dead in members.iter().copied().map(Some).chain([None]) {
            let before = decide_removal_before_join(&set, tolerance, dead);
            assert_eq!(before, reference_rules::change_before_join(&set, tolerance, dead));
        }
    }
}

#[rstest]
fn retirement_decisions_match_the_reference(
    #[values(1, 2, 3, 4, 5, 6, 7)] size: u32,
    #[values(0, 1, 2, 3)] machines: usize,
    #[values(false, true)] is_last_in_regions: bool,
    #[values(false, true)] has_waited: bool,
) {
    let tolerance = Tolerance { machines, zones: 0 };
    for set in sets_with_size(size) {
        for own in set.members.iter().map(|member: &ReplicaMember| member.node) {
            let facts = RetirementFacts { set: &set, own, tolerance, is_last_in_regions, has_waited };
            let decided = decide_retirement(&facts).map_err(wait_cause).map(|decision| match decision {
                RetirementDecision::Leave(rest) => Some(rest),
                RetirementDecision::WaitForStandby => None,
            });
            assert_eq!(decided, reference_rules::retire(&set, own, tolerance, is_last_in_regions, has_waited));
        }
    }
}

/// The first replica of a new deployment may write the first version after 0.4 s, and each further replica 0.4 s later.
/// A replica whose empty disk replaces a lost one never may.
#[rstest]
#[case(true, 399, 0, BootstrapDecision::Wait)]
#[case(true, 400, 0, BootstrapDecision::LookUpOrCreate)]
#[case(true, 799, 1, BootstrapDecision::Wait)]
#[case(true, 800, 1, BootstrapDecision::LookUpOrCreate)]
#[case(false, 0, 0, BootstrapDecision::LookUp)]
#[case(false, 60_000, 0, BootstrapDecision::LookUp)]
fn only_replicas_of_a_new_deployment_bootstrap_the_set(
    #[case] is_first_start: bool,
    #[case] since_start_ms: u64,
    #[case] standbys_before: u32,
    #[case] expected: BootstrapDecision,
) {
    let since_start = Duration::from_millis(since_start_ms);
    assert_eq!(decide_bootstrap(is_first_start, since_start, standbys_before), expected);
}

/// The documentation of `decide_join` gives the reason why a join needs more members than a refill.
#[rstest]
fn a_join_needs_at_least_as_many_members_as_a_refill(
    #[values(1, 2, 3, 4, 5, 6, 7, 9, 11)] members: usize,
    #[values(0, 1, 2, 3, 4, 5)] losses: usize,
) {
    assert!(majority_overlap_quorum(members) >= refill_quorum(members, losses));
}

/// The log and `foxnotch explain` show these texts, and the operators' pages quote them.
#[rstest]
#[case(WaitReason::NotSynced { version: 4 }, "no majority is synced to version 4 of the replica set yet; check that the other replicas run")]
#[case(WaitReason::TooFewRemain { remaining: 2 }, "only 2 replicas would remain after this one retires; add a machine with a disk, then this replica can retire")]
#[case(
    WaitReason::LastInRegions,
    "texts of turns that are restricted to this region are on no other running member; start a replica in this region, or wait until the texts expire"
)]
#[case(WaitReason::MembersNotRead { count: 1 }, "1 members of the set do not answer; they are removed from the set once they are considered dead")]
#[case(WaitReason::TextsMissing { missing: 3, not_read: 1 }, "this replica is missing the texts of 3 turns that it may store, and 1 members do not answer; check that these members run")]
#[case(WaitReason::TooFewComplete { read: 1, needed: 2 }, "only 1 of the 2 required replicas answered (those being refilled do not count); check that the other replicas run")]
#[case(WaitReason::EarlierVersionNotCovered { read: 1 }, "the 1 replicas that answered and are not being refilled may lack writes that were acknowledged under the previous version of the replica set; check that the other replicas run")]
#[case(WaitReason::NewestNotConfirmed { version: 7 }, "version 7 of the replica set may not be the newest, and neither the platform's store nor all replicas confirmed it; check that the store answers, or that all replicas run")]
fn wait_reasons_have_the_expected_texts(#[case] reason: WaitReason, #[case] text: &str) {
    assert_eq!(reason.to_string(), text);
}
