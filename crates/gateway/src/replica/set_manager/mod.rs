//! Maintains the replica set: bootstraps it, joins it while it is too small, refills, syncs after each change, takes
//! out members that are gone, and retires.
//!
//! The set has as many members as the tolerance needs, however many replicas run: each turn is written to all members.
//! It has more where turns are bound to regions and too few of the members are there. The other replicas stand by and
//! hold nothing. They take the places of members that are lost, and of members that retire.
//!
//! One step at a time; each step may fail and is taken again. Only compare-and-swap on the platform's store changes the
//! set. What may be done, and why not yet, is decided by the pure functions of [`foxnotch_turns::replica_set`].
//!
//! State: [`SilentMembers`] since when members are silent, [`joining::TooSmall`] since when the set is too small,
//! [`retiring::Retirement`] the request to retire this replica. The set itself belongs to the replica, which writes it
//! to disk.

pub mod bound_routes;
mod joining;
mod refilling;
mod retiring;
mod set_exchange;
mod silent_members;

use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use crate::peers::view::{Origin, ViewHolder};
use crate::ports::store::{MetadataStore, StoreError};
use crate::replica::service::ReplicaService;
use foxnotch_turns::replica_set::{self, may_bootstrap, BootstrapDecision, SetTarget, WaitReason};
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{ReplicaMember, ReplicaSet};
use joining::TooSmall;
use retiring::Retirement;
use silent_members::SilentMembers;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two steps while there is something to do.
const BUSY_PERIOD: Duration = Duration::from_millis(150);
/// Time between two checks while there is nothing to do.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// Why a step was not taken.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the set has changed meanwhile")]
    Overtaken,
    #[error(transparent)]
    Wait(#[from] WaitReason),
}

/// Takes the steps of one replica.
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
    too_small: Mutex<Option<TooSmall>>,
    started_at: Instant,
}

/// What the manager works with.
pub struct ReplicaSetManagerParts {
    /// The replica.
    pub replica: Arc<ReplicaService>,
    /// Calls other nodes.
    pub client: Arc<RpcClient>,
    /// The members.
    pub members: Arc<Members>,
    /// The view.
    pub view: Arc<ViewHolder>,
    /// The platform's store.
    pub store: Arc<dyn MetadataStore>,
    /// This replica as a member.
    pub own: ReplicaMember,
    /// This node's name.
    pub name: String,
    /// How large the set should be.
    pub target: SetTarget,
    /// The regions of zones.
    pub regions: ZoneRegions,
}

impl ReplicaSetManager {
    /// A manager that has taken no step yet.
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
            too_small: Mutex::default(),
            started_at: Instant::now(),
        }
    }

    /// Takes steps for ever.
    pub async fn run(self: Arc<Self>) {
        let mut last_problem = String::new();
        loop {
            let period = match self.step().await {
                Ok(true) => BUSY_PERIOD,
                Ok(false) => IDLE_PERIOD,
                Err(error) => {
                    let problem = error.to_string();
                    if problem != last_problem {
                        log::info!(target: part::REPLICA, "A step waits: {problem}.");
                        last_problem = problem;
                    }
                    BUSY_PERIOD
                }
            };
            tokio::time::sleep(period).await;
        }
    }

    /// Takes one step. Returns whether another may follow at once.
    async fn step(&self) -> Result<bool, StepError> {
        let newest = self.view.set();
        self.replica.adopt_set(&newest, Origin::Peer).await;
        self.note_retirement();
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
        if self.retirement().is_none() && self.is_wanted(&state.set) {
            return self.join(&state.set).await;
        }
        self.remove_dead(&state.set).await
    }

    /// Finds the set in the store, or writes the first version. A replica that knows no set is complete only on its
    /// first start.
    async fn bootstrap(&self, is_first_start: bool) -> Result<bool, StepError> {
        let rank = self.rank_among(&[], &self.standbys(&ReplicaSet::default()));
        let decision = may_bootstrap(is_first_start, self.started_at.elapsed(), rank);
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
        log::info!(target: part::REPLICA, "Replica set founded: member={}.", self.own.node);
        self.replica.adopt_set(&set, Origin::Store).await;
        self.send_set_to_standbys(&set).await;
        Ok(true)
    }

    /// Checks that no newer set became known while a step waited for answers.
    fn check_current(&self, set: &ReplicaSet) -> Result<(), StepError> {
        if self.replica.state().set().version == set.version {
            Ok(())
        } else {
            Err(StepError::Overtaken)
        }
    }
}
