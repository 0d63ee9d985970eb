//! What nodes tell each other of the platform.

use crate::{Content, ReplicaSet};
use deku::prelude::*;

/// The sender's view of the platform: each part with the revision that it stands at, coded as compressed JSON.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ViewNews {
    /// The revision of the configuration; 0 when there is none.
    pub configuration_revision: u64,
    /// The configuration; empty when the receiver has it.
    pub configuration: Content,
    /// The revision of the list of engines.
    pub engines_revision: u64,
    /// 0 when `engines` is the whole list, otherwise the revision to which it tells what has changed.
    pub engines_since: u64,
    /// The engines, or what has changed of them; empty when the receiver has it.
    pub engines: Content,
    /// The revision of the list of replicas that are to leave.
    pub retirements_revision: u64,
    /// The replicas that are to leave; empty when the receiver has them.
    pub retirements: Content,
    /// The newest replica set.
    pub set: ReplicaSet,
}
