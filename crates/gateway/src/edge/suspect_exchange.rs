//! Exchanges between gateways which requests have lost several engines.
//!
//! A gateway that learns of a second loss, or that cannot store a loss, tells all other gateways. Each gateway regularly
//! asks another one for all that it knows. A gateway that starts also reads the list of suspects from the replicas. Until
//! it has done so it may have missed some, and records each send on the replicas, which answer with what they have.
//!
//! Gateways of older builds use the same messages: a loss is sent as the entry that the replicas store, and the list of
//! suspects is asked for as a program that no replica stores.

use crate::edge::engine_losses::{EngineLossTracker, LOSS_RETENTION, MIN_LOSSES_TO_TELL};
use crate::locks::lock;
use crate::logging::part;
use crate::peers::addresses::member_socket_address;
use crate::peers::rpc_client::RpcError;
use foxnotch_turns::engine_losses::{EngineLosses, LossRecord, LostSend, RecordedSend};
use foxnotch_wire::{
    DiskIdentity, MemberUpdate, ProgramKey, ReadProgram, ReplicaReport, ReplicaStanding, RpcBody, RunLocation,
    StoreEntries, StoreEntry, Stored, TurnEntry,
};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The program whose run locations a gateway answers with the suspects that it knows. No replica stores such a program.
const SUSPECT_LIST: ProgramKey = ProgramKey(0);
/// The programs whose run locations a gateway answers with all sends that it holds: those whose outcome it does not know,
/// and those that were lost. Gateways of older builds, which hold none, do not serve them.
const OPEN_SEND_LIST: ProgramKey = ProgramKey(u64::MAX);
const LOST_SEND_LIST: ProgramKey = ProgramKey(u64::MAX - 1);
/// The version of the replica set in requests to gateways, which belong to none.
pub(super) const NO_REPLICA_SET: u64 = 0;
/// The most sends in one list.
const MAX_LISTED_SENDS: usize = 8192;
/// Time limit for telling the other gateways.
const TELL_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause before gateways that have not answered are told again.
const TELL_PAUSE: Duration = Duration::from_millis(300);
/// Number of times that a gateway is told again.
const MAX_TELL_REPEATS: usize = 10;
/// Time limit for another gateway's list of suspects.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two questions for another gateway's suspects, and before the first one.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two questions until this gateway knows the suspects from before its start.
const FIRST_LIST_PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks at the start whether other members are known.
const PULL_PAUSE: Duration = Duration::from_millis(20);
/// Time from the first known member until the list of all members has arrived.
const MEMBER_LIST_TIME: Duration = Duration::from_millis(80);
/// Time after the start within which a gateway gets to know the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Time without an answer of another gateway after which this one may have missed suspects. It allows for two questions
/// that fail.
const CONTACT_LEASE: Duration = Duration::from_secs(3);

impl EngineLossTracker {
    /// Whether this gateway knows all requests under which several engines were lost.
    pub(super) fn knows_all_suspects(&self) -> bool {
        self.knows_suspects_since_start() && self.hears_of_later_suspects()
    }

    /// Whether this gateway has learned of the suspects from before its start, and has dropped none since.
    pub(super) fn knows_suspects_since_start(&self) -> bool {
        let has_dropped = lock(&self.dropped_at).is_some_and(|dropped_at| dropped_at.elapsed() < LOSS_RETENTION);
        let knows_earlier = self.knows_earlier_suspects.load(Ordering::Relaxed);
        knows_earlier && self.holds_earlier_sends.load(Ordering::Relaxed) && !has_dropped
    }

    /// Whether this gateway is the only one, so that no other can hold or make records.
    pub(super) fn is_alone(&self) -> bool {
        let is_alone = !self.has_known_gateway.load(Ordering::Relaxed) && self.members.other_gateway_count() == 0;
        is_alone && (self.first_start || self.started_at.elapsed() >= DISCOVERY_TIME)
    }

    /// Holds the records of a request's sends that another gateway makes, and answers with all that this one holds of the
    /// request.
    pub(super) fn hold_records(&self, request: &StoreEntries) -> RpcBody {
        let Some(program) = request.entries.first().map(|entry| entry.program) else { return RpcBody::NotServed };
        let locations: Vec<RunLocation> = request.entries.iter().filter_map(|entry| entry.run_location).collect();
        let records = EngineLosses::from_run_locations(program, &locations);
        let has_room = self.known_losses(program).is_some() || self.has_room();
        // A write to a replica set that still names this address must not count this gateway's answer.
        let is_for_replica = request.set_version != NO_REPLICA_SET;
        if is_for_replica || records == EngineLosses::default() || !has_room {
            return RpcBody::NotServed;
        }
        let run_locations = self.merge(program, &records).run_locations(program);
        self.answer_with(run_locations, self.holds_earlier_sends.load(Ordering::Relaxed))
    }

    /// An answer in the form of a replica's. `is_complete` states whether nothing may be missing.
    fn answer_with(&self, run_locations: Vec<RunLocation>, is_complete: bool) -> RpcBody {
        let standing = if is_complete { ReplicaStanding::Counts } else { ReplicaStanding::Refilling };
        let own = DiskIdentity { node: self.client.own_node(), disk: 0 };
        let report = ReplicaReport { own, standing, others: Vec::new() };
        RpcBody::Stored(Stored { report, charges: Vec::new(), run_locations })
    }

    /// Whether other gateways can tell this one of suspects, or there are no others.
    fn hears_of_later_suspects(&self) -> bool {
        match *lock(&self.contact_at) {
            Some(contact_at) => contact_at.elapsed() < CONTACT_LEASE,
            None => {
                let is_alone = !self.has_known_gateway.load(Ordering::Relaxed);
                let since_start = self.started_at.elapsed();
                let is_first = self.first_start && (is_alone || since_start < CONTACT_LEASE);
                is_first || (is_alone && since_start >= DISCOVERY_TIME)
            }
        }
    }

    /// Sends an entry to all other gateways, and waits until they have it or the time limit has passed. Gateways that
    /// have not answered are told again in the background.
    pub(super) async fn tell_gateways(self: &Arc<Self>, entry: TurnEntry) {
        let gateways = self.members.live_gateways();
        let count = gateways.len();
        let silent = self.tell(gateways, &entry).await;
        log::info!(
            target: part::CALL,
            "Other gateways were told of a request under which engines are lost: program={:016x} answered={} of={count}.",
            entry.program.0,
            count - silent.len(),
        );
        if !silent.is_empty() {
            let tracker = self.clone();
            tokio::spawn(async move { tracker.tell_again(silent, entry).await });
        }
    }

    async fn tell_again(&self, mut silent: Vec<MemberUpdate>, entry: TurnEntry) {
        for _ in 0..MAX_TELL_REPEATS {
            tokio::time::sleep(TELL_PAUSE).await;
            silent = self.tell(silent, &entry).await;
            if silent.is_empty() {
                return;
            }
        }
        log::info!(
            target: part::CALL,
            "Some gateways did not answer when they were told of a request under which engines are lost; they learn \
             of it from others: program={:016x} silent={}.",
            entry.program.0,
            silent.len(),
        );
    }

    /// Sends an entry to gateways. Returns those that did not answer.
    async fn tell(&self, gateways: Vec<MemberUpdate>, entry: &TurnEntry) -> Vec<MemberUpdate> {
        let tell = |gateway: MemberUpdate| {
            let request = RpcBody::StoreEntry(StoreEntry { set_version: NO_REPLICA_SET, entry: entry.clone() });
            async move {
                let address = member_socket_address(&gateway.address)?;
                let answer = self.client.call(address, request, TELL_TIMEOUT).await;
                // A gateway whose build does not know the message would not understand it later either.
                let is_told = matches!(answer, Ok(_) | Err(RpcError::UnsupportedByNode(_)));
                (!is_told).then_some(gateway)
            }
        };
        futures_util::future::join_all(gateways.into_iter().map(tell)).await.into_iter().flatten().collect()
    }

    /// Adds the record that another gateway sends.
    pub(super) fn learn_from_gateway(&self, entry: &TurnEntry) {
        let locations: Vec<RunLocation> = entry.run_location.into_iter().collect();
        self.merge(entry.program, &EngineLosses::from_run_locations(entry.program, &locations));
    }

    /// Answers the question of another gateway for the suspects, or for all sends that this one holds. The answer is
    /// complete if this gateway knows all suspects.
    pub(super) fn answer_list(&self, request: &ReadProgram) -> RpcBody {
        let min_losses = match request.program {
            SUSPECT_LIST => MIN_LOSSES_TO_TELL,
            LOST_SEND_LIST | OPEN_SEND_LIST => 0,
            _ => return RpcBody::NotServed,
        };
        let mut run_locations = Vec::new();
        for (program, suspect) in lock(&self.suspects).iter() {
            if request.program == OPEN_SEND_LIST {
                run_locations.extend(suspect.losses.open_sends().map(|send| send.listed_location(*program)));
            } else if !suspect.is_known_from_lists && suspect.losses.lost().count() >= min_losses {
                run_locations.extend(suspect.losses.lost().map(|lost| lost.listed_location(*program)));
            }
        }
        run_locations.truncate(MAX_LISTED_SENDS);
        self.answer_with(run_locations, self.knows_all_suspects())
    }

    /// Reads the suspects from the replicas, and asks other gateways for theirs, one at a time, until the process ends.
    pub async fn exchange_suspects(self: Arc<Self>) {
        loop {
            let is_new = !self.knows_earlier_suspects.load(Ordering::Relaxed);
            tokio::time::sleep(if is_new { FIRST_LIST_PERIOD } else { LIST_PERIOD }).await;
            self.ask_for_suspects().await;
            let is_new = !self.knows_earlier_suspects.load(Ordering::Relaxed);
            if is_new && (self.started_at.elapsed() >= LOSS_RETENTION || self.read_index().await) {
                self.knows_earlier_suspects.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Pulls the sends that other gateways hold, once this gateway knows other members or has looked for them long enough.
    pub async fn pull_earlier_sends(self: Arc<Self>) {
        if self.holds_earlier_sends.load(Ordering::Relaxed) {
            return;
        }
        while !self.knows_members() && self.started_at.elapsed() < DISCOVERY_TIME {
            tokio::time::sleep(PULL_PAUSE).await;
        }
        // The first member may be heard of before the list of all arrives.
        tokio::time::sleep(MEMBER_LIST_TIME).await;
        self.pull_held_sends().await;
        self.holds_earlier_sends.store(true, Ordering::Relaxed);
    }

    fn knows_members(&self) -> bool {
        self.members.other_gateway_count() > 0 || !self.members.live_replicas().is_empty()
    }

    /// Asks all gateways for the sends that they hold. This gateway may have held the records of some before it was
    /// started again, and other witnesses may be started again next.
    async fn pull_held_sends(&self) {
        let gateways = self.members.live_gateways();
        let (lost, open) =
            tokio::join!(self.pull_list(&gateways, LOST_SEND_LIST), self.pull_list(&gateways, OPEN_SEND_LIST));
        for location in &lost {
            let (program, record) = LostSend::from_listed_location(*location);
            self.merge(program, &EngineLosses::of_records(&[record]));
        }
        for location in &open {
            let (program, send) = RecordedSend::from_listed_location(*location);
            self.merge(program, &EngineLosses::of_records(&[LossRecord::Send(send)]));
        }
        log::info!(
            target: part::PROCESS,
            "The sends that other gateways hold were pulled: gateways={} lost={} open={}.",
            gateways.len(),
            lost.len(),
            open.len(),
        );
    }

    /// The run locations of a list, from all gateways that answer.
    async fn pull_list(&self, gateways: &[MemberUpdate], list: ProgramKey) -> Vec<RunLocation> {
        let pull = |gateway: &MemberUpdate| {
            let request = RpcBody::ReadProgram(ReadProgram { set_version: NO_REPLICA_SET, program: list });
            let address = member_socket_address(&gateway.address);
            async move { self.client.call(address?, request, LIST_TIMEOUT).await.ok() }
        };
        let answers = futures_util::future::join_all(gateways.iter().map(pull)).await;
        let locations = |answer| match answer {
            Some(RpcBody::Stored(Stored { run_locations, .. })) => run_locations,
            _ => Vec::new(),
        };
        answers.into_iter().flat_map(locations).collect()
    }

    async fn ask_for_suspects(&self) {
        let gateway = self.members.pick_gateway(None, |_| true);
        let Some(address) = gateway.and_then(|gateway| member_socket_address(&gateway.address)) else { return };
        self.has_known_gateway.store(true, Ordering::Relaxed);
        let request = RpcBody::ReadProgram(ReadProgram { set_version: NO_REPLICA_SET, program: SUSPECT_LIST });
        let answer = match self.client.call(address, request, LIST_TIMEOUT).await {
            Ok(RpcBody::Stored(answer)) => answer,
            // A gateway of an older build, which has nothing to tell.
            Ok(_) | Err(RpcError::UnsupportedByNode(_)) => {
                *lock(&self.contact_at) = Some(Instant::now());
                return;
            }
            Err(_) => return,
        };
        for location in &answer.run_locations {
            let (program, record) = LostSend::from_listed_location(*location);
            self.merge_listed(program, &EngineLosses::of_records(&[record]));
        }
        *lock(&self.contact_at) = Some(Instant::now());
        let is_complete = answer.report.standing == ReplicaStanding::Counts;
        if is_complete && !self.knows_earlier_suspects.swap(true, Ordering::Relaxed) {
            log::info!(
                target: part::PROCESS,
                "This gateway knows the requests under which engines were lost: from={} entries={}.",
                answer.report.own.node,
                answer.run_locations.len(),
            );
        }
    }
}
