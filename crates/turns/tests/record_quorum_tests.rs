//! Tests of text that is restricted to regions. The text is never on a replica outside its regions and survives every
//! tolerated loss. No denial quorum denies a turn whose write was acknowledged.

use foxnotch_membership::Millis;
use foxnotch_turns::chain::ChainAssembly;
use foxnotch_turns::identity::{region_id, zone_hash};
use foxnotch_turns::ledger::Ledger;
use foxnotch_turns::quorum::Tally;
use foxnotch_turns::record_quorum::{is_restricted_text_unsynced, would_standby_improve_durability, RecordQuorum};
use foxnotch_turns::replica_set::{denial_quorum, refill_quorum, Tolerance};
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{
    Chain, Content, DiskIdentity, NodeId, ProgramKey, RegionId, ReplicaMember, ReplicaReport, ReplicaSet,
    ReplicaStanding, TurnEntry, TurnId, TurnRecord,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const NOW: Millis = Millis(1000);
const ZONES: [&str; 3] = ["a", "b", "c"];
const TURN: TurnId = TurnId(5);

fn zone_regions() -> ZoneRegions {
    let regions: BTreeMap<String, String> =
        ZONES.iter().map(|zone| ((*zone).to_owned(), zone.to_uppercase())).collect();
    ZoneRegions::new(&regions, |zone| ZONES.iter().position(|known| *known == zone).map_or(9, |index| index as u8))
}

fn replica_set(zones: &[usize]) -> ReplicaSet {
    let member = |(index, zone): (usize, &usize)| ReplicaMember {
        node: NodeId(index as u32 + 1),
        zone: zone_hash(ZONES[*zone]),
        ip: [127, 0, 0, 1],
        port: 1,
    };
    ReplicaSet { version: 1, members: zones.iter().enumerate().map(member).collect(), previous: Vec::new() }
}

fn entry(restriction: &[RegionId]) -> TurnEntry {
    let record = TurnRecord {
        previous: TurnId(0),
        engine: 1,
        regions: restriction.to_vec(),
        input: Content::from(b"in".to_vec()),
        output: Content::from(b"out\n".to_vec()),
    };
    TurnEntry {
        turn: TURN,
        program: ProgramKey(3),
        retention_ms: 60_000,
        reserved: 2,
        used: 1,
        run_location: None,
        elsewhere: None,
        record: vec![record],
    }
}

fn replica_report(node: NodeId) -> ReplicaReport {
    let own = DiskIdentity { node, disk: u64::from(node.0) };
    ReplicaReport { own, standing: ReplicaStanding::Counts, others: Vec::new() }
}

/// A replica. `is_complete` states whether it still holds every entry that it has acknowledged.
struct Replica {
    member: ReplicaMember,
    ledger: Ledger,
    is_up: bool,
    is_complete: bool,
}

impl Replica {
    fn may_hold(&self, restriction: &[RegionId]) -> bool {
        zone_regions().may_store_text(self.member.zone, restriction)
    }

    fn holds_text(&self) -> bool {
        !self.ledger.chain(TURN).is_empty()
    }

    /// Pulls from another replica, which has `marks` and the entry `known` for the turn. Pulls the text only if this
    /// replica may store it.
    fn pull(&mut self, marks: &[foxnotch_wire::TurnMark], known: Option<TurnEntry>) {
        for _ in self.ledger.turns_to_pull(marks) {
            let Some(entry) = known.clone() else { continue };
            let entry = if self.may_hold(entry.regions()) { entry } else { entry.without_text() };
            self.ledger.add_entry(entry, NOW);
        }
    }
}

struct Deployment {
    replicas: Vec<Replica>,
    losses: usize,
}

impl Deployment {
    fn new(set: &ReplicaSet, losses: usize) -> Self {
        let replica = |member: &ReplicaMember| Replica {
            member: *member,
            ledger: Ledger::for_zone(member.zone, zone_regions()),
            is_up: true,
            is_complete: true,
        };
        Self { replicas: set.members.iter().map(replica).collect(), losses }
    }

    fn unavailable_count(&self) -> usize {
        self.replicas.iter().filter(|replica| !replica.is_up || !replica.is_complete).count()
    }

    fn may_lose(&self, index: usize) -> bool {
        let replica = &self.replicas[index];
        replica.is_up && replica.is_complete && self.unavailable_count() < self.losses
    }

    fn wipe(&mut self, index: usize) {
        if self.may_lose(index) {
            let replica = &mut self.replicas[index];
            replica.ledger = Ledger::for_zone(replica.member.zone, zone_regions());
            replica.is_complete = false;
        }
    }

    fn stop(&mut self, index: usize) {
        if self.may_lose(index) {
            self.replicas[index].is_up = false;
        }
    }

    /// Refills an empty replica from the other running replicas. Those whose bit is set in `silent_bits` do not reply.
    fn refill(&mut self, index: usize, silent_bits: u8) {
        if self.replicas[index].is_complete || !self.replicas[index].is_up {
            return;
        }
        let answers = |(number, replica): &(usize, &Replica)| *number != index && replica.is_up;
        let up: Vec<usize> = self.replicas.iter().enumerate().filter(answers).map(|(number, _)| number).collect();
        let replying: Vec<usize> = up.iter().copied().filter(|number| silent_bits >> number & 1 == 0).collect();
        for other in &replying {
            let (marks, known) = {
                let ledger = &self.replicas[*other].ledger;
                (ledger.marks(), ledger.entry(TURN))
            };
            self.replicas[index].pull(&marks, known);
        }
        let complete = replying.iter().filter(|number| self.replicas[**number].is_complete).count();
        let is_text_missing = self.replicas[index].ledger.missing_text_count() > 0;
        if complete >= refill_quorum(self.replicas.len(), self.losses)
            && (!is_text_missing || replying.len() == up.len())
        {
            self.replicas[index].is_complete = true;
        }
    }

    /// Merges the replies of all complete and running replicas to a read of the turn.
    fn read(&self) -> ChainAssembly {
        let mut assembly = ChainAssembly::default();
        for replica in self.replicas.iter().filter(|replica| replica.is_up && replica.is_complete) {
            let elsewhere = u8::from(replica.ledger.has_record_elsewhere(TURN));
            let links = replica.ledger.chain(TURN);
            assembly.add_reply(TURN, Chain { report: replica_report(replica.member.node), links, elsewhere });
        }
        assembly
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Each step is the loss of a disk, a stop, a start or a refill. The losses at one time never exceed the tolerance.
    #[test]
    fn after_tolerated_losses_a_stored_turn_is_readable_and_never_reported_as_missing(
        zones in prop::collection::vec(0_usize..3, 3..8),
        restriction in prop::sample::subsequence(ZONES.to_vec(), 0..=3),
        losses in 1_usize..3,
        order in Just((0..8).collect::<Vec<usize>>()).prop_shuffle(),
        steps in prop::collection::vec((0_usize..8, 0_u8..4, any::<u8>()), 0..24),
    ) {
        let set = replica_set(&zones);
        let tolerance = Tolerance { machines: losses, zones: 0 };
        let restriction: Vec<RegionId> = restriction.iter().map(|zone| region_id(&zone.to_uppercase())).collect();
        let quorum = RecordQuorum::of(&set, tolerance, &zone_regions(), &restriction);
        let may_hold = |member: &ReplicaMember| zone_regions().may_store_text(member.zone, &restriction);
        prop_assert_eq!(quorum.is_none(), !set.members.iter().any(may_hold));
        let Some(quorum) = quorum else { return Ok(()) };
        let may_lose_text = set.members.iter().filter(|member| may_hold(member)).count() <= losses;
        let mut deployment = Deployment::new(&set, losses);
        let mut tally = Tally::default();
        let written = entry(&restriction);
        for index in order.into_iter().filter(|index| *index < zones.len()) {
            if quorum.is_met_by(&tally) {
                break;
            }
            let replica = &mut deployment.replicas[index];
            let entry = if replica.may_hold(&restriction) { written.clone() } else { written.without_text() };
            replica.ledger.add_entry(entry, NOW);
            tally.add(replica_report(NodeId(index as u32 + 1)));
        }
        prop_assert!(quorum.is_met_by(&tally), "the quorum must be met once all members have replied");
        for (index, step, silent_bits) in steps {
            let index = index % zones.len();
            match step {
                0 => deployment.wipe(index),
                1 => deployment.stop(index),
                2 => deployment.replicas[index].is_up = true,
                _ => deployment.refill(index, silent_bits),
            }
            for replica in &deployment.replicas {
                prop_assert!(!replica.holds_text() || replica.may_hold(&restriction), "a replica outside the restriction's regions holds the text");
            }
            let read = deployment.read();
            prop_assert!(read.denial_count() < denial_quorum(zones.len(), losses), "enough replicas deny the stored turn to report it as missing");
            let is_read = read.chain_ending_with(TURN).is_ok();
            prop_assert!(is_read || may_lose_text, "the text of a stored turn cannot be read any more");
        }
    }

    /// After replicas have pulled from each other in any order, all replicas that may store the text have it, and no
    /// replica has anything left to pull.
    #[test]
    fn replicas_that_pull_from_each_other_converge(
        zones in prop::collection::vec(0_usize..3, 2..6),
        first in 0_usize..6,
        pulls in prop::collection::vec((0_usize..6, 0_usize..6), 0..20),
    ) {
        let first = first % zones.len();
        let restriction = [region_id(&ZONES[zones[first]].to_uppercase())];
        let mut deployment = Deployment::new(&replica_set(&zones), 1);
        deployment.replicas[first].ledger.add_entry(entry(&restriction), NOW);
        let all = (0..zones.len()).flat_map(|to| (0..zones.len()).map(move |from| (to, from)));
        let pulls = pulls.into_iter().map(|(to, from)| (to % zones.len(), from % zones.len()));
        for (to, from) in pulls.chain(all.clone()).chain(all.clone()) {
            let (marks, known) = {
                let ledger = &deployment.replicas[from].ledger;
                (ledger.marks(), ledger.entry(TURN))
            };
            deployment.replicas[to].pull(&marks, known);
        }
        for replica in &deployment.replicas {
            prop_assert_eq!(replica.holds_text(), replica.may_hold(&restriction));
            prop_assert_eq!(replica.ledger.missing_text_count(), 0);
            for other in &deployment.replicas {
                prop_assert!(replica.ledger.turns_to_pull(&other.ledger.marks()).is_empty());
            }
        }
    }
}

#[rstest]
#[case::enough_inside(&[0, 0, 1, 1, 2], 1, 2, false)]
#[case::fewer_inside(&[0, 1, 1, 2, 2], 1, 1, true)]
#[case::more_inside_than_needed(&[0, 0, 0, 0, 1], 1, 2, false)]
fn text_is_stored_on_more_replicas_than_may_be_lost_or_on_all_in_its_regions(
    #[case] zones: &[usize],
    #[case] machines: usize,
    #[case] copies: usize,
    #[case] may_lose_all_copies: bool,
) {
    let tolerance = Tolerance { machines, zones: 0 };
    let quorum = RecordQuorum::of(&replica_set(zones), tolerance, &zone_regions(), &[region_id("A")])
        .expect("the region has members");
    assert_eq!((quorum.copies, quorum.may_lose_all_copies()), (copies, may_lose_all_copies));
}

/// The sender is in zone `b`. Zone `c` is neither in the sender's region nor in the text's region.
#[rstest]
#[case::region_of_the_text(0, true)]
#[case::region_of_the_sender(1, true)]
#[case::another_region(2, false)]
#[case::unknown_zone(7, false)]
fn text_may_pass_through_its_regions_and_the_senders_region(#[case] zone: u8, #[case] may_forward_through: bool) {
    assert_eq!(zone_regions().may_forward_through(zone, zone_hash("b"), &[region_id("A")]), may_forward_through);
}

#[test]
fn without_regions_only_unrestricted_text_is_stored_and_relayed() {
    let no_regions = ZoneRegions::default();
    assert!(no_regions.may_forward_through(3, 9, &[]) && !no_regions.may_forward_through(3, 9, &[region_id("A")]));
    assert!(no_regions.may_store_text(9, &[]) && !no_regions.may_store_text(9, &[region_id("A")]));
}

/// The standby is in zone `a`, as are `inside` members of the set.
#[rstest]
#[case::no_member_in_the_region(0, 1, 0, true)]
#[case::one_member_missing(1, 1, 0, true)]
#[case::enough_members(2, 1, 0, false)]
#[case::two_may_be_lost(2, 2, 0, true)]
#[case::zone_loss_tolerated_and_no_member_in_the_region(0, 1, 1, true)]
#[case::no_number_survives_the_loss_of_the_zone(2, 1, 1, false)]
fn a_standby_improves_durability_if_it_reduces_missing_members(
    #[case] inside: usize,
    #[case] machines: usize,
    #[case] lost_zones: usize,
    #[case] wanted: bool,
) {
    let zones: Vec<usize> = vec![0; inside].into_iter().chain([1, 1, 2]).collect();
    let standby = replica_set(&[0]).members[0];
    let tolerance = Tolerance { machines, zones: lost_zones };
    assert_eq!(
        would_standby_improve_durability(
            &replica_set(&zones).members,
            standby,
            tolerance,
            &zone_regions(),
            &[region_id("A")]
        ),
        wanted
    );
    assert!(!would_standby_improve_durability(
        &replica_set(&zones).members,
        standby,
        tolerance,
        &zone_regions(),
        &[region_id("B"), region_id("C")]
    ));
}

/// The set has the nodes 1 to 4; node 5 is a replica that is about to join. `own` is the node that changes the set,
/// `synced` are the synced nodes, and `answering` are the nodes that answer.
#[rstest]
#[case::all_are_synced(1, true, &[1, 2, 3, 4], &[1, 2, 3, 4], false)]
#[case::an_answering_member_is_not_synced(1, true, &[1, 2, 3], &[1, 2, 3, 4], true)]
#[case::a_gone_member_is_not_synced(1, true, &[1, 2, 3], &[1, 2, 3], false)]
#[case::a_synced_member_knows_no_restricted_text(1, false, &[1, 2, 3], &[1, 2, 3, 4], false)]
#[case::an_unsynced_member_may_miss_restricted_text(1, false, &[2, 3, 4], &[1, 2, 3, 4], true)]
#[case::a_joining_replica_may_miss_restricted_text(5, false, &[1, 2, 3], &[1, 2, 3, 4, 5], true)]
#[case::a_joining_replica_with_all_members_synced(5, false, &[1, 2, 3, 4], &[1, 2, 3, 4, 5], false)]
fn the_set_waits_for_members_that_may_hold_restricted_text(
    #[case] own: u32,
    #[case] has_restricted_text: bool,
    #[case] synced: &[u32],
    #[case] answering: &[u32],
    #[case] expected: bool,
) {
    let members = replica_set(&[0, 0, 1, 2]).members;
    let synced: Vec<NodeId> = synced.iter().copied().map(NodeId).collect();
    let answers = |node: NodeId| answering.contains(&node.0);
    let decided =
        is_restricted_text_unsynced(&zone_regions(), NodeId(own), has_restricted_text, &members, &synced, answers);
    assert_eq!(decided, expected);
    let no_regions = ZoneRegions::default();
    assert!(!is_restricted_text_unsynced(&no_regions, NodeId(own), has_restricted_text, &members, &synced, answers));
}
