//! All engines by service, kept in step with the view.

use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::view::View;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The engines by service.
#[derive(Default)]
pub struct EngineTable {
    services: Mutex<HashMap<String, Vec<Arc<Engine>>>>,
}

impl EngineTable {
    /// The engines of a service that may get new work.
    pub fn candidates(&self, service: &str) -> Vec<Arc<Engine>> {
        let services = lock(&self.services);
        let engines = services.get(service).into_iter().flatten();
        engines.filter(|engine| engine.takes_work()).cloned().collect()
    }

    /// All engines of a service, those that get no new work too.
    pub fn of_service(&self, service: &str) -> Vec<Arc<Engine>> {
        lock(&self.services).get(service).cloned().unwrap_or_default()
    }

    /// All engines.
    pub fn all(&self) -> Vec<Arc<Engine>> {
        let services = lock(&self.services);
        services.values().flatten().cloned().collect()
    }

    /// Takes over a view. Engines that stay keep their connections and what is known of them.
    pub fn update(&self, view: &View) {
        let mut services = lock(&self.services);
        let mut known: HashMap<String, Arc<Engine>> =
            services.drain().flat_map(|(_, engines)| engines).map(|engine| (engine.entry.id.clone(), engine)).collect();
        for entry in view.engines.value.iter() {
            let kept = known.remove(&entry.id).filter(|engine| engine.entry.address == entry.address);
            let engine = match kept {
                Some(engine) => engine,
                None => {
                    let model = view.configuration.value.service(&entry.service).and_then(|s| s.model.as_ref());
                    let memory_tokens = model.map_or(0, |model| model.memory_tokens);
                    let Some(engine) = Engine::new(entry.clone(), memory_tokens) else {
                        log::warn!(target: part::ENGINE, "Engine {} is not used: its address {} is no IP:port.", entry.id, entry.address);
                        continue;
                    };
                    Arc::new(engine)
                }
            };
            engine.set_draining(entry.draining);
            if entry.draining {
                engine.close_connections();
            }
            services.entry(entry.service.clone()).or_default().push(engine);
        }
        for engine in known.into_values() {
            engine.set_draining(true);
            engine.close_connections();
        }
    }
}
