//! The replica set as it is sent and stored, and what makes the answer of a replica count.

use crate::length::Length;
use crate::NodeId;
use deku::prelude::*;

/// Replicas in a set at most.
pub const MAX_REPLICAS: u32 = 256;

/// A replica in a set.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaMember {
    /// The node.
    pub node: NodeId,
    /// Its zone, as a hash of the zone's name.
    pub zone: u32,
    /// Its IPv4 address.
    pub ip: [u8; 4],
    /// Its port for other nodes.
    pub port: u16,
}

/// The replicas of the deployment.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaSet {
    /// Raised by one with each change; 0 when none is known.
    pub version: u64,
    #[deku(temp, temp_value = "Length::of(&members)")]
    members_length: Length<MAX_REPLICAS>,
    /// The members, ordered by node.
    #[deku(count = "members_length.get()")]
    pub members: Vec<ReplicaMember>,
    #[deku(temp, temp_value = "Length::of(&previous)")]
    previous_length: Length<MAX_REPLICAS>,
    /// The members of the version before.
    #[deku(count = "previous_length.get()")]
    pub previous: Vec<ReplicaMember>,
}

/// Which disk a node has, as the sender knows.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct DiskIdentity {
    /// The node.
    pub node: NodeId,
    /// A random number made with the disk.
    pub disk: u64,
}

/// Whether an answer may be counted.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum ReplicaStanding {
    /// The replica holds all that it ever acknowledged and the entry is on its disk.
    #[deku(id = "0")]
    Counts,
    /// The replica is being refilled, is no member, or left out a text that it may not store: its answer is a hint.
    #[deku(id = "1")]
    Refilling,
    /// The disk, or the memory for turns, takes no more.
    #[deku(id = "2")]
    Full,
}

/// Who answers, on which disk, and which disks it knows others to have.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Witness {
    /// The replica.
    pub own: DiskIdentity,
    /// Whether the answer may be counted.
    pub standing: ReplicaStanding,
    #[deku(temp, temp_value = "Length::of(&others)")]
    length: Length<MAX_REPLICAS>,
    /// The disks of the others.
    #[deku(count = "length.get()")]
    pub others: Vec<DiskIdentity>,
}

/// Brings a set; answered by [`crate::RpcBody::SetKnown`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaSetUpdate {
    /// The set.
    pub set: ReplicaSet,
    /// The version that the sender is synced to; 0 from a gateway.
    pub synced: u64,
}
