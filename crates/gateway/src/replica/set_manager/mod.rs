//! Maintains the replica set from the side of one replica. Creates the set, joins the set while it is too small,
//! refills this replica after a loss of its disk, syncs this replica after each change of the set, removes members that
//! are gone, and retires this replica on request.
//!
//! Each turn is written to all members, so the set has only as many members as the tolerance needs, however many
//! replicas run. It has more if turns are restricted to regions and too few members are in those regions. The other
//! replicas are standbys and store no turns. They replace members that are lost or retire.
//!
//! The manager takes one step at a time and retries a step that failed. The set changes only by compare-and-swap on the
//! platform's store. The pure functions of [`foxnotch_turns::replica_set`] decide whether a step is allowed, and if
//! not, why.
//!
//! The manager owns this state: since when members have been silent ([`SilentMembers`]), since when the set has been
//! too small ([`joining::UndersizedSet`]), and the request to retire this replica ([`retiring::Retirement`]). The set
//! itself is owned by [`ReplicaService`], which writes it to disk.

mod joining;
mod refilling;
pub mod restricted_routes;
mod retiring;
mod set_exchange;
mod silent_members;

use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use crate::peers::view::{Origin, ViewHolder};
use crate::ports::store::{MetadataStore, StoreError};
use crate::replica::service::ReplicaService;
use foxnotch_turns::replica_set::{self, decide_bootstrap, BootstrapDecision, SetTarget, WaitReason};
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{ReplicaMember, ReplicaSet};
use joining::UndersizedSet;
use retiring::Retirement;
use silent_members::SilentMembers;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two steps after a step that changed something or failed.
const BUSY_STEP_PERIOD: Duration = Duration::from_millis(150);
/// Time between two steps after a step that had nothing to do.
const IDLE_STEP_PERIOD: Duration = Duration::from_millis(500);

/// Why a step failed or has to wait.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the replica set changed during the step, which is retried with the new version of the set")]
    SetChanged,
    #[error(transparent)]
    Wait(#[from] WaitReason),
}

/// Maintains the replica set from the side of one replica, one step at a time. The module's documentation lists the
/// steps.
pub struct ReplicaSetManager {
    replica: Arc<ReplicaService>,
    client: Arc<RpcClient>,
    members: Arc<Members>,
    view: Arc<ViewHolder>,
    store: Arc<dyn MetadataStore>,
    own: ReplicaMember,
    name: String,
    target: SetTarget,
    regions: ZoneRegions,
    retirement: Mutex<Option<Retirement>>,
    silent_members: SilentMembers,
    undersized_set: Mutex<Option<UndersizedSet>>,
    started_at: Instant,
}

/// The arguments of [`ReplicaSetManager::new`].
pub struct ReplicaSetManagerParts {
    /// The service whose state the manager changes.
    pub replica: Arc<ReplicaService>,
    /// Sends requests to other replicas.
    pub client: Arc<RpcClient>,
    /// The nodes that membership knows.
    pub members: Arc<Members>,
    /// The view, which has the newest set, the retirements and the configuration.
    pub view: Arc<ViewHolder>,
    /// The store from which the manager reads the replica set, and to which it writes new versions.
    pub store: Arc<dyn MetadataStore>,
    /// This replica's entry as a member of the set.
    pub own: ReplicaMember,
    /// This node's name, which requests to retire a replica contain.
    pub name: String,
    /// The size that the set should reach.
    pub target: SetTarget,
    /// The region of each zone, which decides where text restricted to regions may be stored.
    pub regions: ZoneRegions,
}

impl ReplicaSetManager {
    /// Creates a manager; [`Self::run`] starts its steps.
    pub fn new(parts: ReplicaSetManagerParts) -> Self {
        let ReplicaSetManagerParts { replica, client, members, view, store, own, name, target, regions } = parts;
        let silent_members = SilentMembers::new(own.node, members.clone());
        Self {
            replica,
            client,
            members,
            view,
            store,
            own,
            name,
            target,
            regions,
            retirement: Mutex::default(),
            silent_members,
            undersized_set: Mutex::default(),
            started_at: Instant::now(),
        }
    }

    /// Takes steps indefinitely, and logs why a step waits whenever the reason changes.
    pub async fn run(self: Arc<Self>) {
        let mut last_problem = String::new();
        loop {
            let period = match self.take_step().await {
                Ok(true) => BUSY_STEP_PERIOD,
                Ok(false) => IDLE_STEP_PERIOD,
                Err(error) => {
                    let problem = error.to_string();
                    if problem != last_problem {
                        log::info!(
                            target: part::REPLICA,
                            "This replica cannot complete its next step for the replica set yet (such as to join, \
                             refill, sync or retire) and retries: {problem}."
                        );
                        last_problem = problem;
                    }
                    BUSY_STEP_PERIOD
                }
            };
            tokio::time::sleep(period).await;
        }
    }

    /// Takes the next step in maintaining the replica set: bootstrap, refill, sync, retirement, join, or removal of a
    /// dead member. Returns true if the step changed something; the next step should then follow soon.
    async fn take_step(&self) -> Result<bool, StepError> {
        let newest = self.view.replica_set();
        self.replica.adopt_set(&newest, Origin::Peer).await;
        self.record_retirement_request();
        let state = self.replica.state().get();
        if state.set.version == 0 {
            return self.bootstrap(state.complete == 1).await;
        }
        if state.complete != 1 {
            return self.refill(&state.set).await;
        }
        if replica_set::contains(&state.set, self.own.node) && state.synced < state.set.version {
            return self.sync(&state.set).await;
        }
        if let Some(retirement) = self.retirement().filter(|retirement| !retirement.done) {
            return self.retire(&state.set, retirement).await;
        }
        if self.retirement().is_none() && self.should_join(&state.set) {
            return self.take_join_step(&state.set).await;
        }
        self.remove_dead_member(&state.set).await
    }

    /// Reads the set from the store, or writes the first version of the set. `is_first_start` states whether this
    /// replica is complete: among the replicas that know no set, only those of a new deployment are complete.
    async fn bootstrap(&self, is_first_start: bool) -> Result<bool, StepError> {
        let rank = self.standby_rank(&[], &self.standbys(&ReplicaSet::default()));
        let decision = decide_bootstrap(is_first_start, self.started_at.elapsed(), rank);
        if decision == BootstrapDecision::Wait {
            return Ok(false);
        }
        if let Some((set, _)) = self.read_set().await? {
            self.replica.adopt_set(&set, Origin::Store).await;
            return Ok(true);
        }
        if decision == BootstrapDecision::LookUp {
            return Ok(false);
        }
        let set = replica_set::initial_set(self.own);
        self.store.write_replica_set(set.clone(), None).await?;
        log::info!(target: part::REPLICA, "Replica set created: member={}.", self.own.node);
        self.replica.adopt_set(&set, Origin::Store).await;
        self.send_set_to_standbys(&set).await;
        Ok(true)
    }

    /// Checks that this replica adopted no newer set than `set` while a step waited for answers.
    fn check_set_unchanged(&self, set: &ReplicaSet) -> Result<(), StepError> {
        if self.replica.state().replica_set().version == set.version {
            Ok(())
        } else {
            Err(StepError::SetChanged)
        }
    }
}
