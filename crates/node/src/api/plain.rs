//! Handler of plain requests: single requests to plain back ends, without a history. As for calls, the size of the body
//! is limited, and a refusal says whether the request may have run.

use super::{header_text, json_response, read_body, refusal_response, ApiState};
use crate::driver::PlainChoice;
use crate::http::{Answer, HttpError};
use crate::protocol::callers::{ReplyBody, RunName, REPEATABLE_HEADER, TENANT_HEADER};
use std::time::Duration;
use volo_http::body::Body;
use volo_http::http::request::Parts;
use volo_http::http::{Method, StatusCode};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::utils::Extension;

/// Timeout of one attempt: sending the request to a back end and reading the whole response.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of attempts to send one request to a back end.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Serves `POST /v1/services/{instance}`.
pub(super) async fn request(
    Extension(state): Extension<ApiState>,
    PathParams(instance): PathParams<String>,
    request: Request,
) -> Response {
    let (Parts { headers, .. }, body) = request.into_parts();
    let _in_flight = state.in_flight.enter();
    let _timer = state.metrics.start_timer();
    let tenant = header_text(&headers, TENANT_HEADER).to_owned();
    if tenant.is_empty() {
        let remedy = format!("name the tenant in the header {TENANT_HEADER}");
        return refusal_response(StatusCode::UNAUTHORIZED, "no_tenant", remedy);
    }
    let repeatable = header_text(&headers, REPEATABLE_HEADER) == "true";
    let body = match read_body(body, state.maximum_body_bytes).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    send_until_answered(&state, &tenant, &instance, repeatable, body).await
}

/// Sends the request to one back end after the other until one answers, at most [`MAX_ATTEMPTS`] times. A request that
/// a back end may have received is sent again only if it is repeatable.
async fn send_until_answered(
    state: &ApiState,
    tenant: &str,
    instance: &str,
    repeatable: bool,
    body: Vec<u8>,
) -> Response {
    let mut avoid = None;
    let mut run = RunName::NotRun;
    for _ in 0..MAX_ATTEMPTS {
        let Some(choice) = state.node.choose_plain_backend(tenant.to_owned(), instance.to_owned(), avoid).await else {
            break;
        };
        match send_once(state, &choice, body.clone()).await {
            Ok(answer) => {
                state.node.report_plain_ended(choice.id, true).await;
                return to_response(answer);
            }
            Err(error) => {
                state.node.report_plain_ended(choice.id, false).await;
                if !error.is_undelivered() {
                    run = RunName::MayHaveRun;
                }
                if run == RunName::MayHaveRun && !repeatable {
                    break;
                }
                avoid = Some(choice.backend);
            }
        }
    }
    no_engine_response(run)
}

async fn send_once(state: &ApiState, choice: &PlainChoice, body: Vec<u8>) -> Result<Answer, HttpError> {
    state.client.exchange(Method::POST, &choice.address, "/v1/plain", &[], body, ATTEMPT_TIMEOUT).await
}

fn to_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    response
}

/// The refusal of a plain request that no back end answered.
fn no_engine_response(run: RunName) -> Response {
    let body = ReplyBody::Refused {
        kind: "no_engine".to_owned(),
        run,
        retry_after_ms: Some(RETRY_AFTER_MS),
        remedy: "no back end answered; check the instance, the machine list and the back ends".to_owned(),
    };
    json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
}
