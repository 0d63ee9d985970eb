//! Messages between foxnotch nodes.
//!
//! `codec` encodes messages that travel as datagrams, and those that `foxnotch node` processes send over streams. `rpc`
//! encodes the requests and answers that gateways and replicas exchange over streams. Each other module defines the
//! messages of one subsystem. `version_7` defines the messages of protocol version 7 that later versions changed, and
//! `protocol_version` negotiates the version between two nodes.
//!
//! Names of variants and fields may change. Their order, widths and numbers must stay: they determine the bytes on the
//! wire, and during an upgrade nodes of the version in production run next to nodes of this version.
//!
//! Every message is a `deku` structure in an [`Envelope`] or an [`RpcMessage`], which carries the protocol version and
//! the sender. All lengths are bounded and checked before memory is allocated, so a truncated or hostile message costs
//! the receiver at most [`MAX_MESSAGE_BYTES`] of memory.

mod codec;
mod configuration;
mod content;
mod history;
mod identifiers;
mod length;
mod membership;
mod protocol_version;
mod quota;
mod replica_pull;
mod replica_set;
mod rpc;
mod slow_start;
mod text;
mod tickets;
mod turn_entry;
mod turn_exchange;
pub mod version_7;
mod view;

pub use codec::{decode, encode, encode_in_version, Envelope, Message, WireError, MAX_MESSAGE_BYTES};
pub use configuration::{ConfigDelta, ConfigObject, ConfigPull, ObjectKind};
pub use content::Content;
pub use history::{
    Accept, AcceptReply, AcceptStatus, Answered, BranchOpened, Closed, Dispatched, Entry, KnownStore, Opened, Outcome,
    Prepare, Promise, RefillPage, RefillRequest, ReplicaLog,
};
pub use identifiers::{BranchId, CallKey, EngineId, Epoch, InvalidCallKey, NodeId, ProgramId, ROOT_BRANCH};
pub use membership::{
    Ack, EngineLoad, LoadReport, MemberAddress, MemberList, MemberPull, MemberState, MemberUpdate, Ping, PingRequest,
    ShortRevision, StoreUpdate, MAX_LOADS, MAX_UNREACHABLE, MAX_UPDATES,
};
pub use protocol_version::{
    exchange_has_version_offer, exchange_with_version_offer, sequence_has_version_offer, sequence_with_version_offer,
    sequence_without_version_offer, ProtocolVersion, MAX_SEQUENCE, PROTOCOL_VERSION,
};
pub use quota::{ProgramStageTag, QuotaGiven, TakeQuota};
pub use replica_pull::{
    Entries, FetchEntries, ListMarks, Marks, TurnMark, RECORD_ELSEWHERE, RECORD_HERE, RECORD_UNKNOWN,
};
pub use replica_set::{DiskIdentity, ReplicaMember, ReplicaReport, ReplicaSet, ReplicaSetUpdate, ReplicaStanding};
pub use rpc::{decode_rpc, encode_rpc, encode_rpc_in_version, RelayRequest, RpcBody, RpcMessage};
pub use slow_start::{ColdPermit, TakeColdPermit};
pub use text::Text;
pub use tickets::{ReclaimTickets, ReclaimedTickets, StoreEntries, TakeTicket, Ticket, TicketAnswer, TicketRequest};
pub use turn_entry::{
    text_regions, ProgramKey, RecordElsewhere, RegionId, RunLocation, TurnCharge, TurnEntry, TurnId, TurnRecord,
    MAX_REGIONS, NOT_SETTLED,
};
pub use turn_exchange::{Chain, ChainLink, ReadChain, ReadProgram, StoreEntry, Stored};
pub use view::{ReadStoredView, StoredPart, StoredViewHeld, ViewUpdate};
