//! Counting answers, sizes of quorums, and when a set may change.

use foxnotch_turns::quorum::Tally;
use foxnotch_turns::replica_set::{
    contains, covers_previous, denial_quorum, founding, majority, may_follow, refill_quorum, with_member,
    with_replacement, without_member, write_quorum, Tolerance,
};
use foxnotch_wire::{DiskIdentity, NodeId, ReplicaMember, ReplicaStanding, Witness};
use rstest::rstest;

fn witness(node: u32, disk: u64, others: &[(u32, u64)]) -> Witness {
    let identity = |(node, disk): (u32, u64)| DiskIdentity { node: NodeId(node), disk };
    Witness {
        own: identity((node, disk)),
        standing: ReplicaStanding::Counts,
        others: others.iter().copied().map(identity).collect(),
    }
}

fn member(node: u32) -> ReplicaMember {
    ReplicaMember { node: NodeId(node), zone: 0, ip: [127, 0, 0, 1], port: 1 }
}

#[rstest]
#[case(3, 1, 2)]
#[case(4, 1, 3)]
#[case(5, 1, 3)]
#[case(5, 2, 3)]
#[case(3, 2, 3)]
#[case(1, 1, 2)]
fn a_write_needs_a_majority_and_one_more_than_may_be_lost(
    #[case] members: usize,
    #[case] losses: usize,
    #[case] needed: usize,
) {
    assert_eq!(write_quorum(members, losses), needed);
}

/// Members in zones: the numbers of members of each.
#[rstest]
#[case::machines(&[1, 1, 1, 1], 1, 0, 1)]
#[case::the_larger_zone(&[2, 3, 1], 1, 1, 3)]
#[case::two_zones(&[2, 3, 1], 1, 2, 5)]
#[case::more_machines_than_a_zone_has(&[1, 1, 1], 2, 1, 2)]
#[case::nothing(&[2, 2], 0, 0, 0)]
fn a_zone_may_be_lost_with_all_its_members(
    #[case] zones: &[usize],
    #[case] machines: usize,
    #[case] lost_zones: usize,
    #[case] losses: usize,
) {
    let numbered = zones.iter().enumerate().flat_map(|(zone, count)| vec![zone as u32; *count]).enumerate();
    let members: Vec<ReplicaMember> =
        numbered.map(|(node, zone)| ReplicaMember { zone, ..member(node as u32) }).collect();
    assert_eq!(Tolerance { machines, zones: lost_zones }.losses(&members), losses);
}

/// Whatever is lost at once, a copy of each write remains among those that an empty replica has to hear.
#[rstest]
fn a_refill_meets_what_a_loss_has_left(#[values(3, 4, 5, 6, 8, 11)] members: usize, #[values(1, 2)] losses: usize) {
    let copies_left = write_quorum(members, losses) - losses;
    let others_left = members - losses;
    let unheard = others_left.saturating_sub(refill_quorum(members));
    assert!(copies_left > unheard, "{copies_left} copies, {unheard} not heard");
}

/// Found by our own day `retire.paired` of the archive: of a set that had become smaller, one replica alone denied a turn
/// that had been acknowledged by the one that left and the other. The members of a version that denials come from have to
/// meet every quorum of the version before, too: writes of it may not have been pulled by all yet.
#[rstest]
fn denials_meet_the_writes_of_the_version_before(
    #[values(2, 3, 4, 5, 6, 7, 8, 11)] members: usize,
    #[values(1, 2)] losses: usize,
) {
    let of_the_smaller = write_quorum(members, losses) + denial_quorum(members - 1, losses);
    assert!(of_the_smaller > members, "one of {members} has left");
    let of_the_larger = write_quorum(members - 1, losses) + denial_quorum(members, losses);
    assert!(of_the_larger > members, "the last of {members} has joined");
}

#[rstest]
fn denials_and_writes_always_meet(#[values(1, 2, 3, 4, 5, 6, 7, 9)] members: usize, #[values(0, 1, 2)] losses: usize) {
    assert!(write_quorum(members, losses) + denial_quorum(members, losses) > members);
}

#[rstest]
fn whoever_refills_meets_every_majority_of_the_others(#[values(2, 3, 4, 5, 6, 7, 9)] members: usize) {
    let others = members - 1;
    let copies_without_the_lost_disk = majority(members) - 1;
    assert!(refill_quorum(members) + copies_without_the_lost_disk > others);
}

#[test]
fn an_answer_counts_once_for_each_replica() {
    let mut tally = Tally::default();
    tally.add(witness(1, 10, &[]));
    tally.add(witness(1, 10, &[]));
    assert_eq!(tally.count(), 1);
}

#[test]
fn a_replica_that_is_refilled_does_not_count() {
    let mut tally = Tally::default();
    tally.add(Witness { standing: ReplicaStanding::Refilling, ..witness(1, 10, &[]) });
    tally.add(Witness { standing: ReplicaStanding::Full, ..witness(2, 20, &[]) });
    assert_eq!(tally.count(), 0);
}

#[test]
fn the_answer_of_a_lost_disk_does_not_count_beside_one_that_knows_of_the_loss() {
    let mut tally = Tally::default();
    tally.add(witness(1, 10, &[]));
    tally.add(witness(2, 20, &[(1, 11)]));
    assert_eq!(tally.counted().collect::<Vec<_>>(), vec![NodeId(2)]);
}

#[test]
fn versions_in_a_row_have_majorities_that_meet() {
    let mut set = founding(member(1));
    for node in 2..8 {
        let next = with_member(&set, member(node));
        assert_eq!(next.version, set.version + 1);
        assert_eq!(next.previous, set.members);
        assert!(majority(set.members.len()) + majority(next.members.len()) > next.members.len());
        set = next;
    }
    let smaller = without_member(&set, NodeId(3));
    assert!(!contains(&smaller, NodeId(3)));
    assert!(majority(set.members.len()) + majority(smaller.members.len()) > set.members.len());
}

#[test]
fn a_version_follows_only_when_a_majority_is_synced() {
    let set = with_member(&with_member(&founding(member(1)), member(2)), member(3));
    assert!(!may_follow(&set, &[NodeId(1)]));
    assert!(!may_follow(&set, &[NodeId(1), NodeId(9)]));
    assert!(may_follow(&set, &[NodeId(1), NodeId(3)]));
}

#[test]
fn a_sync_meets_every_majority_of_the_version_before() {
    let three = with_member(&with_member(&founding(member(1)), member(2)), member(3));
    let four = with_member(&three, member(4));
    assert!(!covers_previous(&four, NodeId(4), &[NodeId(1)]));
    assert!(covers_previous(&four, NodeId(4), &[NodeId(1), NodeId(2)]));
    assert!(covers_previous(&four, NodeId(3), &[NodeId(1)]));
    // Of two, each holds all that was acknowledged: the loss of one must not stop the sync for good.
    let two = with_member(&founding(member(1)), member(2));
    let grown = with_member(&two, member(3));
    assert!(covers_previous(&grown, NodeId(3), &[NodeId(1)]));
    assert!(covers_previous(&grown, NodeId(1), &[]));
    assert!(!covers_previous(&grown, NodeId(3), &[]));
}

#[test]
fn of_two_one_can_be_replaced() {
    let two = with_member(&founding(member(1)), member(2));
    let next = with_replacement(&two, NodeId(2), member(5));
    let nodes: Vec<NodeId> = next.members.iter().map(|member| member.node).collect();
    assert_eq!(nodes, vec![NodeId(1), NodeId(5)]);
    assert_eq!(next.previous, two.members);
    assert_eq!(majority(next.members.len()), 2);
}
