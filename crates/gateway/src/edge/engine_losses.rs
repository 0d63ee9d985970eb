//! Knows the sends of requests under which engines may have ended, over all attempts of a request and all gateways.
//!
//! Before a request is sent, its gateway registers the send at two other gateways, which hold it in memory
//! ([`crate::edge::send_witnesses`]). A send that is lost is stored on the replicas
//! ([`foxnotch_turns::engine_losses`]), and so is each further send of its request. The replicas also take the place of
//! witnesses that do not answer. What cannot be recorded anywhere counts as unknown, and the request is not sent.
//!
//! Equal requests that no program names may come from different callers. Their sends are not registered, because equal
//! requests under way would count for each other; their losses are stored.

use crate::edge::call::Call;
use crate::edge::send_witnesses::SendWitnesses;
use crate::edge::turns::TurnClient;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use foxnotch_turns::engine_losses::{
    loss_program, suspect_index, suspect_index_entry, suspects_in_index, EngineLosses, LossRecord, LostSend,
    RecordedSend, SendNumber,
};
use foxnotch_wire::{ProgramKey, TurnEntry};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// The most requests whose sends a gateway holds in memory.
pub(super) const MAX_SUSPECTS: usize = 4096;
/// Time between two removals of requests whose records are too old.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// The losses of a request cannot be read from the replicas or stored there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LossesUnknown;

/// Why a send cannot be registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RegistrationError {
    /// This gateway or all witnesses have just started, and have not learned of earlier sends yet, or the replicas do not
    /// answer yet.
    Starting,
    /// Neither another gateway nor a quorum of replicas holds the record, or there may be records that only the replicas
    /// have, and they do not answer.
    Unknown,
}

/// A send that other nodes know of.
#[derive(Debug)]
pub(super) struct RegisteredSend {
    pub(super) send: RecordedSend,
    /// The gateways that may hold the record of the send.
    witnesses: Vec<SocketAddr>,
    /// Whether replicas may hold it too.
    is_stored: bool,
}

/// A request that is under way, or under which sends were lost.
pub(super) struct Suspect {
    pub(super) losses: EngineLosses,
    /// When this gateway learned of each lost send.
    lost_at: HashMap<LostSend, Instant>,
    /// Whether the replicas list the request, and their records of it were not read.
    is_unread: bool,
    /// Whether this gateway knows of the request only by the lists of others. It does not list such a request itself:
    /// gateways would tell each other of it for good.
    pub(super) is_known_from_lists: bool,
    /// When the records last changed.
    changed_at: Instant,
}

/// The engine losses that this gateway knows.
pub struct EngineLossTracker {
    pub(super) turns: Arc<TurnClient>,
    pub(super) members: Arc<Members>,
    pub(super) client: Arc<RpcClient>,
    witnesses: Arc<SendWitnesses>,
    pub(super) suspects: Mutex<HashMap<ProgramKey, Suspect>>,
    /// When records that are too old were last removed.
    pruned_at: Mutex<Instant>,
    pub(super) started_at: Instant,
    /// When the replicas last did not answer in time.
    quorum_failed_at: Mutex<Option<Instant>>,
    /// When a suspect was last dropped before its retention had passed.
    pub(super) dropped_at: Mutex<Option<Instant>>,
    /// Whether this gateway knows all suspects from before its start, or there are none.
    pub(super) knows_earlier_suspects: AtomicBool,
    /// Whether this gateway holds the sends that it held before its start, or there are none.
    pub(super) holds_earlier_sends: AtomicBool,
    /// Whether the deployment started together with this gateway.
    pub(super) first_start: bool,
    /// When another gateway last answered with its suspects.
    pub(super) contact_at: Mutex<Option<Instant>>,
    /// Whether another gateway was ever known.
    pub(super) has_known_gateway: AtomicBool,
}

impl EngineLossTracker {
    /// Creates a tracker without losses. At the first start of the deployment there are none that it could miss.
    /// `region_zones` are the numbers of the zones of this gateway's region; `None` if there is only one region.
    pub fn new(
        turns: Arc<TurnClient>,
        members: Arc<Members>,
        client: Arc<RpcClient>,
        first_start: bool,
        region_zones: Option<HashSet<u8>>,
    ) -> Self {
        let witnesses = Arc::new(SendWitnesses::new(members.clone(), client.clone(), region_zones));
        Self {
            turns,
            members,
            client,
            witnesses,
            suspects: Mutex::default(),
            pruned_at: Mutex::new(Instant::now()),
            started_at: Instant::now(),
            quorum_failed_at: Mutex::default(),
            dropped_at: Mutex::default(),
            knows_earlier_suspects: AtomicBool::new(first_start),
            holds_earlier_sends: AtomicBool::new(first_start),
            first_start,
            contact_at: Mutex::default(),
            has_known_gateway: AtomicBool::new(false),
        }
    }

    /// Whether the replicas are not asked because they do not answer.
    fn skips_quorum(&self) -> bool {
        let has_failed = lock(&self.quorum_failed_at).is_some_and(|failed_at| failed_at.elapsed() < FAILED_READ_PAUSE);
        has_failed && self.started_at.elapsed() >= START_PERIOD
    }

    fn note_quorum_failure(&self) {
        *lock(&self.quorum_failed_at) = Some(Instant::now());
    }

    /// Reads the records of a request that is not registered, before it is sent, if this gateway may not know all.
    ///
    /// # Errors
    /// [`LossesUnknown`] when there may be records that this gateway does not know, and no quorum of replicas answers.
    pub(super) async fn read_losses(&self, call: &Call) -> Result<(), LossesUnknown> {
        let program = loss_program(call.request_key());
        if self.known_losses(program).is_none() && self.knows_all_suspects() {
            return Ok(());
        }
        if self.skips_quorum() {
            return Err(LossesUnknown);
        }
        let deadline = call.expires_at.min(Instant::now() + READ_TIMEOUT);
        match self.turns.read_run_locations(program, deadline).await {
            Ok(locations) => {
                self.set_unread(program, false);
                let stored = EngineLosses::from_run_locations(program, &locations);
                self.merge(program, &stored.without_open_sends());
                Ok(())
            }
            Err(error) => {
                self.note_quorum_failure();
                log::warn!(
                    target: part::CALL,
                    "The sends of the request of call {} cannot be read from the replicas, so it is not sent: \
                     request={}: {error}.",
                    call.metadata.attempt,
                    call.request_key(),
                );
                Err(LossesUnknown)
            }
        }
    }

    /// Registers a send of a request before it is made. Returns all records of the request that the asked nodes know,
    /// with this one.
    ///
    /// # Errors
    /// [`RegistrationError`].
    pub(super) async fn register_send(
        self: &Arc<Self>,
        program: ProgramKey,
    ) -> Result<(RegisteredSend, EngineLosses), RegistrationError> {
        if !self.holds_earlier_sends.load(Ordering::Relaxed) {
            return Err(RegistrationError::Starting);
        }
        let send = RecordedSend::before_choice(SendNumber::from_random(rand::random()));
        let record = LossRecord::Send(send);
        let mut known = self.merge(program, &EngineLosses::of_records(&[record]));
        let answers = self.witnesses.store(program, &[record.entry(program, LOSS_RETENTION)]).await;
        known.merge(&EngineLosses::from_run_locations(program, &answers.locations));
        self.merge(program, &known.without_open_sends());
        let mut registered = RegisteredSend { send, witnesses: answers.asked, is_stored: false };
        if answers.held_by == 0 && answers.has_starting {
            self.finish_send(program, registered);
            return Err(RegistrationError::Starting);
        }
        let knows_all = self.knows_suspects_since_start();
        let has_stored_records = self.is_unread(program) || known.lost().next().is_some();
        if answers.held_by == 0 || answers.has_replaced || !knows_all || has_stored_records {
            registered.is_stored = true;
            match self.store_unless_silent(program, &[record]).await {
                Ok(stored) => drop(known.merge(&stored)),
                Err(LossesUnknown) if knows_all && (answers.held_by > 0 || self.is_alone()) => {}
                Err(LossesUnknown) => {
                    self.finish_send(program, registered);
                    let is_starting = self.started_at.elapsed() < START_PERIOD;
                    return Err(if is_starting { RegistrationError::Starting } else { RegistrationError::Unknown });
                }
            }
        }
        Ok((registered, known))
    }

    /// Records that the engine has answered or refused the request, or that the request was not sent.
    pub(super) fn finish_send(self: &Arc<Self>, program: ProgramKey, registered: RegisteredSend) {
        let RegisteredSend { send, witnesses, is_stored } = registered;
        let record = LossRecord::Outcome(send);
        self.merge(program, &EngineLosses::of_records(&[record]));
        self.witnesses.tell_outcome(witnesses, vec![record.entry(program, LOSS_RETENTION)]);
        if is_stored {
            let tracker = self.clone();
            // Without the record the send counts as one that may be lost.
            tokio::spawn(async move { tracker.store(program, &[record]).await.ok() });
        }
    }

    /// Records that a send to an engine was lost, and tells the other gateways. `registered` is `None` if the send was
    /// not registered. Returns all records of the request.
    pub(super) async fn record_loss(
        self: &Arc<Self>,
        program: ProgramKey,
        engine: u32,
        registered: Option<RegisteredSend>,
    ) -> EngineLosses {
        let number = registered.as_ref().map(|registered| registered.send.number);
        let number = number.unwrap_or_else(|| SendNumber::from_random(rand::random()));
        let loss = LossRecord::Loss(engine);
        let mut records = vec![LossRecord::LostSend(RecordedSend { engine, number }), loss];
        // The lost send takes the place of the registered one.
        records.extend(registered.as_ref().map(|registered| LossRecord::Outcome(registered.send)));
        self.merge(program, &EngineLosses::of_records(&records));
        if let Some(registered) = registered {
            self.witnesses.tell_outcome(registered.witnesses, entries_of(program, &records));
        }
        let stored = self.store(program, &records).await;
        let is_stored = stored.is_ok();
        let losses = stored.unwrap_or_else(|LossesUnknown| self.known_losses(program).unwrap_or_default());
        if !is_stored || losses.lost().count() >= MIN_LOSSES_TO_TELL {
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
            self.note_suspect(&mut lock(&self.suspects), program);
            self.set_unread(program, true);
        }
        log::info!(
            target: part::PROCESS,
            "The requests under which engines were lost were read from the replicas: entries={}.",
            locations.len(),
        );
        true
    }

    /// Makes room for the records of a request, if there is none.
    fn note_suspect(&self, suspects: &mut HashMap<ProgramKey, Suspect>, program: ProgramKey) {
        if !suspects.contains_key(&program) {
            self.make_room(suspects);
            let (losses, lost_at) = (EngineLosses::default(), HashMap::new());
            let changed_at = Instant::now();
            let suspect = Suspect { losses, lost_at, is_unread: false, is_known_from_lists: true, changed_at };
            suspects.insert(program, suspect);
        }
    }

    /// Whether the replicas list a request, and their records of it were not read.
    fn is_unread(&self, program: ProgramKey) -> bool {
        lock(&self.suspects).get(&program).is_some_and(|suspect| suspect.is_unread)
    }

    fn set_unread(&self, program: ProgramKey, is_unread: bool) {
        if let Some(suspect) = lock(&self.suspects).get_mut(&program) {
            suspect.is_unread = is_unread;
        }
    }

    /// Stores records like [`Self::store`], unless the replicas did not answer a moment ago.
    async fn store_unless_silent(
        &self,
        program: ProgramKey,
        records: &[LossRecord],
    ) -> Result<EngineLosses, LossesUnknown> {
        if self.skips_quorum() {
            return Err(LossesUnknown);
        }
        self.store(program, records).await
    }

    /// Stores records on a quorum of replicas. Returns all records of the request.
    async fn store(&self, program: ProgramKey, records: &[LossRecord]) -> Result<EngineLosses, LossesUnknown> {
        let entries = entries_of(program, records);
        match self.turns.write_entries(&entries, Instant::now() + RECORD_TIMEOUT).await {
            Ok(view) => {
                self.set_unread(program, false);
                let mut stored = EngineLosses::from_run_locations(program, view.run_locations());
                stored.merge(&self.merge(program, &stored.without_open_sends()));
                Ok(stored)
            }
            Err(error) => {
                self.note_quorum_failure();
                log::warn!(
                    target: part::CALL,
                    "What is known of the sends of a request may not be stored, so other gateways may not know it: \
                     program={:016x} records={records:?}: {error}.",
                    program.0,
                );
                Err(LossesUnknown)
            }
        }
    }

    /// The records that this gateway holds of a request.
    pub(super) fn known_losses(&self, program: ProgramKey) -> Option<EngineLosses> {
        lock(&self.suspects).get(&program).map(|suspect| suspect.losses.clone())
    }

    /// Number of sends of a request that this gateway learned to be lost within a time.
    pub(super) fn recent_losses(&self, program: ProgramKey, time: Duration) -> usize {
        let suspects = lock(&self.suspects);
        let Some(suspect) = suspects.get(&program) else { return 0 };
        let is_recent = |lost: &LostSend| suspect.lost_at.get(lost).is_some_and(|lost_at| lost_at.elapsed() < time);
        suspect.losses.lost().filter(is_recent).count()
    }

    /// Whether this gateway has room for the records of another request.
    pub(super) fn has_room(&self) -> bool {
        lock(&self.suspects).len() < MAX_SUSPECTS
    }

    /// Adds records that this gateway makes, or that another tells it of, to those that it holds of a request. Returns all
    /// that it holds.
    pub(super) fn merge(&self, program: ProgramKey, losses: &EngineLosses) -> EngineLosses {
        self.merge_from(program, losses, false)
    }

    /// Adds records from the list of another gateway.
    pub(super) fn merge_listed(&self, program: ProgramKey, losses: &EngineLosses) {
        self.merge_from(program, losses, true);
    }

    fn merge_from(&self, program: ProgramKey, losses: &EngineLosses, is_known_from_lists: bool) -> EngineLosses {
        let mut suspects = lock(&self.suspects);
        if !losses.is_settled() {
            self.note_suspect(&mut suspects, program);
        }
        let Some(suspect) = suspects.get_mut(&program) else { return EngineLosses::default() };
        suspect.is_known_from_lists &= is_known_from_lists;
        let now = Instant::now();
        if suspect.losses.merge(losses) {
            suspect.changed_at = now;
        }
        for lost in suspect.losses.lost() {
            suspect.lost_at.entry(lost).or_insert(now);
        }
        let known = suspect.losses.clone();
        if known.is_settled() && !suspect.is_unread {
            suspects.remove(&program);
        }
        known
    }

    /// Removes suspects whose last record is too old, and the oldest one if there are too many.
    fn make_room(&self, suspects: &mut HashMap<ProgramKey, Suspect>) {
        let mut pruned_at = lock(&self.pruned_at);
        if pruned_at.elapsed() >= PRUNE_PERIOD || suspects.len() >= MAX_SUSPECTS {
            suspects.retain(|_, suspect| suspect.changed_at.elapsed() < LOSS_RETENTION);
            *pruned_at = Instant::now();
        }
        drop(pruned_at);
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

fn entries_of(program: ProgramKey, records: &[LossRecord]) -> Vec<TurnEntry> {
    records.iter().map(|record| record.entry(program, LOSS_RETENTION)).collect()
}
