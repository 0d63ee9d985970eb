//! Counters, gauges and latency histograms of a gateway or a replica, under the prefix `foxnotch`. The names and labels
//! of the metrics are listed in `docs/OPERATIONS.md`; they stay the same if a field of [`Metrics`] is renamed.
//!
//! [`Metrics`] owns the registry. Code that counts events holds a [`Metrics`] and increments one of its fields. Gauges
//! that are cheap to compute are computed at each scrape. `server` serves the metrics as text.

mod server;

pub use server::serve;

use crate::engines::connection::opened_connection_count;
use crate::locks::lock;
use crate::logging::dropped_line_count;
use crate::peers::members::Members;
use crate::peers::unreadable::unreadable_message_count;
use crate::peers::view::ViewHolder;
use crate::peers::view_exchange::pull_counts;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The lowest bound of a histogram, in seconds: shorter than a round trip to the replicas of one zone.
const FIRST_BUCKET_S: f64 = 0.0005;
/// The ratio of each bound of a histogram to the previous one. The bound that is reported for a duration exceeds the
/// duration by at most half of the duration.
const BUCKET_FACTOR: f64 = 1.5;
/// The number of bounds of a histogram. The highest bound is about 13 s, after which callers have given up.
const BUCKET_COUNT: u16 = 26;

/// Maximum number of tenants whose requests are counted under the tenant's own name. These are the tenants whose first
/// request arrived earliest. The maximum bounds the memory and the text of the metrics.
const MAX_NAMED_TENANTS: usize = 200;
/// The label value under which the requests of all tenants beyond [`MAX_NAMED_TENANTS`] are counted together.
const OTHER_TENANTS: &str = "others";

/// The label of a counter that counts by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// A short name of the outcome; the names depend on the counter.
    pub outcome: &'static str,
}

/// The labels of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCall {
    /// The kind of the objects that the call reads or writes.
    pub kind: &'static str,
    /// The operation, such as `list` or `write`.
    pub verb: &'static str,
    /// `done`, or the name of the error ([`crate::ports::store::StoreError::name`]).
    pub outcome: &'static str,
}

/// The label for the network distance of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PathLabel {
    /// The engine's distance from this gateway: `same_zone`, `same_region` or `other_region`. The field's name is also
    /// the name of the label in operators' queries.
    pub place: &'static str,
}

/// The labels of a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantOutcome {
    /// The tenant's name; [`OTHER_TENANTS`] beyond the first [`MAX_NAMED_TENANTS`].
    pub tenant: String,
    /// A short name of the outcome.
    pub outcome: &'static str,
}

/// Computes the value of a gauge at a scrape.
type GaugeReader = Box<dyn Fn() -> i64 + Send + Sync>;

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    gauge_readers: Vec<(Gauge, GaugeReader)>,
    /// Callers' requests, by outcome.
    pub calls: Family<Outcome, Counter>,
    /// Sends to engines, by outcome.
    pub sends: Family<Outcome, Counter>,
    /// Engines chosen for requests, by their network distance.
    pub engine_paths: Family<PathLabel, Counter>,
    /// Number of requests that were sent to another region although the gateway's own region had engines for them.
    pub region_spills: Counter,
    /// Calls to the platform's store, by kind of object, operation and outcome.
    pub store_calls: Family<StoreCall, Counter>,
    /// Seconds from the arrival of a call to the end of its response.
    pub call_seconds: Histogram,
    /// Seconds from the arrival of a call to its first send to an engine: the delay that the gateway adds.
    pub dispatch_seconds: Histogram,
    /// Seconds from the start of a request to all replicas of the set until a quorum of them has answered.
    pub quorum_seconds: Histogram,
    /// Number of replicas' answers that another gateway relayed.
    pub relayed_answers: Counter,
    /// Number of turns that were sent to another engine than the program's previous turn, because the zone of the
    /// previous turn's engine is drained.
    pub zone_drain_moves: Counter,
    /// Number of turns restricted to regions that were stored on fewer replicas in these regions than the tolerated
    /// losses require.
    pub under_replicated_turns: Counter,
    /// Streams that callers resume, by outcome: how their software version was found, or why it was not.
    pub resumed_streams: Family<Outcome, Counter>,
    /// Requests under which several engines were lost, by decision: sent to another engine, refused, or refused because
    /// the number of ended engines is not known.
    pub suspect_requests: Family<Outcome, Counter>,
    /// Seconds from the start of the check of a tenant's rate limit until the request was admitted or rejected.
    pub quota_seconds: Histogram,
    /// Seconds from a turn's request for a ticket for tokens reserved ahead to the answer or the timeout.
    pub ticket_seconds: Histogram,
    /// Operations on tickets for tokens reserved ahead, by outcome: tickets taken, deposited or released, and failed
    /// attempts to do so.
    pub tickets: Family<Outcome, Counter>,
    /// Requests of tenants with a rate limit, by tenant and outcome.
    pub tenant_requests: Family<TenantOutcome, Counter>,
    /// Requests for a permit to send to a cold engine, by outcome.
    pub cold_permits: Family<Outcome, Counter>,
    /// Number of sends to cold engines.
    pub cold_sends: Counter,
    /// Number of engines that this process considers cold.
    pub engines_cold: Gauge,
    /// Number of listed engines that cannot be reached.
    pub engines_unreachable: Gauge,
    /// The tenants whose requests are counted under the tenant's own name.
    named_tenants: Mutex<HashSet<String>>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self::new_unregistered();
        metrics.register_call_metrics();
        metrics.register_turn_metrics();
        metrics.register_engine_metrics();
        metrics.register_process_metrics();
        metrics
    }
}

impl Metrics {
    fn new_unregistered() -> Self {
        Self {
            registry: Registry::with_prefix("foxnotch"),
            gauge_readers: Vec::new(),
            calls: Family::default(),
            sends: Family::default(),
            engine_paths: Family::default(),
            region_spills: Counter::default(),
            store_calls: Family::default(),
            call_seconds: latency_histogram(),
            dispatch_seconds: latency_histogram(),
            quorum_seconds: latency_histogram(),
            relayed_answers: Counter::default(),
            zone_drain_moves: Counter::default(),
            under_replicated_turns: Counter::default(),
            resumed_streams: Family::default(),
            suspect_requests: Family::default(),
            quota_seconds: latency_histogram(),
            ticket_seconds: latency_histogram(),
            tickets: Family::default(),
            tenant_requests: Family::default(),
            cold_permits: Family::default(),
            cold_sends: Counter::default(),
            engines_cold: Gauge::default(),
            engines_unreachable: Gauge::default(),
            named_tenants: Mutex::default(),
        }
    }

    /// Registers the metrics of calls and sends. Metrics are served in the order in which they are registered.
    fn register_call_metrics(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Callers' requests by outcome: answered, or why they failed", self.calls.clone());
        registry.register("sends", "Sends to engines by outcome: answered, or why they failed", self.sends.clone());
        registry.register(
            "engine_ways",
            "Engines chosen for requests, by distance: same_zone, same_region or other_region",
            self.engine_paths.clone(),
        );
        registry.register(
            "spills",
            "Requests sent to another region, where their estimated cost was lower",
            self.region_spills.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store by kind, operation and outcome",
            self.store_calls.clone(),
        );
        let call_seconds = self.call_seconds.clone();
        registry.register(
            "call_seconds",
            "Seconds from the arrival of a call to the end of its response",
            call_seconds,
        );
        let dispatch_seconds = self.dispatch_seconds.clone();
        registry.register(
            "dispatch_seconds",
            "Seconds from the arrival of a call to its first send to an engine",
            dispatch_seconds,
        );
    }

    /// Registers the metrics of replicas, turns and limits.
    fn register_turn_metrics(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "quorum_seconds",
            "Seconds from a request to the replicas until a quorum of them had answered",
            self.quorum_seconds.clone(),
        );
        registry.register("relayed", "Replicas' answers relayed by another gateway", self.relayed_answers.clone());
        registry.register(
            "zone_drain_moves",
            "Turns moved to another engine because of a drained zone",
            self.zone_drain_moves.clone(),
        );
        let under_replicated_turns = self.under_replicated_turns.clone();
        registry.register(
            "weakly_kept",
            "Turns restricted to regions with too few replicas for their text to survive all losses that the \
             setting tolerance names",
            under_replicated_turns,
        );
        registry.register(
            "resumed_streams",
            "Streams that callers resume by the software version that they need: recorded, only (no other version can \
             have begun the stream), unknown, or gone (no engine has it)",
            self.resumed_streams.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests under which several engines were lost, by decision: sent (to another engine), refused, or refused_unknown (how many have ended is not known)",
            self.suspect_requests.clone(),
        );
        registry.register(
            "quota_seconds",
            "Seconds that a request waited until it was admitted or rejected by its tenant's rate limit",
            self.quota_seconds.clone(),
        );
        registry.register(
            "ticket_seconds",
            "Seconds from a turn's request for a ticket to the answer or the timeout",
            self.ticket_seconds.clone(),
        );
        registry.register(
            "tickets",
            "Tickets, which reserve tokens for a program's next turn, by outcome: taken by a turn, claimed (a quorum \
             granted the turn's tokens), claim_failed, missed (a turn found none), deposited with a replica, refused \
             by that replica, given_up (released unused), not_granted (over the budget, or unknown); take_unanswered, \
             late_unanswered and deposit_unanswered (the replica did not answer)",
            self.tickets.clone(),
        );
        registry.register(
            "tenant_requests",
            "Requests of tenants with a rate limit by tenant and outcome: let_in, or why they were rejected",
            self.tenant_requests.clone(),
        );
    }

    /// Registers the metrics of cold and unreachable engines.
    fn register_engine_metrics(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "cold_leaves",
            "Requests for a permit to send to a cold engine by outcome: given, refused, late (the permit's \
             lifetime was over) or unanswered",
            self.cold_permits.clone(),
        );
        registry.register("cold_sends", "Sends to engines considered cold", self.cold_sends.clone());
        registry.register(
            "engines_cold",
            "Engines considered cold, to which sends need permits",
            self.engines_cold.clone(),
        );
        let engines_unreachable = self.engines_unreachable.clone();
        registry.register(
            "engines_unreachable",
            "Engines in the platform's list that this gateway cannot reach",
            engines_unreachable,
        );
    }

    /// Registers the gauges of values that other modules count.
    fn register_process_metrics(&mut self) {
        self.add_gauge("engine_connections_opened", "Connections opened to engines", || {
            opened_connection_count() as i64
        });
        self.add_gauge(
            "view_pulls_answered",
            "Requests for another node's view (its configuration and lists) that were answered",
            || pull_counts().0 as i64,
        );
        self.add_gauge(
            "view_pulls_failed",
            "Requests for another node's view (its configuration and lists) that failed",
            || pull_counts().1 as i64,
        );
        self.add_gauge("messages_not_read", "Messages from other nodes that could not be read", || {
            unreadable_message_count() as i64
        });
        self.add_gauge(
            "log_lines_left_out",
            "Log lines dropped because of the limit per second or a slow standard output",
            || dropped_line_count() as i64,
        );
    }

    /// Registers a gauge whose value `reader` computes at each scrape.
    pub fn add_gauge(&mut self, name: &str, help: &str, reader: impl Fn() -> i64 + Send + Sync + 'static) {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        self.gauge_readers.push((gauge, Box::new(reader)));
    }

    /// Registers the gauge of the number of other nodes that are not known to read the newest version of the protocol.
    pub(crate) fn add_nodes_not_on_newest_protocol_gauge(&mut self, members: &Arc<Members>) {
        let members = members.clone();
        self.add_gauge(
            "nodes_not_on_newest_protocol",
            "Other nodes that run an older build or have not answered a probe yet, so that they may not read the \
             newest protocol version",
            move || members.count_nodes_not_on_newest_protocol() as i64,
        );
    }

    /// Registers the gauges of a configuration that was read from replicas' disks and that the store has not confirmed.
    pub(crate) fn add_unconfirmed_configuration_gauges(&mut self, view: &Arc<ViewHolder>) {
        let holder = view.clone();
        self.add_gauge(
            "configuration_unconfirmed",
            "1 while the configuration in force comes from replicas' disks and the store has not confirmed it, \
             otherwise 0",
            move || i64::from(holder.is_configuration_unconfirmed()),
        );
        let holder = view.clone();
        self.add_gauge(
            "configuration_kept_seconds",
            "Seconds since a replica first stored the unconfirmed configuration that is in force; 0 if the store \
             has confirmed it",
            move || holder.get().unconfirmed.map_or(0, |unconfirmed| unconfirmed.age().as_secs() as i64),
        );
    }

    /// Counts, by outcome, a finished call of a caller, and records the call's duration.
    pub fn count_call(&self, outcome: &'static str, duration: Duration) {
        self.calls.get_or_create(&Outcome { outcome }).inc();
        self.call_seconds.observe(duration.as_secs_f64());
    }

    /// Counts, by outcome, a finished send to an engine.
    pub fn count_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts, by outcome, a request for a permit to send to a cold engine.
    pub fn count_cold_permit(&self, outcome: &'static str) {
        self.cold_permits.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts, by outcome, a stream that a caller resumes.
    pub fn count_resumed_stream(&self, outcome: &'static str) {
        self.resumed_streams.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts, by decision, a request under which several engines were lost.
    pub fn count_suspect_request(&self, decision: &'static str) {
        self.suspect_requests.get_or_create(&Outcome { outcome: decision }).inc();
    }

    /// Counts, by network distance, an engine that was chosen for a request.
    pub fn count_engine_proximity(&self, place: &'static str) {
        self.engine_paths.get_or_create(&PathLabel { place }).inc();
    }

    /// Counts, by outcome, an operation on a ticket.
    pub fn count_ticket(&self, outcome: &'static str) {
        self.tickets.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a request of a tenant that has a rate limit. The outcome of an admitted request is `let_in`, that of a
    /// rejected one the refusal's name.
    pub fn count_tenant_request(&self, tenant: &str, outcome: &'static str) {
        let mut named_tenants = lock(&self.named_tenants);
        let is_named = named_tenants.contains(tenant)
            || named_tenants.len() < MAX_NAMED_TENANTS && named_tenants.insert(tenant.to_owned());
        drop(named_tenants);
        let tenant = if is_named { tenant } else { OTHER_TENANTS };
        self.tenant_requests.get_or_create(&TenantOutcome { tenant: tenant.to_owned(), outcome }).inc();
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, call: StoreCall) {
        self.store_calls.get_or_create(&call).inc();
    }

    /// The metrics in the text format of Prometheus.
    pub fn to_text(&self) -> String {
        for (gauge, reader) in &self.gauge_readers {
            gauge.inner().store(reader(), Ordering::Relaxed);
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
