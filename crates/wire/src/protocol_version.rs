//! The versions of the protocol, and how two nodes negotiate the newest that both support.
//!
//! During an upgrade the nodes run different builds, and a node of an older version rejects messages of a newer one. So
//! a node uses the oldest version towards a peer whose version it does not know. It offers the newest version in a
//! number that a peer of any version returns unchanged: the number of an exchange (a request and its answer), or the
//! sequence number of a probe. A peer that recognizes the offer answers in the newest version.

/// A protocol version that this build reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProtocolVersion {
    /// Version 7: no texts restricted to regions, no tickets, no permits for cold engines, no drained zones.
    Seven,
    /// Version 9: with all messages of this build.
    Nine,
}

/// The number of the newest version that this build supports.
pub const PROTOCOL_VERSION: u8 = ProtocolVersion::NEWEST.number();

/// The offer of version 9 in the highest sixteen bits of an exchange's number. Callers number their exchanges from 1,
/// so no exchange without an offer reaches a number that high.
const EXCHANGE_OFFER: u64 = 0xf009 << EXCHANGE_BITS;
/// Number of bits below the offer in an exchange's number.
const EXCHANGE_BITS: u32 = 48;
/// The offer of version 9 in the highest eight bits of a probe's sequence number.
const SEQUENCE_OFFER: u32 = 0xf9 << SEQUENCE_BITS;
/// Number of bits below the offer in a probe's sequence number.
const SEQUENCE_BITS: u32 = 24;

/// The highest sequence number of a probe, after which 1 follows. The bits above it are reserved for the offer.
pub const MAX_SEQUENCE: u32 = (1 << SEQUENCE_BITS) - 1;

impl ProtocolVersion {
    /// The version that every node reads: that of the oldest build in production.
    pub const OLDEST: Self = Self::Seven;
    /// The version that this build uses towards nodes that support it.
    pub const NEWEST: Self = Self::Nine;

    /// The version's number, which is the first byte of each message.
    pub const fn number(self) -> u8 {
        match self {
            Self::Seven => 7,
            Self::Nine => 9,
        }
    }

    /// The version with this number, if this build supports it.
    pub fn from_number(number: u8) -> Option<Self> {
        [Self::Seven, Self::Nine].into_iter().find(|version| version.number() == number)
    }
}

impl std::fmt::Display for ProtocolVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.number().fmt(formatter)
    }
}

/// Adds an offer of the newest version to an exchange's number.
pub fn exchange_with_version_offer(exchange: u64) -> u64 {
    exchange | EXCHANGE_OFFER
}

/// Whether an exchange's number contains an offer of the newest version.
pub fn exchange_has_version_offer(exchange: u64) -> bool {
    exchange >> EXCHANGE_BITS == EXCHANGE_OFFER >> EXCHANGE_BITS
}

/// Adds an offer of the newest version to a probe's sequence number.
pub fn sequence_with_version_offer(sequence: u32) -> u32 {
    sequence & MAX_SEQUENCE | SEQUENCE_OFFER
}

/// Whether a probe's sequence number contains an offer of the newest version.
pub fn sequence_has_version_offer(sequence: u32) -> bool {
    sequence >> SEQUENCE_BITS == SEQUENCE_OFFER >> SEQUENCE_BITS
}

/// Removes the offer, if there is one, from a probe's sequence number.
pub fn sequence_without_version_offer(sequence: u32) -> u32 {
    if sequence_has_version_offer(sequence) {
        sequence & MAX_SEQUENCE
    } else {
        sequence
    }
}
