//! The requests of callers and the replies to them.

use foxnotch_membership::Millis;
use foxnotch_wire::{BranchId, CallKey, NodeId, Outcome, ProgramId};
use serde::{Deserialize, Serialize};

/// Identifies one connection's request at the node that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A call as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The program, branch and sequence number of the call.
    pub key: CallKey,
    /// Whether the call was sent before and not answered, so that another node may have accepted it.
    pub resend: bool,
    /// The text that the call adds to the prompt.
    pub input: Vec<u8>,
    /// The maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// Opens a program; may be repeated with the same key.
    Open {
        /// The name of the instance.
        instance: String,
        /// The caller's key. Tenant, instance and key together identify the program.
        key: String,
    },
    /// Runs the next call of a branch. A repeated call streams the answer if it is in flight, or returns it if it has
    /// ended.
    Call(CallRequest),
    /// Streams or returns the answer of a call that the caller has sent before.
    Read(CallKey),
    /// Opens a branch for a sub-agent; may be repeated with the same key.
    OpenBranch {
        /// The program in which the branch is opened.
        program: ProgramId,
        /// The branch that opens the new branch.
        parent: BranchId,
        /// The caller's key. Program, parent and key together identify the new branch.
        key: String,
        /// Tokens that the new branch and its sub-agents may use.
        budget_tokens: u64,
    },
    /// Ends a branch, or with branch 0 the program.
    Close {
        /// The program to end, or that contains the branch.
        program: ProgramId,
        /// The branch to end; 0 ends the program.
        branch: BranchId,
    },
    /// Stops a call.
    Cancel(CallKey),
}

/// The path by which a request reached a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From the caller; another node may own the program.
    Direct,
    /// Forwarded by a node that considers this node the owner. This node serves the request unless it is leaving.
    Forwarded,
    /// To be served by this node in any case: the owner cannot be reached or has no call of the program in flight.
    Final,
}

/// A request as it reaches a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The tenant that sent the request.
    pub tenant: String,
    /// The path by which the request reached this node.
    pub hop: Hop,
    /// The operation, with its arguments.
    pub body: RequestBody,
}

/// Whether the refused work may have reached an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work never ran and will not run because of this request.
    NotRun,
    /// The work may have run. A request with the same sequence number returns its result.
    MayHaveRun,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The program is unknown.
    #[error("no such program; open it first")]
    UnknownProgram,
    /// The instance is not declared.
    #[error("no such instance for this tenant; apply a declaration for it")]
    UnknownInstance,
    /// The branch is unknown.
    #[error("no such branch; open it first")]
    UnknownBranch,
    /// The program belongs to another tenant.
    #[error("the program belongs to another tenant; use your own program")]
    OtherTenant,
    /// The program or branch has ended.
    #[error("the program has ended; open another")]
    Closed,
    /// The call was never issued.
    #[error("no such call; issue it first")]
    UnknownCall,
    /// A call that an engine might still start, such as one from an earlier owner, has to end first.
    #[error("a call is coming to its end; come back after the time given")]
    Busy,
    /// The sequence number is not the next one.
    #[error("the sequence number is not the next one; wait for the earlier call and use the next number")]
    OutOfOrder,
    /// The call repeats a sequence number with other content.
    #[error("this sequence number was used with another input; use the next number")]
    Conflict,
    /// The reservation does not fit into the budget.
    #[error("the budget does not cover the call; ask for fewer tokens or raise the budget parameter")]
    BudgetExceeded,
    /// The call limit is reached.
    #[error("the program has made all its calls; raise the call limit parameter")]
    CallLimit,
    /// No engine can start the call within the maximum wait.
    #[error("no engine can start the call in time; come back after the time given")]
    Overloaded,
    /// No engine serves the model.
    #[error("no engine serves the model; check the machine list and the template's model")]
    NoEngine,
    /// A majority of the history's replicas cannot be reached.
    #[error("a majority of replicas cannot be reached from here; come back after the time given or use another zone")]
    NoQuorum,
    /// Another node took the program over.
    #[error("the program moved to another node; ask again")]
    Moved,
    /// The deadline has passed.
    #[error("the deadline has passed; ask again to read the answer, or allow more time")]
    DeadlinePassed,
    /// The node is stopping.
    #[error("the node is stopping; ask another node")]
    Leaving,
}

/// A refusal, which ends the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the refusal.
    pub kind: RefusalKind,
    /// Whether the work may have run.
    pub run: RunState,
    /// Milliseconds after which a retry may succeed; none if a retry does not help.
    pub retry_after: Option<u64>,
}

/// A reply to a request. `Tokens` may be sent many times; any other reply ends the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Another node owns the program; the request has to be forwarded to it.
    Forward(NodeId),
    /// The program is open.
    Opened(ProgramId),
    /// The branch is open.
    BranchOpened(BranchId),
    /// The program or branch has ended.
    Closed,
    /// A piece of the answer. A repeated call gets the answer from its beginning again.
    Tokens {
        /// Number of bytes of the answer before this piece.
        offset: usize,
        /// The text of this piece.
        text: Vec<u8>,
    },
    /// The call has ended and its end is on the disks of a majority.
    Finished {
        /// How the call ended.
        outcome: Outcome,
        /// The whole answer, including the pieces sent before in [`Reply::Tokens`].
        text: Vec<u8>,
        /// Tokens charged for the call.
        charged_tokens: u64,
    },
    /// The request is refused.
    Refused(Refusal),
}
