//! Gets permits for sends to cold engines. Each replica holds a share of the rate that a cold engine can serve, and the
//! gateway asks the replicas one after the other until one of them grants a permit.

use crate::edge::quotas::share_holders;
use crate::edge::turns::TurnClient;
use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::replica_client::ReplicaClient;
use crate::peers::view::Origin;
use foxnotch_scheduler::quota::share_selection::{AskPlan, ShareAnswers};
use foxnotch_scheduler::quota::{Grant, ProgramStage};
use foxnotch_scheduler::slow_start::permits::PERMIT_LIFETIME;
use foxnotch_wire::{ReplicaMember, ReplicaSet, RpcBody, TakeColdPermit};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a replica that has not answered counts as silent. A permit expires 100 ms after the gateway asked
/// for it, so a permit that arrives later than this timeout could hardly be used.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an engine is skipped when no replica has granted or refused a permit for it.
const SILENCE_PAUSE: Duration = Duration::from_millis(30);
/// The shortest time for which an engine is skipped after a refused permit: about a round trip.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Asks replicas for permits to send to cold engines.
pub struct ColdPermitClient {
    client: Arc<ReplicaClient>,
    turns: Arc<TurnClient>,
    /// Hash of the name of the gateway's zone.
    zone: u32,
    /// The instant from which the times in `answers` are measured.
    started_at: Instant,
    /// The last answer of each replica about its share of each engine's rate, by the 64-bit hash of the engine's
    /// identifier that requests carry.
    answers: Mutex<ShareAnswers>,
    /// The time until which each engine is skipped because no permit was granted, by engine number
    /// ([`Engine::number`]).
    skipped_until: Mutex<HashMap<u32, Instant>>,
    metrics: Arc<Metrics>,
}

/// The result of asking one replica, or all replicas of a set, for a permit.
enum PermitOutcome {
    Granted,
    /// No permit was granted. Holds the time after which one may be granted.
    Refused(Duration),
    /// The permit was neither granted nor refused: no replica set is known, the deadline has passed, a replica uses
    /// another set, or no replica answered.
    Undecided,
    /// The replica did not answer in time.
    Silent,
}

impl PermitOutcome {
    /// The outcome's name in log lines and in the label of the metric.
    fn name(&self) -> &'static str {
        match self {
            Self::Granted => "given",
            Self::Refused(_) => "refused",
            Self::Undecided | Self::Silent => "unanswered",
        }
    }
}

impl ColdPermitClient {
    /// Creates the client of a gateway in the zone with the hash `zone`.
    pub fn new(client: Arc<ReplicaClient>, turns: Arc<TurnClient>, zone: u32, metrics: Arc<Metrics>) -> Self {
        let (answers, skipped_until) = (Mutex::default(), Mutex::default());
        Self { client, turns, zone, started_at: Instant::now(), answers, skipped_until, metrics }
    }

    /// The identifiers of the cold engines to skip: those for which no permit was granted a moment ago, or all cold
    /// engines if `skips_cold` is set.
    pub fn cold_engines_to_skip(&self, engines: &[Arc<Engine>], skips_cold: bool) -> Vec<String> {
        let now = Instant::now();
        let mut skipped_until = lock(&self.skipped_until);
        skipped_until.retain(|_, until| *until > now);
        if skipped_until.is_empty() && !skips_cold {
            return Vec::new();
        }
        let is_skipped = |engine: &&Arc<Engine>| skips_cold || skipped_until.contains_key(&engine.number);
        let skipped =
            engines.iter().filter(is_skipped).filter(|engine| engine.warmth.cold_requests_per_second().is_some());
        skipped.map(|engine| engine.entry.id.clone()).collect()
    }

    /// Gets a permit for one send to an engine that can serve `per_second` requests a second while it is cold. Returns
    /// the time by which the request has to be sent. Without a permit, returns `None` and skips the engine for a while.
    pub async fn request_permit(&self, attempt: &str, engine: &Engine, per_second: f64) -> Option<Instant> {
        let asked_at = Instant::now();
        let send_by = asked_at + PERMIT_LIFETIME;
        let asked = self.ask_replicas_of_set(&engine.entry.id, per_second, send_by).await;
        let is_late = Instant::now() >= send_by;
        let outcome = if is_late { "late" } else { asked.name() };
        self.metrics.count_cold_permit(outcome);
        log::info!(
            target: part::ENGINE,
            "A permit to send to a cold engine was requested, with the outcome {outcome}; unless \
             it was given, this gateway skips the engine for a while: call={attempt} engine={} \
             per_second={per_second} after={:?}.",
            engine.entry.id,
            asked_at.elapsed(),
        );
        let pause = match asked {
            PermitOutcome::Granted if !is_late => return Some(send_by),
            PermitOutcome::Granted => MIN_PAUSE,
            PermitOutcome::Refused(retry_after) => retry_after.max(MIN_PAUSE),
            PermitOutcome::Undecided | PermitOutcome::Silent => SILENCE_PAUSE,
        };
        self.skip_engine_for(engine.number, pause);
        None
    }

    /// Makes [`Self::cold_engines_to_skip`] return this engine, given by its engine number, for the time `pause`.
    fn skip_engine_for(&self, engine: u32, pause: Duration) {
        lock(&self.skipped_until).insert(engine, Instant::now() + pause);
    }

    /// Asks the replicas of the set, one after the other, until one grants the permit.
    async fn ask_replicas_of_set(&self, engine: &str, per_second: f64, deadline: Instant) -> PermitOutcome {
        let Ok(set) = self.turns.wait_for_set(deadline).await else { return PermitOutcome::Undecided };
        let engine_hash = xxh3_64(engine.as_bytes());
        let order = match self.plan_requests(engine_hash, set.members.iter()) {
            AskPlan::Ask(order) => order,
            AskPlan::Refuse(retry_after) => return PermitOutcome::Refused(retry_after),
        };
        let request = TakeColdPermit { set_version: set.version, engine: engine_hash, per_second };
        let mut is_answered = false;
        let mut silent = Vec::new();
        for index in order {
            match self.ask_replica(request, &set, &set.members[index], deadline).await {
                PermitOutcome::Granted => return PermitOutcome::Granted,
                PermitOutcome::Refused(_) => is_answered = true,
                PermitOutcome::Silent => silent.push(set.members[index].node),
                PermitOutcome::Undecided => {}
            }
        }
        // The time to wait is computed from all shares, because a replica that was not asked now may grant a permit
        // sooner than those that were asked. Silent replicas are left out because the state of their shares is unknown.
        let known: Vec<&ReplicaMember> = set.members.iter().filter(|member| !silent.contains(&member.node)).collect();
        match self.plan_requests(engine_hash, known.into_iter()) {
            AskPlan::Refuse(retry_after) => PermitOutcome::Refused(retry_after),
            AskPlan::Ask(_) if is_answered => PermitOutcome::Refused(MIN_PAUSE),
            AskPlan::Ask(_) => PermitOutcome::Undecided,
        }
    }

    /// Decides, from the replicas' last answers about this engine, which replicas to ask and in which order, or that no
    /// replica would grant a permit now.
    fn plan_requests<'a>(&self, engine_hash: u64, members: impl Iterator<Item = &'a ReplicaMember>) -> AskPlan {
        let holders = share_holders(members, self.zone);
        lock(&self.answers).plan_requests(engine_hash, &holders, ProgramStage::Running, self.started_at.elapsed())
    }

    /// Asks one replica for a permit, and stores the replica's answer for later decisions.
    async fn ask_replica(
        &self,
        request: TakeColdPermit,
        set: &ReplicaSet,
        member: &ReplicaMember,
        deadline: Instant,
    ) -> PermitOutcome {
        let within = deadline.saturating_duration_since(Instant::now()).min(ANSWER_TIMEOUT);
        if within.is_zero() {
            return PermitOutcome::Undecided;
        }
        let answer = self.client.call(member, RpcBody::TakeColdPermit(request), within).await;
        let now = self.started_at.elapsed();
        match answer {
            Ok(RpcBody::ColdPermit(permit)) => {
                let retry_after = Duration::from_millis(permit.retry_after_ms.into());
                let grant = Grant { granted: permit.granted == 1, left: permit.left.into(), retry_after };
                lock(&self.answers).note_answer(request.engine, member.node.0, ProgramStage::Running, &grant, now);
                if grant.granted {
                    PermitOutcome::Granted
                } else {
                    PermitOutcome::Refused(retry_after)
                }
            }
            Ok(RpcBody::OtherSet(update)) if update.set.version > set.version => {
                self.turns.view.adopt_set(&update.set, Origin::Peer);
                PermitOutcome::Undecided
            }
            Ok(RpcBody::OtherSet(_)) => {
                self.turns.send_newer_set(member, set, within).await;
                PermitOutcome::Undecided
            }
            Ok(_) | Err(_) => {
                lock(&self.answers).note_silence(request.engine, member.node.0, now);
                PermitOutcome::Silent
            }
        }
    }
}
