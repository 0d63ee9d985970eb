//! Serves requests that are answered by a stream of server-sent events: mostly turns of programs.
//!
//! Each complete event is forwarded to the caller at once. If the route stores turns, the end of the stream is
//! forwarded only after a quorum of replicas has stored the turn's record. When a stream cannot be completed, the
//! caller's connection is closed without the end of the body, so that the caller does not consider the response
//! complete.

use crate::buffer_budget::{BodyBuffer, BuffersFull, Source};
use crate::edge::body::{AnswerBody, Piece};
use crate::edge::call::{prepare_answer_head, Call};
use crate::edge::chain_reader::{ChainError, ChainRecords};
use crate::edge::events::{Event, EventSplitter};
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::edge::stream_origins::ResumedOrigin;
use crate::edge::turn_account::TurnAccount;
use crate::edge::turn_pace::TurnPace;
use crate::edge::turns::TurnError;
use crate::edge::whole_call::read_whole_answer;
use crate::edge::work::WorkGuard;
use crate::engines::answer_body::ends_with_connection;
use crate::engines::attempt::{record_answer_and_return_connection, EngineAnswer};
use crate::engines::connection::EngineConnection;
use crate::engines::engine::InFlightRequest;
use crate::logging::part;
use bytes::Bytes;
use foxnotch_scheduler::program_stage;
use foxnotch_turns::budget::BudgetView;
use foxnotch_turns::chain::{compose_body, NO_TURN};
use foxnotch_turns::identity::turn_id;
use foxnotch_wire::{Content, RunLocation, TurnId, TurnRecord};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The most events that are queued for a caller that reads slowly.
const MAX_QUEUED_PIECES: usize = 16;
/// The longest output of a turn that is stored, in bytes; replicas accept no longer text.
const MAX_OUTPUT_BYTES: usize = 8 * 1024 * 1024;
/// Time limit, from a call's arrival, for reserving tokens, reading the chain and checking the tenant's limit.
/// A gateway that receives nothing from other nodes uses the same limit: with a limit of 60 ms, such a gateway served
/// programs no better.
const MAX_PREPARE_TIME: Duration = Duration::from_millis(900);
/// The shortest time allowed for storing a turn that has ended, even if it exceeds the call's deadline: the engine's
/// work would be lost otherwise.
const MIN_STORE_TIME: Duration = Duration::from_millis(1500);

/// Serves a call on a streaming route.
///
/// # Errors
/// The refusal for the caller.
pub async fn serve(gateway: Arc<Gateway>, mut call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let prepare_deadline = (call.arrived_at + MAX_PREPARE_TIME).min(call.expires_at);
    gateway.check_replica_regions(&call)?;
    let mut account = TurnAccount::open(&gateway, &call);
    let previous = call.metadata.previous.as_deref().filter(|_| call.route.retain);
    let previous = previous.map(|previous| turn_id(call.tenant_name(), previous));
    let (chain, reserved, origin) = tokio::join!(
        read_chain(&gateway, previous, prepare_deadline),
        account.reserve_tokens(prepare_deadline),
        gateway.find_resumed_origin(&call, prepare_deadline),
    );
    let chain = chain?;
    let program = reserved?;
    if let Some(ResumedOrigin { service, origin }) = origin? {
        call.service = service;
        call.required_origin = Some(origin);
    }
    gateway.restrict_to_chain_regions(&mut call, &chain)?;
    // The tenant's limit is checked only after the budget: turns of programs that loop are refused by their budget and
    // must not use up the limit. When both were checked at the same time, a tenant with a limit of 96 requests in 5 s
    // was refused after 31.
    let has_other_turns = program.as_ref().is_some_and(|program| program.has_earlier_turns);
    let continues = call.metadata.previous.is_some() || call.resumes_stream();
    call.stage = program_stage::program_stage_at_turn(continues, has_other_turns);
    let budget = program.map(|program| program.budget);
    gateway.dispatcher.check_admission(&call)?;
    gateway.quotas.count_against_limit(&call, prepare_deadline).await?;
    if gateway.policy.avoid_failed {
        call.avoided = budget.as_ref().map_or(Vec::new(), BudgetView::failed_engines);
    }
    call.previous_engine = previous_engine(&gateway, &call, &chain, budget);
    let body = if chain.is_empty() {
        call.input.clone()
    } else {
        let body = Bytes::from(compose_body(&chain, &call.input));
        gateway.buffers.hold(Source::Payload, body).map_err(Refusal::BuffersFull)?
    };
    drop(chain);
    let mut sends = SendRecord::default();
    let outcome = gateway.dispatcher.dispatch(&call, &body, call.metadata.last_event.as_deref(), &mut sends).await;
    if outcome.is_err() && sends.may_have_run() {
        account.note_engine_failure(&sends);
    }
    let answer = outcome?;
    let pace = TurnPace::begin(&sends);
    if answer.response.status() != StatusCode::OK {
        if answer.response.status().is_server_error() {
            account.note_engine_failure(&sends);
        }
        let engine = answer.in_flight.engine().clone();
        return match read_whole_answer(&call, answer, &gateway.buffers).await {
            Ok(answer) => {
                sends.finish_watch();
                Ok(answer.finish_call(&gateway.metrics, &call))
            }
            Err(refusal) => {
                gateway.dispatcher.note_lost_send(&engine, &mut sends).await;
                Err(refusal)
            }
        };
    }
    if let Err(refusal) = account.wait_for_claim().await {
        sends.finish_watch();
        return Err(refusal);
    }
    Ok(start_stream(gateway, call, account, answer, previous.unwrap_or(NO_TURN), pace, sends))
}

/// Reads from the replicas the chain of turns that a call continues. The chain is empty when the call continues no
/// turn.
async fn read_chain(gateway: &Gateway, previous: Option<TurnId>, deadline: Instant) -> Result<ChainRecords, Refusal> {
    let Some(previous) = previous else { return Ok(Vec::new()) };
    match gateway.turns.fetch_chain(previous, deadline).await {
        Ok(chain) => Ok(chain),
        Err(ChainError::NoSuchTurn) => Err(Refusal::NoSuchTurn),
        Err(ChainError::Unknown(_)) => Err(Refusal::ChainUnknown),
    }
}

/// The engine number of the engine that ran the previous turn, taken from that turn's record or else from the program's
/// budget entries; `None` when neither names the engine.
fn previous_engine(gateway: &Gateway, call: &Call, chain: &ChainRecords, budget: Option<BudgetView>) -> Option<u32> {
    if let Some((_, record)) = chain.last() {
        return Some(record.engine);
    }
    budget.filter(|_| gateway.policy.shared_places)?.engine_with_longest_prefix(&call.part_ids())
}

/// Returns a response with a streamed body, and starts a task that forwards the engine's events to this body.
fn start_stream(
    gateway: Arc<Gateway>,
    call: Call,
    mut account: TurnAccount,
    answer: EngineAnswer,
    previous: TurnId,
    pace: Option<TurnPace>,
    sends: SendRecord,
) -> Response<AnswerBody> {
    let EngineAnswer { response, connection, in_flight, .. } = answer;
    account.entry.run_location = call.run_location_at(in_flight.engine());
    gateway.record_stream_origin(&call, in_flight.engine());
    let (mut head, body) = response.into_parts();
    let ends_with_connection = ends_with_connection(&head);
    prepare_answer_head(&mut head);
    let (pieces, queue) = mpsc::channel(MAX_QUEUED_PIECES);
    let work = WorkGuard::new(&gateway.pending_work);
    let output = BodyBuffer::new(&gateway.buffers, Source::Payload);
    let stream = EventStream {
        gateway,
        call,
        account,
        previous,
        connection: Some(connection),
        ends_with_connection,
        in_flight,
        pieces,
        output,
        pace,
        sends,
    };
    tokio::spawn(async move {
        stream.run(body).await;
        drop(work);
    });
    Response::from_parts(head, AnswerBody::Stream(queue))
}

/// Why a stream ended before the caller had received it completely.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum StreamError {
    #[error("the engine broke off ({0})")]
    EngineAborted(String),
    #[error("the caller left")]
    CallerLeft,
    #[error("the time was over")]
    TimedOut,
    #[error("{0}")]
    BuffersFull(BuffersFull),
    #[error("the turn could not be kept ({0})")]
    NotStored(TurnError),
}

impl StreamError {
    /// Whether the program's budget entries record this end as a failure of the engine.
    fn is_engine_failure(&self) -> bool {
        matches!(self, Self::EngineAborted(_) | Self::TimedOut)
    }

    /// The outcome's label in the metrics, which operators' queries use.
    fn name(&self) -> &'static str {
        match self {
            Self::EngineAborted(_) => "engine_broke",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "stream_timed_out",
            Self::BuffersFull(_) => "buffers_full",
            Self::NotStored(_) => "not_kept",
        }
    }
}

/// A stream in progress, from an engine to a caller.
struct EventStream {
    gateway: Arc<Gateway>,
    call: Call,
    account: TurnAccount,
    /// The turn that this turn continues; `NO_TURN` for a first turn.
    previous: TurnId,
    /// The connection to the engine; `None` once it was closed or returned to the engine's idle connections.
    connection: Option<EngineConnection>,
    /// Whether only the end of that connection ends the engine's answer.
    ends_with_connection: bool,
    in_flight: InFlightRequest,
    /// The queue from which the caller's connection takes the pieces of the response's body.
    pieces: mpsc::Sender<Piece>,
    /// The data of all events received so far, each followed by a line feed; empty if the route stores no turns.
    output: BodyBuffer,
    /// Counts and times the events. When the engine's answer is complete, the service's costs are learned from these
    /// measurements. `None` when no engine was chosen.
    pace: Option<TurnPace>,
    /// The sends of the request, the last of which this stream answers.
    sends: SendRecord,
}

impl EventStream {
    /// Forwards the events, stores the turn if its route stores turns, and logs and counts the outcome.
    async fn run(mut self, body: Incoming) {
        let outcome = match self.forward_events(body).await {
            Ok(()) => self.store_turn().await,
            Err(error) => Err(error),
        };
        self.record_engine_state(&outcome).await;
        let name = outcome.as_ref().err().map_or("answered", StreamError::name);
        self.gateway.metrics.count_call(name, self.call.arrived_at.elapsed());
        let attempt = &self.call.metadata.attempt;
        let engine = &self.in_flight.engine().entry.id;
        match outcome {
            Ok(()) => {
                self.account.note_completed();
                // Sending fails when the caller has disconnected and needs no end of the stream.
                let _ = self.pieces.send(Piece::End).await;
                log::info!(
                    target: part::CALL,
                    "Call {attempt} answered: route={} service={} engine={engine} events={} after={:?}.",
                    self.call.route.name,
                    self.call.service,
                    self.account.events,
                    self.call.arrived_at.elapsed(),
                );
            }
            Err(error) => {
                if error.is_engine_failure() {
                    self.account.entry.run_location = Some(RunLocation::failure_at(self.in_flight.engine().number));
                }
                log::warn!(
                    target: part::CALL,
                    "Call {attempt} broken off: route={} service={} engine={engine} events={} after={:?}: {error}.",
                    self.call.route.name,
                    self.call.service,
                    self.account.events,
                    self.call.arrived_at.elapsed(),
                );
                // Closing the connection to the engine makes the engine stop its work on the call. The caller's
                // connection is closed because `Piece::End` was not sent.
                self.connection = None;
            }
        }
    }

    /// Records whether the engine was lost under the request. The caller's next attempt has to count the loss, so the
    /// connection to the caller stays open until then.
    async fn record_engine_state(&mut self, outcome: &Result<(), StreamError>) {
        let (dispatcher, engine) = (&self.gateway.dispatcher, self.in_flight.engine());
        match outcome {
            Ok(()) | Err(StreamError::NotStored(_) | StreamError::BuffersFull(_)) => {
                self.sends.finish_watch();
            }
            Err(StreamError::EngineAborted(_) | StreamError::TimedOut) => {
                dispatcher.note_lost_send(engine, &mut self.sends).await;
            }
            // Nobody waits for the record, so it is written when the watch is dropped.
            Err(StreamError::CallerLeft) => {}
        }
    }

    /// Forwards events to the caller until the engine's answer is complete.
    async fn forward_events(&mut self, mut body: Incoming) -> Result<(), StreamError> {
        let mut splitter = EventSplitter::default();
        let mut reservation = self.gateway.buffers.begin_read(Source::Payload);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.pieces.closed() => return Err(StreamError::CallerLeft),
                () = tokio::time::sleep_until(self.call.expires_at.into()) => return Err(StreamError::TimedOut),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| {
                self.in_flight.engine().note_failure();
                StreamError::EngineAborted(error.to_string())
            })?;
            if let Some(connection) = &self.connection {
                connection.note_body_progress();
            }
            let Ok(data) = frame.into_data() else { continue };
            reservation.resize(splitter.buffered_bytes() + data.len()).map_err(|full| {
                self.in_flight.engine().note_failure();
                StreamError::BuffersFull(full)
            })?;
            splitter.push(&data);
            while let Some(event) = splitter.next_event().filter(|_| !splitter.is_over_limit()) {
                self.forward_event(event).await?;
            }
            if splitter.is_over_limit() || self.output.len() > MAX_OUTPUT_BYTES {
                self.in_flight.engine().note_failure();
                return Err(StreamError::EngineAborted(
                    "it sent more than an event or a turn may have, or too many events without data".to_owned(),
                ));
            }
        }
        if splitter.buffered_bytes() > 0 {
            return Err(StreamError::EngineAborted("its last event is incomplete".to_owned()));
        }
        if self.ends_with_connection && self.account.events == 0 {
            self.in_flight.engine().note_failure();
            return Err(StreamError::EngineAborted("it closed the connection before the first event".to_owned()));
        }
        if let Some(connection) = self.connection.take() {
            record_answer_and_return_connection(connection, &self.in_flight, false);
        }
        if let Some(sample) = self.pace.as_ref().and_then(TurnPace::sample) {
            self.gateway.dispatcher.costs.update_service(&self.call.service, |costs| costs.add_turn(&sample));
        }
        Ok(())
    }

    /// Sends one event to the caller, and adds its data to the output of a turn that is stored.
    async fn forward_event(&mut self, event: Event) -> Result<(), StreamError> {
        if let Some(data) = &event.data {
            if self.account.events == 0 {
                if let Some(stream) = self.call.begun_stream_key() {
                    self.sends.set_request(stream);
                }
            }
            if !self.account.covers_another_event() {
                return Err(StreamError::EngineAborted("it sent more than the rest of the turn may have".to_owned()));
            }
            self.account.events += 1;
            if let Some(pace) = &mut self.pace {
                pace.note_event();
            }
            if self.call.route.retain {
                self.output.append(data).map_err(StreamError::BuffersFull)?;
                self.output.append(b"\n").map_err(StreamError::BuffersFull)?;
            }
        }
        let raw = self.gateway.buffers.hold(Source::Payload, event.raw).map_err(StreamError::BuffersFull)?;
        let sending = self.pieces.send(Piece::Data(raw));
        match tokio::time::timeout_at(self.call.expires_at.into(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamError::CallerLeft),
            Err(_) => Err(StreamError::TimedOut),
        }
    }

    /// Stores the turn if its route stores turns. The end of the stream may be forwarded only after this has succeeded.
    async fn store_turn(&mut self) -> Result<(), StreamError> {
        if !self.call.route.retain {
            return Ok(());
        }
        let output = BodyBuffer::new(&self.gateway.buffers, Source::Payload);
        let (output, _reservation) = std::mem::replace(&mut self.output, output).into_parts();
        let record = TurnRecord {
            previous: self.previous,
            engine: self.in_flight.engine().number,
            regions: self.gateway.turn_region_ids(&self.call),
            input: Content::from(self.call.input.to_vec()),
            output: Content::from(Vec::from(output)),
        };
        let deadline = self.call.expires_at.max(Instant::now() + MIN_STORE_TIME);
        self.account.store_turn(record, deadline).await.map_err(StreamError::NotStored)
    }
}
