//! Knows the engines whose connection broke while they ran a request, over all attempts of the request and all
//! gateways.
//!
//! The replicas store each loss ([`foxnotch_turns::engine_losses`]). Requests under which no engine was lost need no
//! message: a gateway reads the losses of a request only if it knows the request as a suspect, or if it has started
//! recently and may have missed some. From the second loss on, the gateway that records a loss tells all other gateways.
//! It sends them the same message as the replicas; gateways of older builds answer that they do not serve it.

use crate::edge::call::Call;
use crate::edge::turns::TurnClient;
use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::addresses::member_socket_address;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use foxnotch_turns::engine_losses::{loss_entry, loss_program, served_entry, EngineLosses};
use foxnotch_wire::{
    DiskIdentity, ProgramKey, ReadProgram, ReplicaReport, ReplicaStanding, RpcBody, RunLocation, StoreEntry, Stored,
    TurnEntry,
};
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which losses are stored after the last one. It exceeds the time over which callers repeat a request.
const LOSS_RETENTION: Duration = Duration::from_secs(60);
/// Time limit for storing a loss. The caller's answer waits for it, so that the next attempt counts the loss.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for reading losses. Without an answer in time, those that this gateway knows count.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a failed read for which requests that this gateway does not know as suspects are sent without a read, so
/// that not each of them waits while no replicas answer.
const FAILED_READ_PAUSE: Duration = Duration::from_secs(1);
/// Time after the start in which each request waits for its read. After a loss of all power the replicas have started
/// again too, and take a while to answer.
const START_PERIOD: Duration = Duration::from_secs(3);
/// Time limit for telling the other gateways.
const TELL_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of losses from which the other gateways are told. Most requests that lose one engine are served by the next.
const MIN_LOSSES_TO_TELL: usize = 2;
/// The most requests whose losses a gateway holds in memory.
const MAX_SUSPECTS: usize = 4096;
/// The shortest pause between two attempts to get the suspects from another gateway after the start.
const MIN_LEARN_PAUSE: Duration = Duration::from_millis(200);
/// The longest such pause.
const MAX_LEARN_PAUSE: Duration = Duration::from_secs(5);
/// The program whose run locations a gateway answers with the suspects that it knows. No replica stores such a program.
const SUSPECT_LIST: ProgramKey = ProgramKey(0);

/// A request under which engines were lost.
struct Suspect {
    losses: EngineLosses,
    /// When the losses last changed.
    changed_at: Instant,
}

/// The engine losses that this gateway knows.
pub struct EngineLossTracker {
    turns: Arc<TurnClient>,
    members: Arc<Members>,
    client: Arc<RpcClient>,
    suspects: Mutex<HashMap<ProgramKey, Suspect>>,
    started_at: Instant,
    /// When the replicas last did not answer a read.
    read_failed_at: Mutex<Option<Instant>>,
    /// Whether this gateway knows all suspects: since its start it was told of all later ones.
    is_complete: AtomicBool,
}

impl EngineLossTracker {
    /// Creates a tracker without losses. At the first start of the deployment there are none that it could miss.
    pub fn new(turns: Arc<TurnClient>, members: Arc<Members>, client: Arc<RpcClient>, first_start: bool) -> Self {
        let is_complete = AtomicBool::new(first_start);
        Self {
            turns,
            members,
            client,
            suspects: Mutex::default(),
            started_at: Instant::now(),
            read_failed_at: Mutex::default(),
            is_complete,
        }
    }

    /// Whether requests are sent without a read because the replicas do not answer.
    fn skips_reads(&self) -> bool {
        let has_failed = lock(&self.read_failed_at).is_some_and(|failed_at| failed_at.elapsed() < FAILED_READ_PAUSE);
        has_failed && self.started_at.elapsed() >= START_PERIOD
    }

    fn knows_all_suspects(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed) || self.started_at.elapsed() >= LOSS_RETENTION
    }

    /// The engines that were lost under a request, to be asked before it is sent.
    pub async fn losses_of(&self, call: &Call) -> EngineLosses {
        let program = loss_program(call.request_key());
        let known = self.known_losses(program);
        if known.is_none() && (self.knows_all_suspects() || self.skips_reads()) {
            return EngineLosses::default();
        }
        let deadline = call.expires_at.min(Instant::now() + READ_TIMEOUT);
        match self.turns.read_run_locations(program, deadline).await {
            Ok(locations) => self.merge(program, &EngineLosses::from_run_locations(program, &locations)),
            Err(error) => {
                let known = known.unwrap_or_default();
                *lock(&self.read_failed_at) = Some(Instant::now());
                log::warn!(
                    target: part::CALL,
                    "The engines that ended under the request of call {} cannot be read from the replicas, so only \
                     those that this gateway knows count: request={} known={}: {error}.",
                    call.metadata.attempt,
                    call.request_key(),
                    known.since_served(),
                );
                known
            }
        }
    }

    /// Records that the connection to an engine broke while the engine ran a call. Returns all losses of the request.
    /// The record is written even if the caller leaves meanwhile.
    pub async fn record_loss(self: &Arc<Self>, call: &Call, engine: &Engine) -> EngineLosses {
        let (tracker, program, number) = (self.clone(), loss_program(call.request_key()), engine.number);
        let recording = tokio::spawn(async move { tracker.store_and_tell(program, number).await });
        let losses = recording.await.unwrap_or_else(|_| self.known_losses(program).unwrap_or_default());
        log::info!(
            target: part::CALL,
            "Call {} lost its engine, which may have ended under it: request={} engine={} losses={}; `losses` counts \
             the engines that were lost under this request, in all attempts.",
            call.metadata.attempt,
            call.request_key(),
            engine.entry.id,
            losses.since_served(),
        );
        losses
    }

    async fn store_and_tell(&self, program: ProgramKey, engine: u32) -> EngineLosses {
        let mut lost = EngineLosses::default();
        lost.add(engine);
        let mut losses = self.merge(program, &lost);
        let entry = loss_entry(program, engine, LOSS_RETENTION);
        match self.turns.write_entry(&entry, Instant::now() + RECORD_TIMEOUT).await {
            Ok(view) => {
                losses = self.merge(program, &EngineLosses::from_run_locations(program, view.run_locations()));
            }
            Err(error) => log::warn!(
                target: part::CALL,
                "The loss of an engine under a request may not be stored, so other gateways may send the request to \
                 more engines: program={:016x} engine={engine}: {error}.",
                program.0,
            ),
        }
        if losses.since_served() >= MIN_LOSSES_TO_TELL {
            self.tell_gateways(&entry).await;
        }
        losses
    }

    /// Sends an entry to all other gateways, and waits until they have it or the time limit has passed.
    async fn tell_gateways(&self, entry: &TurnEntry) {
        let tell = |address| {
            let request = RpcBody::StoreEntry(StoreEntry { set_version: 0, entry: entry.clone() });
            async move { self.client.call(address, request, TELL_TIMEOUT).await.is_ok() }
        };
        let gateways = self.members.live_gateways();
        let addresses = gateways.iter().filter_map(|gateway| member_socket_address(&gateway.address));
        let told = futures_util::future::join_all(addresses.map(tell)).await;
        log::info!(
            target: part::CALL,
            "Other gateways were told of a request under which engines are lost: program={:016x} answered={} of={}.",
            entry.program.0,
            told.iter().filter(|answered| **answered).count(),
            told.len(),
        );
    }

    /// Records that the request of a call was served, so the engines that were lost before are no evidence against it.
    pub fn note_served(self: &Arc<Self>, call: &Call) {
        let program = loss_program(call.request_key());
        let Some(mut losses) = self.known_losses(program).filter(|losses| losses.since_served() > 0) else { return };
        losses.note_served();
        let total = losses.total();
        self.merge(program, &losses);
        log::info!(
            target: part::CALL,
            "Call {} was served after engines were lost under its request, so these count no longer: request={} \
             losses={total}.",
            call.metadata.attempt,
            call.request_key(),
        );
        let tracker = self.clone();
        tokio::spawn(async move {
            let entry = served_entry(program, total, LOSS_RETENTION);
            if let Err(error) = tracker.turns.write_entry(&entry, Instant::now() + RECORD_TIMEOUT).await {
                log::warn!(
                    target: part::CALL,
                    "It may not be stored that a request was served after engines were lost under it, so other \
                     gateways may count these engines: program={:016x}: {error}.",
                    program.0,
                );
            }
        });
    }

    /// Adds the entry of a loss that another gateway sends.
    pub fn learn_from_gateway(&self, entry: &TurnEntry) {
        let locations: Vec<RunLocation> = entry.run_location.into_iter().collect();
        let losses = EngineLosses::from_run_locations(entry.program, &locations);
        if losses.total() > 0 {
            self.merge(entry.program, &losses);
        }
    }

    /// Answers the question of a gateway that has started for the suspects. The answer counts if this gateway knows all.
    pub fn answer_suspect_list(&self, request: &ReadProgram) -> RpcBody {
        if request.program != SUSPECT_LIST {
            return RpcBody::NotServed;
        }
        let standing = if self.knows_all_suspects() { ReplicaStanding::Counts } else { ReplicaStanding::Refilling };
        let own = DiskIdentity { node: self.client.own_node(), disk: 0 };
        let report = ReplicaReport { own, standing, others: Vec::new() };
        let suspects = lock(&self.suspects);
        let location = |(program, suspect): (&ProgramKey, &Suspect)| {
            let engines = suspect.losses.engines().iter();
            engines.map(|engine| RunLocation { engine: *engine, part: program.0, prompt_tokens: 0 }).collect::<Vec<_>>()
        };
        RpcBody::Stored(Stored {
            report,
            charges: Vec::new(),
            run_locations: suspects.iter().flat_map(location).collect(),
        })
    }

    /// Asks other gateways for the suspects until one that knows all of them has answered. Until then, this gateway
    /// reads the losses of each request from the replicas.
    pub async fn learn_at_start(self: Arc<Self>) {
        let mut pause = MIN_LEARN_PAUSE;
        while !self.knows_all_suspects() {
            tokio::time::sleep(pause).await;
            pause = (2 * pause).min(MAX_LEARN_PAUSE);
            let gateway = self.members.pick_gateway(None, |_| true);
            let Some(address) = gateway.and_then(|gateway| member_socket_address(&gateway.address)) else { continue };
            let request = RpcBody::ReadProgram(ReadProgram { set_version: 0, program: SUSPECT_LIST });
            let Ok(RpcBody::Stored(answer)) = self.client.call(address, request, READ_TIMEOUT).await else {
                continue;
            };
            for location in &answer.run_locations {
                let mut losses = EngineLosses::default();
                losses.add(location.engine);
                self.merge(ProgramKey(location.part), &losses);
            }
            if answer.report.standing == ReplicaStanding::Counts {
                self.is_complete.store(true, Ordering::Relaxed);
                log::info!(
                    target: part::PROCESS,
                    "This gateway knows the requests under which engines were lost: from={} entries={}.",
                    answer.report.own.node,
                    answer.run_locations.len(),
                );
            }
        }
    }

    /// The engines that were lost under other requests that lost several engines.
    pub fn engines_lost_under_other_suspects(&self, call: &Call) -> BTreeSet<u32> {
        let own = loss_program(call.request_key());
        let suspects = lock(&self.suspects);
        let others = suspects
            .iter()
            .filter(|(program, suspect)| **program != own && suspect.losses.since_served() >= MIN_LOSSES_TO_TELL);
        others.flat_map(|(_, suspect)| suspect.losses.engines()).copied().collect()
    }

    fn known_losses(&self, program: ProgramKey) -> Option<EngineLosses> {
        lock(&self.suspects).get(&program).map(|suspect| suspect.losses.clone())
    }

    /// Adds losses to those that this gateway knows of a request, and returns all that it knows.
    fn merge(&self, program: ProgramKey, losses: &EngineLosses) -> EngineLosses {
        let mut suspects = lock(&self.suspects);
        if losses.total() > 0 && !suspects.contains_key(&program) {
            remove_old_suspects(&mut suspects);
            suspects.insert(program, Suspect { losses: EngineLosses::default(), changed_at: Instant::now() });
        }
        let Some(suspect) = suspects.get_mut(&program) else { return EngineLosses::default() };
        let before = suspect.losses.clone();
        suspect.losses.merge(losses);
        if suspect.losses != before {
            suspect.changed_at = Instant::now();
        }
        suspect.losses.clone()
    }
}

/// Removes suspects whose last loss is too old, and the oldest one if there are too many.
fn remove_old_suspects(suspects: &mut HashMap<ProgramKey, Suspect>) {
    suspects.retain(|_, suspect| suspect.changed_at.elapsed() < LOSS_RETENTION);
    if suspects.len() < MAX_SUSPECTS {
        return;
    }
    let oldest = suspects.iter().min_by_key(|(_, suspect)| suspect.changed_at).map(|(program, _)| *program);
    if let Some(oldest) = oldest {
        suspects.remove(&oldest);
    }
}
