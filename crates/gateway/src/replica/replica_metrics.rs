//! The metrics of a replica: its stored turns and view, its shares, and its state in the set.

use super::service::ReplicaService;
use crate::buffer_budget::BufferBudget;
use crate::metrics::Metrics;
use crate::peers::members::Members;
use crate::peers::view::ViewHolder;
use std::sync::Arc;

/// Adds a gauge whose value is read when the metrics are scraped.
fn add_gauge(
    metrics: &mut Metrics,
    replica: &Arc<ReplicaService>,
    name: &'static str,
    help: &'static str,
    value: impl Fn(&ReplicaService) -> i64 + Send + Sync + 'static,
) {
    let replica = replica.clone();
    metrics.add_gauge(name, help, move || value(&replica));
}

/// Creates the metrics, in the order in which they are shown.
pub(super) fn create_replica_metrics(
    replica: &Arc<ReplicaService>,
    view: &Arc<ViewHolder>,
    members: &Arc<Members>,
    buffers: &Arc<BufferBudget>,
) -> Arc<Metrics> {
    let mut metrics = Metrics::default();
    buffers.add_metrics(&mut metrics);
    metrics.add_unconfirmed_configuration_gauges(view);
    metrics.add_nodes_not_on_newest_protocol_gauge(members);
    let mut add = |name, help, value: fn(&ReplicaService) -> i64| add_gauge(&mut metrics, replica, name, help, value);
    add("kept_configuration_revision", "Revision of the configuration on this replica's disk", |replica| {
        replica.stored_view().revisions().configuration as i64
    });
    add("kept_engines_revision", "Revision of the list of engines on this replica's disk", |replica| {
        replica.stored_view().revisions().engines as i64
    });
    add("kept_zone_drains_revision", "Revision of the list of drained zones on this replica's disk", |replica| {
        replica.stored_view().revisions().zone_drains as i64
    });
    add("turns_held", "Turns that this replica stores", |replica| {
        replica.turns().turn_count_and_record_bytes().0 as i64
    });
    add("turn_bytes_held", "Bytes of turn texts that this replica stores", |replica| {
        replica.turns().turn_count_and_record_bytes().1 as i64
    });
    add("entries_handed_out", "Turn entries that this replica sent to replicas that were missing them", |replica| {
        replica.turns().entries_sent() as i64
    });
    add("texts_lacking", "Turns whose text this replica may store but is missing", |replica| {
        replica.turns().missing_text_count() as i64
    });
    add("limited_tenants", "Tenants for which this replica grants a share of the rate limit", |replica| {
        replica.quotas().tenant_count() as i64
    });
    add("cold_engines_served", "Cold engines for which this replica recently granted permits", |replica| {
        replica.cold_permits().recently_permitted_engine_count() as i64
    });
    add(
        "tickets_held",
        "Tickets that this replica holds for programs' next turns, whose tokens are already reserved",
        |replica| replica.tickets().ticket_count() as i64,
    );
    add(
        "replica_complete",
        "1 when this replica's answers may count toward quorums, 0 while it refills an empty disk from other replicas",
        |replica| i64::from(replica.state().get().complete),
    );
    add("replica_set_version", "Version of the replica set that this replica uses", |replica| {
        replica.state().replica_set().version as i64
    });
    Arc::new(metrics)
}
