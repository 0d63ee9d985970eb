//! Stores at which software version a stream began, and finds it when a caller resumes the stream.
//!
//! [`foxnotch_scheduler::stream_version`] decides. This module gathers the facts: the record on the replicas, the
//! versions of the engines that this gateway knows, and the store's confirmation that it knows all of them.

use crate::edge::call::Call;
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::engines::engine::Engine;
use crate::logging::part;
use foxnotch_scheduler::stream_version::{stream_lifetime, OnlyVersion, ResumeVersion};
use foxnotch_turns::stream_origin::{origin_entry, StreamOrigin};
use std::pin::pin;
use std::time::{Duration, Instant};

/// Time from the arrival of the call within which the record of its stream is usually read. Afterwards, the store is
/// asked as well whether the stream can be resumed without the record. It exceeds a round trip to the farthest region.
const PROMPT_READ_TIMEOUT: Duration = Duration::from_millis(250);
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

/// What is known of the record of a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginRecord {
    /// A replica stores this origin.
    Found(StreamOrigin),
    /// A quorum of replicas stores no record.
    Missing,
    /// Too few replicas have answered; there may be a record.
    Unread,
    /// The caller does not name its stream, so no record can be read.
    Unnamed,
}

impl OriginRecord {
    fn name(self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::Missing => "missing",
            Self::Unread => "unread",
            Self::Unnamed => "unnamed",
        }
    }
}

/// Why no version is the only one that can have begun a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoOnlyOrigin {
    /// The record tells the version.
    NotNeeded,
    /// The route has several services, or its service several versions or engines of unknown version.
    SeveralVersions,
    /// Another version may have served since the stream began.
    KnownTooShort,
    /// The store did not confirm the list of engines.
    NotConfirmed,
}

impl NoOnlyOrigin {
    fn name(self) -> &'static str {
        match self {
            Self::NotNeeded => "not_needed",
            Self::SeveralVersions => "several_versions",
            Self::KnownTooShort => "known_too_short",
            Self::NotConfirmed => "not_confirmed",
        }
    }
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
        let (record, only) = self.read_record_or_only_origin(call, deadline).await;
        let recorded = if let OriginRecord::Found(origin) = record { Some(origin) } else { None };
        let decision = ResumeVersion::decide(recorded, only.as_ref().ok().map(|only| only.origin));
        let (outcome, found) = match decision {
            ResumeVersion::Recorded(origin) => match self.find_service_of_origin(call, origin, deadline).await {
                Some(service) => ("recorded", Ok(ResumedOrigin { service, origin })),
                None => ("gone", Err(Refusal::StreamVersionGone)),
            },
            ResumeVersion::Only(origin) => {
                let service = only.as_ref().map_or_else(|_| call.service.clone(), |only| only.service.clone());
                ("only", Ok(ResumedOrigin { service, origin }))
            }
            ResumeVersion::Unknown => ("unknown", Err(Refusal::StreamVersionUnknown)),
        };
        self.metrics.count_resumed_stream(outcome);
        log::info!(
            target: part::CALL,
            "Call {} resumes a stream; the software version that it needs is {outcome}: resumes={} last_event={} \
             service={} record={} only={} only_for={:?} engines={} after={:?}; `only_for` is the time for which this \
             gateway has known only one version of the service, `only` tells whether that version must have begun the \
             stream.",
            call.metadata.attempt,
            call.metadata.resumes.as_deref().unwrap_or("-"),
            call.metadata.last_event.as_deref().unwrap_or("-"),
            found.as_ref().map_or(call.service.as_str(), |found| found.service.as_str()),
            record.name(),
            only.as_ref().map_or_else(|reason| reason.name(), |_| "yes"),
            self.view.only_version(&call.service).map(|only| only.known_for),
            self.view.get().engines.revision,
            call.arrived_at.elapsed(),
        );
        found.map(Some)
    }

    /// Reads the record of the stream that a call resumes. Without a record, or when the replicas are slow to answer,
    /// looks for the only version that can have begun the stream.
    async fn read_record_or_only_origin(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> (OriginRecord, Result<ResumedOrigin, NoOnlyOrigin>) {
        let mut reading = pin!(self.read_origin_record(call, deadline));
        let prompt_deadline = deadline.min(call.arrived_at + PROMPT_READ_TIMEOUT);
        let prompt_answer = tokio::time::timeout_at(prompt_deadline.into(), &mut reading).await;
        match prompt_answer {
            Ok(OriginRecord::Found(origin)) => (OriginRecord::Found(origin), Err(NoOnlyOrigin::NotNeeded)),
            Ok(record) => (record, self.find_only_origin(call, deadline).await),
            Err(_) => match self.find_only_origin(call, deadline).await {
                Ok(only) => (OriginRecord::Unread, Ok(only)),
                Err(reason) => (reading.await, Err(reason)),
            },
        }
    }

    /// Reads the origin that the replicas store for the stream that a call resumes.
    async fn read_origin_record(&self, call: &Call, deadline: Instant) -> OriginRecord {
        let Some(begun_by) = call.metadata.resumes.as_deref() else { return OriginRecord::Unnamed };
        match self.turns.read_stream_origin(call.tenant_name(), begun_by, deadline).await {
            Ok(Some(origin)) => OriginRecord::Found(origin),
            Ok(None) => OriginRecord::Missing,
            Err(error) => {
                log::warn!(
                    target: part::CALL,
                    "The software version at which the stream of call {begun_by} began cannot be read, so call {} \
                     may be refused: {error}.",
                    call.metadata.attempt,
                );
                OriginRecord::Unread
            }
        }
    }

    /// Like [`Self::service_of_origin`], but lets the store confirm the list of engines before an origin counts as gone:
    /// this gateway may not have heard of a version that has just come.
    async fn find_service_of_origin(&self, call: &Call, origin: StreamOrigin, deadline: Instant) -> Option<String> {
        if let Some(service) = self.service_of_origin(call, origin) {
            return Some(service);
        }
        if !self.confirm_engine_list(call, deadline).await {
            return None;
        }
        self.apply_view();
        self.service_of_origin(call, origin)
    }

    /// Lets the store confirm that this gateway's list of engines is newer than the call. Returns false if the store
    /// does not answer.
    async fn confirm_engine_list(&self, call: &Call, deadline: Instant) -> bool {
        let confirmation = self.engine_list_confirmation.confirm_as_of(call.arrived_at);
        matches!(tokio::time::timeout_at(deadline.into(), confirmation).await, Ok(Ok(())))
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
    /// other service, and no other version can have begun it. A caller that names its stream has received an event of
    /// it before the call arrived, so the list of engines has to be newer than the call.
    async fn find_only_origin(&self, call: &Call, deadline: Instant) -> Result<ResumedOrigin, NoOnlyOrigin> {
        let [backend] = call.route.backends.as_slice() else { return Err(NoOnlyOrigin::SeveralVersions) };
        let lifetime = stream_lifetime(Duration::from_millis(call.route.timeout_ms));
        let is_named = call.metadata.resumes.is_some();
        let origin = |only: &OnlyVersion<String>| ResumedOrigin {
            service: backend.service.clone(),
            origin: StreamOrigin::new(&backend.service, &only.version),
        };
        match self.view.only_version(&backend.service) {
            Some(only) if only.must_have_begun(lifetime, is_named) => return Ok(origin(&only)),
            Some(only) if !only.must_have_begun_if_confirmed(lifetime) => return Err(NoOnlyOrigin::KnownTooShort),
            // The store can tell the versions that nodes of older builds left out.
            None if !self.view.misses_software_versions() => return Err(NoOnlyOrigin::SeveralVersions),
            Some(_) | None => {}
        }
        if !self.confirm_engine_list(call, deadline).await {
            return Err(NoOnlyOrigin::NotConfirmed);
        }
        let only = self.view.only_version(&backend.service).ok_or(NoOnlyOrigin::SeveralVersions)?;
        if only.must_have_begun(lifetime, is_named) || only.must_have_begun_if_confirmed(lifetime) {
            Ok(origin(&only))
        } else {
            Err(NoOnlyOrigin::KnownTooShort)
        }
    }
}
