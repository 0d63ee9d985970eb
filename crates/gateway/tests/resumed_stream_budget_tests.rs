//! Streams of a program whose budget holds just its turns, which break and are resumed. Whatever broke them, and
//! however often, the rest of a turn within the budget is served, and callers get at most the budget and the most of
//! one turn.

mod support;

use foxnotch_gateway::ports::configuration::{Configuration, Route, RouteKind};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_turns::identity::{program_key, turn_id};
use foxnotch_wire::TurnEntry;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::cluster::{reservation, Cluster};
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, put_engine_entry, route, Answer, RunningGateway};

const ROUTE: &str = "draft";
/// The most tokens that a turn may use: those of all its events.
const TURN_MAXIMUM: u32 = 36;
/// The budget holds two turns.
const BUDGET: u32 = 2 * TURN_MAXIMUM;
/// Tokens of an event.
const EVENT_TOKENS: u32 = 9;
/// The events of a turn, as engines number them from 0 or from 1.
const EVENTS_FROM_0: [&str; 4] =
    ["id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n", "id: 3\ndata: d\n\n"];
const EVENTS_FROM_1: [&str; 4] =
    ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
/// Maximum wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time in which a gateway settles a stream that broke.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Three replicas, an engine and two gateways. The program's first turn has run.
struct Deployment {
    cluster: Cluster,
    engine: StubEngine,
    gateways: [RunningGateway; 2],
    events: [&'static str; 4],
}

impl Deployment {
    async fn start(net: u8, events: [&'static str; 4]) -> Self {
        let cluster = Cluster::start(net, 3).await;
        cluster.wait_until_synced(&[1, 2, 3]).await;
        let ObjectBody::Configuration(base) = configuration(1) else {
            unreachable!("configuration() returned an object of another kind")
        };
        let resumable = Route { retain: false, resumable: true, ..route(ROUTE, RouteKind::Streaming, 1) };
        let routes = base.routes.into_iter().filter(|route| route.name != ROUTE).chain([resumable]).collect();
        cluster.store.put(Kind::Configuration, "main", ObjectBody::Configuration(Configuration { routes, ..base }));
        let engine = StubEngine::start(Behaviour::Stream(events.to_vec())).await;
        put_engine_entry(&cluster, "e", ROUTE, engine.address);
        let gateways = [Self::start_gateway(&cluster, 50).await, Self::start_gateway(&cluster, 51).await];
        let deployment = Self { cluster, engine, gateways, events };
        let until = Instant::now() + MAX_WAIT;
        for number in 0.. {
            let answer = deployment.send(0, &format!("t1-{number}"), None).await;
            if answer.status == 200 {
                break;
            }
            assert!(answer.status == 503 && Instant::now() < until, "{}", answer.body);
            tokio::time::sleep(SETTLE_TIME).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        deployment
    }

    async fn start_gateway(cluster: &Cluster, number: u8) -> RunningGateway {
        let gateway = RunningGateway::start_customized(cluster, number, cluster.store.clone(), |settings| {
            settings.policy.reserve_ahead = true;
            settings.first_start = true;
        })
        .await;
        gateway.wait_ready().await;
        gateway
    }

    /// Sends a turn, or resumes the stream `begun` after the event with the given number from 0.
    async fn send(&self, gateway: usize, attempt: &str, resumed: Option<(&str, usize)>) -> Answer {
        let resumes = resumed.map_or(String::new(), |(begun, last)| {
            let id = self.events[last].trim_start_matches("id: ").split('\n').next().expect("an event has lines");
            format!("t-resumes: {begun}\r\nt-last-event: {id}\r\n")
        });
        let headers = format!(
            "t-attempt: {attempt}\r\nt-deadline: 2000\r\nt-program: p\r\nt-budget: {BUDGET}\r\n\
             t-most: {TURN_MAXIMUM}\r\n{resumes}"
        );
        self.gateways[gateway].send(&format!("POST /{ROUTE}/"), &headers, "in").await
    }

    /// Makes the engine send these events of the turn, and then break off or end.
    fn serve(&self, events: std::ops::Range<usize>) {
        let sent = self.events[events.clone()].to_vec();
        let is_end = events.end == self.events.len();
        self.engine.set(if is_end { Behaviour::Stream(sent) } else { Behaviour::BrokenStream(sent) });
    }

    /// Begins a stream that gets two events, and leaves the reservation that a gateway which died under it never
    /// settles.
    async fn begin_at_gateway_that_dies(&self, attempt: &str) {
        self.serve(0..2);
        // Without a budget this gateway neither reserves nor settles tokens.
        let headers = format!("t-attempt: {attempt}\r\nt-deadline: 2000\r\nt-program: p\r\n");
        let answer = self.gateways[1].send(&format!("POST /{ROUTE}/"), &headers, "in").await;
        assert_eq!(event_count(&answer), 2, "{}", answer.body);
        tokio::time::sleep(SETTLE_TIME).await;
        let entry =
            TurnEntry { turn: turn_id("", attempt), program: program_key("", "p"), ..reservation(1, 0, TURN_MAXIMUM) };
        self.cluster.turn_client.write_entry(&entry, Instant::now() + MAX_WAIT).await.expect("a quorum answers");
    }
}

fn event_count(answer: &Answer) -> u32 {
    answer.body.matches("data:").count() as u32
}

/// The attempt that resumes a stream needs only the rest of the turn, but reserved the most of a whole turn.
#[rstest]
#[case::numbered_from_0(50, EVENTS_FROM_0)]
#[case::numbered_from_1(51, EVENTS_FROM_1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_twice_is_resumed_within_its_budget(#[case] net: u8, #[case] events: [&'static str; 4]) {
    let deployment = Deployment::start(net, events).await;
    deployment.serve(0..1);
    assert_eq!(event_count(&deployment.send(0, "t2", None).await), 1);
    for (last, rest, gateway) in [(0, 1..2, 1), (1, 2..4, 0)] {
        tokio::time::sleep(SETTLE_TIME).await;
        deployment.serve(rest.clone());
        let answer = deployment.send(gateway, &format!("r{last}"), Some(("t2", last))).await;
        assert_eq!((answer.status, event_count(&answer)), (200, rest.len() as u32), "{}", answer.body);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(deployment.send(0, "t3", None).await.status, 402, "the budget is spent");
}

/// The gateway's reservation is never settled. It counts at its most, of which the caller has received two events.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_gateway_died_is_resumed_within_its_budget() {
    let deployment = Deployment::start(88, EVENTS_FROM_0).await;
    deployment.begin_at_gateway_that_dies("t2").await;
    deployment.serve(2..3);
    let answer = deployment.send(0, "r1", Some(("t2", 1))).await;
    assert_eq!((answer.status, event_count(&answer)), (200, 1), "{}", answer.body);
    tokio::time::sleep(SETTLE_TIME).await;
    deployment.serve(3..4);
    let answer = deployment.send(1, "r2", Some(("t2", 2))).await;
    assert_eq!((answer.status, event_count(&answer), answer.is_whole), (200, 1, true), "{}", answer.body);
}

/// Two gateways serve the rest of a stream at once, and then again and again from the same event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_resumed_again_and_again_gets_at_most_the_budget_and_one_turn() {
    let deployment = Deployment::start(89, EVENTS_FROM_0).await;
    let mut events = EVENTS_FROM_0.len() as u32;
    deployment.serve(0..2);
    events += event_count(&deployment.send(0, "t2", None).await);
    tokio::time::sleep(SETTLE_TIME).await;
    deployment.serve(2..4);
    let (left, right) = tokio::join!(
        deployment.send(0, "at-once-0", Some(("t2", 1))),
        deployment.send(1, "at-once-1", Some(("t2", 1))),
    );
    assert!(left.status == 200 || right.status == 200, "{} {}", left.body, right.body);
    events += event_count(&left) + event_count(&right);
    for number in 0..8 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = deployment.send(number % 2, &format!("again-{number}"), Some(("t2", 1))).await;
        assert!([200, 402].contains(&answer.status), "{}", answer.body);
        events += event_count(&answer);
    }
    let most = BUDGET + TURN_MAXIMUM;
    assert!(events * EVENT_TOKENS <= most, "the callers got {} tokens, more than {most}", events * EVENT_TOKENS);
}

/// An engine that numbers events in another way could send a caller more than the attempt has reserved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_stream_hands_out_no_more_than_it_has_reserved() {
    let deployment = Deployment::start(90, EVENTS_FROM_0).await;
    deployment.serve(0..1);
    deployment.send(0, "t2", None).await;
    tokio::time::sleep(SETTLE_TIME).await;
    deployment.engine.set(Behaviour::Stream(EVENTS_FROM_0.to_vec()));
    let answer = deployment.send(1, "r2", Some(("t2", 2))).await;
    assert_eq!((answer.status, answer.is_whole, event_count(&answer)), (200, false, 2), "{}", answer.body);
}
