//! Watches one send of a request until it is known whether the request may have ended the engine.
//!
//! A send that ends before the engine has answered or refused, because the caller has left or the time is over, shows
//! nothing of the engine, so it counts as lost.

use crate::edge::engine_losses::{EngineLossTracker, RegisteredSend};
use crate::engines::connection::EngineConnection;
use crate::engines::engine::Engine;
use crate::logging::part;
use foxnotch_turns::engine_losses::{loss_program, RecordedSend};
use foxnotch_turns::identity::RequestKey;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for the check whether an engine can be reached. One that has ended refuses the connection within a round
/// trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens a connection to an engine under which a send was lost, so that an engine that cannot be reached gets no other
/// requests.
pub(super) async fn check_reachability(engine: Arc<Engine>) {
    if let Ok(opened) = tokio::time::timeout(CHECK_TIMEOUT, EngineConnection::open(engine.address)).await {
        match opened {
            Ok(connection) => {
                engine.reachability.note_contact(&engine.entry.id);
                engine.return_connection(connection);
            }
            Err(error) => engine.note_unreachable(error.kind()),
        }
    }
}

/// A send of a request to an engine, from its registration on. Dropping the watch of a send that was made means that the
/// send is lost.
pub(super) struct SendWatch {
    tracker: Arc<EngineLossTracker>,
    request: RequestKey,
    /// The attempt of the caller, for the logs.
    attempt: String,
    /// The registration; `None` if the send is not registered.
    registered: Option<RegisteredSend>,
    /// The engine that may run the request; `None` while no engine does.
    running_at: Option<Arc<Engine>>,
}

impl SendWatch {
    /// Watches a send that is not made yet.
    pub(super) fn begin(
        tracker: Arc<EngineLossTracker>,
        request: RequestKey,
        attempt: &str,
        registered: Option<RegisteredSend>,
    ) -> Self {
        Self { tracker, request, attempt: attempt.to_owned(), registered, running_at: None }
    }

    /// The record of the send, if it is registered.
    pub(super) fn recorded_send(&self) -> Option<RecordedSend> {
        self.registered.as_ref().map(|registered| registered.send)
    }

    /// The request is now sent to an engine.
    pub(super) fn note_sent(&mut self, engine: &Arc<Engine>) {
        self.running_at = Some(engine.clone());
    }

    /// The caller has received events and resumes the stream by its name, so the send counts under that name.
    pub(super) fn set_request(&mut self, request: RequestKey) {
        self.request = request;
    }

    /// The engine has refused the request without running it. The watch serves for the next engine.
    pub(super) fn note_not_run(&mut self) {
        self.running_at = None;
    }

    /// Ends the watch: the engine has answered.
    pub(super) fn finish(mut self) {
        self.note_not_run();
    }

    /// Ends the watch of a send that was lost. Returns once that is recorded.
    pub(super) async fn finish_lost(mut self) {
        let Some(engine) = self.running_at.take() else { return };
        // The records are written even if the caller leaves meanwhile. The task logs what it could not record.
        tokio::spawn(self.detach().record_loss(engine)).await.ok();
    }

    /// Moves the watched send into a watch of its own, so that dropping this one does nothing.
    fn detach(&mut self) -> Self {
        Self {
            tracker: self.tracker.clone(),
            request: self.request,
            attempt: std::mem::take(&mut self.attempt),
            registered: self.registered.take(),
            running_at: None,
        }
    }

    async fn record_loss(mut self, engine: Arc<Engine>) {
        let (program, number) = (loss_program(self.request), engine.start_number());
        let losses = self.tracker.record_loss(program, number, self.registered.take()).await;
        log::info!(
            target: part::CALL,
            "Call {} lost its engine, which may have ended under it: request={} engine={} losses={}; `losses` \
             counts the sends of this request that got neither an answer nor a refusal, in all attempts.",
            self.attempt,
            self.request,
            engine.entry.id,
            losses.lost().count(),
        );
    }
}

impl Drop for SendWatch {
    fn drop(&mut self) {
        // There is no runtime while the process ends.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if let Some(engine) = self.running_at.take() {
            runtime.spawn(self.detach().record_loss(engine));
        } else if let Some(registered) = self.registered.take() {
            self.tracker.finish_send(loss_program(self.request), registered);
        }
    }
}
