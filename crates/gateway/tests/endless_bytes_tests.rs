//! Engines send bytes that never end. Deadlines hold, and a gateway with one thread goes on serving other requests.

mod support;

use foxnotch_gateway::network::{YieldingReader, READ_TURN_BYTES};
use foxnotch_gateway::ports::store::Kind;
use rstest::rstest;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};
use support::cluster::{eventually, Cluster};
use support::endless::EndlessBytes;
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, put_engine_entry, RunningGateway};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// The deadline of requests that get bytes without end.
const DEADLINE: Duration = Duration::from_millis(1000);
/// How much later than without the bytes a request may be answered, and how late a deadline may be noticed.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Held by each test that measures times, so that these tests do not wait for each other's processor time.
static MEASURING: Mutex<()> = Mutex::const_new(());
/// Number of requests at the same time that get bytes without end.
const ENDLESS_REQUESTS: usize = 8;
/// Pause after each byte of a slow head.
const SLOW_HEAD_PAUSE: Duration = Duration::from_millis(5);
/// Time between two requests that wait for an engine to be known.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// The most bytes of an answer that a caller keeps.
const KEPT_BYTES: usize = 4096;

/// How a request ended.
#[derive(Debug)]
struct Ended {
    status: u16,
    after: Duration,
}

/// Sends a request and reads its answer to the end, keeping only the beginning.
async fn ask(address: SocketAddr, service: &str, attempt: &str) -> Ended {
    let sent_at = Instant::now();
    let deadline = DEADLINE.as_millis();
    let request = format!(
        "POST /{service}/ HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\nt-attempt: {attempt}\r\nt-deadline: \
         {deadline}\r\nt-program: {attempt}\r\nt-budget: 500\r\nt-most: 30\r\ncontent-length: 5\r\n\r\ninput"
    );
    let mut stream = TcpStream::connect(address).await.expect("the gateway accepts connections");
    stream.write_all(request.as_bytes()).await.expect("the gateway reads the request");
    let (mut kept, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(length) = stream.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        kept.extend_from_slice(&buffer[..length.min(KEPT_BYTES.saturating_sub(kept.len()))]);
    }
    let head = String::from_utf8_lossy(&kept);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ended { status, after: sent_at.elapsed() }
}

/// Sends one request after another until `stop` is set. Returns the longest time that one took.
async fn longest_answer_time(address: SocketAddr, stop: Arc<AtomicBool>) -> Duration {
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let ended = ask(address, "read", "beside").await;
        assert_eq!(ended.status, 200);
        longest = longest.max(ended.after);
    }
    longest
}

struct Deployment {
    cluster: Cluster,
    gateway: RunningGateway,
    /// A gateway that gets none of the requests with bytes without end. It shows what this machine's load costs.
    control: RunningGateway,
    endless: StubEngine,
    _working: StubEngine,
}

impl Deployment {
    /// Starts a working engine for the service `read` and an engine that sends `bytes` for another service.
    async fn start(net: u8, service: &str, bytes: EndlessBytes) -> Self {
        let cluster = Cluster::start(net, 3).await;
        cluster.store.put(Kind::Configuration, "main", configuration(1));
        let endless = StubEngine::start(Behaviour::Endless(bytes)).await;
        let working = StubEngine::start(Behaviour::Answer("right")).await;
        put_engine_entry(&cluster, "endless", service, endless.address);
        put_engine_entry(&cluster, "working", "read", working.address);
        let gateway = RunningGateway::start_with(&cluster, 50, cluster.store.clone()).await;
        let control = RunningGateway::start_with(&cluster, 51, cluster.store.clone()).await;
        gateway.wait_ready().await;
        control.wait_ready().await;
        for callers in [gateway.callers, control.callers] {
            assert_eq!(ask(callers, "read", "first").await.status, 200);
        }
        Self { cluster, gateway, control, endless, _working: working }
    }
}

/// Bytes without end hold up neither the deadline of their own request nor any other request of the gateway.
#[rstest]
#[case(1, "write", EndlessBytes::InformationalHeads)]
#[case(2, "write", EndlessBytes::HeadLines)]
#[case(3, "write", EndlessBytes::HeadLine)]
#[case(4, "write", EndlessBytes::StatusLine)]
#[case(5, "write", EndlessBytes::EmptyLines)]
#[case(6, "write", EndlessBytes::Garbage)]
#[case(7, "write", EndlessBytes::ChunkSize)]
#[case(8, "write", EndlessBytes::ChunkExtension)]
#[case(9, "write", EndlessBytes::SmallChunks)]
#[case(11, "write", EndlessBytes::Trailers)]
#[case(12, "write", EndlessBytes::Body)]
#[case(13, "write", EndlessBytes::RefusalBody)]
#[case(14, "write", EndlessBytes::AfterAnswer)]
#[case(15, "turn", EndlessBytes::InformationalHeads)]
#[case(16, "turn", EndlessBytes::RefusalBody)]
#[case(17, "turn", EndlessBytes::Comments)]
#[case(18, "turn", EndlessBytes::EmptyEvents)]
#[case(19, "turn", EndlessBytes::Event)]
#[case(28, "turn", EndlessBytes::SmallChunks)]
#[case(33, "draft", EndlessBytes::ChunkSize)]
#[case(36, "draft", EndlessBytes::Comments)]
#[case(37, "draft", EndlessBytes::EmptyEvents)]
#[case(38, "draft", EndlessBytes::Event)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_without_end_delay_no_other_request(#[case] net: u8, #[case] service: &str, #[case] bytes: EndlessBytes) {
    let _measuring = MEASURING.lock().await;
    let deployment = Deployment::start(net, service, bytes).await;
    let stop = Arc::new(AtomicBool::new(false));
    let beside = tokio::spawn(longest_answer_time(deployment.gateway.callers, stop.clone()));
    let control = tokio::spawn(longest_answer_time(deployment.control.callers, stop.clone()));
    let attempts: Vec<String> = (0..ENDLESS_REQUESTS).map(|number| format!("a{number}")).collect();
    let requests = attempts.iter().map(|attempt| ask(deployment.gateway.callers, service, attempt));
    let ended = futures_util::future::join_all(requests).await;
    stop.store(true, Ordering::Relaxed);
    let beside = beside.await.expect("all requests beside are answered");
    let control = control.await.expect("all requests of the other gateway are answered");
    println!("{bytes:?} {service}: beside {beside:?}, control {control:?}, {ended:?}");
    assert!(beside <= control + TOLERANCE, "a request beside took {beside:?}, of the other gateway {control:?}");
    for ended in ended {
        assert!(ended.after <= DEADLINE + TOLERANCE + control, "a request ended after {:?}", ended.after);
        assert_eq!(ended.status == 200 && service == "write", bytes == EndlessBytes::AfterAnswer, "{ended:?}");
    }
    eventually("the engine's connections are closed", || {
        deployment.endless.closed_connections() >= deployment.endless.received().len()
    })
    .await;
}

/// A stream that brings events but no data is cut off before its deadline.
#[rstest]
#[case(49, "turn", EndlessBytes::Comments)]
#[case(50, "turn", EndlessBytes::EmptyEvents)]
#[case(51, "draft", EndlessBytes::Comments)]
#[case(58, "draft", EndlessBytes::EmptyEvents)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_without_data_is_cut_off(#[case] net: u8, #[case] service: &str, #[case] bytes: EndlessBytes) {
    let _measuring = MEASURING.lock().await;
    let deployment = Deployment::start(net, service, bytes).await;
    let ended = ask(deployment.gateway.callers, service, "a0").await;
    assert!(ended.after < DEADLINE, "{ended:?}");
    eventually("the engine's connection is closed", || deployment.endless.closed_connections() > 0).await;
}

/// A head that comes a byte at a time does not hold its request until the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_head_that_comes_a_byte_at_a_time_is_cut_off() {
    let _measuring = MEASURING.lock().await;
    let deployment = Deployment::start(66, "write", EndlessBytes::HeadLine).await;
    deployment.endless.set(Behaviour::SlowHead(SLOW_HEAD_PAUSE));
    let ended = ask(deployment.gateway.callers, "write", "a0").await;
    assert_eq!(ended.status, 502, "{ended:?}");
    assert!(ended.after < DEADLINE, "{ended:?}");
}

/// A refusal without an end is sent to the engine once. Another engine serves the request; without one it is refused at
/// once, as not run.
#[rstest]
#[case(41, "write", false)]
#[case(42, "write", true)]
#[case(47, "turn", false)]
#[case(48, "turn", true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_engine_whose_refusal_does_not_end_is_tried_once(
    #[case] net: u8,
    #[case] service: &str,
    #[case] has_other_engine: bool,
) {
    let _measuring = MEASURING.lock().await;
    let deployment = Deployment::start(net, service, EndlessBytes::RefusalBody).await;
    let other = StubEngine::start(Behaviour::Answer("right")).await;
    if has_other_engine {
        put_engine_entry(&deployment.cluster, "other", service, other.address);
        while ask(deployment.gateway.callers, service, "first").await.status != 200 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
    let sends_before = deployment.endless.received().len();
    for number in 0..4 {
        let ended = ask(deployment.gateway.callers, service, &format!("a{number}")).await;
        assert_eq!(ended.status, if has_other_engine { 200 } else { 503 }, "{ended:?}");
        assert!(ended.after < DEADLINE / 4, "{ended:?}");
        let sends = deployment.endless.received().len() - sends_before;
        assert!(sends <= number + 1, "{sends} sends for {} requests", number + 1);
    }
}

/// A reader that always has bytes gives other tasks their turn after a bounded number of them.
#[tokio::test]
async fn a_reader_that_always_has_bytes_lets_other_tasks_run() {
    let mut reader = YieldingReader::new(tokio::io::repeat(b'x'));
    let mut context = Context::from_waker(Waker::noop());
    let (mut turn_bytes, mut turns) = (0, 0);
    while turns < 3 {
        let mut buffer = [0; 1000];
        let mut buffer = ReadBuf::new(&mut buffer);
        if Pin::new(&mut reader).poll_read(&mut context, &mut buffer).is_pending() {
            assert_eq!(turn_bytes, READ_TURN_BYTES);
            (turn_bytes, turns) = (0, turns + 1);
        }
        turn_bytes += buffer.filled().len();
    }
}
