//! Writes turns and their token reservations to the replicas, and reads them back.
//!
//! A write succeeds once a quorum of the replica set has acknowledged it ([`foxnotch_turns::quorum`]). A replica that
//! knows a newer set answers with that set, and the request is sent again to the members of the newer set.

use crate::edge::turn_cache::TurnCache;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::replica_client::ReplicaClient;
use crate::peers::rpc_client::RpcError;
use crate::peers::view::{Origin, ViewHolder};
use foxnotch_turns::budget::{BudgetVerdict, BudgetView};
use foxnotch_turns::quorum::Tally;
use foxnotch_turns::record_quorum::RecordQuorum;
use foxnotch_turns::replica_set::Tolerance;
use foxnotch_turns::resumed_stream::BudgetLimit;
use foxnotch_turns::stream_origin::{origin_in, origin_program, StreamOrigin};
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{
    text_regions, ProgramKey, ReadProgram, RegionId, ReplicaMember, ReplicaSet, ReplicaSetUpdate, ReplicaStanding,
    RpcBody, RunLocation, StoreEntries, StoreEntry, Stored, TurnEntry,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Pause before a request is sent again to a replica that gave no usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time between two checks for a replica set while none is known.
const SET_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Why a request to the replicas failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TurnError {
    /// Fewer replicas answered before the deadline than make a quorum.
    #[error("{counted} of {needed} replicas answered")]
    NoQuorum {
        /// Number of answers that count towards the quorum.
        counted: usize,
        /// Number of answers that make a quorum.
        needed: usize,
    },
    /// No replica set is known.
    #[error("no replica set is known")]
    NoSet,
    /// The set has no member in the regions in which the turn's text may be stored.
    #[error("no replica is in a region that the turn is bound to; add a machine with a disk there")]
    NoReplicaInRegions,
}

/// The answer of one member of a replica set.
pub(super) enum MemberAnswer {
    /// The member processed the request and gave this answer.
    Body(RpcBody),
    /// The member uses a newer replica set and has not processed the request.
    NewerSet(ReplicaSet),
}

/// The outcome of a reservation of tokens.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Whether the reservation fits into the program's budget.
    pub granted: bool,
    /// The program's budget entries, merged from the replicas' answers.
    pub program: BudgetView,
}

/// Sends requests about turns to the replicas.
pub struct TurnClient {
    client: Arc<ReplicaClient>,
    pub(super) view: Arc<ViewHolder>,
    pub(super) cache: TurnCache,
    /// Hash of the name of the gateway's zone.
    pub(super) zone: u32,
    pub(super) tolerance: Tolerance,
    pub(super) regions: ZoneRegions,
    pub(super) metrics: Arc<Metrics>,
    /// Notified when the replica set is missing or seems outdated.
    pub(super) replica_set_refresh_request: Arc<Notify>,
}

impl TurnClient {
    /// Creates a client for a gateway in the zone with the hash `zone`. The client uses the replica set of `view`.
    pub fn new(
        client: Arc<ReplicaClient>,
        view: Arc<ViewHolder>,
        cache: TurnCache,
        zone: u32,
        tolerance: Tolerance,
    ) -> Self {
        let metrics = Arc::default();
        Self {
            client,
            view,
            cache,
            zone,
            tolerance,
            regions: ZoneRegions::default(),
            metrics,
            replica_set_refresh_request: Arc::default(),
        }
    }

    /// Sets the regions of zones, which restrict where text may be stored.
    pub fn with_regions(mut self, regions: ZoneRegions) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the metrics that record how long a quorum takes and how many turns have too few copies.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Returns the handle that is notified when the replica set is missing or seems outdated.
    pub fn replica_set_refresh_request(&self) -> Arc<Notify> {
        self.replica_set_refresh_request.clone()
    }

    /// Waits until a replica set is known.
    pub(super) async fn wait_for_set(&self, deadline: Instant) -> Result<Arc<ReplicaSet>, TurnError> {
        loop {
            let set = self.view.replica_set();
            if set.version > 0 {
                return Ok(set);
            }
            self.replica_set_refresh_request.notify_one();
            if Instant::now() + SET_POLL_PERIOD > deadline {
                return Err(TurnError::NoSet);
            }
            tokio::time::sleep(SET_POLL_PERIOD).await;
        }
    }

    /// Sends the replica set `set` to a member that uses an older set.
    pub(super) async fn send_newer_set(&self, member: &ReplicaMember, set: &ReplicaSet, within: Duration) {
        let update = ReplicaSetUpdate { set: set.clone(), synced: 0 };
        if let Err(error) = self.client.call(member, RpcBody::AdoptSet(update), within).await {
            log::debug!(
                target: part::TURN,
                "Replica {} could not be sent version {} of the replica set: {error}.",
                member.node,
                set.version,
            );
        }
    }

    /// Asks one replica repeatedly until it sends a chain, sends an answer that counts towards a quorum
    /// ([`ReplicaStanding::Counts`]), or reports a newer set. Returns `None` when the deadline passes before that, or
    /// the replica's version does not support the request.
    pub(super) async fn ask_member(
        &self,
        member: ReplicaMember,
        set: &ReplicaSet,
        body: RpcBody,
        deadline: Instant,
    ) -> Option<MemberAnswer> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            match self.client.call(&member, body.clone(), left).await {
                Ok(RpcBody::OtherSet(update)) if update.set.version > set.version => {
                    return Some(MemberAnswer::NewerSet(update.set));
                }
                Ok(RpcBody::OtherSet(_)) => {
                    // The replica has not received this set yet, so the gateway sends it the set and asks again.
                    self.send_newer_set(&member, set, left).await;
                    continue;
                }
                Ok(RpcBody::Stored(stored)) if stored.report.standing == ReplicaStanding::Counts => {
                    return Some(MemberAnswer::Body(RpcBody::Stored(stored)));
                }
                Ok(RpcBody::Chain(chain)) => return Some(MemberAnswer::Body(RpcBody::Chain(chain))),
                // The replica's version does not support the request, so asking again does not help.
                Err(RpcError::UnsupportedByNode(_)) => return None,
                Ok(_) | Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
    }

    /// Sends a request to all replicas at once. Returns the merged answers once a quorum of replicas has answered. Only
    /// answers with [`ReplicaStanding::Counts`] count towards the quorum. When the request carries text that is
    /// restricted to `regions`, the quorum has to include enough of the members in these regions.
    async fn ask_quorum(
        &self,
        deadline: Instant,
        regions: &[RegionId],
        request: impl Fn(&ReplicaMember, u64) -> RpcBody,
    ) -> Result<BudgetView, TurnError> {
        self.ask_quorum_or_until(deadline, regions, request, |_| false).await
    }

    /// Like [`Self::ask_quorum`], but returns the merged answers as soon as `is_enough` returns true for them.
    async fn ask_quorum_or_until(
        &self,
        deadline: Instant,
        regions: &[RegionId],
        request: impl Fn(&ReplicaMember, u64) -> RpcBody,
        is_enough: impl Fn(&BudgetView) -> bool,
    ) -> Result<BudgetView, TurnError> {
        let begun_at = Instant::now();
        loop {
            let set = self.wait_for_set(deadline).await?;
            let quorum = RecordQuorum::of(&set, self.tolerance, &self.regions, regions);
            let quorum = quorum.ok_or(TurnError::NoReplicaInRegions)?;
            let mut tally = Tally::default();
            let mut view = BudgetView::default();
            let members = set.members.iter();
            let mut requests: FuturesUnordered<_> =
                members.map(|member| self.ask_member(*member, &set, request(member, set.version), deadline)).collect();
            let mut newer = None;
            while let Some(answer) = requests.next().await {
                match answer {
                    Some(MemberAnswer::Body(RpcBody::Stored(Stored { report, charges, run_locations }))) => {
                        tally.add(report);
                        view.merge_charges(&charges);
                        view.add_run_locations(&run_locations);
                    }
                    Some(MemberAnswer::NewerSet(set)) => {
                        newer = Some(set);
                        break;
                    }
                    Some(MemberAnswer::Body(_)) | None => {}
                }
                if quorum.is_met_by(&tally) || is_enough(&view) {
                    self.metrics.quorum_seconds.observe(begun_at.elapsed().as_secs_f64());
                    return Ok(view);
                }
            }
            let Some(newer) = newer else {
                self.replica_set_refresh_request.notify_one();
                return Err(TurnError::NoQuorum {
                    counted: tally.counted_reply_count(),
                    needed: quorum.acknowledgements,
                });
            };
            self.view.adopt_set(&newer, Origin::Peer);
        }
    }

    /// Reserves the most tokens that a turn may use, if they fit into the limit. If the reservation is not granted,
    /// the code that called this function has to release it.
    ///
    /// # Errors
    /// [`TurnError`]; some replicas may then store the reservation, and the code that called this function has to
    /// release it.
    pub async fn reserve_tokens(
        &self,
        entry: &TurnEntry,
        limit: impl Into<BudgetLimit>,
        deadline: Instant,
    ) -> Result<Reservation, TurnError> {
        let written = self.write_entry(entry, deadline).await?;
        self.decide_reservation(entry, written, limit, deadline).await
    }

    /// Like [`Self::reserve_tokens`], and releases the entry `replaced` of the same program in the same write. No
    /// replica counts both entries, and none counts neither.
    ///
    /// # Errors
    /// [`TurnError`]; see [`Self::reserve_tokens`].
    pub async fn reserve_in_place_of(
        &self,
        replaced: TurnEntry,
        entry: &TurnEntry,
        budget: u64,
        deadline: Instant,
    ) -> Result<Reservation, TurnError> {
        let released = TurnEntry { used: 0, ..replaced };
        let written = self.write_entries(&[entry.clone(), released], deadline).await?;
        self.decide_reservation(entry, written, budget, deadline).await
    }

    /// Decides whether a reservation that a quorum has stored is granted. `written` holds the program's budget entries
    /// as the replicas reported them when they stored the reservation.
    ///
    /// # Errors
    /// [`TurnError`].
    pub async fn decide_reservation(
        &self,
        entry: &TurnEntry,
        written: BudgetView,
        limit: impl Into<BudgetLimit>,
        deadline: Instant,
    ) -> Result<Reservation, TurnError> {
        let limit = limit.into();
        let mut program = written;
        let mut verdict = program.verdict_after_write(limit.budget);
        if verdict == BudgetVerdict::ReadAgain {
            program.merge(&self.read_budget_entries(entry.program, deadline).await?);
            verdict = program.verdict_after_read(limit.tokens(&program, entry.turn));
        }
        Ok(Reservation { granted: verdict == BudgetVerdict::Granted, program })
    }

    /// Writes an entry to a quorum. Returns the program's budget entries as the answers report them.
    ///
    /// # Errors
    /// [`TurnError`].
    pub async fn write_entry(&self, entry: &TurnEntry, deadline: Instant) -> Result<BudgetView, TurnError> {
        let request = |member: &ReplicaMember, set_version| {
            RpcBody::StoreEntry(StoreEntry { set_version, entry: self.entry_for_member(member, entry) })
        };
        self.ask_quorum(deadline, entry.regions(), request).await
    }

    /// Writes entries of one program to a quorum. Returns the program's budget entries as the answers report them.
    ///
    /// # Errors
    /// [`TurnError`].
    pub async fn write_entries(&self, entries: &[TurnEntry], deadline: Instant) -> Result<BudgetView, TurnError> {
        if let [entry] = entries {
            return self.write_entry(entry, deadline).await;
        }
        let request = |member: &ReplicaMember, set_version| {
            let entries = entries.iter().map(|entry| self.entry_for_member(member, entry)).collect();
            RpcBody::StoreEntries(StoreEntries { set_version, entries })
        };
        self.ask_quorum(deadline, text_regions(entries), request).await
    }

    /// The entry to send to a member. The entry has no text if the member may not store the text.
    fn entry_for_member(&self, member: &ReplicaMember, entry: &TurnEntry) -> TurnEntry {
        if self.regions.may_store_text(member.zone, entry.regions()) {
            entry.clone()
        } else {
            entry.without_text()
        }
    }

    /// Reads a program's budget entries from a quorum.
    ///
    /// # Errors
    /// [`TurnError`].
    pub(super) async fn read_budget_entries(
        &self,
        program: ProgramKey,
        deadline: Instant,
    ) -> Result<BudgetView, TurnError> {
        self.ask_quorum(deadline, &[], |_, set_version| RpcBody::ReadProgram(ReadProgram { set_version, program }))
            .await
    }

    /// Reads the run locations of a program from a quorum.
    ///
    /// # Errors
    /// [`TurnError`].
    pub async fn read_run_locations(
        &self,
        program: ProgramKey,
        deadline: Instant,
    ) -> Result<Vec<RunLocation>, TurnError> {
        Ok(self.read_budget_entries(program, deadline).await?.run_locations().to_vec())
    }

    /// Reads the origin of the stream that an attempt of a caller of `tenant` began. `None` if a quorum of replicas
    /// stores none. One replica that stores it is enough, because an origin is written once.
    ///
    /// # Errors
    /// [`TurnError`] when neither a replica that stores the origin nor a quorum answers before the deadline.
    pub async fn read_stream_origin(
        &self,
        tenant: &str,
        attempt: &str,
        deadline: Instant,
    ) -> Result<Option<StreamOrigin>, TurnError> {
        let program = origin_program(tenant, attempt);
        let request = |_: &ReplicaMember, set_version| RpcBody::ReadProgram(ReadProgram { set_version, program });
        let is_found = |view: &BudgetView| origin_in(view.run_locations()).is_some();
        let view = self.ask_quorum_or_until(deadline, &[], request, is_found).await?;
        Ok(origin_in(view.run_locations()))
    }

    /// Writes a completed turn together with other entries of its program. Afterwards the turn can be continued at
    /// every gateway. Returns the program's budget entries if one of the written entries is not settled, and an empty
    /// view otherwise.
    ///
    /// # Errors
    /// [`TurnError`]; whether the turn is stored is then unknown.
    pub async fn store_finished_turn(
        &self,
        entries: Vec<TurnEntry>,
        deadline: Instant,
    ) -> Result<BudgetView, TurnError> {
        let program = self.write_entries(&entries, deadline).await?;
        for entry in entries.into_iter().filter(|entry| !entry.record.is_empty()) {
            self.report_missing_copies(&entry);
            if let Some(record) = entry.record.into_iter().next() {
                self.cache_record_if_allowed(entry.turn, Arc::new(record));
            }
        }
        Ok(program)
    }
}
