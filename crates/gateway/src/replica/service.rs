//! Answers the requests of gateways and of other replicas.
//!
//! Invariant: an answer that counts toward a quorum is sent only after the data that it depends on is synced to disk,
//! and only while the replica has the same version of the set as the caller.

use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::rpc_server::RpcHandler;
use crate::peers::view::{Origin, ViewHolder};
use crate::peers::view_exchange;
use crate::replica::cold_permit_service::ColdPermitService;
use crate::replica::disk::{Disk, DiskError};
use crate::replica::durable_state::DurableState;
use crate::replica::quota_service::QuotaService;
use crate::replica::stored_view::StoredView;
use crate::replica::ticket_service::TicketService;
use crate::replica::turn_store::TurnStore;
use foxnotch_turns::replica_set;
use foxnotch_wire::{
    FetchEntries, ListMarks, Marks, NodeId, ReadChain, ReadProgram, ReadStoredView, ReplicaReport, ReplicaSet,
    ReplicaStanding, RpcBody, StoreEntries, StoreEntry, Stored, StoredViewHeld, TakeColdPermit, TakeQuota, NOT_SETTLED,
};
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Timeout of an answer from a replica that membership considers dead. Membership may be wrong, so the replica is still
/// called; with a timeout of 1.5 s, the removal of a dead member began only after 3.2 s.
const DEAD_REPLICA_TIMEOUT: Duration = Duration::from_millis(200);

/// Answers requests from this replica's state.
pub struct ReplicaService {
    own: NodeId,
    state: DurableState,
    turns: Arc<TurnStore>,
    disk: Disk,
    view: Arc<ViewHolder>,
    members: Arc<Members>,
    quotas: QuotaService,
    cold_permits: ColdPermitService,
    stored_view: Arc<StoredView>,
    tickets: TicketService,
    /// Held while a list of marks is made: several at a time may need as much memory as the turns.
    listing: Semaphore,
}

/// The arguments of [`ReplicaService::new`].
pub struct ReplicaServiceParts {
    /// This node's identifier.
    pub own: NodeId,
    /// The state that survives a restart of the process.
    pub state: DurableState,
    /// The turns that this replica stores.
    pub turns: TurnStore,
    /// The handle for writes to this replica's disk.
    pub disk: Disk,
    /// The view: configuration, engines, drained zones and the replica set.
    pub view: Arc<ViewHolder>,
    /// The nodes that membership knows.
    pub members: Arc<Members>,
    /// This replica's shares of tenants' rate limits.
    pub quotas: QuotaService,
    /// This replica's shares of the send rates of cold engines.
    pub cold_permits: ColdPermitService,
    /// The configuration, engines and drained zones on this disk.
    pub stored_view: Arc<StoredView>,
}

impl ReplicaService {
    /// Creates the service from the state read from disk, and adds the replica set to the view.
    pub fn new(parts: ReplicaServiceParts) -> Self {
        let ReplicaServiceParts { own, state, turns, disk, view, members, quotas, cold_permits, stored_view } = parts;
        let state_on_disk = state.get();
        view.adopt_set(&state_on_disk.set, Origin::Disk);
        let (turn_count, record_bytes) = turns.turn_count_and_record_bytes();
        log::info!(
            target: part::REPLICA,
            "Disk read (`bytes` is the size of the turns' records, `complete` is 0 until an empty disk is refilled, \
             `set` is the version of the replica set): turns={turn_count} bytes={record_bytes} disk={:016x} \
             complete={} set={}.",
            state_on_disk.disk,
            state_on_disk.complete,
            state_on_disk.set.version,
        );
        let tickets = TicketService::default();
        Self {
            own,
            state,
            turns: Arc::new(turns),
            disk,
            view,
            members,
            quotas,
            cold_permits,
            stored_view,
            tickets,
            listing: Semaphore::new(1),
        }
    }

    /// This node's identifier.
    pub fn own_node(&self) -> NodeId {
        self.own
    }

    /// The state that survives a restart of the process.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// The turns that this replica stores.
    pub fn turns(&self) -> &TurnStore {
        &self.turns
    }

    /// This replica's shares of tenants' rate limits.
    pub fn quotas(&self) -> &QuotaService {
        &self.quotas
    }

    /// This replica's shares of the send rates of cold engines.
    pub fn cold_permits(&self) -> &ColdPermitService {
        &self.cold_permits
    }

    /// The tickets for tokens that were reserved ahead.
    pub fn tickets(&self) -> &TicketService {
        &self.tickets
    }

    /// The configuration, engines and drained zones on this disk.
    pub fn stored_view(&self) -> &Arc<StoredView> {
        &self.stored_view
    }

    /// Timeout for another replica's answer: `longest`, or less if membership considers that replica dead.
    pub fn answer_timeout(&self, node: NodeId, longest: Duration) -> Duration {
        if self.members.is_dead(node) {
            longest.min(DEAD_REPLICA_TIMEOUT)
        } else {
            longest
        }
    }

    /// Adopts a set if it is newer. From then on, requests that name an older version are not executed; their callers
    /// get the newer set instead.
    pub async fn adopt_set(&self, set: &ReplicaSet, origin: Origin) {
        let current = self.state.replica_set();
        if set.version <= current.version {
            return;
        }
        let was_member = replica_set::contains(&current, self.own);
        if !was_member && replica_set::contains(set, self.own) {
            // Must precede any answer to a gateway that has this set: until now, another replica may have granted
            // requests and permits from the shares that this replica takes over.
            self.quotas.reset_on_join();
            self.cold_permits.reset_on_join();
        }
        let newer = set.clone();
        let written = self
            .state
            .change(move |state| {
                if newer.version > state.set.version {
                    state.set = newer;
                }
            })
            .await;
        if let Err(error) = written {
            log::warn!(
                target: part::REPLICA,
                "Version {} of the replica set was adopted but not written to disk; after a restart, this replica \
                 may start with an older version: {error}.",
                set.version,
            );
        }
        self.view.adopt_set(set, origin);
    }

    /// Removes programs whose retention time has passed, and lowers the quota caps of tenants that need less than
    /// before.
    pub fn remove_expired_and_lower_caps(&self) {
        self.turns.remove_expired_programs();
        self.quotas.lower_caps(&self.disk);
    }

    /// Answers a read of the stored view: all revisions, and the contents that are newer than the caller's.
    pub fn answer_stored_view_read(&self, request: &ReadStoredView) -> StoredViewHeld {
        self.stored_view.answer_read(request, self.state.own_report(), self.state.replica_set().version)
    }

    /// The answer to a caller that has another version of the set; none when the versions match.
    fn version_mismatch_answer(&self, version: u64) -> Option<RpcBody> {
        let update = self.state.replica_set_update();
        (update.set.version != version).then_some(RpcBody::OtherSet(update))
    }

    async fn handle_store(&self, request: StoreEntries) -> RpcBody {
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        let Some(program) = request.entries.first().map(|entry| entry.program) else { return RpcBody::NotServed };
        let is_reservation = request.entries.iter().any(|entry| entry.used == NOT_SETTLED);
        let stores_all_texts = request.entries.iter().all(|entry| self.turns.may_store_with_text(entry));
        let stored = if self.turns.is_full() {
            Err(DiskError::Refused("the memory for turns is full".to_owned()))
        } else {
            self.turns.store(request.entries).await
        };
        // The set may have changed while the disk wrote.
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        let report = self.state.own_report();
        // Only a reservation needs the program's charges, which are much longer than all other answers.
        let mut answer = if is_reservation {
            self.turns.program_charges(program, report)
        } else {
            Stored { report, charges: Vec::new(), run_locations: Vec::new() }
        };
        if !stores_all_texts {
            // This replica may not store the text of some entry, so the caller must not count this replica as holding a
            // copy.
            answer.report.standing = ReplicaStanding::Refilling;
        }
        if let Err(error) = stored {
            log::warn!(
             target: part::REPLICA,
             "The turn entries that a gateway sent were not stored; the gateway is told that this replica is full: \
              {error}.",
            );
            answer.report.standing = ReplicaStanding::Full;
        }
        RpcBody::Stored(answer)
    }

    fn handle_read_program(&self, request: &ReadProgram) -> RpcBody {
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        RpcBody::Stored(self.turns.program_charges(request.program, self.state.own_report()))
    }

    async fn handle_read_chain(&self, request: &ReadChain) -> RpcBody {
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        RpcBody::Chain(self.turns.chain(request.turn, self.state.own_report()).await)
    }

    async fn handle_take_quota(&self, request: &TakeQuota) -> RpcBody {
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        let members = self.state.replica_set().members.len();
        self.quotas.answer(request, members, &self.disk).await
    }

    fn handle_take_cold_permit(&self, request: &TakeColdPermit) -> RpcBody {
        if let Some(other) = self.version_mismatch_answer(request.set_version) {
            return other;
        }
        let set = self.state.replica_set();
        match set.members.iter().position(|member| member.node == self.own) {
            Some(share) => self.cold_permits.answer(request, set.members.len(), share),
            None => RpcBody::NotServed,
        }
    }

    async fn handle_read_stored_view(&self, request: ReadStoredView) -> RpcBody {
        self.adopt_set(&request.set, Origin::Peer).await;
        RpcBody::StoredViewHeld(self.answer_stored_view_read(&request))
    }

    async fn handle_list_marks(&self, request: ListMarks) -> RpcBody {
        self.state.record_peer_disk(request.own).await;
        self.adopt_set(&request.set, Origin::Peer).await;
        let update = self.state.replica_set_update();
        let _permit = self.listing.acquire().await;
        let marks = self.turns.marks();
        let state = self.state.get();
        // A replica that refills needs the disk identities of all replicas that this one knows, not only of the
        // members.
        let report = ReplicaReport { others: state.peers, ..self.state.own_report() };
        RpcBody::Marks(Marks { report, set: update.set, synced: update.synced, complete: state.complete, marks })
    }

    async fn handle_fetch_entries(&self, request: FetchEntries) -> RpcBody {
        RpcBody::Entries(self.turns.entries_for(request).await)
    }

    async fn answer(&self, body: RpcBody) -> RpcBody {
        match body {
            RpcBody::StoreEntry(StoreEntry { set_version, entry }) => {
                self.handle_store(StoreEntries { set_version, entries: vec![entry] }).await
            }
            RpcBody::StoreEntries(request) => self.handle_store(request).await,
            RpcBody::Ticket(request) => self.tickets.answer(request),
            RpcBody::ReadProgram(request) => self.handle_read_program(&request),
            RpcBody::ReadChain(request) => self.handle_read_chain(&request).await,
            RpcBody::TakeQuota(request) => self.handle_take_quota(&request).await,
            RpcBody::TakeColdPermit(request) => self.handle_take_cold_permit(&request),
            RpcBody::ListMarks(request) => self.handle_list_marks(request).await,
            RpcBody::FetchEntries(request) => self.handle_fetch_entries(request).await,
            RpcBody::AdoptSet(update) => {
                self.adopt_set(&update.set, Origin::Peer).await;
                RpcBody::SetKnown(self.state.replica_set_update())
            }
            RpcBody::PullMembers(requester) => self.members.answer_member_pull(requester),
            RpcBody::ShowMembers => self.members.list_members(),
            RpcBody::ShowSet => RpcBody::SetKnown(self.state.replica_set_update()),
            RpcBody::PullView(caller_revisions) => {
                RpcBody::View(view_exchange::build_update_for_peer(&self.view, &caller_revisions))
            }
            RpcBody::ShowView => RpcBody::View(view_exchange::summarize_view(&self.view.get())),
            RpcBody::ReadStoredView(request) => self.handle_read_stored_view(request).await,
            _ => RpcBody::NotServed,
        }
    }
}

impl RpcHandler for ReplicaService {
    fn handle(self: Arc<Self>, _from: NodeId, body: RpcBody) -> BoxFuture<'static, RpcBody> {
        Box::pin(async move { self.answer(body).await })
    }
}
