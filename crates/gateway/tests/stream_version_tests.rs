//! Streams are resumed only at engines of the software version that began them, at whichever gateway the caller
//! returns.

mod support;

use foxnotch_gateway::engines::table::EngineTable;
use foxnotch_gateway::peers::view::{Versioned, View};
use foxnotch_gateway::ports::configuration::{Backend, Configuration, EngineEntry, Route, RouteKind};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_scheduler::version_history::MAX_LIST_GAP;
use foxnotch_turns::stream_origin::{origin_entry, StreamOrigin};
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::cluster::Cluster;
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, route, Answer, RunningGateway};
use support::store::StubStore;
use support::view_samples;

/// The route of the tests, and its service.
const ROUTE: &str = "draft";
/// Number of the gateway that begins the streams.
const FIRST_GATEWAY: u8 = 50;
/// Number of the gateway at which the streams are resumed.
const OTHER_GATEWAY: u8 = 51;
/// The events of a stream.
const EVENTS: [&str; 2] = ["id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n"];

/// Returns the configuration of [`configuration`] with the changed route [`ROUTE`], whose streams can be resumed.
fn configuration_with_route(version: u64, change: impl FnOnce(&mut Route)) -> ObjectBody {
    let ObjectBody::Configuration(base) = configuration(version) else {
        unreachable!("configuration() returned an object of another kind")
    };
    let mut resumable = Route { retain: false, resumable: true, ..route(ROUTE, RouteKind::Streaming, 1) };
    change(&mut resumable);
    let routes = base.routes.into_iter().filter(|route| route.name != ROUTE).chain([resumable]).collect();
    ObjectBody::Configuration(Configuration { routes, ..base })
}

/// An engine with its identifier and the version of its software.
struct VersionedEngine {
    id: String,
    service: &'static str,
    version: &'static str,
    stub: StubEngine,
}

/// A cluster of three replicas, and engines of several versions.
struct Deployment {
    cluster: Cluster,
    engines: Vec<VersionedEngine>,
}

impl Deployment {
    /// Starts the replicas, and one engine for each version; streams of the engines break after their first event.
    async fn start(net: u8, versions: &[&'static str]) -> Self {
        let cluster = Cluster::start(net, 3).await;
        cluster.store.put(Kind::Configuration, "main", configuration_with_route(1, |_| {}));
        let mut deployment = Self { cluster, engines: Vec::new() };
        for version in versions {
            deployment.add_engine(ROUTE, version).await;
        }
        deployment
    }

    async fn add_engine(&mut self, service: &'static str, version: &'static str) {
        let stub = StubEngine::start(Behaviour::BrokenStream(EVENTS[..1].to_vec())).await;
        let engine = VersionedEngine { id: format!("e{}", self.engines.len()), service, version, stub };
        self.list_engine(&engine, false);
        self.engines.push(engine);
    }

    fn list_engine(&self, engine: &VersionedEngine, draining: bool) {
        self.cluster.store.put(Kind::Engines, &engine.id, Self::entry_of(engine, draining));
    }

    fn remove_engine(&self, engine: &VersionedEngine) {
        self.cluster.store.remove(Kind::Engines, &engine.id, Self::entry_of(engine, false));
    }

    fn entry_of(engine: &VersionedEngine, draining: bool) -> ObjectBody {
        ObjectBody::Engine(EngineEntry {
            id: engine.id.clone(),
            service: engine.service.to_owned(),
            address: engine.stub.address.to_string(),
            zone: "a".to_owned(),
            slots: 40,
            draining,
            started_at_ms: None,
            cold_left_ms: 0,
            software_version: Some(engine.version.to_owned()),
        })
    }

    async fn start_gateway(&self, number: u8) -> RunningGateway {
        let gateway = RunningGateway::start_with(&self.cluster, number, self.cluster.store.clone()).await;
        gateway.wait_ready().await;
        gateway
    }

    /// From now on, the engines answer requests with the rest of a stream.
    fn let_streams_end(&self) {
        for engine in &self.engines {
            engine.stub.set(Behaviour::Stream(EVENTS[1..].to_vec()));
        }
    }

    /// Waits until the gateway sends new streams to no other version.
    async fn wait_until_served_by(&self, version: &str, gateway: &RunningGateway) {
        let mut in_a_row = 0;
        for number in 0..500 {
            let attempt = format!("w{number}");
            let headers = format!("t-attempt: {attempt}\r\nt-deadline: 2000\r\n");
            gateway.send("POST /draft/", &headers, "in").await;
            let is_served_by = self.origin_of(&attempt).is_some_and(|(_, served_by)| served_by == version);
            in_a_row = if is_served_by { in_a_row + 1 } else { 0 };
            if in_a_row == 8 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("new streams are not served by {version} alone");
    }

    /// Returns the service and version of the engine that ran an attempt.
    fn origin_of(&self, attempt: &str) -> Option<(&'static str, &'static str)> {
        let ran = |engine: &&VersionedEngine| {
            engine.stub.received().iter().any(|request| request.header("t-attempt") == Some(attempt))
        };
        self.engines.iter().find(ran).map(|engine| (engine.service, engine.version))
    }
}

/// Begins a stream; its first event arrives, then it breaks.
async fn begin_stream(gateway: &RunningGateway, attempt: &str) {
    let headers = format!("t-attempt: {attempt}\r\nt-deadline: 2000\r\n");
    let answer = gateway.send("POST /draft/", &headers, "in").await;
    assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, EVENTS[0], false));
}

/// Resumes the stream that the attempt `begun` has begun, with the new attempt `attempt`.
async fn resume_stream(gateway: &RunningGateway, begun: &str, attempt: &str) -> Answer {
    let headers = format!("t-attempt: {attempt}\r\nt-deadline: 2000\r\nt-resumes: {begun}\r\nt-last-event: 1\r\n");
    gateway.send("POST /draft/", &headers, "in").await
}

/// Time within which a gateway decides whether a stream can be resumed, with a margin for a busy machine.
const DECISION_TIME: Duration = Duration::from_millis(900 + 600);
/// Time within which a slow disk has stored a record.
const STORE_TIME: Duration = Duration::from_secs(5);

/// Resumes a stream like a caller that retries when it is refused: the record may not be stored yet, or a busy replica
/// may not have answered.
async fn resume_with_retries(gateway: &RunningGateway, begun: &str, attempt: &str) -> Answer {
    let deadline = Instant::now() + STORE_TIME;
    loop {
        let answer = resume_stream(gateway, begun, attempt).await;
        if answer.status != 503 || Instant::now() >= deadline {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A gateway breaks off streams whose engine failed, and is killed. The callers return to another gateway, which never
/// had these streams: it sent them to the engine of least cost, whatever its version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_resumed_at_their_version_after_their_gateway_was_killed() {
    let deployment = Deployment::start(150, &["v1", "v2", "v1", "v2"]).await;
    let other = deployment.start_gateway(OTHER_GATEWAY).await;
    let first = deployment.start_gateway(FIRST_GATEWAY).await;
    let numbers = 0..16;
    for number in numbers.clone() {
        begin_stream(&first, &format!("b{number}")).await;
    }
    first.kill();
    deployment.let_streams_end();
    for number in numbers {
        let (begun, resumed) = (format!("b{number}"), format!("r{number}"));
        let answer = resume_stream(&other, &begun, &resumed).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, EVENTS[1], true), "{answer:?}");
        assert_eq!(deployment.origin_of(&resumed), deployment.origin_of(&begun), "stream {begun} changed its version");
    }
}

/// The gateway that began the stream still runs and is asked again. Once three engines have broken the stream it is not
/// sent to another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_resumed_at_its_version_several_times() {
    let deployment = Deployment::start(151, &["v1", "v2", "v3"]).await;
    let gateways = [deployment.start_gateway(FIRST_GATEWAY).await, deployment.start_gateway(OTHER_GATEWAY).await];
    for number in 0..16 {
        let begun = format!("b{number}");
        begin_stream(&gateways[0], &begun).await;
        for attempt in 0..2 {
            let resumed = format!("r{number}-{attempt}");
            let answer = resume_with_retries(&gateways[(attempt + 1) % 2], &begun, &resumed).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(deployment.origin_of(&resumed), deployment.origin_of(&begun));
        }
        assert_eq!(resume_stream(&gateways[1], &begun, &format!("r{number}-2")).await.status, 502);
    }
}

/// Which engines of the version that began the stream remain.
#[rstest]
#[case::they_drain(152, true)]
#[case::they_have_left(153, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_version_has_left_is_refused_at_once(#[case] net: u8, #[case] remain_listed: bool) {
    let mut deployment = Deployment::start(net, &["v1"]).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    begin_stream(&gateway, "b0").await;
    deployment.add_engine(ROUTE, "v2").await;
    let old = &deployment.engines[0];
    if remain_listed {
        deployment.list_engine(old, true);
    } else {
        deployment.remove_engine(old);
    }
    deployment.let_streams_end();
    deployment.wait_until_served_by("v2", &gateway).await;
    let asked_at = Instant::now();
    let answer = resume_stream(&gateway, "b0", "r0").await;
    assert_eq!((answer.status, answer.has_retry_after()), (503, true), "{answer:?}");
    assert!(asked_at.elapsed() < DECISION_TIME, "the refusal took {:?}", asked_at.elapsed());
    assert_eq!(deployment.origin_of("r0"), None);
}

/// No replica knows the stream that the caller names, and engines of two versions may have begun it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_unknown_version_is_refused_while_several_versions_serve() {
    let deployment = Deployment::start(154, &["v1", "v2"]).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    deployment.let_streams_end();
    let answer = resume_stream(&gateway, "unknown", "r0").await;
    assert_eq!((answer.status, answer.has_retry_after()), (503, true), "{answer:?}");
    let headers = "t-attempt: r1\r\nt-deadline: 2000\r\nt-last-event: 1\r\n";
    let unnamed = gateway.send("POST /draft/", headers, "in").await;
    assert_eq!((unnamed.status, unnamed.has_retry_after()), (503, true), "{unnamed:?}");
    assert_eq!((deployment.origin_of("r0"), deployment.origin_of("r1")), (None, None));
}

/// Streams that a gateway of an older build began have no record. They are resumed once no other version can have begun
/// them: after the only version has served for two of the route's timeouts. A caller that does not name its stream gets
/// it at once, since this gateway has never known another version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_a_record_is_resumed_at_the_only_version_there_has_been() {
    let deployment = Deployment::start(155, &["v1", "v1"]).await;
    let short = configuration_with_route(2, |route| route.timeout_ms = 2500);
    deployment.cluster.store.put(Kind::Configuration, "main", short);
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let started_at = Instant::now();
    deployment.let_streams_end();
    assert_eq!(resume_stream(&gateway, "unknown", "r0").await.status, 503);
    let unnamed = "t-attempt: u0\r\nt-deadline: 2000\r\nt-last-event: 1\r\n";
    assert_eq!(gateway.send("POST /draft/", unnamed, "in").await.status, 200);
    tokio::time::sleep(Duration::from_millis(5200).saturating_sub(started_at.elapsed())).await;
    let answer = resume_stream(&gateway, "unknown", "r1").await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
}

/// The route shares its requests between two services, and chooses one anew for each attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_resumed_at_the_service_that_began_it() {
    let mut deployment = Deployment::start(156, &["v1"]).await;
    deployment.add_engine("turn", "v1").await;
    let shared = configuration_with_route(2, |route| {
        route.backends = [ROUTE, "turn"].map(|service| Backend { service: service.to_owned(), weight: 1 }).to_vec();
    });
    deployment.cluster.store.put(Kind::Configuration, "main", shared);
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for number in 0..8 {
        begin_stream(&gateway, &format!("b{number}")).await;
    }
    deployment.let_streams_end();
    for number in 0..8 {
        let (begun, resumed) = (format!("b{number}"), format!("r{number}"));
        assert_eq!(resume_with_retries(&gateway, &begun, &resumed).await.status, 200);
        assert_eq!(deployment.origin_of(&resumed), deployment.origin_of(&begun));
    }
}

/// One replica of three is lost after the streams began; the others have the records.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_resumed_after_the_loss_of_a_replica() {
    let mut deployment = Deployment::start(157, &["v1", "v2"]).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for number in 0..8 {
        begin_stream(&gateway, &format!("b{number}")).await;
    }
    deployment.cluster.wipe(1);
    deployment.let_streams_end();
    for number in 0..8 {
        let (begun, resumed) = (format!("b{number}"), format!("r{number}"));
        let answer = resume_with_retries(&gateway, &begun, &resumed).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(deployment.origin_of(&resumed), deployment.origin_of(&begun));
    }
}

/// The replica set is not reachable, so nothing can be read. The refusal is prompt and the request is not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_record_cannot_be_read_is_refused_while_several_versions_serve() {
    let mut deployment = Deployment::start(158, &["v1", "v2"]).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    begin_stream(&gateway, "b0").await;
    for number in 1..=3 {
        deployment.cluster.kill(number);
    }
    deployment.let_streams_end();
    let asked_at = Instant::now();
    let answer = resume_stream(&gateway, "b0", "r0").await;
    assert_eq!((answer.status, answer.has_retry_after()), (503, true), "{answer:?}");
    assert!(asked_at.elapsed() < DECISION_TIME, "the refusal took {:?}", asked_at.elapsed());
    assert_eq!(deployment.origin_of("r0"), None);
}

/// An engine restarts under its identifier and at its address with other software.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_is_replaced_under_its_identifier_has_the_version_of_its_newest_entry() {
    let mut deployment = Deployment::start(159, &["v1"]).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    begin_stream(&gateway, "b0").await;
    deployment.engines[0].version = "v2";
    deployment.list_engine(&deployment.engines[0], false);
    deployment.let_streams_end();
    let refused = async || resume_stream(&gateway, "b0", "r0").await.status == 503;
    let deadline = Instant::now() + Duration::from_secs(5);
    while !refused().await {
        assert!(Instant::now() < deadline, "the stream is still resumed at an engine of another version");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The timeout of the route in tests that wait until its streams cannot have begun before a test.
const SHORT_TIMEOUT_MS: u64 = 1500;
/// The time for which a version has to be the only one, with a margin.
const ONLY_VERSION_TIME: Duration = Duration::from_millis(2 * SHORT_TIMEOUT_MS + 500);

/// A gateway that has known one version for longer than a stream of its route lives, and its handle of the store.
struct SettledGateway {
    deployment: Deployment,
    gateway: RunningGateway,
    store: StubStore,
}

impl SettledGateway {
    /// Starts engines of the version v1, and the gateway.
    async fn start(net: u8) -> Self {
        let deployment = Deployment::start(net, &["v1", "v1"]).await;
        let short = configuration_with_route(2, |route| route.timeout_ms = SHORT_TIMEOUT_MS);
        deployment.cluster.store.put(Kind::Configuration, "main", short);
        let store = deployment.cluster.store.clone_for_one_node();
        let gateway = RunningGateway::start_with(&deployment.cluster, OTHER_GATEWAY, store.clone()).await;
        gateway.wait_ready().await;
        tokio::time::sleep(ONLY_VERSION_TIME).await;
        Self { deployment, gateway, store }
    }

    /// Resumes a stream that has no record, and checks that the call is refused at once and not run.
    async fn assert_refused(&self) {
        self.deployment.let_streams_end();
        let asked_at = Instant::now();
        let answer = resume_stream(&self.gateway, "unknown", "r0").await;
        assert_eq!((answer.status, answer.has_retry_after()), (503, true), "{answer:?}");
        assert!(asked_at.elapsed() < DECISION_TIME, "the refusal took {:?}", asked_at.elapsed());
        assert_eq!(self.deployment.origin_of("r0"), None);
    }
}

/// What happens to the engines of a new version after the gateway's connections to the store have fallen silent.
#[rstest]
#[case::it_stays(160, true)]
#[case::it_leaves_again(161, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_a_record_is_refused_by_a_gateway_whose_list_lags(#[case] net: u8, #[case] stays: bool) {
    let mut settled = SettledGateway::start(net).await;
    settled.store.silence_watches_of_this_node();
    settled.deployment.add_engine(ROUTE, "v2").await;
    if !stays {
        let newest = settled.deployment.engines.last().expect("an engine was added");
        settled.deployment.remove_engine(newest);
    }
    settled.assert_refused().await;
}

/// How the store fails for the gateway while an engine of another version is added.
#[rstest]
#[case::it_refuses(162, |store: &StubStore| store.refuse_this_node(true))]
#[case::it_is_silent(163, |store: &StubStore| store.stop_answering())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_a_record_is_refused_while_the_store_is_cut_off(
    #[case] net: u8,
    #[case] cut_off: fn(&StubStore),
) {
    let mut settled = SettledGateway::start(net).await;
    cut_off(&settled.store);
    settled.deployment.add_engine(ROUTE, "v2").await;
    settled.assert_refused().await;
}

/// The store has dropped the changes since the gateway's list, in which an engine of another version may have come and
/// gone while the gateway was cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_a_record_is_refused_after_a_gap_in_the_lists() {
    let mut settled = SettledGateway::start(164).await;
    settled.store.refuse_this_node(true);
    settled.deployment.add_engine(ROUTE, "v2").await;
    tokio::time::sleep(MAX_LIST_GAP + Duration::from_millis(500)).await;
    settled.deployment.remove_engine(settled.deployment.engines.last().expect("an engine was added"));
    settled.deployment.cluster.store.drop_history();
    settled.store.refuse_this_node(false);
    settled.assert_refused().await;
}

/// Another gateway has begun a stream at a version that has just come, and stored its record. Guards against a gateway
/// that refuses the stream because its own list does not have the version yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_a_version_that_its_gateway_has_not_heard_of() {
    let mut settled = SettledGateway::start(169).await;
    settled.store.silence_watches_of_this_node();
    settled.deployment.add_engine(ROUTE, "v2").await;
    let entry = origin_entry("", "b0", 7, StreamOrigin::new(ROUTE, "v2"), Duration::from_secs(60));
    let turns = &settled.deployment.cluster.turn_client;
    turns.write_entry(&entry, Instant::now() + STORE_TIME).await.expect("the replicas store the record");
    settled.deployment.let_streams_end();
    let answer = resume_stream(&settled.gateway, "b0", "r0").await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(settled.deployment.origin_of("r0"), Some((ROUTE, "v2")));
}

/// What else fails while one version serves and the store answers.
#[rstest]
#[case::nothing(165, &[], false)]
#[case::no_replica_answers(166, &[1, 2, 3], false)]
#[case::connections_to_the_store_are_silent(167, &[], true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_a_record_go_on_while_one_version_serves(
    #[case] net: u8,
    #[case] killed_replicas: &[u8],
    #[case] is_silent: bool,
) {
    let mut settled = SettledGateway::start(net).await;
    for number in killed_replicas {
        settled.deployment.cluster.kill(*number);
    }
    if is_silent {
        settled.store.silence_watches_of_this_node();
    }
    settled.deployment.let_streams_end();
    for number in 0..16 {
        let answer = resume_stream(&settled.gateway, &format!("unknown{number}"), &format!("r{number}")).await;
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Many streams break at the same moment. Guards against one call to the store for each of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_are_resumed_together_share_calls_to_the_store() {
    let settled = SettledGateway::start(168).await;
    settled.deployment.let_streams_end();
    let calls_before = settled.deployment.cluster.store.call_count();
    let resumed = (0..40).map(|number| {
        let (begun, attempt) = (format!("unknown{number}"), format!("r{number}"));
        let gateway = &settled.gateway;
        async move { resume_stream(gateway, &begun, &attempt).await.status }
    });
    let statuses = futures_util::future::join_all(resumed).await;
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 40, "{statuses:?}");
    let calls = settled.deployment.cluster.store.call_count() - calls_before;
    assert!(calls < 20, "{calls} calls to the store for 40 streams");
}

/// A node of an older build sends an entry without version and start time, which may describe a new start of the engine
/// with other software. Guards against a gateway that takes the version of the start before for its version.
#[test]
fn an_engine_has_no_known_version_while_its_entry_states_none() {
    let whole = EngineEntry { started_at_ms: Some(1000), ..view_samples::engine("e1") };
    let whole = EngineEntry { software_version: Some("v1".to_owned()), ..whole };
    let partial = EngineEntry { started_at_ms: None, software_version: None, ..whole.clone() };
    let table = EngineTable::default();
    let origin_after = |entry: &EngineEntry| {
        let engines = Versioned { revision: 1, value: Arc::new(vec![entry.clone()]) };
        table.apply_view(&View { engines, ..View::default() });
        table.all_engines()[0].stream_origin()
    };
    let origin = Some(StreamOrigin::new(&whole.service, "v1"));
    assert_eq!([&whole, &partial, &whole].map(origin_after), [origin, None, origin]);
}
