//! Knows the engines that may have ended while they ran a request, over all attempts of the request and all gateways.
//!
//! The replicas store what is known ([`foxnotch_turns::engine_losses`]). Requests under which no engine was lost need no
//! message: a gateway reads the records of a request only if it knows the request as a suspect, or if it may have
//! missed some. What cannot be read or stored counts as unknown, and a request whose losses are unknown is not sent.

use crate::edge::call::Call;
use crate::edge::turns::TurnClient;
use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use foxnotch_turns::engine_losses::{
    loss_program, suspect_index, suspect_index_entry, suspects_in_index, EngineLosses, LossRecord, RecordedSend,
    SendNumber,
};
use foxnotch_wire::ProgramKey;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which records are stored after the last one. It exceeds the time over which callers repeat a request.
pub(super) const LOSS_RETENTION: Duration = Duration::from_secs(60);
/// Time limit for storing records. The caller's answer waits for it, so that the next attempt counts them.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for reading records.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a failed read for which no other read is tried, so that requests which cannot be sent are refused at once
/// while no replicas answer.
const FAILED_READ_PAUSE: Duration = Duration::from_secs(1);
/// Time after the start in which each request waits for its read. After a loss of all power the replicas have started
/// again too, and take a while to answer.
const START_PERIOD: Duration = Duration::from_secs(3);
/// Number of losses from which the other gateways are told. Most requests that lose one engine are served by the next.
pub(super) const MIN_LOSSES_TO_TELL: usize = 2;
/// The most requests whose losses a gateway holds in memory.
const MAX_SUSPECTS: usize = 4096;

/// The losses of a request cannot be read from the replicas or stored there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LossesUnknown;

/// A request under which engines were lost.
pub(super) struct Suspect {
    pub(super) losses: EngineLosses,
    /// When this gateway learned of each loss.
    lost_at: HashMap<u32, Instant>,
    /// When the losses last changed.
    changed_at: Instant,
}

/// The engine losses that this gateway knows.
pub struct EngineLossTracker {
    pub(super) turns: Arc<TurnClient>,
    pub(super) members: Arc<Members>,
    pub(super) client: Arc<RpcClient>,
    pub(super) suspects: Mutex<HashMap<ProgramKey, Suspect>>,
    pub(super) started_at: Instant,
    /// When the replicas last did not answer a read.
    read_failed_at: Mutex<Option<Instant>>,
    /// When a suspect was last dropped before its retention had passed.
    pub(super) dropped_at: Mutex<Option<Instant>>,
    /// Whether this gateway knows all suspects from before its start, or there are none.
    pub(super) knows_earlier_suspects: AtomicBool,
    /// Whether the deployment started together with this gateway.
    pub(super) first_start: bool,
    /// When another gateway last answered with its suspects.
    pub(super) contact_at: Mutex<Option<Instant>>,
    /// Whether another gateway was ever known.
    pub(super) has_known_gateway: AtomicBool,
}

impl EngineLossTracker {
    /// Creates a tracker without losses. At the first start of the deployment there are none that it could miss.
    pub fn new(turns: Arc<TurnClient>, members: Arc<Members>, client: Arc<RpcClient>, first_start: bool) -> Self {
        Self {
            turns,
            members,
            client,
            suspects: Mutex::default(),
            started_at: Instant::now(),
            read_failed_at: Mutex::default(),
            dropped_at: Mutex::default(),
            knows_earlier_suspects: AtomicBool::new(first_start),
            first_start,
            contact_at: Mutex::default(),
            has_known_gateway: AtomicBool::new(false),
        }
    }

    /// Whether no read is tried because the replicas do not answer.
    fn skips_reads(&self) -> bool {
        let has_failed = lock(&self.read_failed_at).is_some_and(|failed_at| failed_at.elapsed() < FAILED_READ_PAUSE);
        has_failed && self.started_at.elapsed() >= START_PERIOD
    }

    /// The records of a request, to be asked before it is sent.
    ///
    /// # Errors
    /// [`LossesUnknown`] when there may be records that this gateway does not know, and no quorum of replicas answers.
    pub(super) async fn losses_of(&self, call: &Call) -> Result<EngineLosses, LossesUnknown> {
        let program = loss_program(call.request_key());
        if self.known_losses(program).is_none() && self.knows_all_suspects() {
            return Ok(EngineLosses::default());
        }
        if self.skips_reads() {
            return Err(LossesUnknown);
        }
        let deadline = call.expires_at.min(Instant::now() + READ_TIMEOUT);
        match self.turns.read_run_locations(program, deadline).await {
            Ok(locations) => Ok(self.merge(program, &EngineLosses::from_run_locations(program, &locations))),
            Err(error) => {
                *lock(&self.read_failed_at) = Some(Instant::now());
                log::warn!(
                    target: part::CALL,
                    "The engines that ended under the request of call {} cannot be read from the replicas, so it is \
                     not sent: request={}: {error}.",
                    call.metadata.attempt,
                    call.request_key(),
                );
                Err(LossesUnknown)
            }
        }
    }

    /// Records a send of a call to an engine before it is made. Returns the send and all records of the request,
    /// including those of other gateways that record a send at the same time.
    ///
    /// # Errors
    /// [`LossesUnknown`] when no quorum of replicas stores the record. It may be stored on some of them.
    pub(super) async fn record_send(
        self: &Arc<Self>,
        call: &Call,
        engine: &Engine,
    ) -> Result<(RecordedSend, EngineLosses), LossesUnknown> {
        let program = loss_program(call.request_key());
        let send = RecordedSend { engine: engine.start_number(), number: SendNumber::from_random(rand::random()) };
        match self.store(program, &[LossRecord::Send(send)]).await {
            Ok(losses) => Ok((send, losses)),
            Err(LossesUnknown) => {
                self.record_outcome(program, send);
                Err(LossesUnknown)
            }
        }
    }

    /// Records in the background that the engine of a send was not lost, or that the send was not made.
    pub(super) fn record_outcome(self: &Arc<Self>, program: ProgramKey, send: RecordedSend) {
        self.merge(program, &EngineLosses::of_records(&[LossRecord::Outcome(send)]));
        let tracker = self.clone();
        // Without the record the send counts as one that may have ended its engine.
        tokio::spawn(async move { tracker.store(program, &[LossRecord::Outcome(send)]).await.ok() });
    }

    /// Records in the background that a request was answered, so that the losses before do not count for equal ones.
    pub(super) fn record_served(self: &Arc<Self>, call: &Call) {
        let program = loss_program(call.request_key());
        let Some(known) = self.known_losses(program).filter(|known| known.lost().len() > known.served_after()) else {
            return;
        };
        let served = LossRecord::Served(u32::try_from(known.lost().len()).unwrap_or(u32::MAX - 1));
        self.merge(program, &EngineLosses::of_records(&[served]));
        let tracker = self.clone();
        // Without the record, other gateways may refuse equal requests.
        tokio::spawn(async move { tracker.store(program, &[served]).await.ok() });
    }

    /// Records that an engine was lost while it ran a call. `has_ended` states whether the engine was found to have
    /// ended. Returns all records of the request. They are written even if the caller leaves meanwhile.
    pub(super) async fn record_loss(self: &Arc<Self>, call: &Call, engine: &Engine, has_ended: bool) -> EngineLosses {
        let program = loss_program(call.request_key());
        let (tracker, number) = (self.clone(), engine.start_number());
        let recording = tokio::spawn(async move { tracker.store_and_tell_loss(program, number, has_ended).await });
        let losses = recording.await.unwrap_or_else(|_| self.known_losses(program).unwrap_or_default());
        log::info!(
            target: part::CALL,
            "Call {} lost its engine, which may have ended under it: request={} engine={} ended={has_ended} losses={}; \
             `losses` counts the engines that were lost under this request, in all attempts.",
            call.metadata.attempt,
            call.request_key(),
            engine.entry.id,
            losses.lost().len(),
        );
        losses
    }

    /// Stores the loss of an engine, and tells the other gateways from the second loss on.
    pub(super) async fn store_and_tell_loss(
        self: &Arc<Self>,
        program: ProgramKey,
        engine: u32,
        has_ended: bool,
    ) -> EngineLosses {
        let loss = LossRecord::Loss(engine);
        let records = [loss, LossRecord::End(engine)];
        let records = if has_ended { &records[..] } else { &records[..1] };
        let stored = self.store(program, records).await;
        let losses = stored.unwrap_or_else(|LossesUnknown| self.known_losses(program).unwrap_or_default());
        if losses.lost().len() >= MIN_LOSSES_TO_TELL {
            tokio::join!(self.add_to_index(program), self.tell_gateways(loss.entry(program, LOSS_RETENTION)));
        }
        losses
    }

    /// Adds a request to the list of suspects on the replicas, which gateways read when they start.
    async fn add_to_index(&self, program: ProgramKey) {
        let entry = suspect_index_entry(program, LOSS_RETENTION);
        if let Err(error) = self.turns.write_entry(&entry, Instant::now() + RECORD_TIMEOUT).await {
            log::warn!(
                target: part::CALL,
                "A request under which engines are lost may not be listed on the replicas, so gateways that start may \
                 not know it: program={:016x}: {error}.",
                program.0,
            );
        }
    }

    /// Reads the list of suspects from the replicas. Returns whether a quorum has answered.
    pub(super) async fn read_index(&self) -> bool {
        let Ok(locations) = self.turns.read_run_locations(suspect_index(), Instant::now() + READ_TIMEOUT).await else {
            return false;
        };
        for program in suspects_in_index(&locations) {
            self.note_suspect(program);
        }
        log::info!(
            target: part::PROCESS,
            "The requests under which engines were lost were read from the replicas: entries={}.",
            locations.len(),
        );
        true
    }

    /// Marks a request as a suspect whose records have to be read.
    fn note_suspect(&self, program: ProgramKey) {
        let mut suspects = lock(&self.suspects);
        if !suspects.contains_key(&program) {
            self.make_room(&mut suspects);
            let (losses, lost_at) = (EngineLosses::default(), HashMap::new());
            suspects.insert(program, Suspect { losses, lost_at, changed_at: Instant::now() });
        }
    }

    /// Stores that lost engines were found to have ended, in the background.
    pub(super) fn record_ends(self: &Arc<Self>, program: ProgramKey, engines: impl IntoIterator<Item = u32>) {
        let records: Vec<LossRecord> = engines.into_iter().map(LossRecord::End).collect();
        if records.is_empty() {
            return;
        }
        let tracker = self.clone();
        // Without the records, the next check finds out again.
        tokio::spawn(async move { tracker.store(program, &records).await.ok() });
    }

    /// Stores records on a quorum of replicas. Returns all records of the request.
    async fn store(&self, program: ProgramKey, records: &[LossRecord]) -> Result<EngineLosses, LossesUnknown> {
        self.merge(program, &EngineLosses::of_records(records));
        let entries: Vec<_> = records.iter().map(|record| record.entry(program, LOSS_RETENTION)).collect();
        match self.turns.write_entries(&entries, Instant::now() + RECORD_TIMEOUT).await {
            Ok(view) => Ok(self.merge(program, &EngineLosses::from_run_locations(program, view.run_locations()))),
            Err(error) => {
                log::warn!(
                    target: part::CALL,
                    "What is known of the engines under a request may not be stored, so other gateways may not know \
                     it: program={:016x} records={records:?}: {error}.",
                    program.0,
                );
                Err(LossesUnknown)
            }
        }
    }

    pub(super) fn known_losses(&self, program: ProgramKey) -> Option<EngineLosses> {
        lock(&self.suspects).get(&program).map(|suspect| suspect.losses.clone())
    }

    /// When this gateway learned that an engine was lost under a request.
    pub(super) fn lost_at(&self, program: ProgramKey, engine: u32) -> Option<Instant> {
        lock(&self.suspects).get(&program)?.lost_at.get(&engine).copied()
    }

    /// Adds records to those that this gateway knows of a request, and returns all that it knows.
    pub(super) fn merge(&self, program: ProgramKey, losses: &EngineLosses) -> EngineLosses {
        if !losses.is_empty() {
            self.note_suspect(program);
        }
        let mut suspects = lock(&self.suspects);
        let Some(suspect) = suspects.get_mut(&program) else { return EngineLosses::default() };
        let before = suspect.losses.clone();
        suspect.losses.merge(losses);
        let now = Instant::now();
        for engine in losses.lost() {
            suspect.lost_at.entry(*engine).or_insert(now);
        }
        if suspect.losses != before {
            suspect.changed_at = Instant::now();
        }
        suspect.losses.clone()
    }

    /// Removes suspects whose last record is too old, and the oldest one if there are too many.
    fn make_room(&self, suspects: &mut HashMap<ProgramKey, Suspect>) {
        suspects.retain(|_, suspect| suspect.changed_at.elapsed() < LOSS_RETENTION);
        if suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = suspects.iter().min_by_key(|(_, suspect)| suspect.changed_at).map(|(program, _)| *program);
        if let Some(oldest) = oldest {
            suspects.remove(&oldest);
            *lock(&self.dropped_at) = Some(Instant::now());
        }
    }
}
