//! JSON messages of the object API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindName {
    /// A template, which declares parameters and a policy.
    Template,
    /// An instance, which gives a template's parameters values for one tenant.
    Instance,
}

impl KindName {
    /// The name of the kind in URL paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Instance => "instance",
        }
    }
}

/// An object in the object API's responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredObject {
    /// Whether the object is a template or an instance.
    pub kind: KindName,
    /// Name, unique among objects of its kind.
    pub name: String,
    /// The revision at which the object was last written.
    pub revision: u64,
    /// Whether the object was deleted at that revision.
    #[serde(default)]
    pub deleted: bool,
    /// The declaration as JSON; null when deleted.
    pub body: Value,
}

/// Response of `GET /v1/objects?after=R&wait_ms=N`: the objects written after revision R. If there are none, the store
/// waits up to N ms for a change before it responds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectList {
    /// The current revision of the store.
    pub revision: u64,
    /// Objects in ascending order of revision.
    pub objects: Vec<StoredObject>,
}

/// Body of `PUT /v1/objects/{kind}/{name}`. The store writes only if the object is still at the expected revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteObject {
    /// The revision of the object that the writer has read; 0 when the object was absent.
    pub expected_revision: u64,
    /// The new declaration as JSON; null deletes the object.
    pub body: Value,
}

/// Response to a write. Its status is 200 if the object was written, and 409 if another writer had changed the object
/// before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteResult {
    /// The object's current revision.
    pub revision: u64,
}
