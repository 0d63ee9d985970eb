//! A replica that is upgraded starts with the data folder that the version before it wrote.
//!
//! After an upgrade and a loss of power no request was served any more: 12 s after the machines were back, 0 of 52. The
//! replicas ended with code 1 as soon as they had started, every 0.52 s, and without them no turn has a quorum: "the data
//! folder cannot be used; check the disk: turns-0000000001: a record that checks is of a form that this version does not
//! read". When records of turns began to name regions, they got a new number and the reader forgot the old one, so the
//! disks of every running fleet became unreadable to the next version.

mod support;

use foxnotch_gateway::peers::view_codec::from_content;
use foxnotch_gateway::ports::configuration::{Configuration, EngineEntry};
use foxnotch_gateway::replica::disk::Disk;
use foxnotch_turns::identity::{node_id, zone_hash};
use foxnotch_turns::segment::{QuotaCap, QuotaCaps, Record, ReplicaState};
use foxnotch_wire::{
    Content, DiskIdentity, ProgramKey, ReadChain, ReadProgram, ReadStoredView, ReplicaMember, ReplicaSet,
    ReplicaStanding, RpcBody, RunLocation, TurnCharge, TurnEntry, TurnId, TurnRecord, NOT_SETTLED,
};
use support::cluster::{eventually, name, Cluster};
use support::fixtures::{fill_folder, lines_of_folder};
use tempfile::TempDir;

/// The folder of a replica of protocol version 7: a line for each file with its name and its bytes in hexadecimal.
const FOLDER: &str = include_str!("fixtures/version_7/replica_folder.txt");
/// The replica that wrote the folder.
const NUMBER: u8 = 1;
/// Its disk.
const DISK: u64 = 0x0807_0605_0403_0201;
/// The addresses of its set.
const NET: u8 = 143;
/// The version of its set.
const SET_VERSION: u64 = 9;
/// The program of its turns.
const PROGRAM: ProgramKey = ProgramKey(6);

fn member(number: u8) -> ReplicaMember {
    ReplicaMember { node: node_id(&name(number)), zone: zone_hash("a"), ip: [127, 77, NET, number], port: 7380 }
}

fn set() -> ReplicaSet {
    ReplicaSet { version: SET_VERSION, members: vec![member(1), member(2), member(3)], previous: vec![member(1)] }
}

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

fn place() -> RunLocation {
    RunLocation { engine: 9, part: 8, prompt_tokens: 7 }
}

fn record(previous: u128, text: &str) -> TurnRecord {
    let content = |text: &str| Content::from(text.as_bytes().to_vec());
    let (input, output) = (content(text), content("output\n"));
    TurnRecord { previous: TurnId(previous), engine: 77, regions: Vec::new(), input, output }
}

fn kept_turn(turn: u128, previous: u128, text: &str) -> TurnEntry {
    TurnEntry { used: 41, place: Some(place()), record: vec![record(previous, text)], ..reservation(turn) }
}

fn failed_turn(turn: u128) -> TurnEntry {
    TurnEntry { used: 17, place: Some(RunLocation::failed_at(3)), ..reservation(turn) }
}

fn caps(requests: &[(u64, u32)]) -> Record {
    let caps = requests.iter().map(|(tenant, requests)| QuotaCap { tenant: *tenant, requests: *requests });
    Record::QuotaCaps(QuotaCaps { caps: caps.collect() })
}

/// What the replica that wrote the folder wrote before and after a restart.
fn written_records() -> [Vec<Record>; 2] {
    let new = ReplicaState { disk: DISK, complete: 1, ..ReplicaState::default() };
    let peers = vec![DiskIdentity { node: node_id(&name(2)), disk: 5 }];
    let synced = ReplicaState { synced: SET_VERSION, set: set(), peers, ..new.clone() };
    let entries = |entries: Vec<TurnEntry>| entries.into_iter().map(Record::Entry);
    let before = entries(vec![reservation(11), kept_turn(11, 0, "first")]);
    let after = entries(vec![kept_turn(12, 11, "second"), failed_turn(13), reservation(14)]);
    let before = [Record::State(new)].into_iter().chain(before).chain([caps(&[(0xa1, 30), (0xa2, 40)])]);
    let after = [Record::State(synced)].into_iter().chain(after).chain([caps(&[(0xa2, 50)])]);
    [before.collect(), after.collect()]
}

/// The segments among the lines of a folder.
fn segments(lines: &str) -> Vec<String> {
    lines.lines().filter(|line| line.starts_with("turns-")).map(str::to_owned).collect()
}

/// A machine may be put back to the version before. That takes a record which it does not know for torn, and leaves it
/// and all behind it out without a word: "1 record of 2 read; 92 bytes of 140 left out". So what it knows a form for is
/// written in that form.
#[tokio::test]
async fn turns_that_are_bound_to_no_region_are_written_as_version_7_reads_them() {
    let folder = TempDir::new().expect("a folder can be made");
    for records in written_records() {
        let (disk, _) = Disk::open(folder.path()).expect("the folder can be used");
        disk.write(records).await.expect("the disk takes it");
    }
    assert_eq!(segments(&lines_of_folder(folder.path()).join("\n")), segments(FOLDER));
}

/// A replica that starts with the folder, beside none of the others.
async fn started(net: u8) -> Cluster {
    let mut cluster = Cluster::begin(net, 0, Some(3));
    fill_folder(&cluster.data_folder(NUMBER), FOLDER);
    cluster.start_replica(NUMBER, false);
    let address = cluster.peer_address(NUMBER);
    eventually("the replica listens", || std::net::TcpStream::connect(address).is_ok()).await;
    cluster
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upgraded_replica_has_every_turn_of_its_folder() {
    let cluster = started(NET).await;
    let RpcBody::SetKnown(update) = cluster.ask(NUMBER, RpcBody::ShowSet).await else { panic!("no set") };
    assert_eq!((update.set, update.synced), (set(), SET_VERSION));

    for entry in [kept_turn(11, 0, "first"), kept_turn(12, 11, "second"), failed_turn(13), reservation(14)] {
        assert_eq!(cluster.fetch(NUMBER, "a", entry.turn.0).await, Some(entry));
    }
    let request = ReadProgram { set_version: SET_VERSION, program: PROGRAM };
    let RpcBody::Stored(program) = cluster.ask(NUMBER, RpcBody::ReadProgram(request)).await else {
        panic!("no charges")
    };
    let own = DiskIdentity { node: node_id(&name(NUMBER)), disk: DISK };
    assert_eq!((program.witness.own, program.witness.standing), (own, ReplicaStanding::Counts));
    let charge = |turn, tokens, settled| TurnCharge { turn: TurnId(turn), tokens, settled };
    let mut charges = program.charges;
    charges.sort_by_key(|charge| charge.turn);
    assert_eq!(charges, [charge(11, 41, 1), charge(12, 41, 1), charge(13, 17, 1), charge(14, 80, 0)]);

    let read = RpcBody::ReadChain(ReadChain { set_version: SET_VERSION, turn: TurnId(12) });
    let RpcBody::Chain(chain) = cluster.ask(NUMBER, read).await else { panic!("no chain") };
    let links: Vec<(TurnId, TurnRecord)> = chain.links.into_iter().map(|link| (link.turn, link.record)).collect();
    assert_eq!(links, [(TurnId(12), record(11, "second")), (TurnId(11), record(0, "first"))]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upgraded_replica_has_the_stored_view_of_its_folder() {
    let cluster = started(NET + 1).await;
    let RpcBody::StoredViewHeld(held) = cluster.ask(NUMBER, RpcBody::ReadStoredView(ReadStoredView::default())).await
    else {
        panic!("nothing is stored")
    };
    assert_eq!((held.set_version, held.is_whole), (SET_VERSION, 1));
    assert_eq!((held.configuration.revision, held.engines.revision, held.zone_drains.revision), (81, 82, 0));
    let configuration: Configuration = from_content(&held.configuration.content).expect("it is read");
    assert_eq!((configuration.version, configuration.routes.len(), configuration.services.len()), (7, 3, 2));
    assert_eq!(configuration.tenants.map(|tenants| tenants.len()), Some(2));
    let engines: Vec<EngineEntry> = from_content(&held.engines.content).expect("it is read");
    let listed: Vec<(&str, bool)> = engines.iter().map(|engine| (engine.id.as_str(), engine.draining)).collect();
    assert_eq!(listed, [("i-1", true), ("i-2", false)]);
}
