//! Messages by which gateways ask replicas for permits to send requests to cold engines.

use deku::prelude::*;

/// Asks a replica for a permit to send one request to a cold engine. Answered by [`crate::RpcBody::ColdPermit`]. A
/// message that arrives twice is granted two permits, one of which stays unused.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TakeColdPermit {
    /// The version of the sender's replica set. Each member of the set has a share of the rate.
    pub set_version: u64,
    /// The 64-bit hash of the engine's identifier, whose low 32 bits are the engine number.
    pub engine: u64,
    /// Number of requests per second that the engine can serve while it is cold.
    pub per_second: f64,
}

/// Answers [`TakeColdPermit`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ColdPermit {
    /// 1 when the request may be sent, else 0.
    pub granted: u8,
    /// Number of further permits that the replica can grant from its share of the rate.
    pub left: u32,
    /// Milliseconds after which the replica may grant more permits. Only valid when `granted` or `left` is 0.
    pub retry_after_ms: u32,
}
