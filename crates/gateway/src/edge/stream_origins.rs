//! Stores at which software version a stream began, and finds it when a caller resumes the stream.
//!
//! [`foxnotch_scheduler::stream_version`] decides. This module gathers the facts: the record on the replicas, and the
//! versions of the engines that this gateway knows.

use crate::edge::call::Call;
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::engines::engine::Engine;
use crate::logging::part;
use foxnotch_scheduler::stream_version::{stream_lifetime, ResumeVersion};
use foxnotch_turns::stream_origin::{origin_entry, StreamOrigin};
use std::time::{Duration, Instant};

/// Time limit, from the arrival of the call, for reading the origin of a stream that can also be resumed without it. It
/// exceeds a round trip to the farthest region.
const OPTIONAL_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for storing a stream's origin, unless the call lasts longer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The service and software version at which a stream has to be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ResumedOrigin {
    /// The service whose engine began the stream.
    pub(super) service: String,
    /// The service and version of that engine.
    pub(super) origin: StreamOrigin,
}

impl Gateway {
    /// Stores in the background at which version a stream begins, so that any gateway can resume it. The first event is
    /// not delayed until the origin is stored: a stream without a stored origin is refused, not joined with another
    /// version's.
    pub(super) fn record_stream_origin(&self, call: &Call, engine: &Engine) {
        if !call.route.resumable || call.resumes_stream() {
            return;
        }
        let Some(origin) = engine.stream_origin() else {
            log::info!(
                target: part::CALL,
                "The stream of call {} cannot be resumed while its service has several software versions, because \
                 the version of engine {} is not known.",
                call.metadata.attempt,
                engine.entry.id,
            );
            return;
        };
        let retention = stream_lifetime(Duration::from_millis(call.route.timeout_ms));
        let entry = origin_entry(call.tenant_name(), &call.metadata.attempt, engine.number, origin, retention);
        let deadline = call.expires_at.max(Instant::now() + STORE_TIMEOUT);
        let (turns, attempt) = (self.turns.clone(), call.metadata.attempt.clone());
        self.tickets.run_in_background(async move {
            if let Err(error) = turns.write_entry(&entry, deadline).await {
                log::warn!(
                    target: part::CALL,
                    "The software version at which the stream of call {attempt} began may not be stored, so the \
                     stream may not be resumed: {error}.",
                );
            }
        });
    }

    /// Finds the service and version at which a call has to resume its stream; `None` if it resumes none.
    ///
    /// # Errors
    /// [`Refusal::StreamVersionUnknown`], [`Refusal::StreamVersionGone`].
    pub(super) async fn find_resumed_origin(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> Result<Option<ResumedOrigin>, Refusal> {
        if !call.resumes_stream() {
            return Ok(None);
        }
        let only = self.only_origin_of_route(call);
        let read_deadline =
            if only.is_some() { deadline.min(call.arrived_at + OPTIONAL_READ_TIMEOUT) } else { deadline };
        let recorded = self.read_recorded_origin(call, read_deadline).await;
        let decision = ResumeVersion::decide(recorded, only.as_ref().map(|only| only.origin));
        let (outcome, found) = match decision {
            ResumeVersion::Recorded(origin) => match self.service_of_origin(call, origin) {
                Some(service) => ("recorded", Ok(ResumedOrigin { service, origin })),
                None => ("gone", Err(Refusal::StreamVersionGone)),
            },
            ResumeVersion::Only(origin) => {
                let service = only.map_or_else(|| call.service.clone(), |only| only.service);
                ("only", Ok(ResumedOrigin { service, origin }))
            }
            ResumeVersion::Unknown => ("unknown", Err(Refusal::StreamVersionUnknown)),
        };
        self.metrics.count_resumed_stream(outcome);
        log::info!(
            target: part::CALL,
            "Call {} resumes a stream; the software version that it needs is {outcome}: resumes={} last_event={} \
             service={} only_for={:?} engines={} after={:?}; `only_for` is the time for which this gateway has known \
             only one version of the service.",
            call.metadata.attempt,
            call.metadata.resumes.as_deref().unwrap_or("-"),
            call.metadata.last_event.as_deref().unwrap_or("-"),
            found.as_ref().map_or(call.service.as_str(), |found| found.service.as_str()),
            self.dispatcher.engines.only_version(&call.service).map(|only| only.known_for),
            self.view.get().engines.revision,
            call.arrived_at.elapsed(),
        );
        found.map(Some)
    }

    /// The origin that the replicas store for the stream that a call resumes; `None` if they store none, or if too few
    /// replicas answer.
    async fn read_recorded_origin(&self, call: &Call, deadline: Instant) -> Option<StreamOrigin> {
        let begun_by = call.metadata.resumes.as_deref()?;
        match self.turns.read_stream_origin(call.tenant_name(), begun_by, deadline).await {
            Ok(origin) => origin,
            Err(error) => {
                log::warn!(
                    target: part::CALL,
                    "The software version at which the stream of call {begun_by} began cannot be read, so call {} \
                     may be refused: {error}.",
                    call.metadata.attempt,
                );
                None
            }
        }
    }

    /// The service of the call's route that has an engine of this origin. Engines that get no new requests count, so
    /// that a refusal can tell a version that leaves from a route that has moved.
    fn service_of_origin(&self, call: &Call, origin: StreamOrigin) -> Option<String> {
        let mut services = call.route.backends.iter().map(|backend| &backend.service);
        let has_origin = |service: &&String| {
            let engines = self.dispatcher.engines.engines_of(service);
            engines.iter().any(|engine| engine.stream_origin() == Some(origin))
        };
        services.find(has_origin).cloned()
    }

    /// The service and version at which the stream that a call resumes must have begun, because the call's route has no
    /// other service, and no other version can have begun it.
    fn only_origin_of_route(&self, call: &Call) -> Option<ResumedOrigin> {
        let [backend] = call.route.backends.as_slice() else { return None };
        let only = self.dispatcher.engines.only_version(&backend.service)?;
        let lifetime = stream_lifetime(Duration::from_millis(call.route.timeout_ms));
        only.must_have_begun(lifetime, call.metadata.resumes.is_some()).then(|| ResumedOrigin {
            service: backend.service.clone(),
            origin: StreamOrigin::new(&backend.service, &only.version),
        })
    }
}
