//! Client of one engine. The client sends the state machine's commands to the engine and reports the results as events.

use crate::driver::wall_clock;
use crate::http::{read_whole, Header, HttpClient, HttpError};
use crate::logging::part;
use crate::protocol::engines::{EngineCall, EngineEvent, EngineState};
use foxnotch_core::effect::{EngineCommand, EngineUpdate, Event, StartCall};
use foxnotch_wire::{BranchId, CallKey, EngineId, ProgramId};
use std::time::Duration;
use tokio::sync::mpsc;
use volo_http::client::sse::SseExt;
use volo_http::http::{Method, StatusCode};
use volo_http::response::Response;

/// Time without an event after which an engine's stream is considered lost.
const STREAM_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request for a report, a cancellation or a release.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of attempts to send a release. If all fail, the engine ends the hold itself after the call's
/// `hold_ms`.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
/// Pause between two attempts to send a release.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// The address of one engine, the HTTP client for requests to it, and the channel for the events that result.
pub(super) struct EngineConnection {
    pub(super) client: HttpClient,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) engine: EngineId,
    /// IP:port; none if the engine was in no machine list received so far.
    pub(super) address: Option<String>,
}

/// Identifies one dispatch of a call: the call and the number of the attempt.
#[derive(Clone, Copy)]
struct Dispatch {
    key: CallKey,
    attempt: u32,
}

impl EngineConnection {
    /// Sends a command to the engine and reports the results as events.
    pub(super) async fn execute(self, command: EngineCommand) {
        match command {
            EngineCommand::Start(start) => self.start(start).await,
            EngineCommand::Resume { key, attempt } => self.resume(Dispatch { key, attempt }).await,
            EngineCommand::Cancel { key, attempt } => self.cancel(Dispatch { key, attempt }).await,
            EngineCommand::Release { program, branch } => self.release(program, branch).await,
        }
    }

    async fn report_update(&self, dispatch: Dispatch, update: EngineUpdate) {
        let Dispatch { key, attempt } = dispatch;
        self.send_event(Event::Engine { engine: self.engine, key, attempt, update }).await;
    }

    async fn send_event(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!(target: part::ENGINE, "An event of engine {} was dropped: the driver has ended.", self.engine);
        }
    }

    async fn start(&self, start: StartCall) {
        let dispatch = Dispatch { key: start.key, attempt: start.attempt };
        let Some(address) = &self.address else {
            return self.report_update(dispatch, EngineUpdate::Refused).await;
        };
        let call = EngineCall {
            call: start.key.to_string(),
            attempt: start.attempt,
            epoch: start.epoch.counter,
            model: start.model,
            adapter: start.adapter,
            prompt: String::from_utf8_lossy(&start.prompt).into_owned(),
            maximum_output_tokens: start.maximum_output_tokens,
            priority: start.priority,
            hold_ms: start.hold_ms,
            start_by_ms: start.start_by.0,
        };
        let body = serde_json::to_vec(&call).unwrap_or_default();
        let headers = [Header { name: "content-type", value: "application/json".to_owned() }];
        let sent = self.client.send(Method::POST, address, "/v1/calls", &headers, body).await;
        let update = match sent {
            Ok(response) if response.status() == StatusCode::OK => return self.report_stream(dispatch, response).await,
            Ok(response) => self.read_error_response(address, response).await,
            Err(error) if error.is_undelivered() => EngineUpdate::Refused,
            Err(error) => {
                log::info!(target: part::ENGINE, "The request to engine {} for call {} failed: {error}.", self.engine, start.key);
                EngineUpdate::Lost
            }
        };
        self.report_update(dispatch, update).await;
    }

    /// Reads a response with an error status. The call is reported as refused only if the body says that the engine did
    /// not start it. Otherwise the call may have run and is reported as lost.
    async fn read_error_response(&self, address: &str, response: Response) -> EngineUpdate {
        let answer = read_whole(address, response).await;
        let event = answer.and_then(|answer| answer.json::<EngineEvent>(address));
        match event {
            Ok(EngineEvent::Refused { reason }) => {
                log::info!(target: part::ENGINE, "Engine {} refused a call and did not start it: {reason}.", self.engine);
                EngineUpdate::Refused
            }
            _ => EngineUpdate::Lost,
        }
    }

    async fn resume(&self, dispatch: Dispatch) {
        let Some(address) = &self.address else {
            return self.report_update(dispatch, EngineUpdate::Lost).await;
        };
        let path = format!("/v1/calls/{}/{}", dispatch.key, dispatch.attempt);
        let sent = self.client.send(Method::GET, address, &path, &[], Vec::new()).await;
        let update = match sent {
            Ok(response) if response.status() == StatusCode::OK => return self.report_stream(dispatch, response).await,
            Ok(response) if response.status() == StatusCode::NOT_FOUND => EngineUpdate::Unknown,
            Err(error) if error.is_process_gone() => EngineUpdate::Unknown,
            Ok(_) | Err(_) => EngineUpdate::Lost,
        };
        self.report_update(dispatch, update).await;
    }

    /// Reports the events of a stream until the answer is complete. If the stream ends earlier, sends nothing for
    /// [`STREAM_TIMEOUT`] or cannot be decoded, the call is reported as lost.
    async fn report_stream(&self, dispatch: Dispatch, response: Response) {
        let Ok(mut events) = response.into_sse() else {
            return self.report_update(dispatch, EngineUpdate::Lost).await;
        };
        loop {
            let next = tokio::time::timeout(STREAM_TIMEOUT, events.read()).await;
            let Ok(Ok(Some(event))) = next else { break };
            let parsed = event.data().and_then(|data| serde_json::from_str::<EngineEvent>(data).ok());
            match parsed {
                Some(EngineEvent::Tokens { offset, text }) => {
                    self.report_update(dispatch, EngineUpdate::Tokens { offset, text: text.into_bytes() }).await;
                }
                Some(EngineEvent::Finished { text }) => {
                    return self.report_update(dispatch, EngineUpdate::Finished { text: text.into_bytes() }).await;
                }
                Some(EngineEvent::Refused { .. }) => return self.report_update(dispatch, EngineUpdate::Refused).await,
                None => break,
            }
        }
        log::info!(target: part::ENGINE, "The stream of engine {} for call {} ended, stalled or became unreadable before the answer was complete.", self.engine, dispatch.key);
        self.report_update(dispatch, EngineUpdate::Lost).await;
    }

    async fn cancel(&self, dispatch: Dispatch) {
        let Some(address) = &self.address else { return };
        let path = format!("/v1/calls/{}", dispatch.key);
        let sent = self.client.exchange(Method::DELETE, address, &path, &[], Vec::new(), SHORT_TIMEOUT).await;
        match sent {
            Ok(_) => self.report_update(dispatch, EngineUpdate::Stopped).await,
            Err(error) => {
                log::info!(target: part::ENGINE, "Engine {} did not confirm the cancellation of call {}: {error}.", self.engine, dispatch.key);
            }
        }
    }

    async fn release(&self, program: ProgramId, branch: BranchId) {
        let Some(address) = &self.address else { return };
        let path = format!("/v1/holds/{program}/{}", branch.0);
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let sent = self.client.exchange(Method::DELETE, address, &path, &[], Vec::new(), SHORT_TIMEOUT).await;
            if sent.is_ok() {
                return;
            }
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
        log::info!(target: part::ENGINE, "Engine {} did not confirm the release of program {program}: the engine ends the hold when it expires.", self.engine);
    }

    /// Requests a report of the engine's load and of its cache events with numbers above `after_event`.
    pub(super) async fn request_report(&self, after_event: u64) {
        let Some(address) = &self.address else { return };
        let path = format!("/v1/state?after={after_event}");
        let state: Result<EngineState, HttpError> = self.client.get_json(address, &path, SHORT_TIMEOUT).await;
        match state {
            Ok(state) => {
                let report = state.to_report(wall_clock());
                self.send_event(Event::Report { engine: self.engine, report }).await;
            }
            // Without a new report, the router uses the last one until that is too old.
            Err(error) => log::debug!(target: part::ENGINE, "No report from engine {}: {error}.", self.engine),
        }
    }
}
