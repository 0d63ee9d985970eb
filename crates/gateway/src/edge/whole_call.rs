//! Requests whose answers are read whole before they are passed on.

use crate::edge::body::AnswerBody;
use crate::edge::call::{remove_connection_headers, Call};
use crate::edge::handler::Gateway;
use crate::edge::refusal::Refusal;
use crate::edge::tries::Tries;
use crate::engines::attempt::{finish, EngineAnswer};
use crate::logging::part;
use crate::metrics::Metrics;
use bytes::Bytes;
use http::{header, Response, StatusCode};
use http_body_util::BodyExt;

/// Serves a call on a route of a plain service.
///
/// # Errors
/// The refusal that the caller gets.
pub async fn serve(gateway: &Gateway, call: &Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Tries::default();
    loop {
        let answer = gateway.offer(call, &call.input, None, &mut tries).await?;
        let engine = answer.lease.engine().clone();
        let refusal = match read_whole(&gateway.metrics, call, answer).await {
            Ok(response) => {
                note_time(gateway, call, &tries);
                return Ok(response);
            }
            Err(refusal) => refusal,
        };
        tries.note_may_have_run(&engine);
        if refusal == Refusal::TimedOut || !call.may_be_repeated(&tries) {
            return Err(refusal);
        }
    }
}

/// Learns from the time that a plain service took.
fn note_time(gateway: &Gateway, call: &Call, tries: &Tries) {
    let Some(choice) = tries.last_choice() else { return };
    let answer_ms = choice.chosen_at.elapsed().as_secs_f64() * 1000.0;
    gateway.costs.learn(&call.service, |costs| costs.add_answer(answer_ms));
}

/// Reads an answer to its end.
///
/// # Errors
/// [`Refusal::MayHaveRun`] when it breaks off, [`Refusal::TimedOut`].
pub async fn read_whole(metrics: &Metrics, call: &Call, answer: EngineAnswer) -> Result<Response<AnswerBody>, Refusal> {
    let EngineAnswer { response, connection, lease, .. } = answer;
    let (head, body) = response.into_parts();
    let collected = match tokio::time::timeout_at(call.expires_at.into(), body.collect()).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(error)) => {
            lease.engine().note_failure();
            return Err(Refusal::MayHaveRun(format!("it broke off: {error}")));
        }
        Err(_) => return Err(Refusal::TimedOut),
    };
    finish(connection, &lease);
    metrics.count_call("answered", call.arrived_at.elapsed());
    log::info!(target: part::CALL, "Call {} answered: route={} service={} engine={} status={} after={:?}.", call.metadata.attempt, call.route.name, call.service, lease.engine().entry.id, head.status.as_u16(), call.arrived_at.elapsed());
    pass_on(head, collected.to_bytes())
}

/// The engine's answer as the caller gets it. A status that promises that nothing has run is not passed on when the
/// engine did not say so.
fn pass_on(mut head: http::response::Parts, body: Bytes) -> Result<Response<AnswerBody>, Refusal> {
    if promises_not_run(head.status) {
        return Err(Refusal::MayHaveRun(format!(
            "the engine answered {} and does not say that it has not run",
            head.status
        )));
    }
    remove_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, AnswerBody::whole(body)))
}

/// Whether callers take the status for a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
