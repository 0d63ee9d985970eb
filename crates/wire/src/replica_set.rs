//! The replica set as it is sent and stored, and the [`ReplicaReport`] by which the receiver of a replica's answer
//! decides whether the answer counts towards a quorum.

use crate::length::Length;
use crate::NodeId;
use deku::prelude::*;

/// The maximum number of replicas in a set.
pub const MAX_REPLICAS: u32 = 256;

/// A member of a replica set.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaMember {
    /// The replica's node identifier.
    pub node: NodeId,
    /// Hash of the name of the replica's zone.
    pub zone: u32,
    /// The replica's IPv4 address.
    pub ip: [u8; 4],
    /// The replica's port for other nodes.
    pub port: u16,
}

/// The replicas that store the deployment's turns, as of one version.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaSet {
    /// Increased by one with each change; 0 when no set is known.
    pub version: u64,
    #[deku(temp, temp_value = "Length::of(&members)")]
    members_length: Length<MAX_REPLICAS>,
    /// The members, in ascending order of node.
    #[deku(count = "members_length.get()")]
    pub members: Vec<ReplicaMember>,
    #[deku(temp, temp_value = "Length::of(&previous)")]
    previous_length: Length<MAX_REPLICAS>,
    /// The members of the previous version.
    #[deku(count = "previous_length.get()")]
    pub previous: Vec<ReplicaMember>,
}

/// Identifies the disk of a node, as far as the sender knows.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct DiskIdentity {
    /// The node that the disk belongs to.
    pub node: NodeId,
    /// A random number, generated when the replica first used the disk.
    pub disk: u64,
}

/// Whether a replica's answer counts towards a quorum.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum ReplicaStanding {
    /// The answer counts: the replica holds everything that it ever acknowledged, and the entry is on its disk.
    #[deku(id = "0")]
    Counts,
    /// The answer does not count: the replica is being refilled, is not a member, or omitted a text that it may not
    /// store. The records in the answer may still be used.
    #[deku(id = "1")]
    Refilling,
    /// The write was rejected: the replica's disk or its memory for turns is full.
    #[deku(id = "2")]
    Full,
}

/// A replica's report about itself in an answer: its node, its disk, and whether the answer counts. It also contains
/// the disks of other replicas, as far as the replica knows them. From these, the receiver detects answers of disks
/// that have since been replaced.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaReport {
    /// The answering replica and its disk.
    pub own: DiskIdentity,
    /// Whether the answer counts.
    pub standing: ReplicaStanding,
    #[deku(temp, temp_value = "Length::of(&others)")]
    length: Length<MAX_REPLICAS>,
    /// The disks of other replicas that the answering replica knows.
    #[deku(count = "length.get()")]
    pub others: Vec<DiskIdentity>,
}

/// Contains a replica set. As a request it is answered by [`crate::RpcBody::SetKnown`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaSetUpdate {
    /// The newest set that the sender knows.
    pub set: ReplicaSet,
    /// The version of the set that the sender is synced to; 0 when a gateway sends it.
    pub synced: u64,
}
