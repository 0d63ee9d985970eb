//! Messages of the membership protocol, and the load and store updates that gateways send each other.
//!
//! The messages travel over UDP, apart from [`MemberPull`] and [`MemberList`], which travel by stream.

use crate::length::Length;
use crate::NodeId;
use deku::prelude::*;

/// The maximum number of member updates in one probe, which has to fit into one datagram.
pub const MAX_UPDATES: u32 = 12;

/// The IP address and the ports at which a member listens.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct MemberAddress {
    /// IP address; IPv4 is mapped into IPv6.
    pub ip: [u8; 16],
    /// UDP and TCP port for other nodes.
    pub peer_port: u16,
    /// Port for callers and operators; 0 for a replica, which has no such port.
    pub caller_port: u16,
}

/// A member's state as far as a node knows. Among updates with the same incarnation of a member, a later variant
/// overrides an earlier one.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum MemberState {
    /// The member answers probes.
    #[deku(id = "0")]
    Alive,
    /// The member answers probes and accepts no new work.
    #[deku(id = "1")]
    Leaving,
    /// The member did not answer a probe. It is declared dead unless it refutes the suspicion in time.
    #[deku(id = "2")]
    Suspect,
    /// The member did not refute a suspicion in time.
    #[deku(id = "3")]
    Dead,
}

impl MemberState {
    /// The state's name in metrics and operators' output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// The sender's knowledge of one member.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct MemberUpdate {
    /// The member that the update describes.
    pub node: NodeId,
    /// The member's state, as far as the sender knows.
    pub state: MemberState,
    /// Of two updates about a member, the one with the higher incarnation is newer. Only the member itself sets its
    /// incarnation. The first value is the time of the member's start, in milliseconds since the Unix epoch. The
    /// member increases it when it refutes a suspicion or leaves.
    pub incarnation: u64,
    /// Number of the member's zone.
    pub zone: u8,
    /// The addresses at which the member listens.
    pub address: MemberAddress,
    /// The configuration revision that is in force on the member.
    pub config_revision: u64,
}

/// The maximum number of members in one list.
pub const MAX_MEMBERS: u32 = 4096;

/// Requests all members that the receiver knows. Answered by [`MemberList`]. Travels by stream.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct MemberPull {
    /// The requesting node's own entry, which the receiver adds to its members.
    pub asker: MemberUpdate,
}

/// All members that the sender knows.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct MemberList {
    #[deku(temp, temp_value = "Length::of(&members)")]
    length: Length<MAX_MEMBERS>,
    /// The sender's newest update about each member, including itself.
    #[deku(count = "length.get()")]
    pub members: Vec<MemberUpdate>,
}

/// Probes the receiver, which answers with an [`Ack`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Ping {
    /// Sequence number of the probe, which its answer repeats.
    pub sequence: u32,
    #[deku(temp, temp_value = "Length::of(&updates)")]
    length: Length<MAX_UPDATES>,
    /// The newest updates that the sender has about some members.
    #[deku(count = "length.get()")]
    pub updates: Vec<MemberUpdate>,
}

/// Asks the receiver to probe `target` on the sender's behalf.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct PingRequest {
    /// Sequence number of the probe, which its answer repeats.
    pub sequence: u32,
    /// The member that the receiver is to probe.
    pub target: NodeId,
}

/// Answers a probe.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Ack {
    /// The sequence number of the probe.
    pub sequence: u32,
    /// The member that answered the probe.
    pub subject: NodeId,
    #[deku(temp, temp_value = "Length::of(&updates)")]
    length: Length<MAX_UPDATES>,
    /// The newest updates that the sender has about some members.
    #[deku(count = "length.get()")]
    pub updates: Vec<MemberUpdate>,
}

/// The maximum number of engines in one load report.
pub const MAX_LOADS: u32 = 200;

/// The maximum number of unreachable engines in one load report. Together with the loads, this many fit into a datagram
/// of 2 KB. Each gateway detects further unreachable engines itself.
pub const MAX_UNREACHABLE: u32 = 100;

/// One gateway's load at one engine: the number of its requests in flight, and the outcomes of its recent requests.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct EngineLoad {
    /// The engine number: the low 32 bits of the hash of the engine's identifier.
    pub engine: u32,
    /// Number of requests that the gateway has in flight at the engine.
    pub in_flight: u16,
    /// Number of recent requests that succeeded; 255 stands for 255 or more.
    pub answered: u8,
    /// Number of recent requests that failed; 255 stands for 255 or more.
    pub failed: u8,
}

/// The low 32 bits of a revision. They determine which of two revisions is newer if these are less than 2^31 changes
/// apart, and take half the bytes of a whole revision in a datagram that is sent several times a second.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ShortRevision(u32);

impl ShortRevision {
    /// The low 32 bits of `revision`.
    pub fn of(revision: u64) -> Self {
        Self(revision as u32)
    }

    /// The low 32 bits as a whole revision, whose high bits are 0.
    pub(crate) fn low_32_bits(self) -> u64 {
        self.0.into()
    }

    /// Whether this revision is newer than the whole revision `known`.
    pub fn is_after(self, known: u64) -> bool {
        let ahead = self.0.wrapping_sub(known as u32);
        (1..=u32::MAX / 2).contains(&ahead)
    }
}

/// Reports the newest revisions of the platform's store that a gateway knows. The gateway sends this message several
/// times a second to other gateways, which then need not watch the store themselves. Travels by datagram.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoreUpdate {
    /// The revision of the sender's configuration.
    pub configuration_revision: u64,
    /// The revision of the sender's list of engines.
    pub engines_revision: u64,
    /// The revision of the sender's list of replicas to be retired.
    pub retirements_revision: ShortRevision,
    /// The revision of the sender's list of drained zones.
    pub zone_drains_revision: ShortRevision,
    /// Milliseconds since the store last answered a gateway that watches it.
    pub contact_age_ms: u16,
}

/// Reports the load that one gateway puts on engines. Travels by datagram; each report replaces the sender's last one.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct LoadReport {
    #[deku(temp, temp_value = "Length::of(&loads)")]
    length: Length<MAX_LOADS>,
    /// The engines at which the gateway has requests in flight, or had some that ended recently.
    #[deku(count = "length.get()")]
    pub loads: Vec<EngineLoad>,
    #[deku(temp, temp_value = "Length::of(&unreachable)")]
    unreachable_length: Length<MAX_UNREACHABLE>,
    /// Engine numbers ([`EngineLoad::engine`]) of the engines to which the gateway could not connect.
    #[deku(count = "unreachable_length.get()")]
    pub unreachable: Vec<u32>,
}
