//! The table of all engines by service. It is updated whenever this node's view changes.

use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::view::View;
use foxnotch_scheduler::slow_start::warmth::ColdCause;
use foxnotch_scheduler::zone_drain::ZoneDrains;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The engines of the latest view that was applied, by service.
#[derive(Default)]
pub struct EngineTable {
    services: Mutex<HashMap<String, Vec<Arc<Engine>>>>,
    /// The zones that are drained in the latest view that was applied.
    drains: Mutex<Arc<ZoneDrains>>,
}

impl EngineTable {
    /// The engines of a service that may get new requests.
    pub fn engines_accepting_requests(&self, service: &str) -> Vec<Arc<Engine>> {
        let services = lock(&self.services);
        let engines = services.get(service).into_iter().flatten();
        engines.filter(|engine| engine.accepts_requests()).cloned().collect()
    }

    /// All engines of a service, including those that get no new requests.
    pub fn engines_of(&self, service: &str) -> Vec<Arc<Engine>> {
        lock(&self.services).get(service).cloned().unwrap_or_default()
    }

    /// All engines of all services.
    pub fn all_engines(&self) -> Vec<Arc<Engine>> {
        let services = lock(&self.services);
        services.values().flatten().cloned().collect()
    }

    /// Number of engines that are considered cold.
    pub fn cold_count(&self) -> usize {
        let services = lock(&self.services);
        services.values().flatten().filter(|engine| engine.warmth.cold_requests_per_second().is_some()).count()
    }

    /// The zones that are drained in the latest view that was applied. If a drain has ended since, the engines of its
    /// zone are considered cold for that reason only after the next call of [`Self::apply_view`].
    pub fn zone_drains(&self) -> Arc<ZoneDrains> {
        lock(&self.drains).clone()
    }

    /// Stores the drained zones of the view. Returns the zones that were drained in the previous view and are not in
    /// this one.
    fn replace_zone_drains(&self, view: &View) -> Vec<String> {
        let mut drains = lock(&self.drains);
        let previous = std::mem::replace(&mut *drains, view.zone_drains.value.clone());
        previous.zones().filter(|zone| !drains.is_drained(zone)).map(str::to_owned).collect()
    }

    /// Replaces the engines by those of `view`. An engine that stays listed keeps its connections and its state, unless
    /// it has restarted or changed its address. An engine that is no longer listed gets no new requests.
    pub fn apply_view(&self, view: &View) {
        let mut services = lock(&self.services);
        // The lock on the engines is held throughout. So when the drain of a zone ends, no other task gets an engine of
        // that zone from the table before the engine is considered cold.
        let undrained_zones = self.replace_zone_drains(view);
        let mut previous_engines: HashMap<String, Arc<Engine>> =
            services.drain().flat_map(|(_, engines)| engines).map(|engine| (engine.entry.id.clone(), engine)).collect();
        for entry in view.engines.value.iter() {
            let previous = previous_engines.remove(&entry.id);
            let is_restart = previous.as_ref().is_some_and(|engine| !engine.is_same_incarnation(entry));
            let unchanged = previous.filter(|engine| engine.is_same_incarnation(entry));
            let service = view.configuration.value.service(&entry.service);
            let engine = match unchanged {
                Some(engine) => engine,
                None => {
                    let model = service.and_then(|service| service.model.as_ref());
                    let memory_tokens = model.map_or(0, |model| model.memory_tokens);
                    let Some(engine) = Engine::new(entry.clone(), memory_tokens) else {
                        log::warn!(
                            target: part::ENGINE,
                            "Engine {} is not used: its address {} is not of the form IP:port; correct its entry.",
                            entry.id,
                            entry.address,
                        );
                        continue;
                    };
                    Arc::new(engine)
                }
            };
            engine.set_draining(entry.draining);
            engine.set_start_time_if_unset(entry.started_at_ms);
            engine.apply_stated_software_version(entry.software_version.as_deref());
            engine.warmth.apply_reported_cold_time(
                &entry.id,
                entry.cold_left_ms,
                service.and_then(|service| service.slow_start),
            );
            if is_restart {
                engine.warmth.assume_cold(&entry.id, ColdCause::Restart);
            }
            if undrained_zones.contains(&entry.zone) {
                engine.warmth.assume_cold(&entry.id, ColdCause::DrainEnded);
            }
            if entry.draining {
                engine.close_idle_connections();
            }
            services.entry(entry.service.clone()).or_default().push(engine);
        }
        for engine in previous_engines.into_values() {
            engine.set_draining(true);
            engine.close_idle_connections();
        }
    }
}
