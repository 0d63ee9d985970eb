//! Requests between gateways and replicas, and their answers.
//!
//! Requests and answers travel by stream. Each request has a number, which its answer repeats.

use crate::codec::{check_length, decode_exact, encode_bounded, read_version};
use crate::protocol_version::ProtocolVersion;
use crate::version_7::RpcMessage7;
use crate::{
    Chain, ColdPermit, Content, Entries, FetchEntries, ListMarks, Marks, MemberList, MemberUpdate, NodeId, QuotaGiven,
    ReadChain, ReadProgram, ReadStoredView, ReplicaSetUpdate, StoreEntries, StoreEntry, Stored, StoredViewHeld,
    TakeColdPermit, TakeQuota, TicketAnswer, TicketRequest, ViewUpdate, WireError,
};
use deku::prelude::*;

/// Asks a gateway to forward a request to a replica that the caller cannot reach directly. Answered by
/// [`RpcBody::Relayed`] or [`RpcBody::Unreached`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RelayRequest {
    /// The replica that the request is forwarded to.
    pub replica: NodeId,
    /// Milliseconds for which the caller waits for the answer.
    pub within_ms: u32,
    /// The request to forward, encoded by [`encode_rpc_in_version`].
    pub request: Content,
}

/// The content of a request or of an answer.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum RpcBody {
    /// Request to store an entry; answered by [`RpcBody::Stored`].
    #[deku(id = "0")]
    StoreEntry(StoreEntry),
    /// Request for the charges of a program's turns; answered by [`RpcBody::Stored`].
    #[deku(id = "1")]
    ReadProgram(ReadProgram),
    /// Request for a turn and the turns that it continues; answered by [`RpcBody::Chain`].
    #[deku(id = "2")]
    ReadChain(ReadChain),
    /// Request for a summary ([`crate::TurnMark`]) of each turn that a replica holds; answered by [`RpcBody::Marks`].
    #[deku(id = "3")]
    ListMarks(ListMarks),
    /// Request for entries of turns; answered by [`RpcBody::Entries`].
    #[deku(id = "4")]
    FetchEntries(FetchEntries),
    /// Request to adopt a replica set if it is newer than the receiver's; answered by [`RpcBody::SetKnown`].
    #[deku(id = "5")]
    AdoptSet(ReplicaSetUpdate),
    /// Request for all members, with the sender's own entry; answered by [`RpcBody::Members`].
    #[deku(id = "6")]
    PullMembers(MemberUpdate),
    /// Request for the parts of the view that are newer than the sender's; answered by [`RpcBody::View`].
    #[deku(id = "7")]
    PullView(ViewUpdate),
    /// Request of an operator's command for all members; the command does not become a member. Answered by
    /// [`RpcBody::Members`].
    #[deku(id = "8")]
    ShowMembers,
    /// Request for the replica set; answered by [`RpcBody::SetKnown`].
    #[deku(id = "9")]
    ShowSet,
    /// Request to forward a request to a replica; answered by [`RpcBody::Relayed`] or [`RpcBody::Unreached`].
    #[deku(id = "10")]
    Relay(RelayRequest),
    /// Request for permission to send a request of a tenant that has a rate limit; answered by [`RpcBody::QuotaGiven`].
    #[deku(id = "11")]
    TakeQuota(TakeQuota),
    /// Request for the view that a replica has stored on its disk; answered by [`RpcBody::StoredViewHeld`].
    #[deku(id = "12")]
    ReadStoredView(ReadStoredView),
    /// Request of an operator's command for the view; answered by [`RpcBody::View`] with the revisions and, as the only
    /// content, the drained zones.
    #[deku(id = "13")]
    ShowView,
    /// Request for a permit to send one request to a cold engine; answered by [`RpcBody::ColdPermit`].
    #[deku(id = "14")]
    TakeColdPermit(TakeColdPermit),
    /// Request to store several entries of one program; answered by [`RpcBody::Stored`].
    #[deku(id = "15")]
    StoreEntries(StoreEntries),
    /// Request about tickets that a replica holds; answered by [`RpcBody::TicketAnswer`].
    #[deku(id = "16")]
    Ticket(TicketRequest),
    /// Answer to [`RpcBody::StoreEntry`], [`RpcBody::StoreEntries`] and [`RpcBody::ReadProgram`].
    #[deku(id = "64")]
    Stored(Stored),
    /// Answer to [`RpcBody::ReadChain`].
    #[deku(id = "65")]
    Chain(Chain),
    /// Answer to [`RpcBody::ListMarks`].
    #[deku(id = "66")]
    Marks(Marks),
    /// Answer to [`RpcBody::FetchEntries`].
    #[deku(id = "67")]
    Entries(Entries),
    /// Answer to [`RpcBody::AdoptSet`] and [`RpcBody::ShowSet`]: the replica set that the answering node knows.
    #[deku(id = "68")]
    SetKnown(ReplicaSetUpdate),
    /// Answer to a request whose replica set version differs from the replica's: the replica's set, which may be older
    /// than the caller's.
    #[deku(id = "69")]
    OtherSet(ReplicaSetUpdate),
    /// Answer to [`RpcBody::PullMembers`] and [`RpcBody::ShowMembers`].
    #[deku(id = "70")]
    Members(MemberList),
    /// Answer to [`RpcBody::PullView`] and [`RpcBody::ShowView`].
    #[deku(id = "71")]
    View(ViewUpdate),
    /// Answer to any request that the receiver does not serve.
    #[deku(id = "72")]
    NotServed,
    /// Answer to [`RpcBody::Relay`]: the replica's answer, encoded by [`encode_rpc_in_version`].
    #[deku(id = "73")]
    Relayed(Content),
    /// Answer to [`RpcBody::Relay`] by a node that cannot reach the replica either, or does not know it.
    #[deku(id = "74")]
    Unreached,
    /// Answer to [`RpcBody::TakeQuota`]: whether the tenant's request may be sent, and otherwise when to ask again.
    #[deku(id = "75")]
    QuotaGiven(QuotaGiven),
    /// Answer to [`RpcBody::ReadStoredView`].
    #[deku(id = "76")]
    StoredViewHeld(StoredViewHeld),
    /// Answer to [`RpcBody::TakeColdPermit`]: whether one request may be sent to the cold engine, and otherwise when to
    /// ask again.
    #[deku(id = "77")]
    ColdPermit(ColdPermit),
    /// Answer to [`RpcBody::Ticket`].
    #[deku(id = "78")]
    TicketAnswer(TicketAnswer),
}

/// A request or its answer, with the protocol version, the sender and the exchange's number.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq)]
#[deku(endian = "little")]
pub struct RpcMessage {
    /// Protocol version of the encoding.
    pub version: u8,
    /// The node that sent the message.
    pub from: NodeId,
    /// Number that the caller chose for the exchange, repeated in the answer.
    pub exchange: u64,
    /// The request or the answer.
    pub body: RpcBody,
}

/// Encodes a request or an answer in the newest version.
///
/// # Errors
/// [`WireError::TooLong`] when the receiver would reject the encoded message.
pub fn encode_rpc(from: NodeId, exchange: u64, body: RpcBody) -> Result<Vec<u8>, WireError> {
    encode_rpc_in_version(ProtocolVersion::NEWEST, from, exchange, body)
}

/// Encodes a request or an answer for a receiver that reads `version`.
///
/// # Errors
/// [`WireError::TooLong`] when the receiver would reject the encoded message, [`WireError::NotInVersion`] when
/// `version` has no encoding for it.
pub fn encode_rpc_in_version(
    version: ProtocolVersion,
    from: NodeId,
    exchange: u64,
    body: RpcBody,
) -> Result<Vec<u8>, WireError> {
    match version {
        ProtocolVersion::Seven => encode_bounded(&RpcMessage7::new(from, exchange, body)?),
        ProtocolVersion::Nine => encode_bounded(&RpcMessage { version: version.number(), from, exchange, body }),
    }
}

/// Decodes a request or an answer that takes up all of `bytes`, in any version that this build supports.
///
/// # Errors
/// Any [`WireError`].
pub fn decode_rpc(bytes: &[u8]) -> Result<RpcMessage, WireError> {
    check_length(bytes)?;
    match read_version(bytes)? {
        ProtocolVersion::Seven => decode_exact::<RpcMessage7>(bytes).map(RpcMessage::from),
        ProtocolVersion::Nine => decode_exact(bytes),
    }
}
