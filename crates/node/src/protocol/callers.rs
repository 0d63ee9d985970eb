//! JSON messages and headers of the HTTP interface for callers. Nodes use the same messages when they forward requests.

use foxnotch_core::request::{Refusal, RefusalKind, Reply, RunState};
use foxnotch_wire::{BranchId, NodeId, Outcome, ProgramId};
use serde::{Deserialize, Serialize};

/// Header with the tenant of a request.
pub const TENANT_HEADER: &str = "x-foxnotch-tenant";
/// Header that says how a request came to a node. It is absent on callers' requests. A node that forwards a request
/// sends `forwarded` if it considers the receiver the program's owner, and `final` if the receiver must serve the
/// request itself.
pub const HOP_HEADER: &str = "x-foxnotch-hop";
/// Header with the value `true` on a plain request that may run more than once.
pub const REPEATABLE_HEADER: &str = "x-foxnotch-repeatable";

/// Body of a request that opens a program. Repeating the request with the same key opens no second program.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenProgram {
    /// Name of the instance to run.
    pub instance: String,
    /// Key chosen by the caller that identifies the program in repeated requests.
    pub key: String,
}

/// Body of a request that opens a branch for a sub-agent. Repeating the request with the same key opens no second
/// branch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenBranch {
    /// The parent branch; 0 is the program itself.
    #[serde(default)]
    pub parent: u32,
    /// Key chosen by the caller that identifies the branch in repeated requests.
    pub key: String,
    /// Token budget of the branch, within its parent's budget.
    pub budget_tokens: u64,
}

/// Body of a request that issues a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IssueCall {
    /// The branch of the call; 0 is the program itself.
    #[serde(default)]
    pub branch: u32,
    /// Position of the call in its branch, counted from 0.
    pub sequence: u32,
    /// Text that the call appends to the history.
    pub input: String,
    /// Maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// Whether the call may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the caller has sent this call before and got no answer. A node may then have started the call already.
    #[serde(default)]
    pub resend: bool,
    /// Time for which the caller waits for the answer, in milliseconds. It determines the call's deadline.
    pub timeout_ms: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeName {
    /// The call was answered in full.
    Done,
    /// No engine started the call.
    NotRun,
    /// An engine may have started the call.
    MayHaveRun,
    /// The caller cancelled the call.
    Cancelled,
}

/// Whether refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunName {
    /// The work never ran.
    NotRun,
    /// The work may have run.
    MayHaveRun,
}

/// A reply to a caller: a JSON body, or the data of a server-sent event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ReplyBody {
    /// The program is open.
    Opened {
        /// Identifier of the program.
        program: String,
    },
    /// The branch for a sub-agent is open.
    BranchOpened {
        /// Number of the branch in its program.
        branch: u32,
    },
    /// The program or branch was closed.
    Closed,
    /// A part of the answer.
    Tokens {
        /// Number of bytes of the answer before this part.
        offset: usize,
        /// Text of the part.
        text: String,
    },
    /// The call has ended.
    Finished {
        /// How the call ended.
        outcome: OutcomeName,
        /// Text of the whole answer.
        text: String,
        /// Number of tokens that the call has charged to its budget.
        charged_tokens: u64,
    },
    /// The request was refused.
    Refused {
        /// Reason in `snake_case`, as `RefusalKind` is serialized.
        kind: String,
        /// Whether the work may have run.
        run: RunName,
        /// Time after which to retry, in milliseconds; none when a retry does not help.
        retry_after_ms: Option<u64>,
        /// What the caller can do about the refusal.
        remedy: String,
    },
    /// Another node owns the program. This reply is sent only to other nodes.
    Forward {
        /// Identifier of the owner.
        node: u32,
    },
}

impl From<Outcome> for OutcomeName {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => Self::Done,
            Outcome::NotRun => Self::NotRun,
            Outcome::MayHaveRun => Self::MayHaveRun,
            Outcome::Cancelled => Self::Cancelled,
        }
    }
}

impl From<OutcomeName> for Outcome {
    fn from(outcome: OutcomeName) -> Self {
        match outcome {
            OutcomeName::Done => Self::Done,
            OutcomeName::NotRun => Self::NotRun,
            OutcomeName::MayHaveRun => Self::MayHaveRun,
            OutcomeName::Cancelled => Self::Cancelled,
        }
    }
}

impl From<RunState> for RunName {
    fn from(run: RunState) -> Self {
        match run {
            RunState::NotRun => Self::NotRun,
            RunState::MayHaveRun => Self::MayHaveRun,
        }
    }
}

impl From<&Refusal> for ReplyBody {
    fn from(refusal: &Refusal) -> Self {
        let kind = serde_json::to_value(refusal.kind).unwrap_or_default();
        Self::Refused {
            kind: kind.as_str().unwrap_or("unknown").to_owned(),
            run: refusal.run.into(),
            retry_after_ms: refusal.retry_after,
            remedy: refusal.kind.to_string(),
        }
    }
}

impl From<&Reply> for ReplyBody {
    fn from(reply: &Reply) -> Self {
        let text_of = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        match reply {
            Reply::Forward(node) => Self::Forward { node: node.0 },
            Reply::Opened(program) => Self::Opened { program: program.to_string() },
            Reply::BranchOpened(branch) => Self::BranchOpened { branch: branch.0 },
            Reply::Closed => Self::Closed,
            Reply::Tokens { offset, text } => Self::Tokens { offset: *offset, text: text_of(text) },
            Reply::Finished { outcome, text, charged_tokens } => {
                Self::Finished { outcome: (*outcome).into(), text: text_of(text), charged_tokens: *charged_tokens }
            }
            Reply::Refused(refusal) => refusal.into(),
        }
    }
}

impl ReplyBody {
    /// Whether no further reply to the request follows.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Tokens { .. })
    }

    /// Converts another node's reply to the type that this node's state machine uses. None when a field is invalid.
    pub fn to_reply(&self) -> Option<Reply> {
        let reply = match self {
            Self::Forward { node } => Reply::Forward(NodeId(*node)),
            Self::Opened { program } => Reply::Opened(program.parse::<ProgramId>().ok()?),
            Self::BranchOpened { branch } => Reply::BranchOpened(BranchId(*branch)),
            Self::Closed => Reply::Closed,
            Self::Tokens { offset, text } => Reply::Tokens { offset: *offset, text: text.clone().into_bytes() },
            Self::Finished { outcome, text, charged_tokens } => Reply::Finished {
                outcome: (*outcome).into(),
                text: text.clone().into_bytes(),
                charged_tokens: *charged_tokens,
            },
            Self::Refused { kind, run, retry_after_ms, .. } => {
                let kind: RefusalKind = serde_json::from_value(serde_json::Value::String(kind.clone())).ok()?;
                let run = match run {
                    RunName::NotRun => RunState::NotRun,
                    RunName::MayHaveRun => RunState::MayHaveRun,
                };
                Reply::Refused(Refusal { kind, run, retry_after: *retry_after_ms })
            }
        };
        Some(reply)
    }
}
