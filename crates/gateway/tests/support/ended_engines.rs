//! A deployment whose engines end under a certain request, for tests of the limit on engines that end under one request.

use super::cluster::Cluster;
use super::engine::{Behaviour, StubEngine};
use super::gateway::{configuration, put_engine_entry, route, Answer, RunningGateway};
use foxnotch_gateway::ports::configuration::{Configuration, Route, RouteKind};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};

/// Number of engines that may end under one request.
pub const MAX_ENDED_ENGINES: usize = 3;
/// Number of engines of the service.
pub const ENGINES: usize = 9;
/// Number of tries of the caller.
pub const TRIES: usize = 7;
/// Text in the body of the request under which engines end.
pub const MARKER: &str = "fatal";
/// Number of the gateway that gets the first try.
pub const FIRST_GATEWAY: u8 = 50;
/// Number of the other gateway.
pub const OTHER_GATEWAY: u8 = 51;

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each try.
    Unrepeatable,
    /// A turn that is stored, of a program with a token budget.
    Turn,
    /// A stream whose engines end after its first event; later tries resume the stream.
    ResumedStream,
}

impl Request {
    /// The name of the route and of its service.
    pub fn route(self) -> &'static str {
        match self {
            Self::Repeatable => "read",
            Self::Unrepeatable => "write",
            Self::Turn => "turn",
            Self::ResumedStream => "draft",
        }
    }

    /// The events that an engine sends before it ends.
    pub fn events(self) -> Vec<&'static str> {
        match self {
            Self::ResumedStream => vec!["id: 1\ndata: one\n\n"],
            Self::Turn => vec!["data: one\n\n"],
            Self::Repeatable | Self::Unrepeatable => Vec::new(),
        }
    }

    /// The headers of a try with this number.
    pub fn headers(self, attempt: usize) -> String {
        let kind = match self {
            Self::Repeatable | Self::Unrepeatable => "t-program: p\r\n",
            Self::Turn => "t-program: p\r\nt-budget: 5000\r\nt-most: 100\r\n",
            Self::ResumedStream if attempt > 0 => "t-resumes: a0\r\nt-last-event: 1\r\n",
            Self::ResumedStream => "",
        };
        format!("t-attempt: a{attempt}\r\nt-deadline: 2500\r\n{kind}")
    }

    /// Sends a try with this number to a gateway.
    pub async fn send(self, gateway: &RunningGateway, attempt: usize) -> Answer {
        gateway.send(&format!("POST /{}/", self.route()), &self.headers(attempt), MARKER).await
    }
}

/// A deployment of three replicas, whose engines end under a request with [`MARKER`].
pub struct Deployment {
    /// The replicas and the platform's store.
    pub cluster: Cluster,
    /// The engines of the service.
    pub engines: Vec<StubEngine>,
}

impl Deployment {
    /// Starts engines that end under a request with [`MARKER`].
    pub async fn start(net: u8, request: Request) -> Self {
        Self::start_with_engines(net, request, ENGINES, &Behaviour::EndUnder(MARKER, request.events())).await
    }

    /// Starts this number of engines, which behave like this.
    pub async fn start_with_engines(net: u8, request: Request, count: usize, behaviour: &Behaviour) -> Self {
        let cluster = Cluster::start(net, 3).await;
        let ObjectBody::Configuration(base) = configuration(1) else {
            unreachable!("configuration() returned an object of another kind")
        };
        let resumable = Route { retain: false, resumable: true, ..route("draft", RouteKind::Streaming, 1) };
        let routes = base.routes.into_iter().filter(|route| route.name != "draft").chain([resumable]).collect();
        cluster.store.put(Kind::Configuration, "main", ObjectBody::Configuration(Configuration { routes, ..base }));
        let mut engines = Vec::new();
        for number in 0..count {
            let engine = StubEngine::start(behaviour.clone()).await;
            put_engine_entry(&cluster, &format!("e{number}"), request.route(), engine.address);
            engines.push(engine);
        }
        Self { cluster, engines }
    }

    /// Starts the gateway with this number and waits until it is ready.
    pub async fn start_gateway(&self, number: u8) -> RunningGateway {
        let gateway = RunningGateway::start_with(&self.cluster, number, self.cluster.store.clone()).await;
        gateway.wait_ready().await;
        gateway
    }

    /// Number of engines that have ended.
    pub fn ended_engines(&self) -> usize {
        self.engines.iter().filter(|engine| engine.has_ended()).count()
    }

    /// Kills all replicas and starts them again, the last of them with an empty disk.
    pub async fn lose_power(&mut self) {
        (1..=3).for_each(|number| self.cluster.kill(number));
        self.cluster.wipe(3);
        (1..=3).for_each(|number| self.cluster.start_replica(number, false));
        self.cluster.wait_until_complete(3).await;
    }

    /// Number of requests with [`MARKER`] that all engines together received.
    pub fn marked_requests(&self) -> usize {
        let count = |engine: &StubEngine| engine.received().iter().filter(|received| received.contains(MARKER)).count();
        self.engines.iter().map(count).sum()
    }
}
