//! Tests that nodes of this protocol version and of version 7 work together while a fleet is upgraded.
//!
//! Guards against a fault of an upgrade: the first upgraded gateways rejected most requests ("cause=no_quorum ... 0 of
//! 2 replicas answered"), while the same replicas answered the gateways of the previous version. In one second 4 of 17
//! requests were served in time, instead of 29 of 29. Each message begins with the number of a protocol version, and a
//! node dropped messages with a number other than its own. The number had been raised from 7 to 9 when fields were
//! added, and the new build neither read nor wrote version 7. So the fleet split into two parts, and each part had the
//! disks of only some replicas.

mod support;

use foxnotch_gateway::peers::rpc_client::RpcClient;
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::peers::view_codec::{decode_view_part, encode_view_part};
use foxnotch_gateway::peers::view_exchange;
use foxnotch_gateway::ports::configuration::EngineEntry;
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_turns::identity::program_key;
use foxnotch_wire::{
    decode, encode_in_version, encode_rpc_in_version, sequence_with_version_offer, sequence_without_version_offer,
    Content, MemberAddress, MemberState, MemberUpdate, Message, NodeId, Ping, ProtocolVersion, ReadProgram, RpcBody,
    RpcMessage, StoreEntry, TurnEntry, ViewUpdate, PROTOCOL_VERSION,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use support::cluster::{eventually, Cluster};
use support::engine::{Behaviour, StubEngine};
use support::fixtures::encoded_view_part;
use support::gateway::{configuration, put_engine_entry, RunningGateway};
use support::older_node::{
    body_of, datagram, exchange_of, read_frame, request, write_frame, OlderGateway, OlderNode, VERSION,
};
use support::view_samples;
use tokio::net::{TcpStream, UdpSocket};

/// Maximum time until a node answers or a condition holds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of the gateway in a test cluster.
const GATEWAY: u8 = 50;
/// Numbers of the kinds of requests and answers on the wire.
const STORE_ENTRY: u8 = 0;
const PULL_VIEW: u8 = 7;
const SHOW_SET: u8 = 9;
const SET_KNOWN: u8 = 68;
/// Offset of a datagram's kind, after the version and the sender.
const DATAGRAM_KIND_OFFSET: usize = 5;
const ACK: u8 = 2;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_of_an_older_node_is_answered_in_its_version() {
    let cluster = Cluster::start(144, 1).await;
    let mut stream = TcpStream::connect(cluster.peer_address(1)).await.expect("the replica listens");
    let sent = request("show_set");
    write_frame(&mut stream, &sent).await;
    let answer =
        tokio::time::timeout(ANSWER_TIMEOUT, read_frame(&mut stream)).await.expect("the replica answers in time");
    let answer = answer.expect("the connection stays open");
    assert_eq!((answer[0], body_of(&answer)[0]), (VERSION, SET_KNOWN));
    assert_eq!(exchange_of(&answer), exchange_of(&sent));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_of_an_older_node_is_answered_in_its_version() {
    let cluster = Cluster::start(145, 1).await;
    let address: SocketAddr = "127.77.145.99:7380".parse().expect("the address is valid");
    let socket = UdpSocket::bind(address).await.expect("the address is free");
    // The probe contains the older node's own address, to which the answer is sent.
    let mut probe = datagram("ping");
    let (node, own_ip, fixture_ip) = (7_u32.to_le_bytes(), [127, 77, 145, 99], [10, 1, 0, 38]);
    probe[1..5].copy_from_slice(&node);
    while let Some(position) = probe.windows(fixture_ip.len()).position(|bytes| bytes == fixture_ip) {
        probe[position..position + fixture_ip.len()].copy_from_slice(&own_ip);
    }
    socket.send_to(&probe, cluster.peer_address(1)).await.expect("the datagram can be sent");
    let mut answer = [0; 2048];
    let received = tokio::time::timeout(ANSWER_TIMEOUT, socket.recv_from(&mut answer)).await;
    received.expect("the replica answers in time").expect("the answer is received");
    assert_eq!((answer[0], answer[DATAGRAM_KIND_OFFSET]), (VERSION, ACK));
}

/// A node of this version writes its first probe in the oldest version, and offers the newest one that it reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_that_offers_the_newest_version_is_answered_in_it() {
    let cluster = Cluster::start(146, 1).await;
    let address: SocketAddr = "127.77.146.99:7380".parse().expect("the address is valid");
    let socket = UdpSocket::bind(address).await.expect("the address is free");
    let own = MemberUpdate {
        node: NodeId(7),
        state: MemberState::Alive,
        incarnation: 8,
        zone: 0,
        address: MemberAddress {
            ip: Ipv4Addr::new(127, 77, 146, 99).to_ipv6_mapped().octets(),
            peer_port: 7380,
            caller_port: 0,
        },
        config_revision: 0,
    };
    let ping = Message::Ping(Ping { sequence: sequence_with_version_offer(5), updates: vec![own] });
    let probe = encode_in_version(ProtocolVersion::OLDEST, NodeId(7), ping).expect("the message can be encoded");
    socket.send_to(&probe, cluster.peer_address(1)).await.expect("the datagram can be sent");
    let mut bytes = [0; 2048];
    let received = tokio::time::timeout(ANSWER_TIMEOUT, socket.recv_from(&mut bytes)).await;
    let (length, _) = received.expect("the replica answers in time").expect("the answer is received");
    let answer = decode(&bytes[..length]).expect("the message can be decoded");
    let Message::Ack(ack) = answer.message else { panic!("no answer to the probe: {answer:?}") };
    assert_eq!((answer.version, sequence_without_version_offer(ack.sequence)), (PROTOCOL_VERSION, 5));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_that_cannot_be_decoded_are_counted() {
    let cluster = Cluster::start(147, 1).await;
    let before = cluster.metric(1, "messages_not_read").await.expect("the metric is served");
    let socket = UdpSocket::bind("127.77.147.99:7380").await.expect("the address is free");
    socket.send_to(&[8, 1, 2, 3], cluster.peer_address(1)).await.expect("the datagram can be sent");
    let mut stream = TcpStream::connect(cluster.peer_address(1)).await.expect("the replica listens");
    write_frame(&mut stream, &[8, 1, 2, 3]).await;
    let until = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    while cluster.metric(1, "messages_not_read").await < Some(before + 2) {
        assert!(
            tokio::time::Instant::now() < until,
            "the metric messages_not_read did not count the two unreadable messages in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_older_node_is_called_in_its_version() {
    let older = OlderNode::start(&[(SHOW_SET, "set_known"), (STORE_ENTRY, "stored_counts")]).await;
    let client = RpcClient::new(NodeId(2));
    let answer = client.call(older.address, RpcBody::ShowSet, ANSWER_TIMEOUT).await;
    let Ok(RpcBody::SetKnown(update)) = answer else { panic!("the node did not answer with its set: {answer:?}") };
    assert_eq!((update.set.version, update.synced, update.set.members.len()), (9, 8, 2));

    let RpcMessage { body, .. } =
        foxnotch_wire::decode_rpc(&request("store_reservation")).expect("the message can be decoded");
    let RpcBody::StoreEntry(StoreEntry { set_version, entry }) = body else {
        panic!("the fixture is not a request to store an entry: {body:?}")
    };
    assert_eq!((set_version, entry.reserved, entry.record.len()), (9, 80, 0));
    let answer =
        client.call(older.address, RpcBody::StoreEntry(StoreEntry { set_version, entry }), ANSWER_TIMEOUT).await;
    let Ok(RpcBody::Stored(stored)) = answer else { panic!("the node did not store the entry: {answer:?}") };
    assert_eq!(stored.charges.iter().map(|charge| charge.tokens).collect::<Vec<_>>(), [80, 41]);

    assert_eq!(older.received(STORE_ENTRY), [body_of(&request("store_reservation"))]);
    assert_eq!(older.unreadable_count(), 0);
}

/// In a decoded message of version 7, fields that version 7 does not have get the value for "unknown" or "none".
#[test]
fn a_stored_turn_of_an_older_node_is_restricted_to_no_region() {
    let RpcMessage { body, .. } =
        foxnotch_wire::decode_rpc(&request("store_kept_turn")).expect("the message can be decoded");
    let RpcBody::StoreEntry(StoreEntry { entry, .. }) = body else {
        panic!("the fixture is not a request to store an entry: {body:?}")
    };
    let TurnEntry { used, elsewhere, record, .. } = &entry;
    assert_eq!((*used, elsewhere, record.len()), (41, &None, 1));
    assert!(entry.regions().is_empty());
}

/// A gateway of version 7 does not know tickets: it counts tokens that are reserved ahead as used, and rejects with 402
/// a turn for which the budget suffices. So no tokens are reserved ahead while such a gateway may get the program's
/// next turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_are_not_reserved_ahead_while_an_older_gateway_runs() {
    let cluster = Cluster::start(148, 3).await;
    cluster.wait_until_synced(&[1, 2, 3]).await;
    cluster.store.put(Kind::Configuration, "main", configuration(1));
    let engine = StubEngine::start(Behaviour::Stream(vec!["data: x\n\n", "data: y\n\n"])).await;
    put_engine_entry(&cluster, "e-draft", "draft", engine.address);
    let gateway = RunningGateway::start_customized(&cluster, GATEWAY, cluster.store.clone(), |settings| {
        settings.policy.reserve_ahead = true;
    })
    .await;
    gateway.wait_ready().await;
    let older = NodeId(7);
    let nodes = [1, 2, 3, GATEWAY].map(|number| cluster.peer_address(number)).to_vec();
    let _older = OlderGateway::start(older, SocketAddrV4::new(cluster.ip(7), 7380), nodes).await;
    let until = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    loop {
        let RpcBody::Members(list) = cluster.call_replica(GATEWAY, RpcBody::ShowMembers).await else {
            panic!("the gateway did not answer with its members")
        };
        if list.members.iter().any(|member| member.node == older) {
            break;
        }
        assert!(tokio::time::Instant::now() < until, "the gateway did not learn of the older gateway in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let headers = "t-attempt: t1\r\nt-deadline: 2000\r\nt-program: p\r\nt-budget: 500\r\nt-most: 30\r\n";
    let answer = gateway.send("POST /draft/", headers, "in").await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{}", answer.body);
    // A reservation ahead would be written together with the turn's settlement, so it would be visible here too.
    let request = ReadProgram { set_version: cluster.view.replica_set().version, program: program_key("", "p") };
    loop {
        let RpcBody::Stored(stored) = cluster.call_replica(1, RpcBody::ReadProgram(request)).await else {
            panic!("the replica did not answer with charges")
        };
        let charges: Vec<(u32, u8)> = stored.charges.iter().map(|charge| (charge.tokens, charge.settled)).collect();
        if charges.iter().any(|(_, settled)| *settled == 1) {
            assert_eq!(charges, [(18, 1)]);
            return;
        }
        assert!(tokio::time::Instant::now() < until, "the turn was not settled in time: {charges:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An older node sends a configuration without the fields that its build does not know: the regions of routes and
/// tenants, and the slow start of engines. Guards against a node that keeps such a partial configuration until the next
/// change, although the store and other nodes have the whole one under the same revision.
#[tokio::test]
async fn the_whole_configuration_replaces_an_older_nodes_partial_one() {
    let whole = view_samples::configuration();
    let partial = ViewUpdate {
        configuration_revision: 81,
        configuration_version: 7,
        configuration: older_configuration(),
        ..ViewUpdate::default()
    };
    let answer = encode_rpc_in_version(ProtocolVersion::Seven, NodeId(3), 0, RpcBody::View(partial))
        .expect("the message can be encoded");
    let older = OlderNode::start_with(BTreeMap::from([(PULL_VIEW, answer)])).await;
    let (client, holder) = (Arc::new(RpcClient::new(NodeId(2))), ViewHolder::default());
    view_exchange::pull_newer_parts(&client, &holder, older.address).await.expect("the older node answers");
    let adopted = holder.get().configuration;
    assert_eq!((adopted.revision, adopted.value.version, adopted.value.routes.len()), (81, 7, 3));
    assert_eq!(adopted.value.routes[0].residency, Residency::default());

    assert!(holder.adopt_configuration(81, whole.clone(), Origin::Store));
    assert_eq!(*holder.get().configuration.value, whole);
    assert_eq!(decode_view_part(&holder.encoded_configuration(&holder.get().configuration)), Some(whole.clone()));
    // A partial configuration of the same revision does not replace the whole one.
    view_exchange::pull_newer_parts(&client, &holder, older.address).await.expect("the older node answers");
    assert_eq!(*holder.get().configuration.value, whole);
    assert_eq!(older.unreadable_count(), 0);
}

/// Two gateways of version 7 watch the store for the other nodes, but do not forward objects and fields that their
/// build does not know. So a gateway of this build watches the store itself if the configuration uses such a field, and
/// only then.
#[rstest]
#[case::plain(149, None, 0)]
#[case::slow_start(150, SlowStart::new(3000, 23.5), 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_watches_the_store_itself_if_it_uses_features_unknown_to_older_watchers(
    #[case] net: u8,
    #[case] slow_start: Option<SlowStart>,
    #[case] watched: u64,
) {
    let cluster = Cluster::start(net, 1).await;
    let ObjectBody::Configuration(mut in_store) = configuration(1) else {
        panic!("configuration() returned an object of another kind")
    };
    in_store.services[0].slow_start = slow_start;
    cluster.store.put(Kind::Configuration, "main", ObjectBody::Configuration(in_store));
    let gateway = RunningGateway::start_customized(&cluster, GATEWAY, cluster.store.clone(), |settings| {
        settings.times.zone_drain_ms = None;
    })
    .await;
    gateway.wait_ready().await;
    let _older = start_older_watchers(&cluster).await;
    wait_until_store_watched_stays(&cluster, watched).await;
}

/// Two gateways of an older build watch the store for the other nodes and drop the software versions of engines. Guards
/// against a gateway that stays without them: it cannot tell which engines may go on with a stream. It watches the
/// store itself until it has them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_watches_the_store_itself_while_older_watchers_leave_out_software_versions() {
    let cluster = Cluster::start(151, 1).await;
    cluster.store.put(Kind::Configuration, "main", configuration(1));
    let entry = |software_version| ObjectBody::Engine(EngineEntry { software_version, ..view_samples::engine("e1") });
    cluster.store.put(Kind::Engines, "e1", entry(None));
    let gateway = RunningGateway::start_customized(&cluster, GATEWAY, cluster.store.clone(), |settings| {
        settings.times.zone_drain_ms = None;
    })
    .await;
    gateway.wait_ready().await;
    let _older = start_older_watchers(&cluster).await;
    wait_until_store_watched_stays(&cluster, 1).await;
    cluster.store.put(Kind::Engines, "e1", entry(Some("v1".to_owned())));
    wait_until_store_watched_stays(&cluster, 0).await;
}

/// Gateways of an older build began streams and recorded none of them. Their list of engines, which lacks the software
/// version of an engine that has just come, reaches the gateway at which the streams are resumed. Guards against
/// refusing all of these streams on the day of an upgrade, although one version serves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_older_gateways_go_on_while_one_version_serves() {
    let cluster = Cluster::start(152, 3).await;
    let ObjectBody::Configuration(mut in_store) = configuration(1) else {
        panic!("configuration() returned an object of another kind")
    };
    let route = in_store.routes.iter_mut().find(|route| route.name == "draft").expect("the route exists");
    (route.resumable, route.timeout_ms) = (true, 1500);
    cluster.store.put(Kind::Configuration, "main", ObjectBody::Configuration(in_store));
    let engine = StubEngine::start(Behaviour::Stream(vec!["id: 2\ndata: two\n\n"])).await;
    let entry = |id: &str, software_version| EngineEntry {
        service: "draft".to_owned(),
        address: engine.address.to_string(),
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version,
        ..view_samples::engine(id)
    };
    let put = |id: &str| cluster.store.put(Kind::Engines, id, ObjectBody::Engine(entry(id, Some("v1".to_owned()))));
    put("e1");
    let store = cluster.store.clone_for_one_node();
    let gateway = RunningGateway::start_customized(&cluster, GATEWAY, store.clone(), |settings| {
        settings.times.zone_drain_ms = None;
    })
    .await;
    gateway.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    // From now on, the gateway hears of changes from the older gateway alone.
    store.silence_watches_of_this_node();
    let revision = put("e2");
    let partial = ViewUpdate {
        engines_revision: revision,
        engines: encode_view_part(&[entry("e1", None), entry("e2", None)]),
        ..ViewUpdate::default()
    };
    let answer = encode_rpc_in_version(ProtocolVersion::Seven, NodeId(8), 0, RpcBody::View(partial))
        .expect("the message can be encoded");
    let address = SocketAddrV4::new(cluster.ip(8), 7380);
    let node = OlderNode::start_at(address, BTreeMap::from([(PULL_VIEW, answer)])).await;
    let nodes = vec![cluster.peer_address(GATEWAY)];
    let _older = OlderGateway::start_with_engines(NodeId(8), address, nodes, revision).await;
    eventually("the gateway has asked the older node for its list", || !node.received(PULL_VIEW).is_empty()).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..16 {
        let headers =
            format!("t-attempt: r{number}\r\nt-deadline: 1400\r\nt-resumes: unrecorded{number}\r\nt-last-event: 1\r\n");
        let answer = gateway.send("POST /draft/", &headers, "in").await;
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Starts two gateways of version 7 that watch the store for the other nodes.
async fn start_older_watchers(cluster: &Cluster) -> Vec<OlderGateway> {
    let mut older = Vec::new();
    for number in [8, 9] {
        let address = SocketAddrV4::new(cluster.ip(number), 7380);
        let nodes = [1, GATEWAY].map(|number| cluster.peer_address(number)).to_vec();
        older.push(OlderGateway::start(NodeId(number.into()), address, nodes).await);
    }
    older
}

/// Waits until the gateway's metric `store_watched` has stayed at `watched` for 2 s, twice the time in which the
/// gateway decides whether to accept the updates of the older gateways.
async fn wait_until_store_watched_stays(cluster: &Cluster, watched: u64) {
    let until = tokio::time::Instant::now() + ANSWER_TIMEOUT * 2;
    let mut unchanged_since = tokio::time::Instant::now();
    while unchanged_since.elapsed() < Duration::from_secs(2) {
        if cluster.metric(GATEWAY, "store_watched").await != Some(watched) {
            unchanged_since = tokio::time::Instant::now();
        }
        assert!(tokio::time::Instant::now() < until, "`store_watched` does not stay at {watched}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a configuration as a node of version 7 encodes it.
fn older_configuration() -> Content {
    encoded_view_part(include_str!("fixtures/version_7/view_parts.txt"), "configuration")
}
