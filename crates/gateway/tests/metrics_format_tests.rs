//! Tests the names, types and labels of all metrics that a gateway and a replica serve. The fixtures
//! `tests/fixtures/metrics_gateway.txt` and `metrics_replica.txt` hold the sorted `# TYPE` lines of the metrics pages,
//! and `metrics_series.txt` the series with labels.
//!
//! When a metric is added: run this test, and copy the lines that it prints as `actual` into the fixture.

mod support;

use foxnotch_gateway::metrics::{Metrics, StoreCall};
use std::net::SocketAddr;
use std::time::Duration;
use support::cluster::Cluster;
use support::fixtures::assert_same_lines;
use support::gateway::{exchange, RunningGateway};

const GATEWAY: &str = include_str!("fixtures/metrics_gateway.txt");
const REPLICA: &str = include_str!("fixtures/metrics_replica.txt");
const SERIES: &str = include_str!("fixtures/metrics_series.txt");

/// Third byte of the test's loopback addresses.
const NET: u8 = 143;
/// The gateway's number in the cluster's net.
const GATEWAY_NUMBER: u8 = 50;

/// Returns the sorted `# TYPE` lines of a metrics page, without the line of `foxnotch_store_calls`. That metric appears
/// with the first call to the store, which may come after the page was read. The fixture of the series has its type.
fn type_lines(page: &str) -> Vec<String> {
    let is_type = |line: &&str| line.starts_with("# TYPE ") && !line.contains("foxnotch_store_calls");
    let mut lines: Vec<String> = page.lines().filter(is_type).map(str::to_owned).collect();
    lines.sort();
    lines
}

async fn read_metrics_page(cluster: &Cluster, number: u8) -> String {
    let address = SocketAddr::from((cluster.ip(number), 7381));
    exchange(address, b"GET /metrics HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n").await.body
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_metrics_pages_have_these_types() {
    let cluster = Cluster::launch(NET, 1, Some(1));
    let _gateway = RunningGateway::start_with(&cluster, GATEWAY_NUMBER, cluster.store.clone()).await;
    cluster.wait_for_members(&[1]).await;
    assert_same_lines(&type_lines(&read_metrics_page(&cluster, 1).await), REPLICA);
    assert_same_lines(&type_lines(&read_metrics_page(&cluster, GATEWAY_NUMBER).await), GATEWAY);
}

/// The fixture has one series of each metric with labels, and the bucket bounds of one histogram.
#[test]
fn metrics_have_these_labels() {
    let metrics = Metrics::default();
    metrics.count_call("answered", Duration::from_millis(3));
    metrics.count_send("answered");
    metrics.count_cold_permit("granted");
    metrics.count_engine_proximity("same_zone");
    metrics.count_ticket("given");
    metrics.count_resumed_stream("recorded");
    metrics.count_suspect_request("refused");
    metrics.count_tenant_request("hule930", "let_in");
    metrics.count_store_call(StoreCall { kind: "engines", verb: "list", outcome: "done" });
    let text = metrics.to_text();
    let is_counter_type = |line: &str| line.starts_with("# TYPE ") && line.ends_with(" counter");
    let is_labelled = |line: &str| line.contains('{') && (!line.contains("_bucket") || line.contains("call_seconds"));
    let is_series = |line: &&str| is_counter_type(line) || is_labelled(line);
    let mut series: Vec<String> = text.lines().filter(is_series).map(str::to_owned).collect();
    series.sort();
    assert_same_lines(&series, SERIES);
}

#[test]
fn tenants_beyond_the_first_two_hundred_are_counted_as_others() {
    let metrics = Metrics::default();
    for number in 0..202 {
        metrics.count_tenant_request(&format!("t{number}"), "let_in");
    }
    let text = metrics.to_text();
    assert!(text.contains(r#"foxnotch_tenant_requests_total{tenant="others",outcome="let_in"} 2"#), "{text}");
    assert!(text.contains(r#"foxnotch_tenant_requests_total{tenant="t199",outcome="let_in"} 1"#), "{text}");
}
