//! Gateways of two regions: whom they tell and ask, and where they send.

mod support;

use foxnotch_gateway::clock::SteadyClock;
use foxnotch_gateway::edge::turn_cache::TurnCache;
use foxnotch_gateway::edge::turns::TurnKeeper;
use foxnotch_gateway::engines::load_board::{engine_number, LoadBoard};
use foxnotch_gateway::peers::members::Members;
use foxnotch_gateway::peers::regions::MemberRegions;
use foxnotch_gateway::peers::replica_client::ReplicaClient;
use foxnotch_gateway::peers::rpc_client::RpcClient;
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::ports::configuration::EngineEntry;
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_gateway::settings::ProcessSettings;
use foxnotch_turns::identity::zone_hash;
use foxnotch_turns::replica_set::Tolerance;
use foxnotch_wire::{EngineLoad, MemberAddress, MemberState, MemberUpdate, NodeId, ReplicaSet, TurnId};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::cluster::{eventually, turn, Cluster};
use support::engine::{Behaviour, EngineStandIn};
use support::gateway::{configuration, RunningGateway};
use tokio::net::TcpListener;

/// Zones and their regions; the replicas of the cluster are in zone a.
const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

fn set_regions(settings: &mut ProcessSettings, zone: &str) {
    settings.zone = zone.to_owned();
    settings.zones = ZONES.iter().map(|(zone, _)| (*zone).to_owned()).collect();
    settings.regions = ZONES.iter().map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned())).collect();
}

fn entry(id: &str, zone: &str, engine: &EngineStandIn, draining: bool) -> ObjectBody {
    ObjectBody::Engine(EngineEntry {
        id: id.to_owned(),
        service: "read".to_owned(),
        address: engine.address.to_string(),
        zone: zone.to_owned(),
        slots: 4,
        draining,
        started_at_ms: None,
        cold_left_ms: 0,
    })
}

/// A gateway in zone a, an engine in zone b of its region and one in zone c of the other.
struct TwoRegions {
    cluster: Cluster,
    gateway: RunningGateway,
    near: EngineStandIn,
    far: EngineStandIn,
    sent: usize,
}

impl TwoRegions {
    async fn start(net: u8) -> Self {
        let cluster = Cluster::start(net, 3).await;
        cluster.store.put(Kind::Configuration, "main", configuration(1));
        let near = EngineStandIn::start(Behaviour::Answer("near")).await;
        let far = EngineStandIn::start(Behaviour::Answer("far")).await;
        cluster.store.put(Kind::Engines, "near", entry("near", "b", &near, false));
        cluster.store.put(Kind::Engines, "far", entry("far", "c", &far, false));
        let store = cluster.store.clone();
        let gateway = RunningGateway::start_changed(&cluster, 50, store, |settings| set_regions(settings, "a")).await;
        gateway.wait_ready().await;
        Self { cluster, gateway, near, far, sent: 0 }
    }

    /// Sends a request. Returns the answer's body.
    async fn send(&mut self) -> String {
        self.sent += 1;
        let headers = format!("t-attempt: r{}\r\nt-deadline: 2000\r\n", self.sent);
        self.gateway.send("GET /read/", &headers, "").await.body
    }

    /// Sends until a request is answered so.
    async fn wait_for_answer(&mut self, wanted: &str) {
        for _ in 0..200 {
            if self.send().await == wanted {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no request is ever answered {wanted:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_stay_in_the_region_leave_it_without_engines_and_come_home() {
    let mut regions = TwoRegions::start(170).await;
    for _ in 0..20 {
        assert_eq!(regions.send().await, "near");
    }
    assert!(regions.far.received().is_empty());
    regions.cluster.store.put(Kind::Engines, "near", entry("near", "b", &regions.near, true));
    regions.wait_for_answer("far").await;
    regions.cluster.store.put(Kind::Engines, "near", entry("near", "b", &regions.near, false));
    regions.wait_for_answer("near").await;
    for _ in 0..10 {
        assert_eq!(regions.send().await, "near");
    }
}

/// The replicas, the store and the other region's engine are out of reach.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_region_that_is_cut_off_serves_its_callers_with_its_own_engines() {
    let mut regions = TwoRegions::start(171).await;
    assert_eq!(regions.send().await, "near");
    regions.far.set(Behaviour::Hang);
    regions.cluster.store.refuse(true);
    for number in 1..=3 {
        tokio::task::block_in_place(|| regions.cluster.kill(number));
    }
    let cut_at = Instant::now();
    while cut_at.elapsed() < Duration::from_secs(3) {
        assert_eq!(regions.send().await, "near");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Load news stay in the region mostly: what the far region has under way is estimated by itself.
#[test]
fn a_region_that_is_seldom_heard_is_estimated_by_itself() {
    let board = LoadBoard::default();
    let load = |engine, under_way| EngineLoad { engine, under_way, answered: 0, failed: 0 };
    for gateway in 1..=10 {
        board.take_of_region(0, NodeId(gateway), &[load(1, 2)]);
    }
    board.take_of_region(1, NodeId(11), &[load(2, 2)]);
    let loads = board.estimate_by_region(&[10, 10], &[1, 2]);
    let (near, far) = (loads.under_way(1), loads.under_way(2));
    assert!(
        (near - 20.0).abs() < 10.0 && near >= 20.0,
        "{near}: all ten were heard, and little is assumed of the others"
    );
    assert!(far > 8.0 && far < 21.0, "{far}: one of ten was heard");
    let mixed = board.estimate(20, &[1, 2]);
    assert!(mixed.under_way(2) < far, "{} as though all sent to the same engines", mixed.under_way(2));
}

fn member(node: u32, zone: u8) -> MemberUpdate {
    MemberUpdate {
        node: NodeId(node),
        state: MemberState::Alive,
        incarnation: 1,
        zone,
        address: MemberAddress { ip: [0; 16], peer_port: 1, caller_port: 1 },
        config_revision: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_nearest_members_are_asked_first() {
    let cluster = Cluster::begin(172, 0, None);
    let mut settings = cluster.settings(50, false);
    set_regions(&mut settings, "a");
    let regions = MemberRegions::of(&settings);
    let nodes = |members: Vec<MemberUpdate>| members.iter().map(|member| member.node.0).collect::<Vec<u32>>();
    let (own, near, far) = (member(1, 0), member(2, 1), member(3, 2));
    assert_eq!(nodes(regions.nearest(vec![far, near, own])), [1]);
    assert_eq!(nodes(regions.nearest(vec![far, near])), [2]);
    assert_eq!(nodes(regions.nearest(vec![far])), [3]);
    assert_eq!((regions.count(), regions.is_own(1), regions.is_own(2)), (2, true, false));
    assert_eq!(nodes(regions.own_first(vec![far, near, own])), [2, 1]);
    assert_eq!(nodes(regions.own_first(vec![far])), [3]);
    let alone = MemberRegions::of(&cluster.settings(50, false));
    assert_eq!((alone.count(), alone.is_own(2)), (1, true));
}

/// A whole configuration comes from a near node that has it, and only otherwise from the far one that told of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_view_is_pulled_from_a_near_member_that_has_it() {
    let cluster = Cluster::begin(174, 0, None);
    let mut settings = cluster.settings(50, false);
    set_regions(&mut settings, "a");
    let regions = MemberRegions::of(&settings);
    let at = |node, zone, config_revision| MemberUpdate { config_revision, ..member(node, zone) };
    let teller = at(3, 2, 5);
    let sources = |teller: &MemberUpdate, members: Vec<MemberUpdate>| {
        regions.view_sources(teller, members).iter().map(|member| member.node.0).collect::<Vec<u32>>()
    };
    assert_eq!(sources(&teller, vec![at(1, 1, 5), at(2, 0, 4), at(4, 2, 6), teller]), [1]);
    assert_eq!(sources(&teller, vec![at(1, 1, 4), at(4, 2, 6), teller]), [3], "no near one has it");
    assert_eq!(sources(&at(2, 0, 5), vec![at(1, 1, 5), teller]), [2], "the teller is near");
}

/// A replica set of which one member is in zone b and the others, which nobody may ask, in zone c.
async fn keeper_far_from_most(cluster: &Cluster, far: &TcpListener) -> TurnKeeper {
    let known = cluster.view.set();
    let mut members = known.members.clone();
    for (index, member) in members.iter_mut().enumerate() {
        member.zone = zone_hash(if index == 1 { "b" } else { "c" });
        if index != 1 {
            member.ip = cluster.ip(60).octets();
            member.port = far.local_addr().expect("it is bound").port();
        }
    }
    let view = Arc::new(ViewHolder::default());
    view.adopt_set(&ReplicaSet { version: known.version, members, previous: Vec::new() }, Origin::Store);
    let client = Arc::new(ReplicaClient::direct(Arc::new(RpcClient::new(NodeId(61)))));
    let tolerance = Tolerance { machines: 1, zones: 0 };
    let keeper = TurnKeeper::new(client, view, TurnCache::new(0), zone_hash("a"), tolerance);
    keeper.with_region(vec![zone_hash("a"), zone_hash("b")])
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chain_is_read_within_the_region() {
    let cluster = Cluster::start(176, 3).await;
    // A quorum of two of three may lack the replica that is read: each turn is written until all have it.
    for number in 1..=8 {
        let entry = turn(number, number - 1, "input");
        cluster.keep(&entry).await;
        cluster.write_only_to(&[1, 2, 3], &entry).await;
    }
    let far = TcpListener::bind((cluster.ip(60), 0)).await.expect("an address can be had");
    let keeper = keeper_far_from_most(&cluster, &far).await;
    for number in 1..=8 {
        let chain = keeper.chain(TurnId(number), Instant::now() + Duration::from_secs(2)).await;
        assert_eq!(chain.expect("the near replica has it").len() as u128, number);
    }
    let asked = tokio::time::timeout(Duration::from_millis(200), far.accept()).await;
    assert!(asked.is_err(), "a replica of the other region was asked");
}

/// A node that listens as a gateway of the northern region.
async fn northern_listener(cluster: &Cluster) -> Arc<Members> {
    let mut settings = cluster.settings(52, false);
    set_regions(&mut settings, "a");
    settings.caller_address = Some((settings.ip, 7400).into());
    let client = Arc::new(RpcClient::new(NodeId(52)));
    let members = Members::bind(&settings, SteadyClock::start(), client, Arc::default()).await;
    let members = members.expect("an address can be had");
    tokio::spawn(members.clone().run());
    members
}

/// The only gateway of the south has nobody near to tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_news_reach_the_other_region() {
    let regions = TwoRegions::start(173).await;
    let store = regions.cluster.store.clone();
    let south = RunningGateway::start_changed(&regions.cluster, 51, store, |settings| set_regions(settings, "c")).await;
    south.wait_ready().await;
    let north = northern_listener(&regions.cluster).await;
    eventually("both gateways are known", || north.gateway_counts() == [1, 1]).await;
    regions.far.set(Behaviour::Hang);
    let requests = tokio::spawn(async move {
        for number in 0.. {
            south.send("GET /read/", &format!("t-attempt: s{number}\r\nt-deadline: 2900\r\n"), "").await;
        }
    });
    let engines = [engine_number("far")];
    let heard = || north.loads().estimate_by_region(&north.gateway_counts(), &engines).under_way(engines[0]);
    eventually("the far region's load is heard", || heard() > 0.5).await;
    let far = regions.cluster.metric(51, "load_news_other_regions_total").await;
    requests.abort();
    assert!(far.is_some_and(|count| count > 0), "{far:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_news_go_to_the_own_region_mostly() {
    let mut regions = TwoRegions::start(175).await;
    let store = regions.cluster.store.clone();
    let south = RunningGateway::start_changed(&regions.cluster, 51, store, |settings| set_regions(settings, "c")).await;
    south.wait_ready().await;
    let north = northern_listener(&regions.cluster).await;
    eventually("both gateways are known", || north.gateway_counts() == [1, 1]).await;
    let begun_at = Instant::now();
    while begun_at.elapsed() < Duration::from_secs(3) {
        regions.send().await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let near = regions.cluster.metric(50, "load_news_own_region_total").await.unwrap_or(0);
    let far = regions.cluster.metric(50, "load_news_other_regions_total").await.unwrap_or(0);
    assert!(near >= 4 && far >= 1 && far * 2 <= near, "{near} in the region and {far} to the other");
}
