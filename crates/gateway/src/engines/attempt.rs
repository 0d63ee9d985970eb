//! One attempt: sends a request to one engine at most once, and waits for the head of the answer.

use crate::engines::answer_body::{discard_answer_body, AnswerBodyError};
use crate::engines::connection::{ConnectionId, EngineConnection, SendError};
use crate::engines::engine::{Engine, InFlightRequest};
use crate::ports::dialect::{AnswerMetadata, Dialect};
use bytes::Bytes;
use foxnotch_scheduler::retry::SendOutcome;
use http_body_util::Full;
use hyper::body::Incoming;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit for the body of a refusal. The request waits meanwhile for the next engine.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// The reason why an attempt got no valid answer from the engine. The comment of each variant says whether the engine
/// may have run the request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// Not run: the engine refused the request because it was full.
    #[error("the engine is full")]
    Full,
    /// Not run: the engine refused the request, and the refusal's body is too long.
    #[error("the engine's refusal is over {MAX_REFUSAL_BYTES} bytes; look at the engine's logs")]
    EndlessRefusal,
    /// Not run: another engine now listens at this engine's address, and refused the request.
    #[error("another engine has the address")]
    Replaced,
    /// Not run: the permit to send to a cold engine expired before a connection was open.
    #[error(
        "the permit to send to a cold engine expired before a connection was open; if this is frequent, check the \
         network path to the engine"
    )]
    PermitLapsed,
    /// Not run: no connection to the engine could be opened, or it closed before the request was sent.
    #[error("the engine cannot be reached ({1})")]
    Unreachable(io::ErrorKind, String),
    /// May have run: the connection failed after the request was sent. The engine may have ended.
    #[error("the engine's answer was lost ({0})")]
    ConnectionLost(String),
    /// May have run: the answer was not valid (it answers another attempt, or it reports success without a signature).
    #[error("the engine's answer was lost ({0})")]
    AnswerLost(String),
    /// May have run: the head of the answer did not arrive before the deadline.
    #[error("the engine did not answer in time")]
    TimedOut,
}

impl AttemptError {
    /// The value of the `outcome` label under which the metric of sends counts this error. Operators' queries use it,
    /// so `leave_lapsed` stays for an expired permit.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::EndlessRefusal => "endless_refusal",
            Self::Replaced => "replaced",
            Self::PermitLapsed => "leave_lapsed",
            Self::Unreachable(..) => "unreachable",
            Self::ConnectionLost(_) | Self::AnswerLost(_) => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// The outcome of the attempt, from which the calling code decides whether to try another engine, pause or give up.
    pub fn outcome(&self) -> SendOutcome {
        match self {
            Self::Full => SendOutcome::Full,
            Self::EndlessRefusal => SendOutcome::EndlessRefusal,
            Self::Replaced => SendOutcome::Replaced,
            Self::PermitLapsed => SendOutcome::PermitLapsed,
            Self::Unreachable(..) => SendOutcome::Unreachable,
            Self::ConnectionLost(_) | Self::AnswerLost(_) => SendOutcome::AnswerLost,
            Self::TimedOut => SendOutcome::TimedOut,
        }
    }
}

/// The head of an engine's answer to this attempt. The body has not been read yet.
pub struct EngineAnswer {
    /// The status and headers, and the body to read.
    pub response: http::Response<Incoming>,
    /// The values in the headers: which attempt the engine answers, whether it ran the request, whether the answer is
    /// signed.
    pub metadata: AnswerMetadata,
    /// The connection on which the body arrives. Dropping the connection closes its socket, and the engine then stops
    /// the request.
    pub connection: EngineConnection,
    /// Counts the request as in flight at the engine until this value is dropped.
    pub in_flight: InFlightRequest,
}

/// Records whether the engine's answer was a failure, and adds the answer's connection to the engine's idle ones. Call
/// this function only after the whole body was read.
pub fn record_answer_and_return_connection(
    connection: EngineConnection,
    in_flight: &InFlightRequest,
    is_failure: bool,
) {
    if is_failure {
        in_flight.engine().note_failed_answer();
    } else {
        in_flight.engine().note_success();
    }
    in_flight.engine().return_connection(connection);
}

/// The time limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendLimits {
    /// The moment at which the permit to send to a cold engine expires; `None` for a warm engine, which needs no
    /// permit.
    pub send_by: Option<Instant>,
    /// The moment at which waiting for the head of the answer ends.
    pub give_up_at: Instant,
}

/// Sends a request to an engine and waits for the head of its answer. `attempt` is the identifier that the answer has
/// to repeat. The request is sent over none of the `used` connections, and the one that carries it is added to them.
///
/// # Errors
/// [`AttemptError`].
pub async fn send(
    engine: &Arc<Engine>,
    request: http::Request<Full<Bytes>>,
    attempt: &str,
    dialect: &dyn Dialect,
    limits: SendLimits,
    used: &mut Vec<ConnectionId>,
) -> Result<EngineAnswer, AttemptError> {
    let in_flight = engine.begin_request();
    let waiting = engine.begin_waiting_for_head();
    let exchange = send_over_idle_or_new_connection(engine, request, limits.send_by, used);
    let outcome = tokio::time::timeout_at(limits.give_up_at.into(), exchange).await;
    drop(waiting);
    let (response, mut connection) = match outcome {
        Ok(Ok(answered)) => {
            engine.reachability.note_contact(&engine.entry.id);
            answered
        }
        Ok(Err(AttemptError::PermitLapsed)) => return Err(AttemptError::PermitLapsed),
        Ok(Err(error)) => {
            engine.note_failure();
            if let AttemptError::Unreachable(kind, _) = &error {
                engine.note_unreachable(*kind);
            }
            return Err(error);
        }
        Err(_) => return Err(AttemptError::TimedOut),
    };
    connection.set_idle_timeout(keep_alive_seconds(response.headers()));
    let metadata = dialect.read_answer(response.headers());
    // A late answer to an earlier attempt on this connection tells nothing of this one, even if it is a refusal.
    if metadata.attempt.as_deref().is_some_and(|answered| answered != attempt) {
        return Err(other_attempt_answered(&metadata));
    }
    if metadata.not_executed || response.status() == http::StatusCode::MISDIRECTED_REQUEST {
        return Err(read_refusal(engine, response, &metadata, connection).await);
    }
    if metadata.attempt.as_deref() != Some(attempt) {
        return Err(other_attempt_answered(&metadata));
    }
    if response.status().is_success() && !metadata.sealed {
        return Err(AttemptError::AnswerLost("it is not signed".to_owned()));
    }
    Ok(EngineAnswer { response, metadata, connection, in_flight })
}

fn other_attempt_answered(metadata: &AnswerMetadata) -> AttemptError {
    AttemptError::AnswerLost(format!("an answer to {:?} came", metadata.attempt))
}

/// Sends a request over an idle connection or, if none can carry the request, over a new one. A new connection is not
/// used after `send_by`, when the permit to send to a cold engine expires.
///
/// The `used` connections are not used again: the engine may repeat its refusal of an earlier send there, and the
/// identifier of the attempt would not tell it from an answer to this send.
async fn send_over_idle_or_new_connection(
    engine: &Arc<Engine>,
    mut request: http::Request<Full<Bytes>>,
    send_by: Option<Instant>,
    used: &mut Vec<ConnectionId>,
) -> Result<(http::Response<Incoming>, EngineConnection), AttemptError> {
    while let Some(mut connection) = engine.take_idle_connection(used) {
        used.push(connection.id());
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(SendError::NotSent(unsent)) => request = *unsent,
            Err(SendError::MayHaveRun(reason)) => return Err(AttemptError::ConnectionLost(reason)),
        }
    }
    let opened = EngineConnection::open(engine.address).await;
    let mut connection = opened.map_err(|error| AttemptError::Unreachable(error.kind(), error.to_string()))?;
    engine.reachability.note_contact(&engine.entry.id);
    if send_by.is_some_and(|send_by| Instant::now() >= send_by) {
        engine.return_connection(connection);
        return Err(AttemptError::PermitLapsed);
    }
    used.push(connection.id());
    match connection.send(request).await {
        Ok(response) => Ok((response, connection)),
        Err(SendError::NotSent(_)) => {
            Err(AttemptError::Unreachable(io::ErrorKind::ConnectionAborted, "the connection closed".to_owned()))
        }
        Err(SendError::MayHaveRun(reason)) => Err(AttemptError::ConnectionLost(reason)),
    }
}

/// Returns and records why the engine refused the request. Reads the refusal's body to its end, so that the connection
/// can be used again. The connection is closed if the body does not end soon; the refusal stands all the same.
///
/// The connection is also closed if the refusal does not name the attempt: a late copy of it would be taken for the
/// answer to the next request on the connection.
async fn read_refusal(
    engine: &Arc<Engine>,
    response: http::Response<Incoming>,
    metadata: &AnswerMetadata,
    connection: EngineConnection,
) -> AttemptError {
    let replaced = response.status() == http::StatusCode::MISDIRECTED_REQUEST;
    let body = discard_answer_body(&connection, response.into_body(), MAX_REFUSAL_BYTES);
    let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await;
    if replaced {
        engine.note_replaced();
        return AttemptError::Replaced;
    }
    match read {
        Ok(Ok(_)) => {
            engine.note_full();
            if metadata.attempt.is_some() {
                engine.return_connection(connection);
            }
            AttemptError::Full
        }
        Ok(Err(AnswerBodyError::TooLong(_))) => {
            engine.note_failure();
            AttemptError::EndlessRefusal
        }
        Ok(Err(_)) | Err(_) => {
            engine.note_failure();
            AttemptError::Full
        }
    }
}

/// Returns the idle timeout in seconds from a header such as `Keep-Alive: timeout=5`; `None` without such a header.
fn keep_alive_seconds(headers: &http::HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.trim().parse().ok())
}
