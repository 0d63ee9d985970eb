//! Tests that a configuration that is large for a network link still reaches all gateways.
//!
//! Guards against gateways that use an outdated configuration for up to 18 s after a restart. That happened after a
//! configuration had grown by 1400 routes three times.

mod support;

use foxnotch_gateway::buffer_budget::BufferBudget;
use foxnotch_gateway::clock::SteadyClock;
use foxnotch_gateway::peers::members::Members;
use foxnotch_gateway::peers::rpc_client::RpcClient;
use foxnotch_gateway::peers::rpc_server::{self, RpcHandler};
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::peers::view_exchange;
use foxnotch_gateway::ports::configuration::{Configuration, RouteKind};
use foxnotch_gateway::ports::store::Kind;
use foxnotch_scheduler::zone_drain::ZoneDrains;
use foxnotch_wire::{
    encode, MemberAddress, MemberState, MemberUpdate, Message, NodeId, Ping, RpcBody, ShortRevision, StoreUpdate,
};
use futures_util::future::BoxFuture;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::cluster::{eventually, Cluster};
use support::gateway::{configuration, route, RunningGateway};
use support::throttled_proxy::start_throttled_proxy;
use tokio::net::{TcpListener, UdpSocket};

/// The revision of the large configuration in the store.
const REVISION: u64 = 9;
/// Number of routes of the large configuration. Their names do not compress, so the configuration takes seconds to
/// arrive through the throttled proxy.
const ROUTES: u64 = 4000;

/// Returns a configuration with pseudo-random route names.
fn large_configuration() -> Configuration {
    let name = |number: u64| {
        let first = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{:016x}{:016x}", first ^ (first >> 29), first.wrapping_mul(0xbf58_476d_1ce4_e5b9))
    };
    let routes = (0..ROUTES).map(|number| route(&name(number), RouteKind::Idempotent, 2)).collect();
    Configuration { version: 21, routes, ..Configuration::default() }
}

fn view_with_large_configuration() -> Arc<ViewHolder> {
    let holder = Arc::new(ViewHolder::default());
    holder.adopt_configuration(REVISION, large_configuration(), Origin::Store);
    holder
}

/// A node that answers pulls of its view after a delay, and counts concurrent pulls.
struct ViewSource {
    holder: Arc<ViewHolder>,
    answer_delay: Duration,
    pulls: Arc<PullCount>,
}

#[derive(Default)]
struct PullCount {
    in_flight: AtomicUsize,
    max_in_flight: AtomicUsize,
}

impl RpcHandler for ViewSource {
    fn handle(self: Arc<Self>, _from: NodeId, body: RpcBody) -> BoxFuture<'static, RpcBody> {
        Box::pin(async move {
            let RpcBody::PullView(known) = body else { return RpcBody::NotServed };
            let in_flight = self.pulls.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
            self.pulls.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
            tokio::time::sleep(self.answer_delay).await;
            self.pulls.in_flight.fetch_sub(1, Ordering::SeqCst);
            RpcBody::View(view_exchange::build_update_for_peer(&self.holder, &known))
        })
    }
}

/// Guards against a fixed timeout for a pull: with one second for any amount of data, a pull timed out, and the next
/// pull started from the beginning and queued behind the data that was still in transit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_is_pulled_over_a_slow_path() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let source =
        ViewSource { holder: view_with_large_configuration(), answer_delay: Duration::ZERO, pulls: Arc::default() };
    tokio::spawn(rpc_server::serve(listener, NodeId(1), Arc::new(source), BufferBudget::unlimited()));
    let proxy_address = start_throttled_proxy(address).await;
    let client = Arc::new(RpcClient::new(NodeId(2)));
    let view = ViewHolder::default();
    for _ in 0..10 {
        if view_exchange::pull_newer_parts(&client, &view, proxy_address).await.is_ok() {
            break;
        }
    }
    assert_eq!(view.get().configuration.value.version, 21);
}

/// Starts a node that announces itself to `target` as a member with a newer configuration, again and again, and answers
/// pulls of its view. With `sends_store_updates`, it also announces the newer configuration in store updates.
async fn start_view_source(
    ip: Ipv4Addr,
    target: SocketAddr,
    answer_delay: Duration,
    pulls: Arc<PullCount>,
    sends_store_updates: bool,
) {
    let node = NodeId(u32::from(ip));
    let port = target.port();
    let listener = TcpListener::bind((ip, port)).await.expect("the address is free");
    let holder = view_with_large_configuration();
    let source = ViewSource { holder, answer_delay, pulls };
    tokio::spawn(rpc_server::serve(listener, node, Arc::new(source), BufferBudget::unlimited()));
    let socket = UdpSocket::bind((ip, port)).await.expect("the address is free");
    let address = MemberAddress { ip: ip.to_ipv6_mapped().octets(), peer_port: port, caller_port: 1 };
    let own =
        MemberUpdate { node, state: MemberState::Alive, incarnation: 1, zone: 0, address, config_revision: REVISION };
    let update = StoreUpdate {
        configuration_revision: REVISION,
        engines_revision: 0,
        retirements_revision: ShortRevision::of(0),
        zone_drains_revision: ShortRevision::of(0),
        contact_age_ms: 0,
    };
    tokio::spawn(async move {
        loop {
            let ping = Message::Ping(Ping { sequence: 0, updates: vec![own] });
            for message in [ping].into_iter().chain(sends_store_updates.then_some(Message::StoreUpdate(update))) {
                let bytes = encode(node, message).expect("the message can be encoded");
                socket.send_to(&bytes, target).await.expect("the datagram can be sent");
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    });
}

/// Guards against pulling the same view several times over a saturated link: a node pulled it from all nodes that
/// announced it at the same time, and again with each announcement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_view_is_pulled_from_one_node_at_a_time() {
    let cluster = Cluster::launch(84, 0, None);
    let settings = cluster.settings(51, false);
    let view = Arc::new(ViewHolder::default());
    // The node has an older view, like a gateway after a stale listing.
    view.adopt_configuration(1, Configuration { version: 1, ..Configuration::default() }, Origin::Store);
    let client = Arc::new(RpcClient::new(NodeId(51)));
    let members = Members::bind(&settings, SteadyClock::start(), client, view.clone()).await;
    tokio::spawn(members.expect("the address is free").run());
    let pulls = Arc::new(PullCount::default());
    let target = SocketAddr::from((settings.ip, settings.peer_port));
    for number in 61..65 {
        start_view_source(cluster.ip(number), target, Duration::from_millis(700), pulls.clone(), true).await;
    }
    eventually("the newer configuration is known", || view.get().configuration.value.version == 21).await;
    assert_eq!(pulls.max_in_flight.load(Ordering::SeqCst), 1);
}

/// Guards against a node that stays without a configuration: it had received zone drains with a revision as high as
/// that of the other nodes' views, and so did not notice that the other parts of the view were missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_knows_only_zone_drains_pulls_the_rest_of_the_view() {
    let cluster = Cluster::launch(86, 0, None);
    let settings = cluster.settings(51, false);
    let view = Arc::new(ViewHolder::default());
    view.adopt_zone_drains(REVISION, ZoneDrains::default(), Origin::Peer);
    let client = Arc::new(RpcClient::new(NodeId(51)));
    let members = Members::bind(&settings, SteadyClock::start(), client, view.clone()).await;
    tokio::spawn(members.expect("the address is free").run());
    let target = SocketAddr::from((settings.ip, settings.peer_port));
    start_view_source(cluster.ip(61), target, Duration::ZERO, Arc::default(), false).await;
    eventually("the configuration is known", || view.get().configuration.value.version == 21).await;
}

/// A 404 for a path without a route is final for callers. A gateway that was informed of a newer configuration than its
/// own cannot know whether the newer configuration has the route, so it answers 503.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_with_an_outdated_configuration_answers_503_for_an_unknown_route() {
    let cluster = Cluster::launch(85, 0, None);
    cluster.store.put(Kind::Configuration, "main", configuration(1));
    let gateway = RunningGateway::start(&cluster).await;
    gateway.wait_ready().await;
    let refusal = gateway.send("GET /none/", "t-attempt: a1\r\n", "").await;
    assert_eq!(refusal.status, 404);
    let target = cluster.peer_address(50);
    start_view_source(cluster.ip(61), target, Duration::from_secs(60), Arc::default(), true).await;
    for number in 0..200 {
        let refusal = gateway.send("GET /none/", &format!("t-attempt: b{number}\r\n"), "").await;
        if refusal.status == 503 {
            assert!(refusal.head.to_ascii_lowercase().contains("retry-after:"), "{}", refusal.head);
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the gateway still answers 404 for a route that a newer configuration may have");
}
