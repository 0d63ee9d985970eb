//! Messages by which gateways ask replicas for permission to send requests of tenants that have a rate limit.

use crate::ProgramKey;
use deku::prelude::*;

/// Whether a program has sent requests before.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum ProgramStageTag {
    /// The request would be the program's first, as far as the gateway knows.
    #[deku(id = "0")]
    New,
    /// The program has sent requests before, or the request belongs to no program.
    #[deku(id = "1")]
    Running,
}

/// Asks a replica for permission to send one request of a tenant. Answered by [`crate::RpcBody::QuotaGiven`]. A message
/// that arrives twice is counted twice. The limit is never exceeded in this way, but the tenant can send one request
/// less.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TakeQuota {
    /// The version of the sender's replica set. Each member of the set has an equal share of the limit.
    pub set_version: u64,
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// The version of the configuration that sets the limit.
    pub version: u64,
    /// The tenant's rate limit, in requests per second.
    pub per_second: f64,
    /// Number of requests that the tenant may send at once in addition to the rate.
    pub burst: f64,
    /// The program that the request belongs to.
    pub program: ProgramKey,
    /// Whether the program has sent requests before.
    pub stage: ProgramStageTag,
}

/// Answers [`TakeQuota`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct QuotaGiven {
    /// 1 when the request may be sent, else 0.
    pub granted: u8,
    /// Number of further requests that the replica can grant from its share of the limit.
    pub left: f64,
    /// Milliseconds after which the replica may grant more requests. Only valid when `granted` or `left` is 0.
    pub retry_after_ms: u32,
}
