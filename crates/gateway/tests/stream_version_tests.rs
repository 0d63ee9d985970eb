//! Streams are resumed only at engines of the software version that began them, at whichever gateway the caller
//! returns.

mod support;

use foxnotch_gateway::ports::configuration::{Configuration, EngineEntry, Route, RouteKind};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use support::cluster::Cluster;
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, route, Answer, RunningGateway};

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
        let entry = EngineEntry {
            id: engine.id.clone(),
            service: engine.service.to_owned(),
            address: engine.stub.address.to_string(),
            zone: "a".to_owned(),
            slots: 40,
            draining,
            started_at_ms: None,
            cold_left_ms: 0,
            software_version: Some(engine.version.to_owned()),
        };
        self.cluster.store.put(Kind::Engines, &engine.id, ObjectBody::Engine(entry));
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
