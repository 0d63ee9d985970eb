//! The input events and output effects of the node's state machine.

use crate::replica::Record;
use crate::request::{Reply, Request, RequestId};
use crate::router::{EngineReport, Machine};
use foxnotch_membership::Millis;
use foxnotch_wire::{BranchId, CallKey, ConfigDelta, EngineId, Epoch, MemberAddress, Message, NodeId, ProgramId};

/// The command to run a call, as it is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The call to run.
    pub key: CallKey,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The epoch in which the sending node owns the program.
    pub epoch: Epoch,
    /// The name of the model that runs the call.
    pub model: String,
    /// The model's adapter; empty for none.
    pub adapter: String,
    /// The complete prompt: the branch's history, then the call's input.
    pub prompt: Vec<u8>,
    /// The maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// The priority; lower values run first.
    pub priority: u32,
    /// Milliseconds for which the engine holds the call's memory after the answer.
    pub hold_ms: u64,
    /// The engine refuses the call if it cannot start it by this time.
    pub start_by: Millis,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCommand {
    /// Runs a call and streams its answer.
    Start(StartCall),
    /// Streams the answer of a call that the engine has already received, from the beginning of the answer.
    Resume {
        /// The call whose answer is streamed.
        key: CallKey,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Stops a call.
    Cancel {
        /// The call to stop.
        key: CallKey,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Releases the memory held for a branch, or with branch 0 for the whole program.
    Release {
        /// The program for which the engine holds memory.
        program: ProgramId,
        /// The branch whose memory is released; 0 for all branches.
        branch: BranchId,
    },
}

/// An engine's update about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineUpdate {
    /// The engine did not start the call and will not start it.
    Refused,
    /// A piece of the answer.
    Tokens {
        /// Number of bytes of the answer before this piece.
        offset: usize,
        /// The text of this piece.
        text: Vec<u8>,
    },
    /// The answer is complete.
    Finished {
        /// The answer from its first to its last byte.
        text: Vec<u8>,
    },
    /// The connection to the engine failed; the call may be running.
    Lost,
    /// The engine does not know the call, or its process is gone. The call will not run unless the command to start it
    /// is still in transit.
    Unknown,
    /// The call was stopped by a cancel command.
    Stopped,
}

/// An input of the node's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request.
    Request {
        /// Identifies the request in replies.
        id: RequestId,
        /// The request, with the hop by which it reached this node.
        request: Request,
    },
    /// The connection of this request's caller was closed.
    CallerGone(RequestId),
    /// A message from another node.
    Message {
        /// The node that sent the message.
        from: NodeId,
        /// The message as received.
        message: Message,
    },
    /// The driver could not connect to the node with this id.
    Unreachable(NodeId),
    /// The records of [`Effect::Persist`] with this ticket are on disk.
    Persisted(u64),
    /// The disk became full (true) or accepts writes again (false).
    DiskFull(bool),
    /// An engine sent an update about a call.
    Engine {
        /// The engine that sent the update.
        engine: EngineId,
        /// The call that the update is about.
        key: CallKey,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The progress or the end of the attempt.
        update: EngineUpdate,
    },
    /// An engine sent a load report.
    Report {
        /// The engine that sent the report.
        engine: EngineId,
        /// The engine's load and the changes of its cache.
        report: EngineReport,
    },
    /// The machine list was read.
    Machines(Vec<Machine>),
    /// The configuration store answered a poll with these changes.
    StoreObjects(ConfigDelta),
    /// A poll of the configuration store failed.
    StoreFailed,
    /// A caller sent a plain request, which needs a back end.
    Plain {
        /// Identifies the request in [`Effect::Plain`].
        id: RequestId,
        /// The tenant that sent the request.
        tenant: String,
        /// The name of the instance that the request is for.
        instance: String,
        /// A back end at which the request has just failed.
        avoid: Option<EngineId>,
    },
    /// A plain request ended.
    PlainEnded {
        /// Identifies the request, as in [`Event::Plain`].
        id: RequestId,
        /// Whether the back end answered.
        answered: bool,
    },
    /// A periodic timer fired.
    Tick,
    /// The node has to stop once its work in flight is done.
    Drain,
}

/// An output of the state machine: an action that the driver carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends a message to another node.
    Send {
        /// The node to which the message is sent.
        to: NodeId,
        /// The address at which the receiver listens.
        address: MemberAddress,
        /// The message to send.
        message: Message,
        /// Whether the message is sent as a datagram.
        datagram: bool,
    },
    /// Writes records to disk, then reports [`Event::Persisted`].
    Persist {
        /// Identifies this write in [`Event::Persisted`].
        ticket: u64,
        /// The records, in the order in which they are written.
        records: Vec<Record>,
    },
    /// Sends a reply to a caller.
    Reply {
        /// Identifies the request that is answered.
        id: RequestId,
        /// A part of the answer, or the reply that ends the request.
        reply: Reply,
    },
    /// Sends a command to an engine.
    Engine {
        /// The engine that receives the command.
        engine: EngineId,
        /// Starts, resumes or cancels a call, or releases held memory.
        command: EngineCommand,
    },
    /// Requests a load report from an engine.
    PollEngine {
        /// The engine whose report is requested.
        engine: EngineId,
        /// The number of the last cache event received from the engine.
        after_event: u64,
    },
    /// Requests the changes after a revision from the configuration store.
    PollStore {
        /// The revision that this node has applied.
        after: u64,
    },
    /// Sends a plain request to a back end, or refuses it if no back end can accept it.
    Plain {
        /// Identifies the request, as in [`Event::Plain`].
        id: RequestId,
        /// The chosen back end; none if the request has to be refused.
        backend: Option<EngineId>,
    },
}
