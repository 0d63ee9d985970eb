//! Handlers of requests for programs, branches and calls.

use super::incoming::GuardedStream;
use super::session::{spawn_session, Forwardable};
use super::{header_text, json_response, read_json, refusal_response, ApiState};
use crate::driver::wall_clock;
use crate::protocol::callers::{IssueCall, OpenBranch, OpenProgram, ReplyBody, HOP_HEADER, TENANT_HEADER};
use foxnotch_core::request::{self, CallRequest, Hop, RequestBody};
use foxnotch_wire::{BranchId, CallKey, ProgramId, ROOT_BRANCH};
use futures_util::stream::poll_fn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::convert::Infallible;
use tokio::sync::mpsc::UnboundedReceiver;
use volo_http::http::request::Parts;
use volo_http::http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::response::sse::{Event, Sse};
use volo_http::server::IntoResponse;
use volo_http::utils::Extension;

/// Maximum length of a tenant, instance or key, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum length of the answer that a call may request, in tokens.
const MAX_OUTPUT_TOKENS: u32 = 65_536;
/// Maximum time that a caller may wait for a call's answer, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A checked value, or the response that refuses the request.
type Checked<T> = Result<T, Box<Response>>;

/// Values from the headers of a request.
struct RequestHead {
    tenant: String,
    /// Whether the request came from a caller or was forwarded by a node.
    hop: Hop,
}

fn parse_head(headers: &HeaderMap) -> Checked<RequestHead> {
    let tenant = header_text(headers, TENANT_HEADER);
    if tenant.is_empty() || tenant.len() > MAX_NAME_BYTES {
        let remedy = format!("name the tenant in the header {TENANT_HEADER}");
        return Err(Box::new(refusal_response(StatusCode::UNAUTHORIZED, "no_tenant", remedy)));
    }
    let hop = match header_text(headers, HOP_HEADER) {
        "forwarded" => Hop::Forwarded,
        "final" => Hop::Final,
        _ => Hop::Direct,
    };
    Ok(RequestHead { tenant: tenant.to_owned(), hop })
}

fn parse_program(text: &str) -> Checked<ProgramId> {
    let parsed = text.parse().ok().filter(|_| text.len() == 32);
    parsed.ok_or_else(|| {
        Box::new(refusal_response(StatusCode::BAD_REQUEST, "bad_program", "use the identifier that opening gave"))
    })
}

fn check_length(field: &str, text: &str) -> Checked<()> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let remedy = format!("give {field} 1 to {MAX_NAME_BYTES} bytes");
        return Err(Box::new(refusal_response(StatusCode::BAD_REQUEST, "bad_field", remedy)));
    }
    Ok(())
}

/// The request in the form that is forwarded to another node.
fn to_forwardable<T: Serialize>(method: Method, uri: &Uri, body: Option<&T>) -> Forwardable {
    let body = body.and_then(|body| serde_json::to_vec(body).ok()).unwrap_or_default();
    Forwardable { method, path: uri.path().to_owned(), body }
}

/// Serves a request with a JSON body. `parse_path` checks the path before the body is read. `to_request` checks the
/// body and converts it to a request.
async fn serve_post<P, T: DeserializeOwned + Serialize>(
    state: ApiState,
    request: Request,
    parse_path: impl FnOnce() -> Checked<P>,
    to_request: impl FnOnce(P, T) -> Checked<RequestBody>,
) -> Response {
    let (Parts { headers, uri, .. }, body) = request.into_parts();
    let served = async {
        let head = parse_head(&headers)?;
        let path = parse_path()?;
        let parsed: T = read_json(body, state.maximum_body_bytes).await?;
        let forwardable = to_forwardable(Method::POST, &uri, Some(&parsed));
        let body = to_request(path, parsed)?;
        Ok(respond(state, head, body, forwardable).await)
    };
    served.await.unwrap_or_else(|refusal: Box<Response>| *refusal)
}

/// Serves `POST /v1/programs`.
pub(super) async fn open(Extension(state): Extension<ApiState>, request: Request) -> Response {
    let to_request = |(), open: OpenProgram| {
        check_length("instance", &open.instance)?;
        check_length("key", &open.key)?;
        Ok(RequestBody::Open { instance: open.instance, key: open.key })
    };
    serve_post(state, request, || Ok(()), to_request).await
}

/// Serves `POST /v1/programs/{program}/branches`.
pub(super) async fn open_branch(
    Extension(state): Extension<ApiState>,
    PathParams(path): PathParams<String>,
    request: Request,
) -> Response {
    let to_request = |program, open: OpenBranch| {
        check_length("key", &open.key)?;
        let parent = BranchId(open.parent);
        Ok(RequestBody::OpenBranch { program, parent, key: open.key, budget_tokens: open.budget_tokens })
    };
    serve_post(state, request, || parse_program(&path), to_request).await
}

/// Serves `POST /v1/programs/{program}/calls`.
pub(super) async fn issue_call(
    Extension(state): Extension<ApiState>,
    PathParams(path): PathParams<String>,
    request: Request,
) -> Response {
    let to_request = |program, issue: IssueCall| {
        check_call(&issue)?;
        Ok(RequestBody::Call(CallRequest {
            key: CallKey { program, branch: BranchId(issue.branch), sequence: issue.sequence },
            resend: issue.resend,
            input: issue.input.into_bytes(),
            maximum_output_tokens: issue.maximum_output_tokens,
            repeatable: issue.repeatable,
            deadline: wall_clock().plus(issue.timeout_ms),
        }))
    };
    serve_post(state, request, || parse_program(&path), to_request).await
}

fn check_call(issue: &IssueCall) -> Checked<()> {
    let remedy = if issue.maximum_output_tokens == 0 || issue.maximum_output_tokens > MAX_OUTPUT_TOKENS {
        format!("give maximum_output_tokens 1 to {MAX_OUTPUT_TOKENS}")
    } else if issue.timeout_ms == 0 || issue.timeout_ms > MAX_TIMEOUT_MS {
        format!("give timeout_ms 1 to {MAX_TIMEOUT_MS}")
    } else {
        return Ok(());
    };
    Err(Box::new(refusal_response(StatusCode::BAD_REQUEST, "bad_field", remedy)))
}

/// Serves `GET /v1/programs/{program}/calls/{branch}/{sequence}`.
pub(super) async fn read_call(
    Extension(state): Extension<ApiState>,
    PathParams(path): PathParams<(String, u32, u32)>,
    request: Request,
) -> Response {
    serve_call_request(state, path, request.headers(), request.uri(), Method::GET, RequestBody::Read).await
}

/// Serves `DELETE /v1/programs/{program}/calls/{branch}/{sequence}`.
pub(super) async fn cancel_call(
    Extension(state): Extension<ApiState>,
    PathParams(path): PathParams<(String, u32, u32)>,
    request: Request,
) -> Response {
    serve_call_request(state, path, request.headers(), request.uri(), Method::DELETE, RequestBody::Cancel).await
}

async fn serve_call_request(
    state: ApiState,
    path: (String, u32, u32),
    headers: &HeaderMap,
    uri: &Uri,
    method: Method,
    body: impl FnOnce(CallKey) -> RequestBody,
) -> Response {
    let (program_text, branch, sequence) = path;
    let (head, program) = match parse_head(headers).and_then(|head| Ok((head, parse_program(&program_text)?))) {
        Ok(checked) => checked,
        Err(response) => return *response,
    };
    let key = CallKey { program, branch: BranchId(branch), sequence };
    respond(state, head, body(key), to_forwardable::<()>(method, uri, None)).await
}

/// Serves `DELETE /v1/programs/{program}`.
pub(super) async fn close(
    Extension(state): Extension<ApiState>,
    PathParams(path): PathParams<String>,
    request: Request,
) -> Response {
    close_program_or_branch(state, &path, ROOT_BRANCH, request.headers(), request.uri()).await
}

/// Serves `DELETE /v1/programs/{program}/branches/{branch}`.
pub(super) async fn close_branch(
    Extension(state): Extension<ApiState>,
    PathParams((path, branch)): PathParams<(String, u32)>,
    request: Request,
) -> Response {
    close_program_or_branch(state, &path, BranchId(branch), request.headers(), request.uri()).await
}

async fn close_program_or_branch(
    state: ApiState,
    path: &str,
    branch: BranchId,
    headers: &HeaderMap,
    uri: &Uri,
) -> Response {
    let (head, program) = match parse_head(headers).and_then(|head| Ok((head, parse_program(path)?))) {
        Ok(checked) => checked,
        Err(response) => return *response,
    };
    let body = RequestBody::Close { program, branch };
    respond(state, head, body, to_forwardable::<()>(Method::DELETE, uri, None)).await
}

/// Submits a request and waits for its first reply. If that reply is final, it becomes a JSON response. Otherwise the
/// response is a stream of server-sent events with this reply and all later ones.
async fn respond(state: ApiState, head: RequestHead, body: RequestBody, forwardable: Forwardable) -> Response {
    let in_flight = state.in_flight.enter();
    let timer = state.metrics.start_timer();
    let request = request::Request { tenant: head.tenant, hop: head.hop, body };
    let mut replies = spawn_session(state, request, forwardable);
    let Some(first) = replies.recv().await else {
        return refusal_response(StatusCode::SERVICE_UNAVAILABLE, "leaving", "ask another node");
    };
    if first.is_final() {
        return final_response(&first);
    }
    let guard = (in_flight, timer);
    stream_response(first, replies, guard)
}

fn final_response(body: &ReplyBody) -> Response {
    let status = match body {
        ReplyBody::Refused { kind, .. } => status_of(kind),
        ReplyBody::Forward { .. } => StatusCode::MISDIRECTED_REQUEST,
        _ => StatusCode::OK,
    };
    let mut response = json_response(status, body);
    if let ReplyBody::Refused { retry_after_ms: Some(after), .. } = body {
        let seconds = after.div_ceil(1000);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert("retry-after", value);
        }
    }
    response
}

/// The HTTP status of a refusal with this kind.
fn status_of(kind: &str) -> StatusCode {
    match kind {
        "unknown_program" | "unknown_instance" | "unknown_branch" | "unknown_call" => StatusCode::NOT_FOUND,
        "other_tenant" => StatusCode::FORBIDDEN,
        "closed" => StatusCode::GONE,
        "out_of_order" | "conflict" => StatusCode::CONFLICT,
        "budget_exceeded" | "call_limit" => StatusCode::PAYMENT_REQUIRED,
        "overloaded" => StatusCode::TOO_MANY_REQUESTS,
        "deadline_passed" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn stream_response<G: Send + Sync + Unpin + 'static>(
    first: ReplyBody,
    mut replies: UnboundedReceiver<ReplyBody>,
    guard: G,
) -> Response {
    let mut first = Some(first);
    let stream = poll_fn(move |context| {
        if let Some(first) = first.take() {
            return std::task::Poll::Ready(Some(Ok::<_, Infallible>(to_event(&first))));
        }
        replies.poll_recv(context).map(|body| body.map(|body| Ok(to_event(&body))))
    });
    Sse::new(GuardedStream { stream, _guard: guard }).into_response()
}

fn to_event(body: &ReplyBody) -> Event {
    let data = serde_json::to_string(body).unwrap_or_default();
    Event::new().data(data)
}
