//! Serves requests whose answers are buffered until they are complete and then returned to the caller.

use crate::buffer_budget::BufferBudget;
use crate::edge::body::AnswerBody;
use crate::edge::call::{prepare_answer_head, Call};
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::engines::answer_body::{ends_with_connection, read_answer_body};
use crate::engines::attempt::{record_answer_and_return_connection, EngineAnswer};
use crate::engines::engine::Engine;
use crate::logging::part;
use crate::metrics::Metrics;
use bytes::Bytes;
use foxnotch_scheduler::retry::{NextStep, SendOutcome};
use http::{Response, StatusCode};
use std::sync::Arc;

/// The longest answer that is buffered, in bytes; the limit of a turn's text is the same.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An engine's answer that was read to its end.
pub struct WholeAnswer {
    /// The engine that gave this answer.
    pub engine: Arc<Engine>,
    /// The response for the caller.
    pub response: Response<AnswerBody>,
}

impl WholeAnswer {
    /// Whether the engine answered with a server error (5xx).
    fn is_failure(&self) -> bool {
        self.response.status().is_server_error()
    }

    /// Counts and logs that the call was answered, and returns the response for the caller.
    pub fn finish_call(self, metrics: &Metrics, call: &Call) -> Response<AnswerBody> {
        metrics.count_call("answered", call.arrived_at.elapsed());
        log::info!(
            target: part::CALL,
            "Call {} answered: route={} service={} engine={} status={} after={:?}.",
            call.metadata.attempt,
            call.route.name,
            call.service,
            self.engine.entry.id,
            self.response.status().as_u16(),
            call.arrived_at.elapsed(),
        );
        self.response
    }
}

/// Serves a call on a route whose answers are not streamed. When a call that may be repeated fails at an engine, the
/// call is sent to another engine. The caller gets an engine's failure only when no other engine succeeds.
///
/// # Errors
/// The refusal for the caller.
pub async fn serve(gateway: &Gateway, call: &Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut sends = SendRecord::default();
    let mut last_failure: Option<WholeAnswer> = None;
    let refusal = loop {
        let answer = match gateway.dispatcher.dispatch(call, &call.input, None, &mut sends).await {
            Ok(answer) => answer,
            Err(refusal) => break refusal,
        };
        let engine = answer.in_flight.engine().clone();
        let (outcome, refusal) = match read_whole_answer(call, answer, &gateway.buffers).await {
            Ok(answer) if !answer.is_failure() || !gateway.policy.retry_failures => {
                learn_answer_time(gateway, call, &sends);
                sends.finish_watch();
                return Ok(answer.finish_call(&gateway.metrics, call));
            }
            Ok(answer) => {
                log_engine_failure(call, &engine, &answer);
                sends.finish_watch();
                last_failure = Some(answer);
                (SendOutcome::Failed, Refusal::MayHaveRun("the engine failed".to_owned()))
            }
            Err(refusal) => {
                gateway.dispatcher.note_lost_send(&engine, &mut sends).await;
                let has_timed_out = matches!(refusal, Refusal::TimedOut);
                (if has_timed_out { SendOutcome::TimedOut } else { SendOutcome::AnswerLost }, refusal)
            }
        };
        if sends.note_outcome(&engine, outcome, call.stage, call.repetition_limit()) != NextStep::TryAnother {
            break refusal;
        }
    };
    last_failure.map(|answer| answer.finish_call(&gateway.metrics, call)).ok_or(refusal)
}

fn log_engine_failure(call: &Call, engine: &Engine, answer: &WholeAnswer) {
    log::info!(
        target: part::ENGINE,
        "Call {} failed at an engine, which answered with a server error: engine={} status={}.",
        call.metadata.attempt,
        engine.entry.id,
        answer.response.status().as_u16(),
    );
}

/// Adds the time that the engine took for its answer to the learned costs of the service.
fn learn_answer_time(gateway: &Gateway, call: &Call, sends: &SendRecord) {
    let Some(choice) = sends.last_choice() else { return };
    let answer_ms = choice.chosen_at.elapsed().as_secs_f64() * 1000.0;
    gateway.dispatcher.costs.update_service(&call.service, |costs| costs.add_answer_time(answer_ms));
}

/// Reads an engine's answer to its end.
///
/// # Errors
/// [`Refusal::MayHaveRun`] when the answer ends early or its status may not be forwarded, [`Refusal::TimedOut`] at the
/// call's deadline.
pub async fn read_whole_answer(
    call: &Call,
    answer: EngineAnswer,
    budget: &Arc<BufferBudget>,
) -> Result<WholeAnswer, Refusal> {
    let EngineAnswer { response, connection, in_flight, .. } = answer;
    let (head, body) = response.into_parts();
    let body = read_answer_body(&connection, body, MAX_ANSWER_BYTES, budget);
    let body = match tokio::time::timeout_at(call.expires_at.into(), body).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            in_flight.engine().note_failure();
            return Err(Refusal::MayHaveRun(format!("it broke off: {error}")));
        }
        Err(_) => return Err(Refusal::TimedOut),
    };
    if head.status.is_success() && body.is_empty() && ends_with_connection(&head) {
        in_flight.engine().note_failure();
        return Err(Refusal::MayHaveRun("it broke off before the first byte of its body".to_owned()));
    }
    // With 504, the engine reports that the call's deadline has passed, which is not a failure of the engine.
    let is_failure = head.status.is_server_error() && head.status != StatusCode::GATEWAY_TIMEOUT;
    record_answer_and_return_connection(connection, &in_flight, is_failure);
    let response = build_caller_response(head, body)?;
    Ok(WholeAnswer { engine: in_flight.engine().clone(), response })
}

/// Converts the engine's answer to the response for the caller.
///
/// A status from which callers conclude that the request has not run is not forwarded, because here the engine may have
/// run it: answers that state the contrary never get here, since [`crate::engines::attempt::send`] returns an error for
/// them.
///
/// # Errors
/// [`Refusal::MayHaveRun`] for such a status.
fn build_caller_response(mut head: http::response::Parts, body: Bytes) -> Result<Response<AnswerBody>, Refusal> {
    if implies_request_not_run(head.status) {
        return Err(Refusal::MayHaveRun(format!(
            "the engine answered {} and does not say that it has not run",
            head.status
        )));
    }
    prepare_answer_head(&mut head);
    Ok(Response::from_parts(head, AnswerBody::whole(body)))
}

/// Whether callers conclude from this status that the request has not run.
fn implies_request_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
