//! Refills a replica whose disk was empty, and syncs a member to a new version of the set.
//!
//! This module pulls from other replicas and writes the outcome; [`decide_refill_completion`] and
//! [`check_pull_sufficient`] decide whether the pulls were sufficient.

use super::{ReplicaSetManager, StepError};
use crate::logging::part;
use crate::peers::view::Origin;
use crate::replica::sync::pull_from_members;
use foxnotch_turns::replica_set::{
    self, check_pull_sufficient, decide_refill_completion, MissingTexts, NewestVersion, PulledReplica, RefillDecision,
    RefillFacts, SufficientPull, SyncedMember,
};
use foxnotch_wire::{NodeId, ReplicaSet};
use std::time::Duration;

/// Timeout for reading the newest set from the platform's store during a refill. An answer of the store takes far less,
/// and a refill takes far longer.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

impl ReplicaSetManager {
    /// Refills an empty replica. Until the refill is done, the replica's answers do not count toward quorums, even if
    /// it is a member.
    pub(super) async fn refill(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let pulled = pull_from_members(&self.replica, &self.client, set, &self.own).await;
        self.check_set_unchanged(set)?;
        let mut facts = RefillFacts {
            set,
            tolerance: self.target.tolerance,
            own: self.own.node,
            pulled: &pulled,
            newest: NewestVersion::NotChecked,
        };
        let sufficient_pull = loop {
            match decide_refill_completion(&facts, || self.count_missing_texts_and_list_gone(set)) {
                RefillDecision::Refilled(sufficient_pull) => break sufficient_pull,
                RefillDecision::ConfirmNewest => facts.newest = self.confirm_newest_set(set, &pulled).await?,
                RefillDecision::Wait(reason) => return Err(reason.into()),
            }
        };
        log_unavailable_texts(set, &sufficient_pull);
        let version = set.version;
        let is_member = replica_set::contains(set, self.own.node);
        let written = self
            .replica
            .state()
            .change(move |state| {
                if state.set.version == version {
                    state.complete = 1;
                    state.synced = if is_member { version } else { 0 };
                }
            })
            .await;
        log::info!(
            target: part::REPLICA,
            "Refilled from other replicas (`heard` counts the replicas that were read and are not being refilled, \
             `set` is the version of the replica set, `written` tells whether this replica's new state is on disk): \
             heard={} set={version} written={}.",
            sufficient_pull.read,
            written.is_ok(),
        );
        Ok(true)
    }

    /// Checks that `set` is the newest version: with the platform's store or, if the store does not answer, by
    /// exchanging the set with every replica that any of the pulled replicas knows.
    async fn confirm_newest_set(&self, set: &ReplicaSet, pulled: &[PulledReplica]) -> Result<NewestVersion, StepError> {
        let answered = self.exchange_set_with_live_replicas(set).await;
        // If the store refuses the read or does not answer, for whatever reason, the replicas have to confirm the
        // version.
        if let Ok(Ok(Some((stored, _)))) = tokio::time::timeout(STORE_TIMEOUT, self.read_set()).await {
            self.replica.adopt_set(&stored, Origin::Store).await;
            self.check_set_unchanged(set)?;
            return Ok(NewestVersion::Confirmed);
        }
        self.check_set_unchanged(set)?;
        let has_answered = |node: &NodeId| *node == self.own.node || answered.contains(node);
        let mut known_replicas = pulled.iter().flat_map(|replica| &replica.known_replicas);
        Ok(if known_replicas.all(has_answered) { NewestVersion::Confirmed } else { NewestVersion::NotConfirmed })
    }

    /// Pulls the turns that were acknowledged under the previous version of the set, and then records that this replica
    /// is synced to `set`.
    pub(super) async fn sync(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let pulled = pull_from_members(&self.replica, &self.client, set, &self.own).await;
        self.check_set_unchanged(set)?;
        let own = SyncedMember { node: self.own.node, synced: self.replica.state().get().synced };
        let sufficient_pull = check_pull_sufficient(set, self.target.tolerance, own, &pulled, || {
            self.count_missing_texts_and_list_gone(set)
        })?;
        log_unavailable_texts(set, &sufficient_pull);
        let version = set.version;
        let written = self
            .replica
            .state()
            .change(move |state| {
                if state.set.version == version {
                    state.synced = version;
                }
            })
            .await;
        log::info!(
            target: part::REPLICA,
            "Synced to version {version} of the replica set, with turns pulled from other replicas (`heard` counts the \
             replicas that were read and are not being refilled, `written` tells whether this replica's new state is \
             on disk): heard={} written={}.",
            sufficient_pull.read,
            written.is_ok(),
        );
        Ok(true)
    }

    /// The number of turns whose text is missing here although this replica may store it. If there are any, also the
    /// members that are gone.
    fn count_missing_texts_and_list_gone(&self, set: &ReplicaSet) -> MissingTexts {
        let count = self.replica.turns().missing_text_count();
        let gone_members = if count > 0 { self.silent_members.update_and_list_gone(set) } else { Vec::new() };
        MissingTexts { count, gone_members }
    }
}

/// Logs a warning if this replica misses texts that none of the replicas stores from which it pulled turns.
fn log_unavailable_texts(set: &ReplicaSet, sufficient_pull: &SufficientPull) {
    let Some(MissingTexts { count, gone_members }) = &sufficient_pull.unavailable_texts else { return };
    log::warn!(
        target: part::REPLICA,
        "This replica is missing texts of turns, and no member of the replica set that answers stores them: \
         lacking={count} set={} gone={gone_members:?}; `lacking` counts the turns, `gone` lists the members that do \
         not answer. Start the replicas of this region that are down.",
        set.version,
    );
}
