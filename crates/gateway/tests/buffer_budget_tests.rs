//! What a process holds of bodies and messages stays within its budget, whatever comes at once.

mod support;

use bytes::Bytes;
use foxnotch_gateway::buffer_budget::{BodyBuffer, BufferBudget, Source};
use foxnotch_gateway::ports::store::Kind;
use proptest::prelude::*;
use std::net::SocketAddr;
use support::cluster::{Cluster, PEER_PORT};
use support::endless::EndlessBytes;
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, exchange, put_engine_entry, RunningGateway};

const MEGABYTE: usize = 1024 * 1024;
/// The size of most reads in these tests, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Reads until the budget refuses or `most` bytes are held.
fn fill(budget: &std::sync::Arc<BufferBudget>, most: usize) -> BodyBuffer {
    let mut buffer = BodyBuffer::new(budget, Source::Payload);
    while buffer.len() < most && buffer.append(&[0; PIECE_BYTES]).is_ok() {}
    buffer
}

proptest! {
    /// The budget counts what is held, never more than its limit, and nothing once all is dropped.
    #[test]
    fn a_budget_never_exceeds_its_limit(
        limit in 1000_usize..1_000_000,
        reads in prop::collection::vec((any::<bool>(), 0_usize..400_000, any::<bool>()), 1..60),
    ) {
        let budget = BufferBudget::new(limit);
        let mut held = Vec::new();
        for (is_control, bytes, is_kept) in reads {
            let source = if is_control { Source::Control } else { Source::Payload };
            let mut reservation = budget.begin_read(source);
            if reservation.resize(bytes).is_ok() && is_kept {
                held.push((reservation, bytes));
            } else {
                drop(reservation);
            }
            prop_assert_eq!(budget.held_bytes(), held.iter().map(|(_, bytes)| bytes).sum::<usize>());
            prop_assert!(budget.held_bytes() <= limit);
        }
        drop(held);
        prop_assert_eq!(budget.held_bytes(), 0);
        prop_assert!(budget.peak_bytes() <= limit);
    }
}

/// Beside large readers that take what they get, a small one and one of the store still find room.
#[test]
fn large_readers_leave_room_for_small_ones_and_for_the_store() {
    let budget = BufferBudget::new(16 * MEGABYTE);
    let large: Vec<BodyBuffer> = (0..24).map(|_| fill(&budget, 8 * MEGABYTE)).collect();
    assert!(large[0].len() > large[23].len(), "the readers that came first hold the most");
    assert!(fill(&budget, 4 * PIECE_BYTES).len() == 4 * PIECE_BYTES);
    assert!(budget.hold(Source::Control, Bytes::from(vec![0; MEGABYTE])).is_ok());
    assert!(budget.hold(Source::Payload, Bytes::from(vec![0; MEGABYTE])).is_err());
}

/// A body stays counted until the last copy of it is dropped.
#[test]
fn a_body_is_counted_until_its_last_copy_is_dropped() {
    let budget = BufferBudget::new(MEGABYTE);
    let body = fill(&budget, 2 * PIECE_BYTES).freeze();
    let copy = body.clone();
    drop(body);
    assert_eq!(budget.held_bytes(), copy.len());
    drop(copy);
    assert_eq!(budget.held_bytes(), 0);
}

/// Returns the value of a gauge on a process's metrics page.
async fn gauge(address: SocketAddr, name: &str) -> usize {
    let page = exchange(address, b"GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await.body;
    let value = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_else(|| panic!("no gauge {name} in {page}"))
}

/// Endless bodies from an engine, 24 at once, take no more than the gateway's share of the memory. They end as lost
/// answers, other requests are served meanwhile, and nothing stays held.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_bodies_at_once_stay_within_the_memory_of_a_gateway() {
    const MEMORY_MB: u64 = 48;
    const REQUESTS: usize = 24;
    let cluster = Cluster::start(1, 3).await;
    cluster.store.put(Kind::Configuration, "main", configuration(1));
    let endless = StubEngine::start(Behaviour::Endless(EndlessBytes::Body)).await;
    let working = StubEngine::start(Behaviour::Answer("right")).await;
    put_engine_entry(&cluster, "endless", "write", endless.address);
    put_engine_entry(&cluster, "working", "read", working.address);
    let store = cluster.store.clone();
    let change = |settings: &mut foxnotch_gateway::settings::ProcessSettings| settings.resources.memory_mb = MEMORY_MB;
    let gateway = RunningGateway::start_customized(&cluster, 50, store, change).await;
    gateway.wait_ready().await;
    let requests = (0..REQUESTS).map(|number| {
        let headers = format!("t-attempt: a{number}\r\nt-deadline: 2500\r\n");
        let gateway = &gateway;
        async move { gateway.send("POST /write/", &headers, "input").await.status }
    });
    let beside = async {
        let mut statuses = Vec::new();
        for number in 0..20 {
            let headers = format!("t-attempt: b{number}\r\nt-deadline: 2500\r\n");
            statuses.push(gateway.send("POST /read/", &headers, "input").await.status);
        }
        statuses
    };
    let (endless_statuses, beside) = tokio::join!(futures_util::future::join_all(requests), beside);
    assert_eq!(endless_statuses, [502; REQUESTS]);
    assert_eq!(beside, [200; 20]);
    let metrics = SocketAddr::from((cluster.ip(50), PEER_PORT + 1));
    let peak = gauge(metrics, "foxnotch_buffered_bytes_peak").await;
    assert!(peak <= MEMORY_MB as usize * MEGABYTE / 3, "{peak} bytes were held");
    assert!(gauge(metrics, "foxnotch_buffer_refusals").await > 0, "no read was refused: {peak} bytes were held");
    assert!(gauge(metrics, "foxnotch_buffered_bytes").await < MEGABYTE);
}
