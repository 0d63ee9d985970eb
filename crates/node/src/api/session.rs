//! Runs the [`Session`] of one caller's request: submits the request to this node or forwards it to another one, and
//! sends the replies to the caller.

use super::ApiState;
use crate::driver::{refusal_without_answer, wall_clock};
use crate::http::{read_whole, Header, HttpError};
use crate::logging::part;
use crate::protocol::callers::{ReplyBody, HOP_HEADER, TENANT_HEADER};
use foxnotch_core::effect::Event;
use foxnotch_core::request::{Hop, Reply, Request, RequestBody};
use foxnotch_core::session::{Session, SessionAction, SessionInput};
use foxnotch_wire::NodeId;
use serde_json::Value;
use std::time::Duration;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::client::sse::{SseExt, SseReader};
use volo_http::http::{header::CONTENT_TYPE, Method};
use volo_http::response::Response;

/// Time without a reply from another node after which a request forwarded to it is considered failed.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a call's deadline in which the owner of its program can still report that the deadline has passed.
/// Afterwards this node reports it to the caller.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Timeout of requests without a deadline, that is, of all but calls.
const TIMEOUT_WITHOUT_DEADLINE: Duration = Duration::from_secs(3600);

/// A request in the form in which it is forwarded to another node.
#[derive(Clone, Debug)]
pub(super) struct Forwardable {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

/// The sender of a request's replies.
enum ReplySource {
    /// This node. `resend` says whether another node may have accepted the request before.
    Local { replies: mpsc::UnboundedReceiver<Reply>, resend: bool },
    /// Another node, with a stream of events.
    RemoteStream(Box<SseReader<Body>>),
    /// Another node, with a single reply or a failure; none after [`ReplySource::next_input`] has returned it.
    RemoteReply(Option<SessionInput>),
}

/// Serves a request in its own task and returns the channel of its replies.
pub(super) fn spawn_session(
    state: ApiState,
    request: Request,
    forwardable: Forwardable,
) -> mpsc::UnboundedReceiver<ReplyBody> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let runner = SessionRunner { state, forwardable, replies: sender };
    tokio::spawn(runner.run(Session::new(request)));
    receiver
}

/// Serves one request and sends its replies.
struct SessionRunner {
    state: ApiState,
    forwardable: Forwardable,
    replies: mpsc::UnboundedSender<ReplyBody>,
}

impl SessionRunner {
    /// Serves the request until its last reply. If the last reply has not come within [`DEADLINE_GRACE`] after the
    /// deadline, or within [`TIMEOUT_WITHOUT_DEADLINE`], the caller gets a refusal that says that the deadline has
    /// passed.
    async fn run(self, session: Session) {
        let timeout = session.deadline().map_or(TIMEOUT_WITHOUT_DEADLINE, |deadline| {
            Duration::from_millis(deadline.since(wall_clock())) + DEADLINE_GRACE
        });
        let deadline_reply = session.deadline_passed_reply();
        if tokio::time::timeout(timeout, self.run_session(session)).await.is_err() {
            self.send_reply(&deadline_reply);
        }
    }

    async fn run_session(&self, mut session: Session) {
        let mut action = session.start();
        let mut source = ReplySource::RemoteReply(None);
        loop {
            match action {
                SessionAction::ServeHere { request, delay_ms } => {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    let resend = session.may_be_held_elsewhere();
                    source = ReplySource::Local { replies: self.state.node.submit_request(request).await, resend };
                }
                SessionAction::ForwardTo { node, request } => source = self.forward(node, &request).await,
                SessionAction::SendPart(reply) => self.send_reply(&reply),
                SessionAction::SendFinal(reply) => return self.send_reply(&reply),
                SessionAction::Ignore => {}
            }
            let input = tokio::select! {
                input = source.next_input() => input,
                () = self.replies.closed() => return,
            };
            action = session.next_action(input);
        }
    }

    fn send_reply(&self, reply: &Reply) {
        if self.replies.send(ReplyBody::from(reply)).is_err() {
            log::debug!(target: part::API, "A reply was dropped: its caller is gone.");
        }
    }

    async fn forward(&self, node: NodeId, request: &Request) -> ReplySource {
        let Some(address) = self.state.node.address_of(node).await else {
            return ReplySource::RemoteReply(Some(SessionInput::Undelivered));
        };
        let address = address.to_string();
        let hop = if request.hop == Hop::Final { "final" } else { "forwarded" };
        let headers = [
            Header { name: TENANT_HEADER, value: request.tenant.clone() },
            Header { name: HOP_HEADER, value: hop.to_owned() },
        ];
        let Forwardable { method, path, .. } = self.forwardable.clone();
        let response = self.state.client.send(method, &address, &path, &headers, self.forwarded_body(request));
        let response = tokio::time::timeout(FORWARD_TIMEOUT, response).await;
        match response.unwrap_or_else(|_| Err(HttpError::TimedOut(address.clone()))) {
            Ok(response) => read_reply_source(&address, response).await,
            Err(error) => {
                log::info!(target: part::API, "Forwarding a request to node {node} failed: {error}.");
                self.state.node.send_event(Event::Unreachable(node)).await;
                let is_undelivered = error.is_undelivered();
                ReplySource::RemoteReply(Some(if is_undelivered {
                    SessionInput::Undelivered
                } else {
                    SessionInput::Failed
                }))
            }
        }
    }

    /// The body to forward. For a call, its `resend` field has the session's current value.
    fn forwarded_body(&self, request: &Request) -> Vec<u8> {
        let RequestBody::Call(call) = &request.body else { return self.forwardable.body.clone() };
        let Ok(mut value) = serde_json::from_slice::<Value>(&self.forwardable.body) else { return Vec::new() };
        value["resend"] = Value::Bool(call.resend);
        value.to_string().into_bytes()
    }
}

async fn read_reply_source(address: &str, response: Response) -> ReplySource {
    let content = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    if content.starts_with("text/event-stream") {
        return response.into_sse().map_or(ReplySource::RemoteReply(Some(SessionInput::Failed)), |reader| {
            ReplySource::RemoteStream(Box::new(reader))
        });
    }
    let answer = read_whole(address, response).await;
    let body = answer.and_then(|answer| answer.json::<ReplyBody>(address)).ok();
    let reply = body.and_then(|body| body.to_reply());
    ReplySource::RemoteReply(Some(reply.map_or(SessionInput::Failed, SessionInput::Reply)))
}

impl ReplySource {
    async fn next_input(&mut self) -> SessionInput {
        match self {
            Self::Local { replies, resend } => {
                let node_stopped = Reply::Refused(refusal_without_answer(*resend));
                SessionInput::Reply(replies.recv().await.unwrap_or(node_stopped))
            }
            Self::RemoteStream(events) => {
                let next = tokio::time::timeout(FORWARD_TIMEOUT, events.read()).await;
                let Ok(Ok(Some(event))) = next else { return SessionInput::Failed };
                let body = event.data().and_then(|data| serde_json::from_str::<ReplyBody>(data).ok());
                body.and_then(|body| body.to_reply()).map_or(SessionInput::Failed, SessionInput::Reply)
            }
            Self::RemoteReply(input) => input.take().unwrap_or(SessionInput::Failed),
        }
    }
}
