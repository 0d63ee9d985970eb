//! Configuration objects and the messages with which nodes exchange them.

use crate::length::Length;
use crate::text::Text;
use deku::prelude::*;

/// The maximum number of objects in one delta.
pub const MAX_OBJECTS: u32 = 256;

/// The kind of a configuration object.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum ObjectKind {
    /// A template with parameters.
    #[deku(id = "0")]
    Template,
    /// An instance of a template for a tenant.
    #[deku(id = "1")]
    Instance,
}

/// A configuration object as of the revision at which it was created, changed or deleted.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ConfigObject {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name, unique among the objects of its kind.
    pub name: Text,
    /// The store's revision at which the object was created, changed or deleted.
    pub revision: u64,
    /// 1 when the object was deleted at this revision, else 0.
    pub deleted: u8,
    /// The object as JSON; empty when deleted.
    pub body: Text,
}

/// Requests the objects that changed after a revision. Answered by [`ConfigDelta`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ConfigPull {
    /// The revision that is in force on the requesting node.
    pub since: u64,
}

/// Contains every object that was written after revision `since`, up to and including `revision`.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ConfigDelta {
    /// The revision after which the objects were written.
    pub since: u64,
    /// The revision that the receiver has reached once it has applied the objects.
    pub revision: u64,
    #[deku(temp, temp_value = "Length::of(&objects)")]
    length: Length<MAX_OBJECTS>,
    /// The objects, in ascending order of revision.
    #[deku(count = "length.get()")]
    pub objects: Vec<ConfigObject>,
}
