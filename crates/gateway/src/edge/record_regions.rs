//! Keeps the text of turns inside the regions to which the text is restricted: decides whether the replicas may store
//! it, and whether this gateway may cache it.

use crate::edge::turns::TurnClient;
use crate::logging::part;
use foxnotch_scheduler::residency::Residency;
use foxnotch_turns::identity::region_id;
use foxnotch_turns::record_quorum::RecordQuorum;
use foxnotch_wire::{RegionId, TurnEntry, TurnId, TurnRecord};
use std::sync::Arc;

/// The identifiers of the regions that a residency allows; empty when it allows all regions. A residency that allows no
/// region would give an empty list too, so a call with such a residency is refused before this function is called.
pub(super) fn allowed_region_ids(residency: &Residency) -> Vec<RegionId> {
    debug_assert!(
        !residency.allows_no_region(),
        "a residency that allows no region is refused before its regions are read"
    );
    residency.region_names().into_iter().map(region_id).collect()
}

impl TurnClient {
    /// Whether the replica set has members that may store text restricted to `regions`; true while no set is known.
    pub(super) fn can_store_text(&self, regions: &[RegionId]) -> bool {
        let set = self.view.replica_set();
        set.version == 0 || RecordQuorum::of(&set, self.tolerance, &self.regions, regions).is_some()
    }

    /// Logs and counts a stored turn with too few copies to survive every loss that the deployment tolerates.
    pub(super) fn report_missing_copies(&self, entry: &TurnEntry) {
        let set = self.view.replica_set();
        let quorum = RecordQuorum::of(&set, self.tolerance, &self.regions, entry.regions());
        if let Some(quorum) = quorum.filter(|quorum| !entry.regions().is_empty() && quorum.may_lose_all_copies()) {
            self.metrics.under_replicated_turns.inc();
            log::info!(
                target: part::TURN,
                "Turn {} is stored, but its regions have too few replicas for its text to survive all losses that \
                 the setting tolerance names: copies_required={} copies_for_all_losses={} set={}; add a machine \
                 with a disk in its regions.",
                entry.turn,
                quorum.copies,
                quorum.copies_for_all_losses,
                set.version,
            );
        }
    }

    /// Caches a record if its text may be stored in this gateway's zone.
    pub(super) fn cache_record_if_allowed(&self, turn: TurnId, record: Arc<TurnRecord>) {
        if self.regions.may_store_text(self.zone, &record.regions) {
            self.cache.insert(turn, record);
        }
    }
}
