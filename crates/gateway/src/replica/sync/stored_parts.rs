//! Pulls the stored view of another replica: configuration, engines and drained zones.

use crate::logging::part;
use crate::peers::addresses::replica_socket_address;
use crate::peers::rpc_client::{AnswerTimeout, RpcClient, RpcError};
use crate::replica::service::ReplicaService;
use crate::replica::stored_view::write_part_if_newer;
use foxnotch_turns::stored_view_file::PartKind;
use foxnotch_wire::{ReadStoredView, ReplicaMember, RpcBody, StoredViewHeld};
use std::sync::Arc;
use std::time::Duration;

/// Time without any received byte after which a read of a stored view's contents is aborted.
pub(in crate::replica) const MAX_CONTENT_SILENCE: Duration = Duration::from_secs(1);

/// Pulls the parts of the view of which another replica stores a newer version, and writes them to this replica's disk.
/// Logs a failure and returns none.
pub(super) async fn pull_stored_view(
    replica: &Arc<ReplicaService>,
    client: &Arc<RpcClient>,
    member: &ReplicaMember,
) -> Option<()> {
    let own_revisions = replica.stored_view().revisions();
    let request = ReadStoredView {
        set: replica.state().replica_set(),
        configuration_above: own_revisions.configuration,
        engines_above: own_revisions.engines,
        zone_drains_above: own_revisions.zone_drains,
    };
    let timeout = AnswerTimeout::with_max_silence(replica.answer_timeout(member.node, MAX_CONTENT_SILENCE));
    let answer =
        client.call_with_timeout(replica_socket_address(member), RpcBody::ReadStoredView(request), timeout).await;
    let stored_view = stored_view_from_answer(answer, member)?;
    let parts = [
        (PartKind::Configuration, stored_view.configuration),
        (PartKind::Engines, stored_view.engines),
        (PartKind::ZoneDrains, stored_view.zone_drains),
    ];
    for (kind, part) in parts {
        let is_newer = !part.content.bytes.is_empty();
        if is_newer && write_part_if_newer(replica.stored_view(), kind, part).await.is_err() {
            return None;
        }
    }
    Some(())
}

/// Returns the stored view in the answer of another replica. Logs any other outcome and returns none.
pub(in crate::replica) fn stored_view_from_answer(
    answer: Result<RpcBody, RpcError>,
    member: &ReplicaMember,
) -> Option<StoredViewHeld> {
    match answer {
        Ok(RpcBody::StoredViewHeld(stored_view)) => Some(stored_view),
        Ok(_) => {
            log::info!(
                target: part::REPLICA,
                "Node {} sent an unexpected answer to a request for its stored view, so the answer is ignored; check \
                 that all nodes run the same version.",
                member.node,
            );
            None
        }
        Err(error) => {
            log::debug!(target: part::REPLICA, "Reading the stored view of node {} failed: {error}.", member.node);
            None
        }
    }
}
