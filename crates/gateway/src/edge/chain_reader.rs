//! Reads chains of turns from the replicas.
//!
//! A replica answers with its records from the requested turn back to the first turn whose record it does not have.
//! Different replicas may have missed different turns. So whenever a turn is missing, the gateway asks all
//! replicas for the chain that ends with that turn.

use crate::edge::turns::{MemberAnswer, TurnClient, TurnError};
use crate::peers::view::Origin;
use foxnotch_turns::chain::{ChainAssembly, NO_TURN};
use foxnotch_turns::replica_set;
use foxnotch_wire::{Chain, ReadChain, ReplicaMember, ReplicaSet, RpcBody, TurnId, TurnRecord};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which the other replicas are asked too, if the first one has not answered.
const SINGLE_REPLICA_TIME: Duration = Duration::from_millis(30);

/// The turns of a chain with their records, the oldest first.
pub type ChainRecords = Vec<(TurnId, Arc<TurnRecord>)>;

/// Why a chain could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// The newest turn cannot exist: enough replicas with complete data report that they do not have it.
    #[error("the turn does not exist")]
    NoSuchTurn,
    /// Too few replicas answered to read the chain, or to prove that the turn does not exist.
    #[error("the chain could not be read ({0})")]
    Unknown(TurnError),
}

/// The outcome of reading a chain from the replicas of one set.
enum ReadOutcome {
    Complete(ChainRecords),
    NoSuchTurn,
    /// A replica uses a newer replica set.
    NewerSet(ReplicaSet),
    /// All requests were answered or timed out. The chain is incomplete, and the newest turn may still exist.
    Unknown {
        /// Number of replicas with complete data that reported that they do not have the newest turn.
        counted: usize,
        /// Number of such reports that proves that the turn does not exist.
        needed: usize,
    },
}

/// The state of reading one chain.
struct ChainRead {
    newest: TurnId,
    /// The records received so far.
    assembly: ChainAssembly,
    /// The last turn of each chain that was requested from all replicas.
    requested: Vec<TurnId>,
    /// The number of replicas that have to report the newest turn as missing before it is certain that the turn does
    /// not exist.
    denials_needed: usize,
}

/// The next step of a read after an answer.
enum NextStep {
    Done(ReadOutcome),
    /// Ask all replicas for the chain that ends with this turn.
    Request(TurnId),
    /// Wait for the answers to the requests that were sent.
    Wait,
}

impl ChainRead {
    /// Adds a replica's answer to the request for the chain that ends with `turn`.
    fn merge_answer(&mut self, turn: TurnId, chain: Chain) {
        if turn == self.newest {
            self.assembly.add_reply(turn, chain);
        } else {
            self.assembly.add_reply_for_older_turn(chain);
        }
    }

    /// Decides the next step from the answers so far.
    fn next_step(&mut self) -> NextStep {
        let missing = match self.assembly.chain_ending_with(self.newest) {
            Ok(chain) => return NextStep::Done(ReadOutcome::Complete(chain)),
            Err(missing) => missing,
        };
        if missing == self.newest && self.assembly.denial_count() >= self.denials_needed {
            return NextStep::Done(ReadOutcome::NoSuchTurn);
        }
        if self.requested.contains(&missing) {
            return NextStep::Wait;
        }
        self.requested.push(missing);
        NextStep::Request(missing)
    }
}

/// The index of the replica to ask first: a replica in the gateway's zone or, if there is none, a replica chosen by the
/// turn's identifier. So a chain is usually read within the zone. Without a replica in the zone, reads are spread over
/// all replicas.
fn first_replica_to_ask(members: &[ReplicaMember], zone: u32, newest: TurnId) -> Option<usize> {
    let in_zone = members.iter().position(|member| member.zone == zone);
    in_zone.or_else(|| (!members.is_empty()).then(|| (newest.0 % members.len() as u128) as usize))
}

impl TurnClient {
    /// Returns the chain that ends with `newest`, from the cache if it holds the whole chain, otherwise from the
    /// replicas.
    ///
    /// # Errors
    /// [`ChainError`].
    pub async fn fetch_chain(&self, newest: TurnId, deadline: Instant) -> Result<ChainRecords, ChainError> {
        let mut assembly = ChainAssembly::default();
        if let Some(chain) = self.cached_chain(newest, &mut assembly) {
            return Ok(chain);
        }
        let chain = self.read_chain(newest, assembly, deadline).await?;
        for (turn, record) in &chain {
            self.cache_record_if_allowed(*turn, record.clone());
        }
        Ok(chain)
    }

    /// Returns the chain if the cache holds all of it. Adds the cached records to `assembly` up to the first turn that
    /// is not cached.
    fn cached_chain(&self, newest: TurnId, assembly: &mut ChainAssembly) -> Option<ChainRecords> {
        let mut next = newest;
        while next != NO_TURN {
            let record = self.cache.get(next)?;
            let previous = record.previous;
            assembly.insert(next, record);
            next = previous;
        }
        assembly.chain_ending_with(newest).ok()
    }

    /// Reads from the replicas the records that are missing in `assembly`.
    async fn read_chain(
        &self,
        newest: TurnId,
        assembly: ChainAssembly,
        deadline: Instant,
    ) -> Result<ChainRecords, ChainError> {
        let mut read = ChainRead { newest, assembly, requested: Vec::new(), denials_needed: usize::MAX };
        loop {
            let set = self.wait_for_set(deadline).await.map_err(ChainError::Unknown)?;
            read.denials_needed =
                replica_set::denial_quorum(set.members.len(), self.tolerance.max_losses(&set.members));
            read.requested = vec![newest];
            match self.read_chain_from_set(&mut read, &set, deadline).await {
                ReadOutcome::Complete(chain) => return Ok(chain),
                ReadOutcome::NoSuchTurn => return Err(ChainError::NoSuchTurn),
                ReadOutcome::NewerSet(newer) => {
                    self.view.adopt_set(&newer, Origin::Peer);
                }
                ReadOutcome::Unknown { counted, needed } => {
                    self.replica_set_refresh_request.notify_one();
                    return Err(ChainError::Unknown(TurnError::NoQuorum { counted, needed }));
                }
            }
        }
    }

    /// Asks one replica of a set first, and all others if its answer does not complete the chain or takes longer than
    /// [`SINGLE_REPLICA_TIME`].
    async fn read_chain_from_set(&self, read: &mut ChainRead, set: &ReplicaSet, deadline: Instant) -> ReadOutcome {
        let newest = read.newest;
        let ask = |member, turn| self.request_chain(member, set, turn, deadline);
        let mut others = set.members.clone();
        let first = first_replica_to_ask(&others, self.zone, newest).map(|index| others.remove(index));
        let mut requests: FuturesUnordered<_> = first.into_iter().map(|member| ask(member, newest)).collect();
        loop {
            let answer = if others.is_empty() {
                requests.next().await
            } else {
                let waited = tokio::time::timeout(SINGLE_REPLICA_TIME, requests.next()).await;
                requests.extend(others.drain(..).map(|member| ask(member, newest)));
                let Ok(Some(answer)) = waited else { continue };
                Some(answer)
            };
            match answer {
                Some((turn, Some(MemberAnswer::Body(RpcBody::Chain(chain))))) => read.merge_answer(turn, chain),
                Some((_, Some(MemberAnswer::NewerSet(newer)))) => return ReadOutcome::NewerSet(newer),
                Some(_) => {}
                None => {
                    return ReadOutcome::Unknown { counted: read.assembly.denial_count(), needed: read.denials_needed }
                }
            }
            match read.next_step() {
                NextStep::Done(outcome) => return outcome,
                NextStep::Request(missing) => requests.extend(set.members.iter().map(|member| ask(*member, missing))),
                NextStep::Wait => {}
            }
        }
    }

    /// Asks one replica for the chain that ends with `turn`.
    async fn request_chain(
        &self,
        member: ReplicaMember,
        set: &ReplicaSet,
        turn: TurnId,
        deadline: Instant,
    ) -> (TurnId, Option<MemberAnswer>) {
        let body = RpcBody::ReadChain(ReadChain { set_version: set.version, turn });
        (turn, self.ask_member(member, set, body, deadline).await)
    }
}
