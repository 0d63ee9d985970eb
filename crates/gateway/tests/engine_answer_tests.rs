//! Answers of engines that belong to another attempt, are cut short or never end.

mod support;

use foxnotch_gateway::ports::store::Kind;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::cluster::{eventually, Cluster};
use support::endless::EndlessBytes;
use support::engine::{Behaviour, ReceivedRequest, StubEngine};
use support::gateway::{configuration, put_engine_entry, Answer, RunningGateway};

/// The deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 2500;
/// Time within which a request is answered that does not wait for its deadline.
const PROMPT: Duration = Duration::from_millis(1500);

/// Time from a request until an engine for it is listed.
const LISTING_DELAY: Duration = Duration::from_millis(40);

struct Deployment {
    _cluster: Cluster,
    gateway: RunningGateway,
    engines: Vec<StubEngine>,
}

impl Deployment {
    async fn start(net: u8, service: &str, behaviours: &[Behaviour]) -> Self {
        let cluster = Cluster::start(net, 3).await;
        cluster.store.put(Kind::Configuration, "main", configuration(1));
        let mut engines = Vec::new();
        for (number, behaviour) in behaviours.iter().enumerate() {
            let engine = StubEngine::start(behaviour.clone()).await;
            put_engine_entry(&cluster, &format!("e{number}"), service, engine.address);
            engines.push(engine);
        }
        let gateway = RunningGateway::start(&cluster).await;
        gateway.wait_ready().await;
        Self { _cluster: cluster, gateway, engines }
    }

    async fn send(&self, service: &str, attempt: &str) -> Answer {
        let headers = format!(
            "t-attempt: {attempt}\r\nt-deadline: {DEADLINE_MS}\r\nt-program: p\r\nt-budget: 500\r\nt-most: 30\r\n"
        );
        self.gateway.send(&format!("POST /{service}/"), &headers, "input").await
    }

    /// Number of engines that received the attempt.
    fn engines_with(&self, attempt: &str) -> usize {
        let has_received =
            |engine: &&StubEngine| engine.received().iter().any(|request| request.header("t-attempt") == Some(attempt));
        self.engines.iter().filter(has_received).count()
    }
}

/// A late copy of an engine's answer to another attempt is no answer to this one, whatever its status: the request is
/// not sent to a second engine, and its caller is not told that it has not run.
#[rstest]
#[case(180, "write", "503 Service Unavailable")]
#[case(181, "write", "429 Too Many Requests")]
#[case(182, "write", "421 Misdirected Request")]
#[case(183, "write", "408 Request Timeout")]
#[case(184, "write", "500 Internal Server Error")]
#[case(185, "write", "200 OK")]
#[case(186, "turn", "503 Service Unavailable")]
#[case(187, "turn", "421 Misdirected Request")]
#[case(188, "turn", "200 OK")]
#[case(189, "draft", "503 Service Unavailable")]
#[case(190, "draft", "421 Misdirected Request")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_to_another_attempt_is_no_answer(
    #[case] net: u8,
    #[case] service: &str,
    #[case] status: &'static str,
) {
    let behaviours = vec![Behaviour::LateCopyBeforeAnswer(status); 2];
    let deployment = Deployment::start(net, service, &behaviours).await;
    for attempt in ["a0", "a1", "a2"] {
        let answer = deployment.send(service, attempt).await;
        assert_eq!((answer.status, deployment.engines_with(attempt)), (502, 1), "{answer:?}");
    }
    // The connections on which the copies came are not used again.
    eventually("the connections are closed", || {
        deployment.engines.iter().all(|engine| engine.closed_connections() == engine.connections())
    })
    .await;
}

/// A request that may be repeated is sent to another engine after a late answer to another attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeatable_request_goes_on_after_a_late_answer_to_another_attempt() {
    let behaviours = [Behaviour::LateCopyBeforeAnswer("503 Service Unavailable"), Behaviour::Answer("right")];
    let deployment = Deployment::start(191, "read", &behaviours).await;
    for attempt in ["a0", "a1", "a2", "a3"] {
        let answer = deployment.send("read", attempt).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "right"), "{answer:?}");
    }
}

/// An engine refuses an attempt that it gets again later. The late copy of the refusal has the identifier of the
/// attempt, so it must not come on the connection of the second send.
#[rstest]
#[case(197, "write")]
#[case(198, "turn")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_a_refusal_of_the_same_attempt_does_not_make_it_run_twice(
    #[case] net: u8,
    #[case] service: &str,
) {
    let deployment = Deployment::start(net, service, &[Behaviour::RefuseOnceAndRepeat]).await;
    for attempt in ["a0", "a1", "a2"] {
        deployment.send(service, attempt).await;
        let is_attempt = |request: &&ReceivedRequest| request.header("t-attempt") == Some(attempt);
        let received = deployment.engines[0].received().iter().filter(is_attempt).count();
        assert!(received <= 2, "{attempt} came {received} times to an engine that refuses it once");
    }
}

/// A refusal that names no attempt cannot be told from a late copy of it, so its connection carries no other request.
#[rstest]
#[case(199, "write")]
#[case(200, "turn")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_a_refusal_without_an_attempt_is_no_answer(#[case] net: u8, #[case] service: &str) {
    let deployment = Deployment::start(net, service, &[Behaviour::RefuseUnnamedAndRepeat("refused")]).await;
    for number in 0..3 {
        assert_eq!(deployment.send(service, &format!("refused{number}")).await.status, 503);
        let attempt = format!("a{number}");
        deployment.send(service, &attempt).await;
        let is_attempt = |request: &&ReceivedRequest| request.header("t-attempt") == Some(&attempt);
        let runs = deployment.engines[0].received().iter().filter(is_attempt).count();
        assert_eq!(runs, 1, "{attempt} ran {runs} times");
    }
}

/// A request for which no engine is listed waits for one, as far as its route's objective allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_waits_for_an_engine_that_is_listed_meanwhile() {
    let deployment = Deployment::start(202, "write", &[]).await;
    let engine = StubEngine::start(Behaviour::Answer("right")).await;
    let list_engine = async {
        tokio::time::sleep(LISTING_DELAY).await;
        put_engine_entry(&deployment._cluster, "e0", "write", engine.address);
    };
    let (answer, ()) = tokio::join!(deployment.send("write", "a0"), list_engine);
    assert_eq!((answer.status, answer.body.as_str()), (200, "right"), "{answer:?}");
}

/// Engines cut a refusal short and keep the connection open. The refusals count, and the request is served in time.
#[rstest]
#[case(192, "read")]
#[case(193, "write")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_is_cut_short_does_not_hold_the_request(#[case] net: u8, #[case] service: &str) {
    let deployment = Deployment::start(net, service, &vec![Behaviour::CutFirstRefusal; 2]).await;
    let asked_at = Instant::now();
    let answer = deployment.send(service, "a0").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "right"), "{answer:?}");
    assert!(asked_at.elapsed() < PROMPT, "answered after {:?}", asked_at.elapsed());
    let sends: usize = deployment.engines.iter().map(|engine| engine.received().len()).sum();
    assert!(sends > 1, "no engine cut a refusal");
}

/// An engine sends a body or an event that never ends. The connection to it is closed long before the deadline.
#[rstest]
#[case(194, "read", EndlessBytes::Body)]
#[case(195, "draft", EndlessBytes::Event)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_an_end_is_cut_off(#[case] net: u8, #[case] service: &str, #[case] bytes: EndlessBytes) {
    let deployment = Deployment::start(net, service, &[Behaviour::Endless(bytes)]).await;
    let asked_at = Instant::now();
    let answer = deployment.send(service, "a0").await;
    assert!(answer.status == 502 || !answer.is_whole, "{answer:?}");
    assert!(asked_at.elapsed() < PROMPT, "ended after {:?}", asked_at.elapsed());
    eventually("the engine's connection is closed", || deployment.engines[0].closed_connections() > 0).await;
}

/// The head of an answer that states no length, as far as an engine sent it before it ended.
const HEAD_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";

/// Distance of the places at which a head is cut, besides those at the ends of its lines.
const CUT_STEP: usize = 7;

/// Answers of an engine that ends before the first byte of a body: the head is cut in its lines and at their ends, or it
/// is complete, with or without a promise of a body.
fn answers_cut_before_their_body() -> Vec<String> {
    let head = HEAD_WITHOUT_LENGTH;
    let is_at_line_end = |length: usize| head.as_bytes()[length - 1].is_ascii_control();
    let lengths = (1..head.len()).filter(|length| length % CUT_STEP == 0 || is_at_line_end(*length));
    let cut_heads = lengths.map(|length| head[..length].to_owned());
    let with_field = |field: &str| head.replacen("\r\n\r\n", &format!("\r\n{field}\r\n\r\n"), 1);
    let whole_heads = [
        head.to_owned(),
        with_field("content-length: 100"),
        with_field("transfer-encoding: chunked"),
        with_field("connection: close"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{head}"),
        head.replacen("HTTP/1.1", "HTTP/1.0", 1),
    ];
    cut_heads.chain(whole_heads).collect()
}

/// Guards against answers that an engine cut before their body, and that callers got as complete answers without
/// content. An answer whose head states no length ends with its connection, also when its engine ends.
#[rstest]
#[case(240, "read", Behaviour::Cut)]
#[case(241, "write", Behaviour::Cut)]
#[case(242, "turn", Behaviour::Cut)]
#[case(243, "draft", Behaviour::Cut)]
#[case(244, "read", Behaviour::Reset)]
#[case(245, "write", Behaviour::Reset)]
#[case(246, "turn", Behaviour::Reset)]
#[case(247, "draft", Behaviour::Reset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_cut_before_its_body_is_not_complete(
    #[case] net: u8,
    #[case] service: &str,
    #[case] cut: fn(String) -> Behaviour,
) {
    let deployment = Deployment::start(net, service, &[Behaviour::Answer("right")]).await;
    for (number, text) in answers_cut_before_their_body().into_iter().enumerate() {
        deployment.engines[0].set(cut(text.clone()));
        let attempt = format!("a{number}");
        let headers = format!(
            "t-attempt: {attempt}\r\nt-deadline: {DEADLINE_MS}\r\nt-program: p{number}\r\nt-budget: 500\r\nt-most: 30\r\n"
        );
        let answer = deployment.gateway.send(&format!("POST /{service}/"), &headers, "input").await;
        assert_eq!(deployment.engines_with(&attempt), 1, "{attempt} reached the engine once");
        assert!(answer.status == 502 || !answer.is_whole, "after {text:?}: {answer:?}");
    }
}

/// Guards against answers that were passed on in HTTP/1.0, the version that their engine speaks: the end of the
/// connection then ended the body, so a stream that broke off looked complete.
#[rstest]
#[case(251, "turn")]
#[case(252, "draft")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_in_http_1_0_that_breaks_off_is_not_complete(#[case] net: u8, #[case] service: &str) {
    let head = HEAD_WITHOUT_LENGTH.replacen("HTTP/1.1", "HTTP/1.0", 1);
    let broken = Behaviour::Cut(format!("{head}id: 1\ndata: x\n\nid: 2\nda"));
    let deployment = Deployment::start(net, service, &[broken]).await;
    let answer = deployment.send(service, "a0").await;
    assert!(answer.status == 502 || !answer.is_whole, "{answer:?}");
}

/// A turn without an answer is no turn that another can continue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_whose_answer_is_cut_before_its_body_is_not_stored() {
    let deployment = Deployment::start(248, "turn", &[Behaviour::Cut(HEAD_WITHOUT_LENGTH.to_owned())]).await;
    deployment.send("turn", "a0").await;
    deployment.engines[0].set(Behaviour::Stream(vec!["id: 1\ndata: x\n\n"]));
    let headers = format!(
        "t-attempt: a1\r\nt-deadline: {DEADLINE_MS}\r\nt-program: p\r\nt-budget: 500\r\nt-most: 30\r\nt-previous: a0\r\n"
    );
    let answer = deployment.gateway.send("POST /turn/", &headers, "input").await;
    assert_eq!((answer.status, deployment.engines_with("a1")), (404, 0), "{answer:?}");
}

/// A body that ends with its connection and has content is a whole answer.
#[rstest]
#[case(249, "write", "right", "right")]
#[case(250, "draft", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_length_ends_with_its_connection(
    #[case] net: u8,
    #[case] service: &str,
    #[case] sent: &str,
    #[case] received: &str,
) {
    let answer_text = format!("{HEAD_WITHOUT_LENGTH}{sent}");
    let deployment = Deployment::start(net, service, &[Behaviour::Cut(answer_text)]).await;
    let answer = deployment.send(service, "a0").await;
    assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, received, true), "{answer:?}");
}
