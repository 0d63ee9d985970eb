//! Metrics of `foxnotch node` in the OpenMetrics text format.

use crate::driver::Snapshot;
use crate::transport::TrafficCounters;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Upper bounds of the request duration's buckets, in seconds.
const DURATION_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

/// Kinds of refusals for which operators have alerts. They are reported as 0 before the first refusal.
const ALERTED_REFUSAL_KINDS: [&str; 3] = ["no_quorum", "overloaded", "no_engine"];

/// Name and help text of every metric. docs/node/OPERATIONS.md has the same list.
pub const METRICS: [(&str, &str); 15] = [
    ("foxnotch_request_duration_seconds", "Seconds from the arrival of a request to the end of its response"),
    ("foxnotch_requests_in_flight", "Requests in flight at the caller interface"),
    (
        "foxnotch_requests_taken",
        "Requests handled by this node since the start, including forwarded requests and internal retries",
    ),
    ("foxnotch_calls_done", "Calls answered in full since the start"),
    ("foxnotch_calls_ended_otherwise", "Calls that ended without an answer since the start"),
    ("foxnotch_requests_forwarded", "Requests forwarded to the owner of their program since the start"),
    ("foxnotch_requests_refused", "Refused requests since the start, by kind of refusal"),
    ("foxnotch_takeovers", "Programs opened or taken over since the start"),
    ("foxnotch_programs_owned", "Programs that this node owns now"),
    ("foxnotch_histories", "Histories that the replica stores"),
    ("foxnotch_replica_voting", "1 if the replica votes, 0 while it is refilled or if the node is not a replica"),
    ("foxnotch_config_revision", "The configuration revision in force on this node"),
    (
        "foxnotch_config_revision_everywhere",
        "The lowest configuration revision in force on any member that is not dead",
    ),
    ("foxnotch_members", "Members by state"),
    ("foxnotch_peer_bytes", "Bytes sent to other nodes since the start, by kind of transport"),
];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// Metrics of the caller interface.
pub struct ApiMetrics {
    durations: Histogram,
    traffic: TrafficCounters,
}

/// Measures the duration of one request. The measurement ends when the timer is dropped.
pub struct RequestTimer {
    started: Instant,
    durations: Histogram,
}

impl Drop for RequestTimer {
    fn drop(&mut self) {
        self.durations.observe(self.started.elapsed().as_secs_f64());
    }
}

impl ApiMetrics {
    /// Creates the metrics without any measurement. `traffic` counts the bytes sent to other nodes.
    pub fn new(traffic: TrafficCounters) -> Self {
        Self { durations: Histogram::new(DURATION_BUCKETS), traffic }
    }

    /// Starts to measure the duration of a request.
    pub fn start_timer(&self) -> RequestTimer {
        RequestTimer { started: Instant::now(), durations: self.durations.clone() }
    }

    /// All metrics in the OpenMetrics text format; empty if they cannot be encoded. `in_flight` is the number of
    /// requests in flight.
    pub fn encode(&self, snapshot: &Snapshot, in_flight: usize) -> String {
        let mut registry = Registry::default();
        let help = |name: &str| METRICS.iter().find(|(known, _)| *known == name).map_or("", |(_, help)| help);
        let durations = "foxnotch_request_duration_seconds";
        registry.register(durations, help(durations), self.durations.clone());
        let status = &snapshot.status;
        let counters = &status.counters;
        let gauges = [
            ("foxnotch_requests_in_flight", in_flight as i64),
            ("foxnotch_requests_taken", counters.requests as i64),
            ("foxnotch_calls_done", counters.done as i64),
            ("foxnotch_calls_ended_otherwise", counters.ended_otherwise as i64),
            ("foxnotch_requests_forwarded", counters.forwarded as i64),
            ("foxnotch_takeovers", counters.takeovers as i64),
            ("foxnotch_programs_owned", status.programs_owned as i64),
            ("foxnotch_histories", status.histories as i64),
            ("foxnotch_replica_voting", i64::from(status.replica_voting == Some(true))),
            ("foxnotch_config_revision", status.config_revision as i64),
            ("foxnotch_config_revision_everywhere", status.config_revision_everywhere as i64),
        ];
        for (name, value) in gauges {
            let gauge: Gauge = Gauge::default();
            gauge.set(value);
            registry.register(name, help(name), gauge);
        }
        let zeros = ALERTED_REFUSAL_KINDS.into_iter().map(|kind| (kind.to_owned(), 0));
        let counted = counters.refused.iter().map(|(kind, count)| (kind.clone(), *count as i64));
        let refused = zeros.chain(counted);
        register_family(&mut registry, "foxnotch_requests_refused", help("foxnotch_requests_refused"), refused);
        let members = ["alive", "leaving", "suspect", "dead"].into_iter().map(|state| {
            let count = status.members.iter().filter(|member| member.state == state).count();
            (state.to_owned(), count as i64)
        });
        register_family(&mut registry, "foxnotch_members", help("foxnotch_members"), members);
        let traffic = [
            ("datagram".to_owned(), self.traffic.datagram_bytes.load(Ordering::Relaxed) as i64),
            ("stream".to_owned(), self.traffic.stream_bytes.load(Ordering::Relaxed) as i64),
        ];
        register_family(&mut registry, "foxnotch_peer_bytes", help("foxnotch_peer_bytes"), traffic.into_iter());
        let mut text = String::new();
        if encode(&mut text, &registry).is_err() {
            text.clear();
        }
        text
    }
}

fn register_family(registry: &mut Registry, name: &str, help: &str, values: impl Iterator<Item = (String, i64)>) {
    let family = Family::<KindLabel, Gauge>::default();
    for (kind, value) in values {
        family.get_or_create(&KindLabel { kind }).set(value);
    }
    registry.register(name, help, family);
}
