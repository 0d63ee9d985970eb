//! The platform's configuration, engines, retirements and zone drains as nodes send them to each other.

use crate::{Content, ReplicaReport, ReplicaSet};
use deku::prelude::*;

/// The sender's view of the platform: the revision of each part, and its content as compressed JSON. The contents are
/// empty in a request. An answer to [`crate::RpcBody::PullView`] contains only the contents that are newer than the
/// caller's.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ViewUpdate {
    /// The configuration's revision in the platform's store; 0 when the sender has none.
    pub configuration_revision: u64,
    /// The version number that the operator gave the configuration.
    pub configuration_version: u64,
    /// 0 when the platform's store has confirmed the configuration. Otherwise the sender has read the configuration
    /// from a replica's disk, and this is the time at which it was written there, in milliseconds since the Unix epoch.
    pub configuration_stored_at_ms: u64,
    /// The configuration; empty when the receiver already has it.
    pub configuration: Content,
    /// The revision of the list of engines.
    pub engines_revision: u64,
    /// 0 when `engines` is the complete list, otherwise the revision after which the changes in `engines` were made.
    pub engines_since: u64,
    /// The engines, or the changes to them; empty when the receiver already has them.
    pub engines: Content,
    /// The revision of the list of replicas to be retired.
    pub retirements_revision: u64,
    /// The replicas to be retired; empty when the receiver already has the list.
    pub retirements: Content,
    /// The revision of the list of drained zones.
    pub zone_drains_revision: u64,
    /// The drained zones; empty when the receiver already has the list.
    pub zone_drains: Content,
    /// The newest replica set that the sender knows.
    pub set: ReplicaSet,
}

/// A part of the view as a replica stores it on its disk.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoredPart {
    /// The part's revision; 0 when the replica has not stored the part.
    pub revision: u64,
    /// The time at which a replica first wrote this revision to its disk, in milliseconds since the Unix epoch. The
    /// time is shown to operators and affects no decision.
    pub stored_at_ms: u64,
    /// The content, encoded as in [`ViewUpdate`]; empty in an answer to a caller that already has this revision.
    pub content: Content,
}

/// Requests the parts of the view that a replica has stored on its disk. Answered by [`StoredViewHeld`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReadStoredView {
    /// The newest replica set that the caller knows.
    pub set: ReplicaSet,
    /// The configuration's content is requested only if the configuration's revision is higher than this.
    pub configuration_above: u64,
    /// The list of engines is requested only if the list's revision is higher than this.
    pub engines_above: u64,
    /// The list of drained zones is requested only if the list's revision is higher than this.
    pub zone_drains_above: u64,
}

/// Answers [`ReadStoredView`] with the parts of the view that a replica has stored.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoredViewHeld {
    /// The answering replica, its disk, and whether its answer counts.
    pub report: ReplicaReport,
    /// The version of the newest replica set that the answering replica knows.
    pub set_version: u64,
    /// 0 when the replica could not read one of its files, else 1. With 0, the replica may have stored newer parts than
    /// this answer contains.
    pub is_whole: u8,
    /// The configuration on the replica's disk.
    pub configuration: StoredPart,
    /// The list of engines on the replica's disk.
    pub engines: StoredPart,
    /// The list of drained zones on the replica's disk.
    pub zone_drains: StoredPart,
}
