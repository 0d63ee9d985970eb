//! [`Envelope`] in version 7: load reports without unreachable engines, store updates without zone drains.

use crate::codec::{Envelope, Message};
use crate::length::Length;
use crate::membership::{EngineLoad, LoadReport, ShortRevision, StoreUpdate, MAX_LOADS};
use crate::protocol_version::ProtocolVersion;
use crate::{
    Accept, AcceptReply, Ack, ConfigDelta, ConfigPull, MemberList, MemberPull, NodeId, Ping, PingRequest, Prepare,
    Promise, RefillPage, RefillRequest,
};
use deku::prelude::*;

/// [`StoreUpdate`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct StoreUpdate7 {
    configuration_revision: u64,
    engines_revision: u64,
    retirements_revision: u64,
    contact_age_ms: u16,
}

/// [`LoadReport`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct LoadReport7 {
    #[deku(temp, temp_value = "Length::of(&loads)")]
    length: Length<MAX_LOADS>,
    #[deku(count = "length.get()")]
    loads: Vec<EngineLoad>,
}

/// [`Message`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
enum Message7 {
    #[deku(id = "0")]
    Ping(Ping),
    #[deku(id = "1")]
    PingRequest(PingRequest),
    #[deku(id = "2")]
    Ack(Ack),
    #[deku(id = "3")]
    Prepare(Prepare),
    #[deku(id = "4")]
    Promise(Promise),
    #[deku(id = "5")]
    Accept(Accept),
    #[deku(id = "6")]
    AcceptReply(AcceptReply),
    #[deku(id = "7")]
    ConfigPull(ConfigPull),
    #[deku(id = "8")]
    ConfigDelta(ConfigDelta),
    #[deku(id = "9")]
    RefillRequest(RefillRequest),
    #[deku(id = "10")]
    RefillPage(RefillPage),
    #[deku(id = "11")]
    MemberPull(MemberPull),
    #[deku(id = "12")]
    MemberList(MemberList),
    #[deku(id = "13")]
    LoadReport(LoadReport7),
    #[deku(id = "14")]
    StoreUpdate(StoreUpdate7),
}

/// [`Envelope`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "little")]
pub(crate) struct Envelope7 {
    version: u8,
    from: NodeId,
    message: Message7,
}

impl Envelope7 {
    /// Converts a message for a receiver of version 7.
    pub(crate) fn new(from: NodeId, message: Message) -> Self {
        Self { version: ProtocolVersion::Seven.number(), from, message: message.into() }
    }
}

impl From<Envelope7> for Envelope {
    fn from(envelope: Envelope7) -> Self {
        let Envelope7 { version, from, message } = envelope;
        Self { version, from, message: message.into() }
    }
}

impl From<StoreUpdate7> for StoreUpdate {
    /// A sender of version 7 does not know zone drains. Revision 0 is a placeholder that the receiver must ignore.
    fn from(update: StoreUpdate7) -> Self {
        Self {
            configuration_revision: update.configuration_revision,
            engines_revision: update.engines_revision,
            retirements_revision: ShortRevision::of(update.retirements_revision),
            zone_drains_revision: ShortRevision::of(0),
            contact_age_ms: update.contact_age_ms,
        }
    }
}

impl From<StoreUpdate> for StoreUpdate7 {
    /// The result contains only the low 32 bits of the retirements' revision. If the revision has more bits, a receiver
    /// of version 7 considers the sender's list outdated. The receiver gets the list with the next pull that it makes
    /// for another reason.
    fn from(update: StoreUpdate) -> Self {
        Self {
            configuration_revision: update.configuration_revision,
            engines_revision: update.engines_revision,
            retirements_revision: update.retirements_revision.low_32_bits(),
            contact_age_ms: update.contact_age_ms,
        }
    }
}

impl From<Message7> for Message {
    fn from(message: Message7) -> Self {
        match message {
            Message7::Ping(ping) => Self::Ping(ping),
            Message7::PingRequest(request) => Self::PingRequest(request),
            Message7::Ack(ack) => Self::Ack(ack),
            Message7::Prepare(prepare) => Self::Prepare(prepare),
            Message7::Promise(promise) => Self::Promise(promise),
            Message7::Accept(accept) => Self::Accept(accept),
            Message7::AcceptReply(reply) => Self::AcceptReply(reply),
            Message7::ConfigPull(pull) => Self::ConfigPull(pull),
            Message7::ConfigDelta(delta) => Self::ConfigDelta(delta),
            Message7::RefillRequest(request) => Self::RefillRequest(request),
            Message7::RefillPage(page) => Self::RefillPage(page),
            Message7::MemberPull(pull) => Self::MemberPull(pull),
            Message7::MemberList(list) => Self::MemberList(list),
            Message7::LoadReport(report) => {
                Self::LoadReport(LoadReport { loads: report.loads, unreachable: Vec::new() })
            }
            Message7::StoreUpdate(update) => Self::StoreUpdate(update.into()),
        }
    }
}

impl From<Message> for Message7 {
    fn from(message: Message) -> Self {
        match message {
            Message::Ping(ping) => Self::Ping(ping),
            Message::PingRequest(request) => Self::PingRequest(request),
            Message::Ack(ack) => Self::Ack(ack),
            Message::Prepare(prepare) => Self::Prepare(prepare),
            Message::Promise(promise) => Self::Promise(promise),
            Message::Accept(accept) => Self::Accept(accept),
            Message::AcceptReply(reply) => Self::AcceptReply(reply),
            Message::ConfigPull(pull) => Self::ConfigPull(pull),
            Message::ConfigDelta(delta) => Self::ConfigDelta(delta),
            Message::RefillRequest(request) => Self::RefillRequest(request),
            Message::RefillPage(page) => Self::RefillPage(page),
            Message::MemberPull(pull) => Self::MemberPull(pull),
            Message::MemberList(list) => Self::MemberList(list),
            // Each gateway of version 7 detects unreachable engines itself.
            Message::LoadReport(report) => Self::LoadReport(LoadReport7 { loads: report.loads }),
            Message::StoreUpdate(update) => Self::StoreUpdate(update.into()),
        }
    }
}
