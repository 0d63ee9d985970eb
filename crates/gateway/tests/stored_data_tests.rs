//! Replicas' data folders as they were written, in `tests/fixtures`: a line for each file with its name and its bytes in
//! hexadecimal. A replica that is started with one has to find everything. `replica_folder.txt` was written while all turns
//! stood in records that name regions, `replica_folder_oldest_form.txt` since a turn stands in the oldest form that has it.
//!
//! When the format changes on purpose: folders of the version before have to stay readable, so keep these fixtures and add
//! another one. To write one, run this test, and put the lines that it prints as `actual` into the new fixture.

mod support;

use foxnotch_gateway::peers::view_codec::from_content;
use foxnotch_gateway::ports::configuration::{Configuration, EngineEntry};
use foxnotch_gateway::replica::disk::{newest_caps, Disk};
use foxnotch_gateway::replica::stored_view::files::StoredViewFiles;
use foxnotch_gateway::replica::stored_view::StoredView;
use foxnotch_scheduler::zone_drain::ZoneDrains;
use foxnotch_turns::identity::{node_id, zone_hash};
use foxnotch_turns::segment::{QuotaCap, QuotaCaps, Record, ReplicaState};
use foxnotch_turns::stored_view_file::PartKind;
use foxnotch_wire::{
    Chain, Content, DiskIdentity, ProgramKey, ReadChain, ReadProgram, ReadStoredView, RecordElsewhere, RegionId,
    ReplicaMember, ReplicaSet, ReplicaStanding, RpcBody, RunLocation, StoredPart, TurnCharge, TurnEntry, TurnId,
    TurnRecord, NOT_SETTLED,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::path::Path;
use support::cluster::{eventually, name, Cluster};
use support::fixtures::{assert_same_lines, fill_folder, from_hex, lines_of_folder};
use support::view_samples::{configuration, engines, zone_drains};
use tempfile::TempDir;

const FOLDER: &str = include_str!("fixtures/replica_folder.txt");
const FOLDER_IN_OLDEST_FORM: &str = include_str!("fixtures/replica_folder_oldest_form.txt");
const VIEW_PARTS: &str = include_str!("fixtures/view_parts.txt");

/// The replica that wrote the folder.
const NUMBER: u8 = 1;
/// Its disk.
const DISK: u64 = 0x0807_0605_0403_0201;
/// The addresses of the test's replica.
const NET: u8 = 141;
/// The version of its set.
const SET_VERSION: u64 = 9;
/// The program of its turns.
const PROGRAM: ProgramKey = ProgramKey(6);

fn content(text: &str) -> Content {
    Content::from(text.as_bytes().to_vec())
}

fn member(number: u8) -> ReplicaMember {
    ReplicaMember { node: node_id(&name(number)), zone: zone_hash("a"), ip: [127, 77, NET, number], port: 7380 }
}

fn set() -> ReplicaSet {
    ReplicaSet { version: SET_VERSION, members: vec![member(1), member(2), member(3)], previous: vec![member(1)] }
}

fn peer() -> DiskIdentity {
    DiskIdentity { node: node_id(&name(2)), disk: 5 }
}

fn state() -> ReplicaState {
    ReplicaState { disk: DISK, complete: 1, synced: SET_VERSION, set: set(), peers: vec![peer()] }
}

fn place() -> RunLocation {
    RunLocation { engine: 9, part: 8, prompt_tokens: 7 }
}

fn record(previous: u128, text: &str, regions: Vec<RegionId>) -> TurnRecord {
    TurnRecord { previous: TurnId(previous), engine: 77, regions, input: content(text), output: content("output\n") }
}

/// A turn that is to run.
fn reservation(turn: u128) -> TurnEntry {
    TurnEntry {
        turn: TurnId(turn),
        program: PROGRAM,
        retention_ms: 3_600_000,
        reserved: 80,
        used: NOT_SETTLED,
        place: None,
        elsewhere: None,
        record: Vec::new(),
    }
}

fn kept_turn(turn: u128, previous: u128, text: &str) -> TurnEntry {
    let record = record(previous, text, Vec::new());
    TurnEntry { used: 41, place: Some(place()), record: vec![record], ..reservation(turn) }
}

fn turn_elsewhere(turn: u128) -> TurnEntry {
    let elsewhere = RecordElsewhere { previous: TurnId(12), regions: vec![RegionId(8), RegionId(9)] };
    TurnEntry { used: 17, elsewhere: Some(elsewhere), ..reservation(turn) }
}

fn caps(requests: &[(u64, u32)]) -> Record {
    let caps = requests.iter().map(|(tenant, requests)| QuotaCap { tenant: *tenant, requests: *requests });
    Record::QuotaCaps(QuotaCaps { caps: caps.collect() })
}

fn before_the_restart() -> Vec<Record> {
    vec![
        Record::State(ReplicaState { disk: DISK, complete: 1, ..ReplicaState::default() }),
        Record::Entry(reservation(11)),
        Record::Entry(kept_turn(11, 0, "first")),
        caps(&[(0xa1, 30), (0xa2, 40)]),
    ]
}

fn after_the_restart() -> Vec<Record> {
    vec![
        Record::State(state()),
        Record::Entry(kept_turn(12, 11, "second")),
        Record::Entry(turn_elsewhere(13)),
        Record::Entry(reservation(14)),
        caps(&[(0xa2, 50)]),
    ]
}

/// What a part of the view is coded as.
fn coded(part: &str) -> Content {
    let line = VIEW_PARTS.lines().find(|line| line.starts_with(&format!("{part} "))).expect("the fixture has the part");
    Content::from(from_hex(line.split(' ').nth(1).expect("a line has bytes")))
}

fn kept(revision: u64, part: &str) -> StoredPart {
    StoredPart { revision, kept_at_ms: 1_764_716_042_123, content: coded(part) }
}

fn write_view(folder: &Path) {
    let parts = [
        (PartKind::Configuration, vec![kept(80, "engines"), kept(81, "configuration")]),
        (PartKind::Engines, vec![kept(82, "engines")]),
        (PartKind::ZoneDrains, vec![kept(83, "zone_drains")]),
    ];
    for (kind, versions) in parts {
        let (mut files, _) = StoredViewFiles::open(folder, node_id(&name(NUMBER)), kind);
        for part in versions {
            files.write(&part).expect("the disk takes it");
        }
    }
}

#[tokio::test]
async fn the_files_are_written_as_in_the_fixture() {
    let folder = TempDir::new().expect("a folder can be made");
    for records in [before_the_restart(), after_the_restart()] {
        let (disk, _) = Disk::open(folder.path()).expect("the folder can be used");
        disk.write(records).await.expect("the disk takes it");
    }
    write_view(folder.path());
    assert_same_lines(&lines_of_folder(folder.path()), FOLDER_IN_OLDEST_FORM);
}

/// Each segment begins with the state and the caps that were known.
#[rstest]
#[case(FOLDER)]
#[case(FOLDER_IN_OLDEST_FORM)]
#[tokio::test]
async fn every_record_of_the_fixture_is_read(#[case] fixture: &str) {
    let folder = TempDir::new().expect("a folder can be made");
    fill_folder(folder.path(), fixture);
    let (_, records) = Disk::open(folder.path()).expect("the folder can be read");
    let first = [before_the_restart().remove(0), caps(&[(0xa1, 30), (0xa2, 40)])];
    let second = [Record::State(state()), caps(&[(0xa1, 30), (0xa2, 50)])];
    let of_first = first.into_iter().chain(before_the_restart());
    let of_second = second.into_iter().chain(after_the_restart());
    assert_eq!(records, of_first.chain(of_second).collect::<Vec<_>>());
    assert_eq!(newest_caps(&records), BTreeMap::from([(0xa1, 30), (0xa2, 50)]));
}

#[test]
fn the_kept_view_of_the_fixture_is_read() {
    let folder = TempDir::new().expect("a folder can be made");
    fill_folder(folder.path(), FOLDER);
    let kept = StoredView::open(folder.path(), node_id(&name(NUMBER)));
    let revisions = kept.revisions();
    assert_eq!((revisions.configuration, revisions.engines, revisions.zone_drains), (81, 82, 83));
}

fn chain_of(answer: RpcBody) -> Chain {
    let RpcBody::Chain(chain) = answer else { panic!("no chain: {answer:?}") };
    chain
}

/// A replica that starts with the folder, beside none of the others.
async fn started(net: u8, fixture: &str) -> Cluster {
    let mut cluster = Cluster::begin(net, 0, Some(3));
    fill_folder(&cluster.data_folder(NUMBER), fixture);
    cluster.start_replica(NUMBER, false);
    let address = cluster.peer_address(NUMBER);
    eventually("the replica listens", || std::net::TcpStream::connect(address).is_ok()).await;
    cluster
}

#[rstest]
#[case(NET, FOLDER)]
#[case(NET + 2, FOLDER_IN_OLDEST_FORM)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_starts_with_the_folder_has_everything(#[case] net: u8, #[case] fixture: &str) {
    let cluster = started(net, fixture).await;
    let RpcBody::SetKnown(update) = cluster.ask(NUMBER, RpcBody::ShowSet).await else { panic!("no set") };
    assert_eq!((update.set, update.synced), (set(), SET_VERSION));

    for entry in [kept_turn(11, 0, "first"), kept_turn(12, 11, "second"), turn_elsewhere(13), reservation(14)] {
        assert_eq!(cluster.fetch(NUMBER, "a", entry.turn.0).await, Some(entry));
    }
    let request = ReadProgram { set_version: SET_VERSION, program: PROGRAM };
    let RpcBody::Stored(books) = cluster.ask(NUMBER, RpcBody::ReadProgram(request)).await else { panic!("no books") };
    let own = DiskIdentity { node: node_id(&name(NUMBER)), disk: DISK };
    assert_eq!((books.witness.own, books.witness.standing), (own, ReplicaStanding::Counts));
    assert_eq!(books.witness.others, [peer()]);
    let charge = |turn, tokens, settled| TurnCharge { turn: TurnId(turn), tokens, settled };
    let mut charges = books.charges;
    charges.sort_by_key(|charge| charge.turn);
    assert_eq!(charges, [charge(11, 41, 1), charge(12, 41, 1), charge(13, 17, 1), charge(14, 80, 0)]);
    assert!(!books.places.is_empty() && books.places.iter().all(|known| *known == place()));

    let read = |turn| RpcBody::ReadChain(ReadChain { set_version: SET_VERSION, turn: TurnId(turn) });
    let chain = chain_of(cluster.ask(NUMBER, read(12)).await);
    let links: Vec<(TurnId, TurnRecord)> = chain.links.into_iter().map(|link| (link.turn, link.record)).collect();
    let first = (TurnId(11), record(0, "first", Vec::new()));
    assert_eq!(links, [(TurnId(12), record(11, "second", Vec::new())), first]);
    assert_eq!(chain_of(cluster.ask(NUMBER, read(13)).await).elsewhere, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_starts_with_the_folder_tells_the_kept_view() {
    let cluster = started(NET + 1, FOLDER).await;
    let RpcBody::StoredViewHeld(held) = cluster.ask(NUMBER, RpcBody::ReadStoredView(ReadStoredView::default())).await
    else {
        panic!("nothing is kept")
    };
    assert_eq!((held.set_version, held.is_whole, held.witness.own.node), (SET_VERSION, 1, node_id(&name(NUMBER))));
    assert_eq!((held.configuration.revision, held.configuration.kept_at_ms), (81, 1_764_716_042_123));
    assert_eq!(from_content::<Configuration>(&held.configuration.content), Some(configuration()));
    assert_eq!(from_content::<Vec<EngineEntry>>(&held.engines.content), Some(engines()));
    assert_eq!(from_content::<ZoneDrains>(&held.zone_drains.content), Some(zone_drains()));
}
