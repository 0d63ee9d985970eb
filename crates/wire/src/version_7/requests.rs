//! Requests and answers in version 7, and conversions from and to the current ones.

use crate::content::Content;
use crate::length::Length;
use crate::protocol_version::ProtocolVersion;
use crate::replica_set::{ReplicaReport, ReplicaStanding};
use crate::rpc::{decode_rpc, encode_rpc_in_version, RelayRequest, RpcBody, RpcMessage};
use crate::turn_entry::{RunLocation, TurnCharge, TurnId};
use crate::turn_exchange::MAX_TURNS;
use crate::version_7::turns::{TurnEntry7, TurnRecord7};
use crate::version_7::view::{ReadStoredView7, StoredViewHeld7, ViewUpdate7};
use crate::version_7::NotInVersion7;
use crate::{
    Chain, ChainLink, Entries, FetchEntries, ListMarks, Marks, MemberList, MemberUpdate, NodeId, QuotaGiven, ReadChain,
    ReadProgram, ReplicaSetUpdate, StoreEntry, Stored, TakeQuota, TurnEntry, TurnMark, TurnRecord, RECORD_ELSEWHERE,
    RECORD_UNKNOWN,
};
use deku::prelude::*;

/// [`StoreEntry`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct StoreEntry7 {
    set_version: u64,
    entry: TurnEntry7,
}

/// [`FetchEntries`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct FetchEntries7 {
    #[deku(temp, temp_value = "Length::of(&turns)")]
    length: Length<MAX_TURNS>,
    #[deku(count = "length.get()")]
    turns: Vec<TurnId>,
}

/// [`TurnCharge`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct TurnCharge7 {
    turn: TurnId,
    tokens: u32,
}

/// [`Stored`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct Stored7 {
    report: ReplicaReport,
    #[deku(temp, temp_value = "Length::of(&charges)")]
    length: Length<MAX_TURNS>,
    #[deku(count = "length.get()")]
    charges: Vec<TurnCharge7>,
    #[deku(temp, temp_value = "Length::of(&run_locations)")]
    run_locations_length: Length<MAX_TURNS>,
    #[deku(count = "run_locations_length.get()")]
    run_locations: Vec<RunLocation>,
}

/// [`ChainLink`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct ChainLink7 {
    turn: TurnId,
    record: TurnRecord7,
}

/// [`Chain`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct Chain7 {
    report: ReplicaReport,
    #[deku(temp, temp_value = "Length::of(&links)")]
    length: Length<MAX_TURNS>,
    #[deku(count = "length.get()")]
    links: Vec<ChainLink7>,
}

/// [`Entries`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
struct Entries7 {
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_TURNS>,
    #[deku(count = "length.get()")]
    entries: Vec<TurnEntry7>,
}

/// [`RpcBody`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
enum RpcBody7 {
    #[deku(id = "0")]
    StoreEntry(StoreEntry7),
    #[deku(id = "1")]
    ReadProgram(ReadProgram),
    #[deku(id = "2")]
    ReadChain(ReadChain),
    #[deku(id = "3")]
    ListMarks(ListMarks),
    #[deku(id = "4")]
    FetchEntries(FetchEntries7),
    #[deku(id = "5")]
    AdoptSet(ReplicaSetUpdate),
    #[deku(id = "6")]
    PullMembers(MemberUpdate),
    #[deku(id = "7")]
    PullView(ViewUpdate7),
    #[deku(id = "8")]
    ShowMembers,
    #[deku(id = "9")]
    ShowSet,
    #[deku(id = "10")]
    Relay(RelayRequest),
    #[deku(id = "11")]
    TakeQuota(TakeQuota),
    #[deku(id = "12")]
    ReadStoredView(ReadStoredView7),
    #[deku(id = "13")]
    ShowView,
    #[deku(id = "64")]
    Stored(Stored7),
    #[deku(id = "65")]
    Chain(Chain7),
    #[deku(id = "66")]
    Marks(Marks),
    #[deku(id = "67")]
    Entries(Entries7),
    #[deku(id = "68")]
    SetKnown(ReplicaSetUpdate),
    #[deku(id = "69")]
    OtherSet(ReplicaSetUpdate),
    #[deku(id = "70")]
    Members(MemberList),
    #[deku(id = "71")]
    View(ViewUpdate7),
    #[deku(id = "72")]
    NotServed,
    #[deku(id = "73")]
    Relayed(Content),
    #[deku(id = "74")]
    Unreached,
    #[deku(id = "75")]
    QuotaGiven(QuotaGiven),
    #[deku(id = "76")]
    StoredViewHeld(StoredViewHeld7),
}

/// [`RpcMessage`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq)]
#[deku(endian = "little")]
pub(crate) struct RpcMessage7 {
    version: u8,
    from: NodeId,
    exchange: u64,
    body: RpcBody7,
}

impl RpcMessage7 {
    /// Converts a request or an answer for a receiver of version 7.
    ///
    /// # Errors
    /// [`NotInVersion7`] when version 7 has no encoding for `body`.
    pub(crate) fn new(from: NodeId, exchange: u64, body: RpcBody) -> Result<Self, NotInVersion7> {
        Ok(Self { version: ProtocolVersion::Seven.number(), from, exchange, body: body.try_into()? })
    }
}

impl From<RpcMessage7> for RpcMessage {
    fn from(message: RpcMessage7) -> Self {
        let RpcMessage7 { version, from, exchange, body } = message;
        Self { version, from, exchange, body: body.into() }
    }
}

/// The zone hash that is assumed for a caller of version 7, which does not send its zone. The probability that a zone's
/// name has this hash is negligible, so no texts that are restricted to regions are sent to the caller.
const UNKNOWN_ZONE: u32 = 0;

impl From<Stored7> for Stored {
    /// An answer in version 7 does not say whether a turn is settled, so every turn is considered unsettled.
    fn from(stored: Stored7) -> Self {
        let charge = |charge: TurnCharge7| TurnCharge { turn: charge.turn, tokens: charge.tokens, settled: 0 };
        let charges = stored.charges.into_iter().map(charge).collect();
        Self { report: stored.report, charges, run_locations: stored.run_locations }
    }
}

impl From<Stored> for Stored7 {
    fn from(stored: Stored) -> Self {
        let charge = |charge: TurnCharge| TurnCharge7 { turn: charge.turn, tokens: charge.tokens };
        let charges = stored.charges.into_iter().map(charge).collect();
        Self { report: stored.report, charges, run_locations: stored.run_locations }
    }
}

impl From<Chain7> for Chain {
    fn from(chain: Chain7) -> Self {
        let link = |link: ChainLink7| ChainLink { turn: link.turn, record: TurnRecord::from(link.record) };
        Self { report: chain.report, links: chain.links.into_iter().map(link).collect(), elsewhere: 0 }
    }
}

impl From<Chain> for Chain7 {
    /// Omits the first link whose text is restricted to regions, and all links after it. A gateway of version 7 would
    /// conclude that an omitted turn does not exist, so an answer with an incomplete chain is marked as one that does
    /// not count.
    fn from(chain: Chain) -> Self {
        let Chain { mut report, links, elsewhere } = chain;
        let count = links.len();
        let link = |link: ChainLink| {
            Some(ChainLink7 { turn: link.turn, record: TurnRecord7::from_unrestricted(link.record)? })
        };
        let links: Vec<ChainLink7> = links.into_iter().map_while(link).collect();
        if elsewhere == 1 || links.len() < count {
            report.standing = ReplicaStanding::Refilling;
        }
        Self { report, links }
    }
}

impl From<Entries7> for Entries {
    fn from(entries: Entries7) -> Self {
        Self { entries: entries.entries.into_iter().map(TurnEntry::from).collect() }
    }
}

impl From<Entries> for Entries7 {
    fn from(entries: Entries) -> Self {
        Self { entries: entries.entries.into_iter().map(TurnEntry7::without_restricted_text).collect() }
    }
}

/// Replaces [`RECORD_ELSEWHERE`], which version 7 does not know, by [`RECORD_UNKNOWN`]. Otherwise a replica of version
/// 7 would request the record from this replica, which does not store it.
fn replace_record_elsewhere_by_unknown(marks: Marks) -> Marks {
    let without_elsewhere = |mark: TurnMark| {
        let recorded = if mark.recorded == RECORD_ELSEWHERE { RECORD_UNKNOWN } else { mark.recorded };
        TurnMark { recorded, ..mark }
    };
    Marks { marks: marks.marks.into_iter().map(without_elsewhere).collect(), ..marks }
}

/// Encodes in version 7 a message that a node of version 7 will decode and forward.
fn reencode_for_version_7(content: &Content) -> Result<Content, NotInVersion7> {
    let RpcMessage { from, exchange, body, .. } = decode_rpc(&content.bytes).map_err(|_| NotInVersion7::Unreadable)?;
    let bytes = encode_rpc_in_version(ProtocolVersion::Seven, from, exchange, body);
    bytes.map(Content::from).map_err(|_| NotInVersion7::UnknownKind)
}

impl From<RpcBody7> for RpcBody {
    fn from(body: RpcBody7) -> Self {
        match body {
            RpcBody7::StoreEntry(StoreEntry7 { set_version, entry }) => {
                Self::StoreEntry(StoreEntry { set_version, entry: entry.into() })
            }
            RpcBody7::ReadProgram(request) => Self::ReadProgram(request),
            RpcBody7::ReadChain(request) => Self::ReadChain(request),
            RpcBody7::ListMarks(request) => Self::ListMarks(request),
            RpcBody7::FetchEntries(FetchEntries7 { turns }) => {
                Self::FetchEntries(FetchEntries { zone: UNKNOWN_ZONE, turns })
            }
            RpcBody7::AdoptSet(update) => Self::AdoptSet(update),
            RpcBody7::PullMembers(asker) => Self::PullMembers(asker),
            RpcBody7::PullView(known) => Self::PullView(known.into()),
            RpcBody7::ShowMembers => Self::ShowMembers,
            RpcBody7::ShowSet => Self::ShowSet,
            RpcBody7::Relay(request) => Self::Relay(request),
            RpcBody7::TakeQuota(request) => Self::TakeQuota(request),
            RpcBody7::ReadStoredView(request) => Self::ReadStoredView(request.into()),
            RpcBody7::ShowView => Self::ShowView,
            RpcBody7::Stored(stored) => Self::Stored(stored.into()),
            RpcBody7::Chain(chain) => Self::Chain(chain.into()),
            RpcBody7::Marks(marks) => Self::Marks(marks),
            RpcBody7::Entries(entries) => Self::Entries(entries.into()),
            RpcBody7::SetKnown(update) => Self::SetKnown(update),
            RpcBody7::OtherSet(update) => Self::OtherSet(update),
            RpcBody7::Members(list) => Self::Members(list),
            RpcBody7::View(update) => Self::View(update.into()),
            RpcBody7::NotServed => Self::NotServed,
            RpcBody7::Relayed(answer) => Self::Relayed(answer),
            RpcBody7::Unreached => Self::Unreached,
            RpcBody7::QuotaGiven(given) => Self::QuotaGiven(given),
            RpcBody7::StoredViewHeld(held) => Self::StoredViewHeld(held.into()),
        }
    }
}

impl TryFrom<RpcBody> for RpcBody7 {
    type Error = NotInVersion7;

    fn try_from(body: RpcBody) -> Result<Self, NotInVersion7> {
        Ok(match body {
            RpcBody::StoreEntry(StoreEntry { set_version, entry }) => {
                let entry = TurnEntry7::from_unrestricted(entry).map_err(|_| NotInVersion7::RestrictedToRegions)?;
                Self::StoreEntry(StoreEntry7 { set_version, entry })
            }
            RpcBody::ReadProgram(request) => Self::ReadProgram(request),
            RpcBody::ReadChain(request) => Self::ReadChain(request),
            RpcBody::ListMarks(request) => Self::ListMarks(request),
            RpcBody::FetchEntries(FetchEntries { turns, .. }) => Self::FetchEntries(FetchEntries7 { turns }),
            RpcBody::AdoptSet(update) => Self::AdoptSet(update),
            RpcBody::PullMembers(asker) => Self::PullMembers(asker),
            RpcBody::PullView(known) => Self::PullView(known.into()),
            RpcBody::ShowMembers => Self::ShowMembers,
            RpcBody::ShowSet => Self::ShowSet,
            RpcBody::Relay(request) => {
                let inner = reencode_for_version_7(&request.request)?;
                Self::Relay(RelayRequest { request: inner, ..request })
            }
            RpcBody::TakeQuota(request) => Self::TakeQuota(request),
            RpcBody::ReadStoredView(request) => Self::ReadStoredView(request.into()),
            RpcBody::ShowView => Self::ShowView,
            RpcBody::Stored(stored) => Self::Stored(stored.into()),
            RpcBody::Chain(chain) => Self::Chain(chain.into()),
            RpcBody::Marks(marks) => Self::Marks(replace_record_elsewhere_by_unknown(marks)),
            RpcBody::Entries(entries) => Self::Entries(entries.into()),
            RpcBody::SetKnown(update) => Self::SetKnown(update),
            RpcBody::OtherSet(update) => Self::OtherSet(update),
            RpcBody::Members(list) => Self::Members(list),
            RpcBody::View(update) => Self::View(update.into()),
            RpcBody::NotServed => Self::NotServed,
            RpcBody::Relayed(answer) => Self::Relayed(reencode_for_version_7(&answer)?),
            RpcBody::Unreached => Self::Unreached,
            RpcBody::QuotaGiven(given) => Self::QuotaGiven(given),
            RpcBody::StoredViewHeld(held) => Self::StoredViewHeld(held.into()),
            RpcBody::TakeColdPermit(_)
            | RpcBody::StoreEntries(_)
            | RpcBody::Ticket(_)
            | RpcBody::ColdPermit(_)
            | RpcBody::TicketAnswer(_) => return Err(NotInVersion7::UnknownKind),
        })
    }
}
