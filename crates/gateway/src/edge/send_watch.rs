//! Watches one send of a request until it is known whether the request may have ended the engine.
//!
//! A send that ends before the engine has answered, because the caller has left or the time is over, shows nothing of
//! the engine. The watch then looks for a while whether the engine runs.

use crate::edge::engine_losses::EngineLossTracker;
use crate::engines::connection::EngineConnection;
use crate::engines::engine::Engine;
use foxnotch_turns::engine_losses::RecordedSend;
use foxnotch_wire::ProgramKey;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit for the check whether an engine runs. An engine that has ended refuses the connection within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// The pauses before the checks of an engine whose request was given up. Most engines drop such a request soon after
/// its connection has closed.
const CHECK_PAUSES: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(300), Duration::from_millis(700)];

/// The outcome of the check whether an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineCheck {
    /// The engine, or another process at its address, accepts connections.
    Accepts,
    /// Nothing listens at the engine's address.
    Refuses,
    /// No answer came in time: the engine may have ended, stand still or be cut off.
    Silent,
}

/// Opens a connection to an engine to find out whether it runs.
pub(super) async fn check_by_connecting(engine: &Arc<Engine>) -> EngineCheck {
    match tokio::time::timeout(CHECK_TIMEOUT, EngineConnection::open(engine.address)).await {
        Ok(Ok(connection)) => {
            engine.reachability.note_contact(&engine.entry.id);
            engine.return_connection(connection);
            EngineCheck::Accepts
        }
        Ok(Err(error)) => {
            engine.note_unreachable(error.kind());
            let is_refused = matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset);
            if is_refused {
                EngineCheck::Refuses
            } else {
                EngineCheck::Silent
            }
        }
        Err(_) => EngineCheck::Silent,
    }
}

/// A send of a request to an engine. Dropping the watch means that the send was given up.
pub(super) struct SendWatch {
    /// `None` once the outcome is known.
    send: Option<WatchedSend>,
}

struct WatchedSend {
    tracker: Arc<EngineLossTracker>,
    program: ProgramKey,
    engine: Arc<Engine>,
    /// The record of the send, if there is one.
    recorded: Option<RecordedSend>,
}

impl SendWatch {
    /// Watches a send that is about to be made.
    pub(super) fn begin(
        tracker: Arc<EngineLossTracker>,
        program: ProgramKey,
        engine: Arc<Engine>,
        recorded: Option<RecordedSend>,
    ) -> Self {
        Self { send: Some(WatchedSend { tracker, program, engine, recorded }) }
    }

    /// Ends the watch: the engine was not lost under the request.
    pub(super) fn finish(mut self) {
        let Some(send) = self.send.take() else { return };
        send.record_outcome();
    }

    /// Ends the watch without an outcome, because the loss of the engine is recorded. If that record is not stored, the
    /// record of the send counts in its place.
    pub(super) fn finish_lost(mut self) {
        self.send = None;
    }
}

impl Drop for SendWatch {
    fn drop(&mut self) {
        let Some(send) = self.send.take() else { return };
        // There is no runtime while the process ends.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(send.watch_abandoned());
        }
    }
}

impl WatchedSend {
    fn record_outcome(&self) {
        if let Some(recorded) = self.recorded {
            self.tracker.record_outcome(self.program, recorded);
        }
    }

    /// Looks several times whether the engine runs after its request was given up, and records it as lost if not.
    async fn watch_abandoned(self) {
        let abandoned_at = Instant::now();
        let mut last = EngineCheck::Silent;
        for pause in CHECK_PAUSES {
            tokio::time::sleep(pause).await;
            last = if self.engine.has_answered_since(abandoned_at) {
                EngineCheck::Accepts
            } else {
                check_by_connecting(&self.engine).await
            };
            if last == EngineCheck::Refuses {
                break;
            }
        }
        match last {
            EngineCheck::Accepts if self.engine.has_answered_since(abandoned_at) => self.record_outcome(),
            // Without an answer, a recorded send goes on to count.
            EngineCheck::Accepts => {}
            EngineCheck::Refuses | EngineCheck::Silent => {
                let has_ended = last == EngineCheck::Refuses;
                self.tracker.store_and_tell_loss(self.program, self.engine.start_number(), has_ended).await;
            }
        }
    }
}
