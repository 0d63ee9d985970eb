//! Messages between foxnotch nodes.
//!
//! Every message is a `deku` structure in an [`Envelope`] that carries the protocol version and the
//! sender. All lengths are bounded and checked before anything is allocated, so a truncated or
//! hostile message costs the receiver at most [`MAXIMUM_MESSAGE_BYTES`].

mod codec;
mod configuration;
mod history;
mod identifiers;
mod length;
mod membership;
mod quota;
mod rpc;
mod slow_start;
mod text;
mod tickets;
mod turns;
mod view;

pub use codec::{decode, encode, Envelope, Message, WireError, MAXIMUM_MESSAGE_BYTES, PROTOCOL_VERSION};
pub use configuration::{ConfigDelta, ConfigObject, ConfigPull, ObjectKind};
pub use history::{
    Accept, AcceptReply, AcceptStatus, Answered, BranchOpened, Closed, Dispatched, Entry, KnownStore, Opened, Outcome,
    Prepare, Promise, RefillPage, RefillRequest, ReplicaLog,
};
pub use identifiers::{BranchId, CallKey, EngineId, Epoch, NodeId, NotACall, ProgramId, ROOT_BRANCH};
pub use membership::{
    Ack, EngineLoad, LoadNews, MemberAddress, MemberList, MemberPull, MemberState, MemberUpdate, Ping, PingRequest,
    ShortRevision, StoreNews, MAXIMUM_LOADS, MAXIMUM_UNREACHABLE, MAXIMUM_UPDATES,
};
pub use quota::{ProgramStanding, QuotaGiven, TakeQuota};
pub use rpc::{decode_rpc, encode_rpc, RelayRequest, RpcBody, RpcMessage};
pub use slow_start::{ColdLeave, TakeColdLeave};
pub use text::Text;
pub use tickets::{ReclaimTickets, ReclaimedTickets, StoreEntries, TakeTicket, Ticket, TicketAnswer, TicketRequest};
pub use turns::{
    regions_of, Chain, ChainLink, Content, DiskIdentity, Entries, FetchEntries, ListMarks, Marks, ProgramKey,
    ReadChain, ReadProgram, RecordElsewhere, RegionId, ReplicaMember, ReplicaSet, ReplicaStanding, RunPlace, SetNews,
    StoreEntry, Stored, TurnCharge, TurnEntry, TurnId, TurnMark, TurnRecord, Witness, MAXIMUM_REGIONS, NOT_SETTLED,
    RECORD_ELSEWHERE, RECORD_HERE, RECORD_UNKNOWN,
};
pub use view::{KeptPart, KeptViewHeld, ReadKeptView, ViewNews};
