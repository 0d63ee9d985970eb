//! Selects the stored view that takes effect when a deployment starts while the platform's store is unavailable.
//!
//! No I/O. Invariant: if a write quorum of the set has stored a revision of a part of the view, every selection finds
//! that revision or a newer one, even after any loss within the tolerance. For that, a selection needs as many replies
//! as the decision that a turn does not exist ([`replica_set::denial_quorum`]).

use crate::quorum::Tally;
use crate::replica_set::{self, Tolerance};
use foxnotch_wire::{NodeId, ReplicaSet, StoredPart, StoredViewHeld};

/// The selected copy of a part of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// The replica that stores the copy.
    pub node: NodeId,
    /// The revision of the copy.
    pub revision: u64,
}

/// The stored copies from which a view is restored, as selected by [`select_newest_copies`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySelection {
    /// Too few replies count: a newer revision may be on a replica that did not reply.
    TooFewAnswers {
        /// Number of replies that count.
        counted: usize,
        /// Number of replies that are needed.
        needed: usize,
    },
    /// No replica that replied has stored a configuration.
    NothingStored,
    /// The newest copy of each part.
    Newest {
        /// Replica and revision of the newest copy of the configuration.
        configuration: CopySource,
        /// Replica and revision of the newest copy of the list of engines.
        engines: CopySource,
        /// Replica and revision of the newest copy of the list of drained zones.
        zone_drains: CopySource,
    },
}

/// The copy of a part with the highest revision, or `None` if `answers` is empty.
fn newest_copy(answers: &[StoredViewHeld], part: impl Fn(&StoredViewHeld) -> &StoredPart) -> Option<CopySource> {
    let sources =
        answers.iter().map(|answer| CopySource { node: answer.report.own.node, revision: part(answer).revision });
    sources.max_by_key(|source| source.revision)
}

/// Selects the newest copy of each part of the view from `answers`, which has one reply of each replica.
///
/// A reply counts if the replica is a member of the set, knows the same version of the set as the caller and could read
/// all of its files, and if no other reply reports a different disk for the replica ([`Tally`]). The newest copy may
/// also come from a reply that does not count, since every stored copy originates from the platform's store.
pub fn select_newest_copies(set: &ReplicaSet, tolerance: Tolerance, answers: &[StoredViewHeld]) -> CopySelection {
    let mut tally = Tally::default();
    for answer in answers {
        let is_from_member = answer.set_version == set.version && replica_set::contains(set, answer.report.own.node);
        if is_from_member && answer.is_whole == 1 {
            tally.add(answer.report.clone());
        }
    }
    let counted = tally.counted_reply_count();
    let needed = replica_set::denial_quorum(set.members.len(), tolerance.max_losses(&set.members));
    if set.version == 0 || counted < needed {
        return CopySelection::TooFewAnswers { counted, needed };
    }
    let configuration = newest_copy(answers, |answer| &answer.configuration).filter(|source| source.revision > 0);
    let engines = newest_copy(answers, |answer| &answer.engines);
    let zone_drains = newest_copy(answers, |answer| &answer.zone_drains);
    match (configuration, engines, zone_drains) {
        (Some(configuration), Some(engines), Some(zone_drains)) => {
            CopySelection::Newest { configuration, engines, zone_drains }
        }
        _ => CopySelection::NothingStored,
    }
}
