//! Checks calls against their tenants' rate limits. Each replica holds a share of every limit, and the gateway asks the
//! replicas one after the other until one of them grants the call.

use crate::edge::call::Call;
use crate::edge::refusal::Refusal;
use crate::edge::turns::TurnClient;
use crate::locks::lock;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::replica_client::ReplicaClient;
use crate::peers::view::Origin;
use foxnotch_scheduler::quota::share_selection::{AskPlan, ShareAnswers, ShareHolder};
use foxnotch_scheduler::quota::{Grant, ProgramStage};
use foxnotch_scheduler::tenants::RateLimit;
use foxnotch_turns::identity::program_key;
use foxnotch_wire::{ProgramKey, ProgramStageTag, ReplicaMember, ReplicaSet, RpcBody, TakeQuota};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a replica that has not answered counts as silent. A reachable replica answers within a few
/// milliseconds, even through another gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause before the replicas are asked again when none of them answered.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Asks the replicas whether a call is within its tenant's rate limit.
pub struct QuotaClient {
    client: Arc<ReplicaClient>,
    turns: Arc<TurnClient>,
    /// Hash of the name of the gateway's zone.
    zone: u32,
    /// The instant from which the times in `answers` are measured.
    started_at: Instant,
    /// The last answer of each replica about its share of each tenant's limit.
    answers: Mutex<ShareAnswers>,
    metrics: Arc<Metrics>,
}

/// A call of a tenant that has a rate limit.
struct LimitedCall<'a> {
    attempt: &'a str,
    /// Hash of the tenant's name, by which replicas identify the limit.
    tenant_hash: u64,
    limit: RateLimit,
    /// The version of the configuration from which the limit was read.
    configuration_version: u64,
    program: ProgramKey,
    stage: ProgramStage,
}

/// The result of asking one replica to grant a call from its share of the limit.
enum ReplicaOutcome {
    /// The replica granted or refused the call from its share.
    Answered(Grant),
    /// The replica uses a newer replica set.
    NewerSet(ReplicaSet),
    /// The replica did not answer in time, or uses an older replica set.
    Unanswered,
}

fn stage_tag(stage: ProgramStage) -> ProgramStageTag {
    match stage {
        ProgramStage::New => ProgramStageTag::New,
        ProgramStage::Running => ProgramStageTag::Running,
    }
}

impl QuotaClient {
    /// Creates the client of a gateway in the zone with the hash `zone`.
    pub fn new(client: Arc<ReplicaClient>, turns: Arc<TurnClient>, zone: u32, metrics: Arc<Metrics>) -> Self {
        Self { client, turns, zone, started_at: Instant::now(), answers: Mutex::default(), metrics }
    }

    /// Counts a call against its tenant's rate limit, if the tenant has one.
    ///
    /// # Errors
    /// [`Refusal::OverLimit`] when no share grants the call; [`Refusal::LimitUnknown`] when no replica answers before
    /// `deadline`.
    pub async fn count_against_limit(&self, call: &Call, deadline: Instant) -> Result<(), Refusal> {
        let Some(tenant) = &call.tenant else { return Ok(()) };
        let Some(limit) = tenant.limit else { return Ok(()) };
        let program = call.metadata.program.as_deref().unwrap_or(&call.metadata.attempt);
        let limited_call = LimitedCall {
            attempt: &call.metadata.attempt,
            tenant_hash: xxh3_64(tenant.name.as_bytes()),
            limit,
            configuration_version: call.configuration_version,
            program: program_key(&tenant.name, program),
            stage: call.stage,
        };
        let begun_at = Instant::now();
        let outcome = self.ask_until_decided(&limited_call, deadline).await;
        self.metrics.quota_seconds.observe(begun_at.elapsed().as_secs_f64());
        self.metrics.count_tenant_request(&tenant.name, outcome.as_ref().err().map_or("let_in", Refusal::name));
        if let Err(refusal) = &outcome {
            let RateLimit { per_second, burst } = limit;
            log::info!(
                target: part::CALL,
                "Call {} is not admitted under its tenant's rate limit and may be sent again after the time \
                 `come_back`: tenant={} per_second={per_second} burst={burst} stage={:?} configuration={} \
                 come_back={:?} after={:?}: {}.",
                limited_call.attempt,
                tenant.name,
                call.stage,
                limited_call.configuration_version,
                refusal.retry_after(),
                begun_at.elapsed(),
                refusal.name(),
            );
        }
        outcome
    }

    /// Asks the replicas, repeatedly if none answers, until they grant or refuse the call or the deadline has passed.
    async fn ask_until_decided(&self, call: &LimitedCall<'_>, deadline: Instant) -> Result<(), Refusal> {
        loop {
            let set = self.turns.wait_for_set(deadline).await.map_err(|_| Refusal::LimitUnknown)?;
            match self.ask_replicas_of_set(call, &set, deadline).await {
                SetOutcome::Granted => return Ok(()),
                SetOutcome::Exhausted(retry_after) => return Err(Refusal::OverLimit(retry_after)),
                SetOutcome::NewerSet(newer) => {
                    self.turns.view.adopt_set(&newer, Origin::Peer);
                }
                SetOutcome::Unanswered if Instant::now() + RETRY_PAUSE < deadline => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                SetOutcome::Unanswered => return Err(Refusal::LimitUnknown),
            }
        }
    }

    /// Asks the replicas of one set, one after the other, until one grants the call.
    async fn ask_replicas_of_set(&self, call: &LimitedCall<'_>, set: &ReplicaSet, deadline: Instant) -> SetOutcome {
        let order = match self.plan_requests(call, set) {
            AskPlan::Ask(order) => order,
            AskPlan::Refuse(retry_after) => return SetOutcome::Exhausted(retry_after),
        };
        let mut shortest_wait: Option<Duration> = None;
        for index in order {
            let member = &set.members[index];
            match self.ask_replica(call, set, member, deadline).await {
                ReplicaOutcome::Answered(grant) if grant.granted => return SetOutcome::Granted,
                ReplicaOutcome::Answered(grant) => {
                    shortest_wait = Some(shortest_wait.map_or(grant.retry_after, |known| known.min(grant.retry_after)));
                }
                ReplicaOutcome::NewerSet(newer) => return SetOutcome::NewerSet(newer),
                ReplicaOutcome::Unanswered => {}
            }
        }
        shortest_wait.map_or(SetOutcome::Unanswered, SetOutcome::Exhausted)
    }

    /// Decides, from the replicas' last answers about the tenant's limit, which replicas to ask and in which order, or
    /// that the call is refused without asking.
    fn plan_requests(&self, call: &LimitedCall<'_>, set: &ReplicaSet) -> AskPlan {
        let holders = share_holders(set.members.iter(), self.zone);
        let now = self.started_at.elapsed();
        lock(&self.answers).plan_requests(call.tenant_hash, &holders, call.stage, now)
    }

    /// Asks one replica whether its share grants the call, and stores the replica's answer for later decisions.
    async fn ask_replica(
        &self,
        call: &LimitedCall<'_>,
        set: &ReplicaSet,
        member: &ReplicaMember,
        deadline: Instant,
    ) -> ReplicaOutcome {
        let request = TakeQuota {
            set_version: set.version,
            tenant: call.tenant_hash,
            version: call.configuration_version,
            per_second: call.limit.per_second,
            burst: call.limit.burst,
            program: call.program,
            stage: stage_tag(call.stage),
        };
        let within = deadline.saturating_duration_since(Instant::now()).min(ANSWER_TIMEOUT);
        let answer = self.client.call(member, RpcBody::TakeQuota(request), within).await;
        let now = self.started_at.elapsed();
        match answer {
            Ok(RpcBody::QuotaGiven(given)) => {
                let retry_after = Duration::from_millis(given.retry_after_ms.into());
                let grant = Grant { granted: given.granted == 1, left: given.left, retry_after };
                let (tenant, stage) = (call.tenant_hash, call.stage);
                lock(&self.answers).note_answer(tenant, member.node.0, stage, &grant, now);
                ReplicaOutcome::Answered(grant)
            }
            Ok(RpcBody::OtherSet(update)) if update.set.version > set.version => ReplicaOutcome::NewerSet(update.set),
            Ok(RpcBody::OtherSet(_)) => {
                self.turns.send_newer_set(member, set, within).await;
                ReplicaOutcome::Unanswered
            }
            Ok(_) | Err(_) => {
                lock(&self.answers).note_silence(call.tenant_hash, member.node.0, now);
                ReplicaOutcome::Unanswered
            }
        }
    }
}

/// Converts replicas to share holders. Replicas in the gateway's zone, which has the hash `zone`, get `is_same_zone`.
pub(super) fn share_holders<'a>(members: impl Iterator<Item = &'a ReplicaMember>, zone: u32) -> Vec<ShareHolder> {
    members.map(|member| ShareHolder { node: member.node.0, is_same_zone: member.zone == zone }).collect()
}

/// The result of asking the replicas of one set, one after the other, to grant a call.
enum SetOutcome {
    Granted,
    /// No share grants the call now. Holds the time after which a share may grant it.
    Exhausted(Duration),
    /// A replica uses a newer replica set.
    NewerSet(ReplicaSet),
    /// No replica granted or refused the call.
    Unanswered,
}
