//! Tests of the guarantees that the rules of a replica set give. They cover each size, tolerance and subset of members
//! up to the sizes that deployments use.

mod support;

use foxnotch_turns::replica_set::{
    check_change_allowed, decide_refill_completion, denial_quorum, majority, majority_overlap_quorum, member_to_remove,
    refill_quorum, without_member, write_quorum, MissingTexts, NewestVersion, PulledReplica, RefillDecision,
    RefillFacts, SilentNodes, SyncedMember, Tolerance,
};
use foxnotch_wire::{NodeId, ReplicaSet};
use rstest::rstest;
use support::reference_rules::{self, Newest, Pulled, Texts, WaitCause};
use support::sets::{grown_set, member, shrunk_set, subsets_of_size};

/// The node that pulls from the others. It is a member in some cases.
const OWN: NodeId = NodeId(1);

fn tolerance(machines: usize) -> Tolerance {
    Tolerance { machines, zones: 0 }
}

fn nodes(set: &ReplicaSet) -> Vec<NodeId> {
    set.members.iter().map(|member| member.node).collect()
}

fn pulled_completely(nodes: &[NodeId], synced: u64) -> Vec<Pulled> {
    nodes.iter().map(|node| Pulled { node: *node, complete: true, synced }).collect()
}

/// Each case has the number of members, the number of tolerated losses and the sizes of five quorums: write quorum,
/// denial quorum, refill quorum, majority and majority overlap quorum.
#[rstest]
#[case(1, 0, [1, 1, 1, 1, 1])]
#[case(1, 1, [2, 1, 1, 1, 1])]
#[case(2, 0, [2, 2, 1, 2, 1])]
#[case(2, 1, [2, 2, 1, 2, 1])]
#[case(3, 0, [2, 2, 2, 2, 2])]
#[case(3, 1, [2, 2, 2, 2, 2])]
#[case(3, 2, [3, 2, 1, 2, 2])]
#[case(4, 0, [3, 3, 2, 3, 2])]
#[case(4, 1, [3, 3, 2, 3, 2])]
#[case(4, 2, [3, 3, 2, 3, 2])]
#[case(4, 3, [4, 3, 1, 3, 2])]
#[case(5, 1, [3, 3, 3, 3, 3])]
#[case(5, 2, [3, 3, 3, 3, 3])]
#[case(5, 3, [4, 3, 2, 3, 3])]
#[case(5, 4, [5, 3, 1, 3, 3])]
#[case(6, 2, [4, 4, 3, 4, 3])]
#[case(7, 2, [4, 4, 4, 4, 4])]
#[case(7, 3, [4, 4, 4, 4, 4])]
#[case(7, 4, [5, 4, 3, 4, 4])]
#[case(9, 4, [5, 5, 5, 5, 5])]
#[case(11, 5, [6, 6, 6, 6, 6])]
#[case(11, 7, [8, 6, 4, 6, 6])]
fn quorum_sizes_match_the_table(#[case] members: usize, #[case] losses: usize, #[case] expected: [usize; 5]) {
    let sizes = [
        write_quorum(members, losses),
        denial_quorum(members, losses),
        refill_quorum(members, losses),
        majority(members),
        majority_overlap_quorum(members),
    ];
    assert_eq!(sizes, expected);
}

/// A refilled replica has read a copy of each write acknowledged under the set, whichever members have stored the
/// write. These members may include the replica itself, whose disk was lost.
#[rstest]
fn a_refill_reads_each_acknowledged_write(
    #[values(1, 2, 3, 4, 5, 6, 7)] size: u32,
    #[values(0, 1, 2, 3)] losses: usize,
) {
    for set in [grown_set(size), shrunk_set(size)] {
        let all = nodes(&set);
        let quorum = write_quorum(all.len(), losses);
        let others: Vec<NodeId> = all.iter().copied().filter(|node| *node != OWN).collect();
        for read_nodes in (0..=others.len()).flat_map(|count| subsets_of_size(&others, count)) {
            let pulled = pulled_completely(&read_nodes, set.version);
            let verdict =
                reference_rules::refill(&set, tolerance(losses), OWN, &pulled, Newest::Confirmed, &Texts::default());
            if verdict.is_err() {
                continue;
            }
            for written in subsets_of_size(&all, quorum) {
                assert!(
                    read_nodes.iter().any(|node| written.contains(node)),
                    "a read of the replicas {read_nodes:?} misses a write on the replicas {written:?}"
                );
            }
        }
    }
}

/// After every loss within the tolerance, the remaining members are enough for a refill, once it is confirmed that the
/// known version of the set is the newest.
#[rstest]
fn a_refill_succeeds_after_every_tolerated_loss(
    #[values(2, 3, 4, 5, 6, 7)] size: u32,
    #[values(1, 2, 3)] losses: usize,
) {
    let set = grown_set(size);
    let all = nodes(&set);
    if write_quorum(all.len(), losses) > all.len() {
        // No write is ever acknowledged in such a small set.
        return;
    }
    for lost in subsets_of_size(&all, losses) {
        let remaining: Vec<NodeId> = all.iter().copied().filter(|node| !lost.contains(node)).collect();
        let pulled = pulled_completely(&remaining, set.version);
        let refill =
            |newest| reference_rules::refill(&set, tolerance(losses), lost[0], &pulled, newest, &Texts::default());
        assert_eq!(refill(Newest::Confirmed), Ok(remaining.len()));
        let meets_each_majority = remaining.len() >= majority_overlap_quorum(all.len());
        let expected_unchecked = if meets_each_majority { Ok(remaining.len()) } else { Err(WaitCause::ConfirmNewest) };
        assert_eq!(refill(Newest::NotChecked), expected_unchecked);
        let expected_unconfirmed =
            if meets_each_majority { Ok(remaining.len()) } else { Err(WaitCause::NotConfirmed(set.version)) };
        assert_eq!(refill(Newest::NotConfirmed), expected_unconfirmed);
    }
}

/// A replica that joins has read a member of each majority, whatever the tolerance. If it has nevertheless not received
/// a newer version of the set, the compare-and-swap of its change fails.
#[rstest]
fn a_join_requires_a_member_of_every_majority(#[values(1, 2, 3, 4, 5, 6, 7)] size: u32) {
    let set = grown_set(size);
    let all = nodes(&set);
    for read_nodes in (0..=all.len()).flat_map(|count| subsets_of_size(&all, count)) {
        let pulled = pulled_completely(&read_nodes, set.version);
        let verdict = reference_rules::join(&set, NodeId(90), &pulled, None, false);
        let meets_all = subsets_of_size(&all, majority(all.len()))
            .iter()
            .all(|majority| majority.iter().any(|node| read_nodes.contains(node)));
        assert_eq!(verdict.is_ok(), meets_all, "{read_nodes:?}");
    }
}

/// A set's previous version differs from it by one member. Whichever write quorum of the previous version stored a
/// write, a member that has synced to the set has read at least one of that quorum's members, or is one itself.
#[rstest]
fn a_sync_reads_each_write_of_the_previous_version(
    #[values(1, 2, 3, 4, 5, 6)] size: u32,
    #[values(0, 1, 2, 3)] losses: usize,
) {
    for set in [grown_set(size + 1), shrunk_set(size)] {
        let previous: Vec<NodeId> = set.previous.iter().map(|member| member.node).collect();
        let quorum = write_quorum(previous.len(), losses);
        let own = SyncedMember { node: OWN, synced: set.version - 1 };
        let others: Vec<NodeId> = previous.iter().copied().filter(|node| *node != OWN).collect();
        for read_nodes in (0..=others.len()).flat_map(|count| subsets_of_size(&others, count)) {
            let pulled = pulled_completely(&read_nodes, set.version - 1);
            if reference_rules::sync(&set, tolerance(losses), own, &pulled, &Texts::default()).is_err() {
                continue;
            }
            for written in subsets_of_size(&previous, quorum) {
                let is_read = written.contains(&OWN) || read_nodes.iter().any(|node| written.contains(node));
                assert!(
                    is_read,
                    "a read of the replicas {read_nodes:?} and {OWN} misses a write on the replicas {written:?}"
                );
            }
        }
    }
}

/// A member is removed only if the rest of the set has a majority left after every tolerated loss. A retirement may
/// leave a smaller set, but never one in which a tolerated loss destroys acknowledged turns.
#[rstest]
fn removals_and_retirements_leave_a_set_that_survives_its_losses(
    #[values(1, 2, 3, 4, 5, 6, 7)] size: u32,
    #[values(0, 1, 2, 3)] losses: usize,
) {
    let set = grown_set(size);
    let remaining = set.members.len() - 1;
    let removed =
        reference_rules::remove(&set, OWN, tolerance(losses), &[NodeId(size)], &[], |node| node == NodeId(size));
    assert_eq!(removed.is_some(), remaining > 2 * losses);
    let retired = reference_rules::retire(&set, OWN, tolerance(losses), false, true);
    assert_eq!(retired.is_ok(), remaining > losses);
    assert_eq!(reference_rules::retire(&set, OWN, tolerance(losses), true, true).ok(), None);
}

#[test]
fn a_member_of_a_set_of_two_is_replaced_once_the_other_is_synced() {
    let two = grown_set(2);
    assert!(reference_rules::replace(&two, NodeId(2), member(9), &[]).is_err());
    let next = reference_rules::replace(&two, NodeId(2), member(9), &[NodeId(1)])
        .expect("node 2 may be replaced once node 1 is synced");
    assert_eq!(nodes(&next), vec![NodeId(1), NodeId(9)]);
}

/// Removes the members that are gone for good as the members that are left would, one version of the set after the
/// other. Between two versions all members that are left sync.
fn remove_gone_members(set: &ReplicaSet, tolerance: Tolerance, gone: &[NodeId]) -> ReplicaSet {
    let is_gone = |node: NodeId| gone.contains(&node);
    let mut set = set.clone();
    loop {
        let present = nodes(&set);
        let left: Vec<NodeId> = present.iter().copied().filter(|node| !is_gone(*node)).collect();
        let still_gone: Vec<NodeId> = present.iter().copied().filter(|node| is_gone(*node)).collect();
        let silent = SilentNodes { long_silent: &still_gone, gone_for_good: &still_gone };
        let removed = left.iter().find_map(|own| member_to_remove(&set, *own, tolerance, silent, is_gone));
        match removed {
            Some(node) if check_change_allowed(&set, &left, false).is_ok() => set = without_member(&set, node),
            _ => return set,
        }
    }
}

/// Whether an empty member of the set is refilled from complete ones that are synced to it.
fn is_refilled_from(set: &ReplicaSet, tolerance: Tolerance, own: NodeId, complete: &[NodeId]) -> bool {
    let pulled =
        |node: &NodeId| PulledReplica { node: *node, complete: true, synced: set.version, known_replicas: nodes(set) };
    let pulled: Vec<PulledReplica> = complete.iter().map(pulled).collect();
    let facts = RefillFacts { set, tolerance, own, pulled: &pulled, newest: NewestVersion::Confirmed };
    matches!(decide_refill_completion(&facts, MissingTexts::default), RefillDecision::Refilled(_))
}

/// A set kept a member that was gone for good, and the loss of one more disk ended all service, although another member
/// held every write.
#[rstest]
fn a_tolerated_loss_of_disks_is_refilled_after_members_are_gone_for_good(
    #[values(1, 2, 3, 4, 5, 6, 7)] size: u32,
    #[values(1, 2, 3)] machines: usize,
) {
    let tolerance = tolerance(machines);
    let first = grown_set(size);
    let members = nodes(&first);
    for gone_count in 0..=machines {
        // More members than losses have to be left, and a majority of the first set, which removes the others.
        let left_count = members.len().saturating_sub(gone_count);
        if left_count <= machines || left_count < majority(members.len()) {
            continue;
        }
        for gone in subsets_of_size(&members, gone_count) {
            let set = remove_gone_members(&first, tolerance, &gone);
            assert!(set.members.len() > machines, "set {set:?}");
            let left: Vec<NodeId> = nodes(&set).into_iter().filter(|node| !gone.contains(node)).collect();
            assert!(left.len() >= write_quorum(set.members.len(), machines), "writes stop: set {set:?}, gone {gone:?}");
            for lost in subsets_of_size(&left, machines) {
                let complete: Vec<NodeId> = left.iter().copied().filter(|node| !lost.contains(node)).collect();
                for own in &lost {
                    let is_refilled = is_refilled_from(&set, tolerance, *own, &complete);
                    assert!(is_refilled, "set {set:?}, gone {gone:?}, lost {lost:?}");
                }
            }
        }
    }
}
