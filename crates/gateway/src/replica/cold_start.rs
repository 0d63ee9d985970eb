//! Recovers the configuration from the replicas' disks when the fleet starts while the platform's store does not
//! answer.
//!
//! A replica that starts and gets no configuration from the store or from a peer reads the stored views of the members
//! of the set. It puts the newest configuration in force only once enough members have answered that no newer one can
//! be stored elsewhere (see [`foxnotch_turns::stored_view::select_newest_copies`]); gateways pull it from this replica.

use crate::logging::part;
use crate::peers::addresses::replica_socket_address;
use crate::peers::rpc_client::{AnswerTimeout, RpcClient};
use crate::peers::view::{Origin, UnconfirmedConfiguration, ViewHolder};
use crate::peers::view_codec::decode_view_part;
use crate::replica::service::ReplicaService;
use crate::replica::sync::{stored_view_from_answer, MAX_CONTENT_SILENCE};
use foxnotch_turns::replica_set::Tolerance;
use foxnotch_turns::stored_view::{select_newest_copies, CopySelection};
use foxnotch_wire::{NodeId, ReadStoredView, RpcBody, StoredViewHeld};
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Time after the start for which the recovery waits for a configuration from the store, or from a node that has the
/// store's answer. The copy on the replicas' disks may be older.
const STORE_WAIT: Duration = Duration::from_millis(400);
/// Time between two recovery attempts.
const RECOVERY_RETRY_PERIOD: Duration = Duration::from_millis(150);
/// Timeout of an answer that carries only revisions.
const REVISIONS_TIMEOUT: Duration = Duration::from_millis(600);
/// A revision above all others. A read of the contents above this revision returns only revisions.
const NO_CONTENTS: u64 = u64::MAX;

/// Why the stored view could not be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RecoveryError {
    #[error("{counted} of {needed} required answers of replicas were received; check that the other replicas run")]
    TooFewAnswers { counted: usize, needed: usize },
    #[error("no replica that answered has a configuration on its disk; check that the platform's store answers")]
    NothingStored,
    #[error("node {0}, which stores the newest copy of a part of the view, does not answer; check that it runs")]
    Unanswered(NodeId),
    #[error("a part of the view that node {0} stores cannot be decoded; check that all nodes run the same version")]
    Unreadable(NodeId),
}

/// Recovers the configuration that was in force before the fleet stopped, unless the store delivers one first.
pub struct ColdStart {
    /// This replica, which reads the stored views of the others.
    pub replica: Arc<ReplicaService>,
    /// Sends the other replicas requests for their stored views.
    pub client: Arc<RpcClient>,
    /// Receives the recovered configuration, engines and drained zones.
    pub view: Arc<ViewHolder>,
    /// The simultaneous losses of machines and zones that the deployment must survive.
    pub tolerance: Tolerance,
}

impl ColdStart {
    /// Retries the recovery until this node has a configuration, from any source.
    pub async fn run(self) {
        tokio::time::sleep(STORE_WAIT).await;
        let mut logged = None;
        while self.view.get().configuration.revision == 0 {
            let problem = self.try_recovery().await.err();
            if let Some(problem) = problem.filter(|problem| logged.as_ref() != Some(problem)) {
                log::info!(
                    target: part::REPLICA,
                    "The view that replicas stored on disk is not in force yet; its recovery is retried: {problem}.",
                );
                logged = Some(problem);
            }
            tokio::time::sleep(RECOVERY_RETRY_PERIOD).await;
        }
    }

    /// Reads the revisions of the stored views of all members. Puts the newest copies in force if enough members have
    /// answered.
    async fn try_recovery(&self) -> Result<(), RecoveryError> {
        let set = self.replica.state().replica_set();
        let answers = self.read_all_revisions().await;
        match select_newest_copies(&set, self.tolerance, &answers) {
            CopySelection::TooFewAnswers { counted, needed } => Err(RecoveryError::TooFewAnswers { counted, needed }),
            CopySelection::NothingStored => Err(RecoveryError::NothingStored),
            CopySelection::Newest { configuration, engines, zone_drains } => {
                self.adopt_stored_view(configuration.node, engines.node, zone_drains.node).await
            }
        }
    }

    /// Reads the revisions of each member's stored view, without contents. The result includes this replica's own
    /// revisions, which count only if this replica is a member.
    async fn read_all_revisions(&self) -> Vec<StoredViewHeld> {
        let set = self.replica.state().replica_set();
        let request = ReadStoredView {
            set: set.clone(),
            configuration_above: NO_CONTENTS,
            engines_above: NO_CONTENTS,
            zone_drains_above: NO_CONTENTS,
        };
        let others = set.members.iter().filter(|member| member.node != self.replica.own_node());
        let reads = others.map(|member| {
            let timeout = AnswerTimeout::with_total(self.replica.answer_timeout(member.node, REVISIONS_TIMEOUT));
            let body = RpcBody::ReadStoredView(request.clone());
            async move {
                stored_view_from_answer(
                    self.client.call_with_timeout(replica_socket_address(member), body, timeout).await,
                    member,
                )
            }
        });
        let mut answers: Vec<StoredViewHeld> = join_all(reads).await.into_iter().flatten().collect();
        answers.push(self.replica.answer_stored_view_read(&request));
        answers
    }

    /// Reads the newest copies of the configuration, the engines and the drained zones from the replicas that store
    /// them, and puts them in force.
    async fn adopt_stored_view(
        &self,
        configuration_holder: NodeId,
        engines_holder: NodeId,
        zone_drains_holder: NodeId,
    ) -> Result<(), RecoveryError> {
        let stored_view = self
            .read_stored_view_of(configuration_holder)
            .await
            .ok_or(RecoveryError::Unanswered(configuration_holder))?;
        let configuration = decode_view_part(&stored_view.configuration.content)
            .ok_or(RecoveryError::Unreadable(configuration_holder))?;
        // The zone drains are adopted before the engines, so that nothing is sent to a drained zone.
        let zone_drains = if zone_drains_holder == configuration_holder {
            stored_view.zone_drains.clone()
        } else {
            self.read_stored_view_of(zone_drains_holder)
                .await
                .ok_or(RecoveryError::Unanswered(zone_drains_holder))?
                .zone_drains
        };
        if zone_drains.revision > 0 {
            let drains = decode_view_part(&zone_drains.content).ok_or(RecoveryError::Unreadable(zone_drains_holder))?;
            self.view.adopt_zone_drains(zone_drains.revision, drains, Origin::StoredByReplicas);
        }
        let engines = if engines_holder == configuration_holder {
            Some(stored_view.engines)
        } else {
            self.read_stored_view_of(engines_holder).await.map(|stored_view| stored_view.engines)
        };
        let unconfirmed = UnconfirmedConfiguration { at_ms: stored_view.configuration.stored_at_ms };
        self.view.adopt_unconfirmed_configuration(
            stored_view.configuration.revision,
            configuration,
            unconfirmed,
            Origin::StoredByReplicas,
        );
        let engines = engines.and_then(|part| Some((part.revision, decode_view_part(&part.content)?)));
        match engines {
            Some((revision, list)) => drop(self.view.adopt_engines(revision, list, Origin::StoredByReplicas)),
            None => {
                log::warn!(
                    target: part::REPLICA,
                    "No list of engines can be read from replicas' disks: requests wait until the store delivers one.",
                );
            }
        }
        Ok(())
    }

    /// Reads the stored view of a replica with its contents. For this replica, that is the view that it read from disk
    /// at the start or has written since.
    async fn read_stored_view_of(&self, node: NodeId) -> Option<StoredViewHeld> {
        let request = ReadStoredView { set: self.replica.state().replica_set(), ..ReadStoredView::default() };
        if node == self.replica.own_node() {
            return Some(self.replica.answer_stored_view_read(&request));
        }
        let member = request.set.members.iter().find(|member| member.node == node).copied()?;
        let timeout = AnswerTimeout::with_max_silence(MAX_CONTENT_SILENCE);
        let body = RpcBody::ReadStoredView(request);
        stored_view_from_answer(
            self.client.call_with_timeout(replica_socket_address(&member), body, timeout).await,
            &member,
        )
    }
}
