//! A client of foxnotch. It opens programs and issues calls. When a node fails or refuses a request, the client sends
//! the request to the next node.

use foxnotch::http::{read_whole, Header, HttpClient, HttpError};
use foxnotch::protocol::callers::{
    IssueCall, OpenBranch, OpenProgram, ReplyBody, RunName, REPEATABLE_HEADER, TENANT_HEADER,
};
use serde::Serialize;
use std::time::Duration;
use volo_http::client::sse::SseExt;
use volo_http::http::{header::CONTENT_TYPE, Method};

/// Maximum time between two events of a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before the request goes to another node after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of times that one request is sent.
const MAX_TRIES: usize = 60;
/// Timeout of a plain request on one node.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of one request, retries included.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The reply that ended the request.
    pub reply: ReplyBody,
    /// Number of times that the request was sent.
    pub times_sent: u32,
    /// Number of refusals that asked for a retry.
    pub refusals: u32,
}

/// The reason for which a request has no final reply.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The request was sent [`MAX_TRIES`] times without a final reply.
    #[error("no node gave a final answer in {MAX_TRIES} tries; the last reason: {0}")]
    GaveUp(String),
}

/// A client for one tenant.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
    nodes: Vec<String>,
    /// Index of the current node, modulo the number of nodes.
    next: usize,
    tenant: String,
}

impl Caller {
    /// Creates a client for `tenant` that uses the nodes in turn, starting with index `first`.
    pub fn new(client: HttpClient, nodes: Vec<String>, first: usize, tenant: &str) -> Self {
        Self { client, nodes, next: first, tenant: tenant.to_owned() }
    }

    fn node(&self) -> String {
        self.nodes[self.next % self.nodes.len()].clone()
    }

    fn headers(&self) -> Vec<Header> {
        vec![Header { name: TENANT_HEADER, value: self.tenant.clone() }]
    }

    /// Sends a request once to the current node and returns the final reply. When the node streams its reply, this is
    /// the last event of the stream.
    async fn send_once(&self, method: Method, path: &str, body: Vec<u8>) -> Result<ReplyBody, HttpError> {
        let node = self.node();
        let response = self.client.send(method, &node, path, &self.headers(), body).await?;
        let content = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
        if !content.starts_with("text/event-stream") {
            return read_whole(&node, response).await?.json(&node);
        }
        let broken = |error: String| HttpError::Failed(node.clone(), error);
        let mut events = response.into_sse().map_err(|error| broken(error.to_string()))?;
        loop {
            let next = tokio::time::timeout(STREAM_TIMEOUT, events.read()).await;
            let event = next.map_err(|_| HttpError::TimedOut(node.clone()))?;
            let event = event.map_err(|error| broken(error.to_string()))?;
            let Some(event) = event else { return Err(broken("the stream ended before the final reply".to_owned())) };
            let body = event.data().and_then(|data| serde_json::from_str::<ReplyBody>(data).ok());
            let body = body.ok_or_else(|| broken("an event of the stream is not a valid reply".to_owned()))?;
            if body.is_final() {
                return Ok(body);
            }
        }
    }

    /// Sends a request until it receives a final reply that does not ask for a retry; after each failed try, continues
    /// with the next node. `body` builds the body of a try from whether a node may have accepted an earlier try.
    async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: impl Fn(bool) -> Vec<u8>,
    ) -> Result<Exchange, CallerError> {
        let mut undecided = false;
        let mut refusals = 0;
        let mut last = String::new();
        for try_number in 0..MAX_TRIES {
            let sent = self.send_once(method.clone(), path, body(undecided)).await;
            let pause = match sent {
                Ok(ReplyBody::Refused { kind, run, retry_after_ms: Some(after), .. }) => {
                    refusals += 1;
                    undecided |= run == RunName::MayHaveRun;
                    last = kind;
                    self.next += 1;
                    Duration::from_millis(after)
                }
                Ok(reply) => return Ok(Exchange { reply, times_sent: try_number as u32 + 1, refusals }),
                Err(error) => {
                    undecided |= !error.is_undelivered();
                    last = error.to_string();
                    self.next += 1;
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause).await;
        }
        Err(CallerError::GaveUp(last))
    }

    /// Sends a request with the same body in each try.
    async fn send_same_body<T: Serialize>(
        &mut self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<Exchange, CallerError> {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        self.send(method, path, |_| bytes.clone()).await
    }

    /// Opens a program.
    ///
    /// # Errors
    /// [`CallerError::GaveUp`] when no try receives a final reply.
    pub async fn open(&mut self, instance: &str, key: &str) -> Result<Exchange, CallerError> {
        let open = OpenProgram { instance: instance.to_owned(), key: key.to_owned() };
        self.send_same_body(Method::POST, "/v1/programs", &open).await
    }

    /// Opens a sub-agent.
    ///
    /// # Errors
    /// [`CallerError::GaveUp`] when no try receives a final reply.
    pub async fn open_branch(&mut self, program: &str, open: &OpenBranch) -> Result<Exchange, CallerError> {
        self.send_same_body(Method::POST, &format!("/v1/programs/{program}/branches"), open).await
    }

    /// Issues a call.
    ///
    /// # Errors
    /// [`CallerError::GaveUp`] when no try receives a final reply.
    pub async fn call(&mut self, program: &str, call: &IssueCall) -> Result<Exchange, CallerError> {
        let path = format!("/v1/programs/{program}/calls");
        let body = |resend| serde_json::to_vec(&IssueCall { resend, ..call.clone() }).unwrap_or_default();
        self.send(Method::POST, &path, body).await
    }

    /// Closes a program.
    ///
    /// # Errors
    /// [`CallerError::GaveUp`] when no try receives a final reply.
    pub async fn close(&mut self, program: &str) -> Result<Exchange, CallerError> {
        self.send(Method::DELETE, &format!("/v1/programs/{program}"), |_| Vec::new()).await
    }

    /// Sends a repeatable plain request to each node in turn until one succeeds. Returns whether one did.
    pub async fn send_plain_request(&mut self, instance: &str) -> bool {
        let mut headers = self.headers();
        headers.push(Header { name: REPEATABLE_HEADER, value: "true".to_owned() });
        for _ in 0..self.nodes.len() {
            let node = self.node();
            let path = format!("/v1/services/{instance}");
            let sent = self.client.exchange(Method::POST, &node, &path, &headers, b"{}".to_vec(), PLAIN_TIMEOUT).await;
            match sent {
                Ok(answer) if answer.status.is_success() => return true,
                _ => self.next += 1,
            }
        }
        false
    }
}
