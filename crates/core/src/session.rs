//! One caller's request at the node that received it. The node serves the request or forwards it to the owner, and
//! serves it again when the program moves.
//!
//! Invariant: once another node may have accepted a request, it is sent again only with the resend mark, so that no
//! node reports it as not run without having read the history.

use crate::request::{Hop, Refusal, RefusalKind, Reply, Request, RequestBody, RunState};
use foxnotch_membership::Millis;
use foxnotch_wire::NodeId;

/// Maximum number of times that a request is served again after its program has moved or an exchange with another node
/// has failed.
const MAX_REDIRECTS: u32 = 8;
/// Milliseconds after which a request is served again.
const REDIRECT_DELAY_MS: u64 = 50;
/// Milliseconds after which a caller should retry a request that has failed here.
const RETRY_AFTER_MS: u64 = 1000;

/// The next action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Passes the request to this node's state machine after a delay.
    ServeHere {
        /// The request to pass on, with its hop.
        request: Request,
        /// The delay, in milliseconds.
        delay_ms: u64,
    },
    /// Forwards the request to another node.
    ForwardTo {
        /// The node that receives the request.
        node: NodeId,
        /// The request to forward, with the hop for that node.
        request: Request,
    },
    /// Sends a part of the answer to the caller; more replies follow.
    SendPart(Reply),
    /// Sends the final reply to the caller.
    SendFinal(Reply),
    /// Does nothing: the caller already has this part of the answer.
    Ignore,
}

/// The result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// A reply from this node or from the one to which the request was forwarded.
    Reply(Reply),
    /// The other node could not be reached, so it has not received the request.
    Undelivered,
    /// The exchange with the other node failed; that node may have accepted the request.
    Failed,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Session {
    request: Request,
    received_hop: Hop,
    /// The hop of the request when it was last forwarded; none if it has not been forwarded since it was last served
    /// again.
    forwarded_hop: Option<Hop>,
    redirects: u32,
    /// Number of bytes of the answer that have been sent to the caller.
    sent_bytes: usize,
}

impl Session {
    /// The session of a request that has just arrived.
    pub fn new(request: Request) -> Self {
        Self { received_hop: request.hop, request, forwarded_hop: None, redirects: 0, sent_bytes: 0 }
    }

    /// Returns the first action: to serve the request on this node without delay.
    pub fn start(&self) -> SessionAction {
        SessionAction::ServeHere { request: self.request.clone(), delay_ms: 0 }
    }

    /// Returns the next action after `input`.
    pub fn next_action(&mut self, input: SessionInput) -> SessionAction {
        match input {
            SessionInput::Reply(Reply::Forward(node)) => self.forward(node),
            SessionInput::Reply(Reply::Refused(refusal)) if refusal.kind == RefusalKind::Moved => {
                self.mark_as_resend();
                self.serve_again(Hop::Direct)
            }
            SessionInput::Reply(reply) => self.send_reply(reply),
            SessionInput::Undelivered => self.serve_again(Hop::Final),
            SessionInput::Failed => {
                self.mark_as_resend();
                self.serve_again(Hop::Final)
            }
        }
    }

    fn forward(&mut self, node: NodeId) -> SessionAction {
        if self.received_hop != Hop::Direct {
            return SessionAction::SendFinal(Reply::Forward(node));
        }
        let hop = if self.forwarded_hop.is_some() { Hop::Final } else { Hop::Forwarded };
        if self.forwarded_hop.is_some() {
            // The other node may have accepted the request before it ceased to be the owner.
            self.mark_as_resend();
        }
        self.forwarded_hop = Some(hop);
        let request = Request { hop, ..self.request.clone() };
        SessionAction::ForwardTo { node, request }
    }

    fn serve_again(&mut self, hop: Hop) -> SessionAction {
        self.redirects += 1;
        self.forwarded_hop = None;
        if self.redirects > MAX_REDIRECTS {
            let run = if self.may_be_held_elsewhere() { RunState::MayHaveRun } else { RunState::NotRun };
            let refusal = Refusal { kind: RefusalKind::Moved, run, retry_after: Some(RETRY_AFTER_MS) };
            return SessionAction::SendFinal(Reply::Refused(refusal));
        }
        let hop = if self.received_hop == Hop::Direct { hop } else { self.received_hop };
        self.request.hop = hop;
        SessionAction::ServeHere { request: self.request.clone(), delay_ms: REDIRECT_DELAY_MS }
    }

    /// The time at which the caller gets a final reply in any case; none if the request is not a call.
    pub fn deadline(&self) -> Option<Millis> {
        match &self.request.body {
            RequestBody::Call(call) => Some(call.deadline),
            _ => None,
        }
    }

    /// Returns the final reply to a caller whose deadline has passed.
    pub fn deadline_passed_reply(&self) -> Reply {
        Reply::Refused(Refusal {
            kind: RefusalKind::DeadlinePassed,
            run: RunState::MayHaveRun,
            retry_after: Some(RETRY_AFTER_MS),
        })
    }

    /// Whether another node may have accepted the request, or the earlier call to which it refers.
    pub fn may_be_held_elsewhere(&self) -> bool {
        match &self.request.body {
            RequestBody::Call(call) => call.resend,
            RequestBody::Read(_) | RequestBody::Cancel(_) => true,
            RequestBody::Open { .. } | RequestBody::OpenBranch { .. } | RequestBody::Close { .. } => false,
        }
    }

    fn mark_as_resend(&mut self) {
        if let RequestBody::Call(call) = &mut self.request.body {
            call.resend = true;
        }
    }

    /// Returns the action that sends a reply to the caller. After the program has moved, an answer is streamed from its
    /// beginning again; pieces that the caller already has completely are skipped.
    fn send_reply(&mut self, reply: Reply) -> SessionAction {
        let Reply::Tokens { offset, text } = &reply else { return SessionAction::SendFinal(reply) };
        let end = offset + text.len();
        if end <= self.sent_bytes {
            return SessionAction::Ignore;
        }
        self.sent_bytes = end;
        SessionAction::SendPart(reply)
    }
}
