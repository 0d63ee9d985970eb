//! Exchanges between gateways which requests have lost several engines.
//!
//! A gateway that learns of a second loss tells all other gateways, and each gateway regularly asks another one for all
//! that it knows. A gateway that starts also reads the list of suspects from the replicas. Until it has done so, and
//! while it cannot reach another gateway, it may have missed some, and reads the records of each request from the
//! replicas.
//!
//! Gateways of older builds use the same messages: a loss is sent as the entry that the replicas store, and the list of
//! suspects is asked for as a program that no replica stores.

use crate::edge::engine_losses::{EngineLossTracker, LOSS_RETENTION, MIN_LOSSES_TO_TELL};
use crate::locks::lock;
use crate::logging::part;
use crate::peers::addresses::member_socket_address;
use crate::peers::rpc_client::RpcError;
use foxnotch_turns::engine_losses::{EngineLosses, LossRecord};
use foxnotch_wire::{
    DiskIdentity, MemberUpdate, ProgramKey, ReadProgram, ReplicaReport, ReplicaStanding, RpcBody, RunLocation,
    StoreEntry, Stored, TurnEntry,
};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The program whose run locations a gateway answers with the suspects that it knows. No replica stores such a program.
const SUSPECT_LIST: ProgramKey = ProgramKey(0);
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
/// Time after the start within which a gateway gets to know the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Time without an answer of another gateway after which this one may have missed suspects. It allows for two questions
/// that fail.
const CONTACT_LEASE: Duration = Duration::from_secs(3);

impl EngineLossTracker {
    /// Whether this gateway knows all requests under which several engines were lost.
    pub(super) fn knows_all_suspects(&self) -> bool {
        let has_dropped = lock(&self.dropped_at).is_some_and(|dropped_at| dropped_at.elapsed() < LOSS_RETENTION);
        self.knows_earlier_suspects.load(Ordering::Relaxed) && self.hears_of_later_suspects() && !has_dropped
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
            let request = RpcBody::StoreEntry(StoreEntry { set_version: 0, entry: entry.clone() });
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

    /// Answers the question of another gateway for the suspects. The answer is complete if this gateway knows all.
    pub(super) fn answer_suspect_list(&self, request: &ReadProgram) -> RpcBody {
        if request.program != SUSPECT_LIST {
            return RpcBody::NotServed;
        }
        let standing = if self.knows_all_suspects() { ReplicaStanding::Counts } else { ReplicaStanding::Refilling };
        let own = DiskIdentity { node: self.client.own_node(), disk: 0 };
        let report = ReplicaReport { own, standing, others: Vec::new() };
        let mut run_locations = Vec::new();
        for (program, suspect) in lock(&self.suspects).iter() {
            let lost = suspect.losses.lost();
            if lost.len() >= MIN_LOSSES_TO_TELL {
                let location = |engine: &u32| RunLocation { engine: *engine, part: program.0, prompt_tokens: 0 };
                run_locations.extend(lost.iter().map(location));
            }
        }
        RpcBody::Stored(Stored { report, charges: Vec::new(), run_locations })
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

    async fn ask_for_suspects(&self) {
        let gateway = self.members.pick_gateway(None, |_| true);
        let Some(address) = gateway.and_then(|gateway| member_socket_address(&gateway.address)) else { return };
        self.has_known_gateway.store(true, Ordering::Relaxed);
        let request = RpcBody::ReadProgram(ReadProgram { set_version: 0, program: SUSPECT_LIST });
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
            self.merge(ProgramKey(location.part), &EngineLosses::of_records(&[LossRecord::Loss(location.engine)]));
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
