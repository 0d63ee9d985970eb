//! The configuration that a node has applied, and the deltas by which nodes exchange it.
//!
//! Invariants: an object is replaced only by one of a higher revision; the node's revision never decreases; an instance
//! that can no longer be resolved keeps its last valid policy.

use crate::declaration::{Declarations, Instance, Policy, Template};
use crate::guard::{Guard, Guards};
use foxnotch_wire::{ConfigDelta, ConfigObject, ObjectKind};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Maximum bytes of objects in one delta; a single larger object is still sent.
const MAX_DELTA_BYTES: usize = 64 * 1024;
/// Maximum number of objects in one delta.
const MAX_DELTA_OBJECTS: usize = 200;

/// An instance with its resolved policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedInstance {
    /// The tenant that may use the instance.
    pub tenant: Box<str>,
    /// The instance's policy. Instances with equal policies point to the same copy.
    pub policy: Arc<Policy>,
}

/// Identifies a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObjectKey {
    kind: ObjectKind,
    name: Vec<u8>,
}

/// The configuration objects at the applied revision, and the instances resolved from them.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    guards: Guards,
    revision: u64,
    objects: BTreeMap<ObjectKey, ConfigObject>,
    /// Contains templates only. Instances are not stored in parsed form because there may be tens of thousands of them;
    /// they are parsed from their objects again when a template changes.
    declarations: Declarations,
    policies: HashSet<Arc<Policy>>,
    resolved: BTreeMap<Box<str>, ResolvedInstance>,
}

impl Configuration {
    /// An empty configuration at revision 0.
    pub fn new(guards: Guards) -> Self {
        Self { guards, ..Self::default() }
    }

    /// The applied revision; 0 if no delta has been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All resolved instances, each with its name.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &ResolvedInstance)> {
        self.resolved.iter().map(|(name, instance)| (name.as_ref(), instance))
    }

    /// The resolved instance of this name.
    pub fn instance(&self, name: &str) -> Option<&ResolvedInstance> {
        self.resolved.get(name)
    }

    /// Applies a delta that continues from the applied revision or an earlier one and ends at a newer one. Ignores any
    /// other delta. Returns whether the delta was applied.
    pub fn apply(&mut self, delta: &ConfigDelta) -> bool {
        let check_revisions = self.guards.is_active(Guard::VersionCheck);
        if check_revisions && (delta.since > self.revision || delta.revision <= self.revision) {
            return false;
        }
        let mut templates = Vec::new();
        for object in &delta.objects {
            self.apply_object(object, check_revisions, &mut templates);
        }
        for template in templates {
            self.resolve_instances_of(&template);
        }
        self.revision = delta.revision;
        true
    }

    fn apply_object(&mut self, object: &ConfigObject, check_revisions: bool, templates: &mut Vec<String>) {
        let key = ObjectKey { kind: object.kind, name: object.name.bytes.clone() };
        let known_revision = self.objects.get(&key).map_or(0, |known| known.revision);
        if check_revisions && object.revision <= known_revision {
            return;
        }
        self.objects.insert(key, object.clone());
        let name = object.name.to_string_lossy();
        match object.kind {
            ObjectKind::Template => {
                self.apply_template(&name, object);
                templates.push(name);
            }
            ObjectKind::Instance => self.apply_instance(&name, object),
        }
    }

    fn apply_template(&mut self, name: &str, object: &ConfigObject) {
        if object.deleted != 0 {
            self.declarations.templates.remove(name);
            return;
        }
        if let Ok(template) = serde_json::from_slice::<Template>(&object.body.bytes) {
            self.declarations.templates.insert(name.to_owned(), template);
        }
    }

    fn apply_instance(&mut self, name: &str, object: &ConfigObject) {
        if object.deleted != 0 {
            self.resolved.remove(name);
            return;
        }
        if let Ok(instance) = serde_json::from_slice::<Instance>(&object.body.bytes) {
            self.resolve_instance(&instance);
        }
    }

    fn resolve_instances_of(&mut self, template: &str) {
        let objects = self.objects.values().filter(|object| object.kind == ObjectKind::Instance && object.deleted == 0);
        let instances = objects.filter_map(|object| serde_json::from_slice::<Instance>(&object.body.bytes).ok());
        let instances_of_template: Vec<Instance> = instances.filter(|instance| instance.template == template).collect();
        for instance in instances_of_template {
            self.resolve_instance(&instance);
        }
        self.policies.retain(|policy| Arc::strong_count(policy) > 1);
    }

    fn resolve_instance(&mut self, instance: &Instance) {
        let Ok(policy) = self.declarations.resolve(instance) else { return };
        let policy = self.shared_policy(policy);
        let resolved = ResolvedInstance { tenant: instance.tenant.as_str().into(), policy };
        self.resolved.insert(instance.name.as_str().into(), resolved);
    }

    /// Returns the copy of `policy` that all instances with an equal policy share.
    fn shared_policy(&mut self, policy: Policy) -> Arc<Policy> {
        if let Some(shared) = self.policies.get(&policy) {
            return shared.clone();
        }
        let shared = Arc::new(policy);
        self.policies.insert(shared.clone());
        shared
    }

    /// Returns the objects that changed after revision `since`, in order of revision. A delta that would exceed
    /// [`MAX_DELTA_BYTES`] or [`MAX_DELTA_OBJECTS`] contains only the first objects; its `revision` is then that of
    /// its last object.
    pub fn delta_since(&self, since: u64) -> ConfigDelta {
        let mut objects: Vec<&ConfigObject> = self.objects.values().filter(|object| object.revision > since).collect();
        objects.sort_by_key(|object| object.revision);
        let total = objects.len();
        let mut bytes = 0;
        let mut selected = Vec::new();
        for object in objects.into_iter().take(MAX_DELTA_OBJECTS) {
            bytes += object.body.len() + object.name.len();
            if bytes > MAX_DELTA_BYTES && !selected.is_empty() {
                break;
            }
            selected.push(object.clone());
        }
        let last_revision = selected.last().map_or(self.revision, |object| object.revision);
        let revision = if selected.len() == total { self.revision } else { last_revision };
        ConfigDelta { since, revision, objects: selected }
    }
}
