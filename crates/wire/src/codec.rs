//! Encodes and decodes [`Envelope`]s. Unlike a message of `rpc`, an envelope has no number that pairs a request with
//! its answer.

use crate::protocol_version::ProtocolVersion;
use crate::version_7::{Envelope7, NotInVersion7};
use crate::{
    Accept, AcceptReply, Ack, ConfigDelta, ConfigPull, LoadReport, MemberList, MemberPull, NodeId, Ping, PingRequest,
    Prepare, Promise, RefillPage, RefillRequest, StoreUpdate,
};
use deku::prelude::*;

/// The maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// A message from one node to another.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum Message {
    /// Probes a member.
    #[deku(id = "0")]
    Ping(Ping),
    /// Asks another member to probe a member.
    #[deku(id = "1")]
    PingRequest(PingRequest),
    /// Answers a probe.
    #[deku(id = "2")]
    Ack(Ack),
    /// Asks a replica for its promise to reject lower epochs.
    #[deku(id = "3")]
    Prepare(Prepare),
    /// Answers a [`Prepare`].
    #[deku(id = "4")]
    Promise(Promise),
    /// Appends entries to a replica's copy of a history.
    #[deku(id = "5")]
    Accept(Accept),
    /// Answers an [`Accept`].
    #[deku(id = "6")]
    AcceptReply(AcceptReply),
    /// Requests configuration objects that changed after a revision.
    #[deku(id = "7")]
    ConfigPull(ConfigPull),
    /// Contains the changed configuration objects.
    #[deku(id = "8")]
    ConfigDelta(ConfigDelta),
    /// Requests copies of histories for a replica that has lost its disk.
    #[deku(id = "9")]
    RefillRequest(RefillRequest),
    /// Contains copies of histories.
    #[deku(id = "10")]
    RefillPage(RefillPage),
    /// Requests all members that the receiver knows.
    #[deku(id = "11")]
    MemberPull(MemberPull),
    /// Contains all members that the sender knows.
    #[deku(id = "12")]
    MemberList(MemberList),
    /// Reports a gateway's requests in flight at each engine.
    #[deku(id = "13")]
    LoadReport(LoadReport),
    /// Reports the newest revisions of the platform's store that a gateway knows.
    #[deku(id = "14")]
    StoreUpdate(StoreUpdate),
}

/// A message with its protocol version and its sender.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "little")]
pub struct Envelope {
    /// Protocol version of the encoding.
    pub version: u8,
    /// The node that sent the message.
    pub from: NodeId,
    /// The probe, request, answer or report that the node sent.
    pub message: Message,
}

/// The error when a message cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; contains its length in bytes.
    #[error(
        "message of {0} bytes exceeds the protocol's limit of {MAX_MESSAGE_BYTES} bytes; split it, or raise \
         MAX_MESSAGE_BYTES in the builds of all nodes"
    )]
    TooLong(usize),
    /// The bytes are not a message of a version that this build reads.
    #[error("message cannot be decoded ({0}); check that the nodes' builds support a common protocol version")]
    Malformed(String),
    /// The receiver's protocol version has no encoding for the message.
    #[error(transparent)]
    NotInVersion(#[from] NotInVersion7),
    /// The input continues after the message; contains the number of extra bytes.
    #[error("{0} unexpected bytes after the message; check that the nodes' builds support a common protocol version")]
    TrailingBytes(usize),
}

/// Reads the protocol version from the first byte of a message.
///
/// # Errors
/// [`WireError::Malformed`] for an empty message, or for a version that this build does not support.
pub(crate) fn read_version(bytes: &[u8]) -> Result<ProtocolVersion, WireError> {
    let number = bytes.first().ok_or_else(|| WireError::Malformed("the message is empty".to_owned()))?;
    ProtocolVersion::from_number(*number)
        .ok_or_else(|| WireError::Malformed(format!("unsupported protocol version {number}")))
}

/// Decodes a value, which has to take up all of `bytes`.
pub(crate) fn decode_exact<T>(bytes: &[u8]) -> Result<T, WireError>
where
    T: for<'a> DekuContainerRead<'a>,
{
    let ((rest, _), value) = T::from_bytes((bytes, 0)).map_err(malformed_error)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(WireError::TrailingBytes(rest.len()))
    }
}

/// Encodes a value and checks its length against [`MAX_MESSAGE_BYTES`].
pub(crate) fn encode_bounded(value: &impl DekuContainerWrite) -> Result<Vec<u8>, WireError> {
    let bytes = value.to_bytes().map_err(malformed_error)?;
    check_length(&bytes)?;
    Ok(bytes)
}

/// Checks a message's length against [`MAX_MESSAGE_BYTES`].
///
/// # Errors
/// [`WireError::TooLong`].
pub(crate) fn check_length(bytes: &[u8]) -> Result<(), WireError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    Ok(())
}

fn malformed_error(error: DekuError) -> WireError {
    WireError::Malformed(error.to_string())
}

/// Encodes a message in the newest version.
///
/// # Errors
/// [`WireError::TooLong`] when the receiver would reject the encoded message.
pub fn encode(from: NodeId, message: Message) -> Result<Vec<u8>, WireError> {
    encode_in_version(ProtocolVersion::NEWEST, from, message)
}

/// Encodes a message for a receiver that reads `version`.
///
/// # Errors
/// [`WireError::TooLong`] when the receiver would reject the encoded message.
pub fn encode_in_version(version: ProtocolVersion, from: NodeId, message: Message) -> Result<Vec<u8>, WireError> {
    match version {
        ProtocolVersion::Seven => encode_bounded(&Envelope7::new(from, message)),
        ProtocolVersion::Nine => encode_bounded(&Envelope { version: version.number(), from, message }),
    }
}

/// Decodes a message that takes up all of `bytes`, in any version that this build supports.
///
/// # Errors
/// Any [`WireError`]. The memory that decoding allocates is bounded by [`MAX_MESSAGE_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Envelope, WireError> {
    check_length(bytes)?;
    match read_version(bytes)? {
        ProtocolVersion::Seven => decode_exact::<Envelope7>(bytes).map(Envelope::from),
        ProtocolVersion::Nine => decode_exact(bytes),
    }
}
