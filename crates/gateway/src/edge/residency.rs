//! Keeps calls inside the regions to which they are restricted.

use crate::edge::call::Call;
use crate::edge::chain_reader::ChainRecords;
use crate::edge::gateway::Gateway;
use crate::edge::record_regions::allowed_region_ids;
use crate::edge::refusal::Refusal;
use crate::logging::part;
use foxnotch_scheduler::residency::{EngineLocation, Residency, ResidencyDenial};
use foxnotch_scheduler::topology::Topology;
use foxnotch_turns::identity::region_id;
use foxnotch_wire::RegionId;

/// Restricts a call's `residency` to `regions`, the regions of a turn that the call continues. If `regions` is empty,
/// returns `residency` unchanged.
fn restrict_residency(residency: &Residency, topology: &Topology, regions: &[RegionId]) -> Residency {
    if regions.is_empty() {
        return residency.clone();
    }
    let names = topology.regions().filter(|name| regions.contains(&region_id(name)));
    residency.intersection(&Residency::restricted_to(names.map(str::to_owned)))
}

impl Gateway {
    /// The regions to which the text of a call's turn is restricted; empty when it may be stored in all regions.
    pub(super) fn turn_region_ids(&self, call: &Call) -> Vec<RegionId> {
        allowed_region_ids(&call.residency)
    }

    /// Refuses a call that no engine can serve in the regions to which the call is restricted. A call is never served
    /// outside of these regions.
    ///
    /// # Errors
    /// [`Refusal::OutsideRegions`].
    pub(super) fn check_residency(&self, call: &Call) -> Result<(), Refusal> {
        let view = self.view.get();
        let has_engines = view.engines.revision > 0;
        if !call.residency.is_restricted() || (!has_engines && !call.residency.allows_no_region()) {
            // While the list of engines is unknown, only a residency that allows no region can be refused.
            return Ok(());
        }
        let drains = view.zone_drains.value;
        let engines = self.dispatcher.engines.engines_of(&call.service);
        let places = engines.iter().map(|engine| EngineLocation {
            zone: &engine.entry.zone,
            is_in_service: engine.accepts_requests() && !drains.is_drained(&engine.entry.zone),
        });
        call.residency
            .check_engines(&self.dispatcher.topology, places)
            .map_err(|denial| self.refuse_outside_regions(call, denial))
    }

    fn refuse_outside_regions(&self, call: &Call, denial: ResidencyDenial) -> Refusal {
        let view = self.view.get();
        log::info!(
            target: part::CALL,
            "Call {} is refused because no engine can serve it in its regions: cause={} route={} tenant={} service={} \
             regions={:?} configuration={} engines={}.",
            call.metadata.attempt,
            denial.name(),
            call.route.name,
            call.tenant_name(),
            call.service,
            call.residency.region_names(),
            call.configuration_version,
            view.engines.revision,
        );
        Refusal::OutsideRegions(denial)
    }

    /// Refuses a turn whose text no replica may store. While no replica set is known, this function refuses no turn;
    /// storing the turn fails instead.
    ///
    /// # Errors
    /// [`Refusal::NotKeptInRegions`].
    pub(super) fn check_replica_regions(&self, call: &Call) -> Result<(), Refusal> {
        if !call.route.retain || self.turns.can_store_text(&allowed_region_ids(&call.residency)) {
            return Ok(());
        }
        log::info!(
            target: part::TURN,
            "The turn of call {} cannot be stored in its regions, so the call is refused: route={} tenant={} \
             regions={:?} set={}.",
            call.metadata.attempt,
            call.route.name,
            call.tenant_name(),
            call.residency.region_names(),
            self.view.replica_set().version,
        );
        Err(Refusal::NotKeptInRegions)
    }

    /// Restricts a call also to the regions of the turns that it continues, because the text of these turns is sent to
    /// the call's engine too.
    ///
    /// # Errors
    /// [`Refusal::ChainOutsideRegions`] when no region is left, or the refusals of [`Gateway::check_residency`] and
    /// [`Gateway::check_replica_regions`].
    pub(super) fn restrict_to_chain_regions(&self, call: &mut Call, chain: &ChainRecords) -> Result<(), Refusal> {
        let mut residency = call.residency.clone();
        for (_, record) in chain {
            residency = restrict_residency(&residency, &self.dispatcher.topology, &record.regions);
        }
        if residency == call.residency {
            return Ok(());
        }
        log::info!(
            target: part::TURN,
            "Call {} is restricted to the regions of the turns that it continues: route={} regions={:?} before, \
             left={:?} now.",
            call.metadata.attempt,
            call.route.name,
            call.residency.region_names(),
            residency.region_names(),
        );
        call.residency = residency;
        if call.residency.allows_no_region() {
            return Err(Refusal::ChainOutsideRegions);
        }
        self.check_residency(call)?;
        self.check_replica_regions(call)
    }
}
