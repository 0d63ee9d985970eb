//! The state of the object API: objects by kind and name, one revision counter, writes by compare-and-swap.

use foxnotch::protocol::objects::{KindName, ObjectList, StoredObject, WriteObject};
use serde_json::Value;
use std::collections::BTreeMap;

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObjectKey {
    kind: KindName,
    name: String,
}

/// Error of a write that expected another revision than the object's current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the object is at revision {current}; read it and write again")]
pub struct RevisionConflict {
    /// The object's current revision.
    pub current: u64,
}

/// The objects and the revision counter.
#[derive(Clone, Debug, Default)]
pub struct ObjectModel {
    revision: u64,
    objects: BTreeMap<ObjectKey, StoredObject>,
}

impl ObjectModel {
    /// The revision of the last write; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The objects written after a revision, oldest write first.
    pub fn list_after(&self, after: u64) -> ObjectList {
        let mut objects: Vec<StoredObject> =
            self.objects.values().filter(|object| object.revision > after).cloned().collect();
        objects.sort_by_key(|object| object.revision);
        ObjectList { revision: self.revision, objects }
    }

    /// Returns an object, also a deleted one; none when it was never written.
    pub fn get(&self, kind: KindName, name: &str) -> Option<&StoredObject> {
        self.objects.get(&ObjectKey { kind, name: name.to_owned() })
    }

    /// Writes an object if it is still at the expected revision; a null body deletes it. Returns the new revision.
    ///
    /// # Errors
    /// [`RevisionConflict`] when the object has another revision.
    pub fn write(&mut self, kind: KindName, name: &str, write: &WriteObject) -> Result<u64, RevisionConflict> {
        let current = self.get(kind, name).map_or(0, |object| object.revision);
        if current != write.expected_revision {
            return Err(RevisionConflict { current });
        }
        self.revision += 1;
        let object = StoredObject {
            kind,
            name: name.to_owned(),
            revision: self.revision,
            deleted: write.body == Value::Null,
            body: write.body.clone(),
        };
        self.objects.insert(ObjectKey { kind, name: name.to_owned() }, object);
        Ok(self.revision)
    }
}
