//! Transfers the view from node to node, so that not every node has to read it from the store.

use crate::logging::part;
use crate::peers::rpc_client::{AnswerTimeout, RpcClient, RpcError};
use crate::peers::view::{Origin, UnconfirmedConfiguration, View, ViewHolder};
use crate::peers::view_codec::{decode_view_part, encode_view_part};
use foxnotch_wire::{RpcBody, ViewUpdate};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without any received byte of the answer after which a pull is aborted. It is a third to a quarter of the change
/// limits that deployments set (the time within which a change has to be in force on all nodes).
const MAX_ANSWER_SILENCE: Duration = Duration::from_secs(1);

/// The revisions of a view's parts, with the content of the replica set but without the contents of the other parts.
pub fn revisions_with_replica_set(view: &View) -> ViewUpdate {
    ViewUpdate {
        configuration_revision: view.configuration.revision,
        configuration_version: view.configuration.value.version,
        configuration_stored_at_ms: view.unconfirmed.map_or(0, |unconfirmed| unconfirmed.at_ms),
        engines_revision: view.engines.revision,
        retirements_revision: view.retirements.revision,
        zone_drains_revision: view.zone_drains.revision,
        set: (*view.set).clone(),
        ..ViewUpdate::default()
    }
}

/// The summary of a view for operators: the revisions, the replica set and the drained zones.
pub fn summarize_view(view: &View) -> ViewUpdate {
    ViewUpdate { zone_drains: encode_view_part(&*view.zone_drains.value), ..revisions_with_replica_set(view) }
}

/// Builds the answer to another node that has sent the revisions of its view: the parts of `holder`'s view that are
/// newer than `caller_revisions`. Records the other node's configuration revision in `holder`.
pub fn build_update_for_peer(holder: &ViewHolder, caller_revisions: &ViewUpdate) -> ViewUpdate {
    holder.record_peer_configuration_revision(caller_revisions.configuration_revision);
    let view = holder.get();
    let mut update = revisions_with_replica_set(&view);
    if view.configuration.revision > caller_revisions.configuration_revision && !view.is_configuration_partial {
        update.configuration = holder.encoded_configuration(&view.configuration);
    }
    if view.engines.revision > caller_revisions.engines_revision {
        match holder.engine_changes_since(caller_revisions.engines_revision) {
            Some(changes) => {
                update.engines_since = caller_revisions.engines_revision;
                update.engines = encode_view_part(&changes);
            }
            None => update.engines = encode_view_part(&*view.engines.value),
        }
    }
    if view.retirements.revision > caller_revisions.retirements_revision {
        update.retirements = encode_view_part(&*view.retirements.value);
    }
    if view.zone_drains.revision > caller_revisions.zone_drains_revision {
        update.zone_drains = encode_view_part(&*view.zone_drains.value);
    }
    update
}

/// Adopts the newer parts of an update from a node of this build.
pub fn adopt_update(holder: &ViewHolder, update: &ViewUpdate) {
    adopt_update_from(holder, update, Origin::Peer);
}

/// Adopts the newer parts of an update that came from `origin`.
fn adopt_update_from(holder: &ViewHolder, update: &ViewUpdate, origin: Origin) {
    // Zone drains are adopted before routes and engines, so that no request is sent to a drained zone in between.
    if let Some(drains) = decode_view_part(&update.zone_drains) {
        holder.adopt_zone_drains(update.zone_drains_revision, drains, origin);
    }
    if let Some(configuration) = decode_view_part(&update.configuration) {
        let revision = update.configuration_revision;
        match update.configuration_stored_at_ms {
            0 => holder.adopt_configuration(revision, configuration, origin),
            at_ms => holder.adopt_unconfirmed_configuration(
                revision,
                configuration,
                UnconfirmedConfiguration { at_ms },
                origin,
            ),
        };
    }
    if update.engines_since > 0 {
        if let Some(changes) = decode_view_part(&update.engines) {
            holder.adopt_engine_changes(update.engines_since, update.engines_revision, changes, origin);
        }
    } else if let Some(engines) = decode_view_part(&update.engines) {
        holder.adopt_engines(update.engines_revision, engines, origin);
    }
    if let Some(retirements) = decode_view_part(&update.retirements) {
        holder.adopt_retirements(update.retirements_revision, retirements, origin);
    }
    holder.adopt_set(&update.set, origin);
}

/// Number of pulls of a view that were answered, since the process started.
static PULLS_ANSWERED: AtomicU64 = AtomicU64::new(0);

/// Number of pulls of a view that failed, since the process started.
static PULLS_FAILED: AtomicU64 = AtomicU64::new(0);

/// The number of pulls of a view that were answered, and the number of those that failed, since the process started.
pub fn pull_counts() -> (u64, u64) {
    (PULLS_ANSWERED.load(Ordering::Relaxed), PULLS_FAILED.load(Ordering::Relaxed))
}

/// Why a view could not be pulled.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PullError {
    /// The other node did not answer.
    #[error(transparent)]
    Unanswered(#[from] RpcError),
    /// The other node's answer is not a view.
    #[error("node at {0} did not answer with a view; check that all nodes run the same version")]
    NotServed(SocketAddr),
}

/// Pulls the newer parts of another node's view and adopts them.
///
/// # Errors
/// [`PullError`], which has been logged and counted.
pub async fn pull_newer_parts(
    client: &Arc<RpcClient>,
    holder: &ViewHolder,
    address: SocketAddr,
) -> Result<(), PullError> {
    let begun_at = Instant::now();
    let view = holder.get();
    let own_revisions = ViewUpdate {
        configuration_revision: view.whole_configuration_revision(),
        engines_revision: view.whole_engines_revision(),
        ..revisions_with_replica_set(&view)
    };
    let (configuration, engines) = (own_revisions.configuration_revision, own_revisions.engines_revision);
    let timeout = AnswerTimeout::with_max_silence(MAX_ANSWER_SILENCE);
    let answer = client.call_with_timeout(address, RpcBody::PullView(own_revisions), timeout).await;
    let outcome = match answer {
        Ok(RpcBody::View(update)) => {
            let origin = if client.runs_older_build(address) { Origin::OlderPeer } else { Origin::Peer };
            adopt_update_from(holder, &update, origin);
            Ok(())
        }
        Ok(_) => Err(PullError::NotServed(address)),
        Err(error) => Err(PullError::Unanswered(error)),
    };
    match &outcome {
        Ok(()) => PULLS_ANSWERED.fetch_add(1, Ordering::Relaxed),
        Err(error) => {
            log::info!(
                target: part::VIEW,
                "Cannot pull a newer view from another node, so this node keeps its own revisions of the view's parts \
                 (`after` is the duration of the attempt): configuration={configuration} engines={engines} \
                 after={:?}: {error}.",
                begun_at.elapsed(),
            );
            PULLS_FAILED.fetch_add(1, Ordering::Relaxed)
        }
    };
    outcome
}
