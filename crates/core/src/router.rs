//! Chooses the engine that runs a call.
//!
//! The cost of an engine is the estimated time until the call's first token plus the time lost by decoding in a shared
//! batch: the wait, the prefill of the tokens that the engine has not cached, and the batch load. Load reports lag, so
//! each one is corrected by the calls that this node has sent since.

use crate::ownership::rendezvous_score;
use crate::prefix::{BlockHash, CacheEvents, PrefixIndex, BLOCK_TOKENS};
use crate::request::RefusalKind;
use foxnotch_membership::Millis;
use foxnotch_wire::{CallKey, EngineId, NodeId, ProgramId};
use std::collections::{BTreeMap, HashMap};

/// Consecutive failures after which an engine is ejected: it gets no calls for a time.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, in milliseconds; each further consecutive failure doubles it.
const EJECTION_BASE_MS: u64 = 1000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Milliseconds after which a load report is considered stale.
const REPORT_VALID_MS: u64 = 10_000;
/// Milliseconds after an engine is first listed during which its cost includes a surcharge, which declines to 0.
const SLOW_START_MS: u64 = 3_000;

/// Tokens of a typical answer, used in estimates.
const TYPICAL_ANSWER_TOKENS: u64 = 64;
/// Calls of a typical branch, used in estimates.
const TYPICAL_CALLS_PER_BRANCH: u64 = 8;
/// Microseconds added to the cost of an engine whose last report is stale.
const STALE_COST_US: u64 = 500_000;
/// Milliseconds after the last call to a model during which its engines are polled for reports.
const MODEL_ACTIVE_MS: u64 = 30_000;
/// Maximum number of engines of one model that a node polls for reports, however many engines there are.
const MAX_POLLED_ENGINES_PER_MODEL: usize = 16;
/// Maximum milliseconds for which dispatching waits for a new machine list after a pause of the node.
const MAX_DISPATCH_HOLD_MS: u64 = 1_500;
/// Microseconds by which another engine must be cheaper than the one that ran the program's last call before the
/// program moves: load reports are imprecise, and each move leaves the program's cached blocks behind.
const MOVE_MARGIN_US: u64 = 3_000_000;
/// The report that is assumed for an engine that has not reported yet.
const ASSUMED_REPORT: EngineReport = EngineReport {
    as_of: Millis(0),
    queued_prefill_tokens: 0,
    queued_calls: 0,
    running_calls: 0,
    batch_limit: 16,
    prefill_rate: 8_000,
    step_base_us: 20_000,
    step_call_us: 500,
    capacity_blocks: 0,
    leaving: false,
    events: CacheEvents { after: 0, last: 0, stored: Vec::new(), removed: Vec::new(), snapshot: None },
};

/// The policy by which engines are chosen. All but `Cost` are baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The engine with the lowest estimated cost, computed from wait, cached prefix and batch load.
    #[default]
    Cost,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest calls in flight.
    LeastOutstanding,
    /// The engine that ran the program's last call, otherwise the one with the fewest calls in flight.
    SessionSticky,
}

/// The kind of work that a machine does.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// Runs model calls.
    Engine,
    /// Answers plain requests, which belong to no program.
    Plain,
}

/// A back end as listed in the machine list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The engine id of this back end.
    pub id: u32,
    /// The kind of work that the back end does.
    pub role: MachineRole,
    /// The name of the model or plain service that the back end serves.
    pub serves: String,
    /// The zone in which the back end runs.
    pub zone: u8,
    /// The address at which the back end listens, `IP:port`.
    pub address: String,
    /// Whether the back end is about to be removed; it then gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// An engine's report of its own load. It lags behind the engine's actual state.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The time at which the figures were measured, by this node's clock: the time of arrival minus the age stated in
    /// the report.
    pub as_of: Millis,
    /// Prompt tokens that are queued or being computed.
    pub queued_prefill_tokens: u64,
    /// Calls that are queued.
    pub queued_calls: u32,
    /// Calls that are decoding.
    pub running_calls: u32,
    /// Maximum number of calls in a decoding batch.
    pub batch_limit: u32,
    /// Prompt tokens computed per second.
    pub prefill_rate: u64,
    /// Microseconds of a decoding step with one call in the batch.
    pub step_base_us: u64,
    /// Microseconds that each further call adds to a step.
    pub step_call_us: u64,
    /// Maximum number of blocks in the cache.
    pub capacity_blocks: u64,
    /// Whether the engine is shutting down and accepts no new work.
    pub leaving: bool,
    /// The changes of the engine's cache since the previous report.
    pub events: CacheEvents,
}

/// A call that this node has sent to an engine.
#[derive(Clone, Copy, Debug)]
struct DispatchedCall {
    sent_at: Millis,
    prefill_tokens: u64,
}

/// A listed machine with its last report and the calls that this node has sent to it.
#[derive(Clone, Debug)]
struct Engine {
    machine: Machine,
    known_since: Millis,
    report: EngineReport,
    report_received_at: Option<Millis>,
    own_calls: BTreeMap<CallKey, DispatchedCall>,
    consecutive_failures: u32,
    ejected_until: Millis,
}

/// A call for which an engine has to be chosen.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Identifies the call.
    pub key: CallKey,
    /// The name of the model that the engine must serve.
    pub model: &'a str,
    /// The hashes of the prompt's whole blocks.
    pub blocks: &'a [BlockHash],
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the answer, in tokens.
    pub maximum_output_tokens: u64,
    /// The maximum estimated wait, in milliseconds; the call is refused if the wait at the chosen engine exceeds it.
    pub maximum_wait_ms: u64,
    /// Weight of the prefill time of tokens that are not cached, in percent.
    pub cache_weight: u64,
    /// An engine that must not be chosen because the call has just failed there.
    pub avoid: Option<EngineId>,
}

/// The reason why the router found no engine for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// The reason that the caller gets.
    pub kind: RefusalKind,
    /// Milliseconds after which the caller should retry.
    pub retry_after: u64,
}

/// The engine chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineChoice {
    /// The engine to which the call is sent.
    pub engine: EngineId,
    /// The estimated wait at this engine, in milliseconds.
    pub wait_ms: u64,
}

/// Chooses engines, based on the machine list, the load reports and the prefix index.
#[derive(Clone, Debug, Default)]
pub struct Router {
    policy: RoutingPolicy,
    engines: BTreeMap<EngineId, Engine>,
    prefixes: PrefixIndex,
    /// The engine that ran each program's last call.
    last_engine: HashMap<ProgramId, EngineId>,
    /// When each model was last called through this node.
    model_used_at: BTreeMap<String, Millis>,
    round_robin_index: usize,
    dispatch_held_until: Millis,
}

impl Router {
    /// A router without engines.
    pub fn new(policy: RoutingPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Applies the machine list. Engines that it no longer contains are removed.
    pub fn set_machines(&mut self, machines: &[Machine], now: Millis) {
        self.dispatch_held_until = Millis::default();
        let listed: BTreeMap<EngineId, &Machine> =
            machines.iter().map(|machine| (EngineId(machine.id), machine)).collect();
        let prefixes = &mut self.prefixes;
        self.engines.retain(|id, _| {
            let keep = listed.contains_key(id);
            if !keep {
                prefixes.remove_engine(*id);
            }
            keep
        });
        for (id, machine) in listed {
            match self.engines.get_mut(&id) {
                Some(engine) => engine.machine = machine.clone(),
                None => {
                    self.engines.insert(id, Engine::new(machine.clone(), now));
                }
            }
        }
    }

    /// Holds all dispatching after a pause of the node until the machine list has been read again, for
    /// [`MAX_DISPATCH_HOLD_MS`] at most.
    pub fn on_pause(&mut self, now: Millis) {
        self.dispatch_held_until = now.plus(MAX_DISPATCH_HOLD_MS);
    }

    /// Whether a call for which `engine` was chosen may still be sent to it.
    pub fn accepts_dispatch(&self, engine: EngineId, now: Millis) -> bool {
        let leaving = self.engines.get(&engine).is_none_or(|engine| engine.machine.leaving || engine.report.leaving);
        !leaving && now >= self.dispatch_held_until
    }

    /// The machines of the last machine list.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.engines.values().map(|engine| &engine.machine)
    }

    /// The number of the last cache event received from `engine`.
    pub fn last_event(&self, engine: EngineId) -> u64 {
        self.prefixes.last_event(engine)
    }

    /// Applies an engine's report.
    pub fn on_report(&mut self, id: EngineId, mut report: EngineReport, now: Millis) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let events = std::mem::take(&mut report.events);
        self.prefixes.set_capacity(id, report.capacity_blocks as usize);
        self.prefixes.apply_events(id, events, now);
        engine.report = report;
        engine.report_received_at = Some(now);
    }

    /// The engines to poll for a report: those of the models in use, at most [`MAX_POLLED_ENGINES_PER_MODEL`] of each.
    pub fn engines_to_poll(&mut self, node: NodeId, now: Millis) -> Vec<EngineId> {
        self.model_used_at.retain(|_, used| now.since(*used) < MODEL_ACTIVE_MS);
        let mut polled = Vec::new();
        for model in self.model_used_at.keys() {
            let model_engines = self
                .engines
                .iter()
                .filter(|(_, engine)| engine.machine.role == MachineRole::Engine && engine.machine.serves == *model);
            let mut engines: Vec<EngineId> = model_engines.map(|(id, _)| *id).collect();
            engines.sort_by_key(|id| rendezvous_score(u128::from(node.0), u64::from(id.0)));
            polled.extend(engines.into_iter().take(MAX_POLLED_ENGINES_PER_MODEL));
        }
        polled
    }

    /// Chooses an engine for a call.
    ///
    /// # Errors
    /// The reason why no engine can accept the call, and when to retry.
    pub fn choose(&mut self, request: &PlacementRequest<'_>, now: Millis) -> Result<EngineChoice, PlacementRefusal> {
        if now < self.dispatch_held_until {
            return Err(PlacementRefusal {
                kind: RefusalKind::Overloaded,
                retry_after: self.dispatch_held_until.since(now),
            });
        }
        self.model_used_at.insert(request.model.to_owned(), now);
        let candidates: Vec<EngineId> = self
            .engines
            .iter()
            .filter(|(id, engine)| {
                engine.can_accept(MachineRole::Engine, request.model, now) && Some(**id) != request.avoid
            })
            .map(|(id, _)| *id)
            .collect();
        if candidates.is_empty() {
            return Err(PlacementRefusal { kind: RefusalKind::NoEngine, retry_after: 1000 });
        }
        let chosen = match self.policy {
            RoutingPolicy::Cost => self.least_cost(&candidates, request, now),
            RoutingPolicy::RoundRobin => self.next_round_robin(&candidates),
            RoutingPolicy::LeastOutstanding => self.least_outstanding(&candidates),
            RoutingPolicy::SessionSticky => {
                let last = self.last_engine.get(&request.key.program).copied();
                let sticky = last.filter(|engine| candidates.contains(engine));
                sticky.unwrap_or_else(|| self.least_outstanding(&candidates))
            }
        };
        let wait = self.engines[&chosen].wait_ms(now);
        if wait > request.maximum_wait_ms {
            return Err(PlacementRefusal {
                kind: RefusalKind::Overloaded,
                retry_after: wait - request.maximum_wait_ms + 1,
            });
        }
        Ok(EngineChoice { engine: chosen, wait_ms: wait })
    }

    fn least_cost(&self, candidates: &[EngineId], request: &PlacementRequest<'_>, now: Millis) -> EngineId {
        let cost = |id: &EngineId| {
            let cached_tokens = self.prefixes.cached_prefix_blocks(*id, request.blocks) as u64 * BLOCK_TOKENS;
            self.engines[id].cost_us(cached_tokens, request, now)
        };
        let best = candidates.iter().copied().min_by_key(|id| (cost(id), *id)).unwrap_or_default();
        let last = self.last_engine.get(&request.key.program).copied().filter(|last| candidates.contains(last));
        match last {
            Some(last) if cost(&last) <= cost(&best) + MOVE_MARGIN_US => last,
            _ => best,
        }
    }

    fn next_round_robin(&mut self, candidates: &[EngineId]) -> EngineId {
        self.round_robin_index += 1;
        candidates[self.round_robin_index % candidates.len()]
    }

    fn least_outstanding(&self, candidates: &[EngineId]) -> EngineId {
        let load = |id: &EngineId| self.engines[id].calls_in_flight();
        candidates.iter().copied().min_by_key(|id| (load(id), *id)).unwrap_or_default()
    }

    /// Records that a call was sent to `engine`. Returns the number of prompt tokens that the engine is expected to
    /// compute.
    pub fn on_dispatch(&mut self, engine: EngineId, request: &PlacementRequest<'_>, now: Millis) -> u64 {
        let cached_tokens = self.prefixes.cached_prefix_blocks(engine, request.blocks) as u64 * BLOCK_TOKENS;
        let prefill_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        self.prefixes.insert(engine, request.blocks, now);
        self.last_engine.insert(request.key.program, engine);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.own_calls.insert(request.key, DispatchedCall { sent_at: now, prefill_tokens });
        }
        prefill_tokens
    }

    /// Records that a call has ended on `engine`. After [`FAILURES_TO_EJECT`] consecutive calls without an answer the
    /// engine is ejected.
    pub fn on_call_end(&mut self, engine: EngineId, key: CallKey, answered: bool, now: Millis) {
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        engine.own_calls.remove(&key);
        if answered {
            engine.consecutive_failures = 0;
            return;
        }
        engine.consecutive_failures += 1;
        if engine.consecutive_failures >= FAILURES_TO_EJECT {
            let doublings = (engine.consecutive_failures - FAILURES_TO_EJECT).min(5);
            engine.ejected_until = now.plus((EJECTION_BASE_MS << doublings).min(MAX_EJECTION_MS));
        }
    }

    /// Records that `engine` has computed the blocks of a prompt and its answer.
    pub fn on_blocks_computed(&mut self, engine: EngineId, blocks: &[BlockHash], now: Millis) {
        self.prefixes.insert(engine, blocks, now);
    }

    /// Forgets which engine ran the last call of a program that has ended or that this node no longer owns.
    pub fn on_program_end(&mut self, program: ProgramId) {
        self.last_engine.remove(&program);
    }

    /// Chooses a back end for a plain request: the less loaded of two random candidates.
    pub fn choose_plain(
        &self,
        service: &str,
        random: [usize; 2],
        avoid: Option<EngineId>,
        now: Millis,
    ) -> Option<EngineId> {
        let is_candidate = |(id, engine): &(&EngineId, &Engine)| {
            engine.can_accept(MachineRole::Plain, service, now) && Some(**id) != avoid
        };
        let candidates: Vec<EngineId> = self.engines.iter().filter(is_candidate).map(|(id, _)| *id).collect();
        if candidates.is_empty() {
            return None;
        }
        let [first, second] = random.map(|number| candidates[number % candidates.len()]);
        let load = |id: EngineId| self.engines[&id].own_calls.len();
        Some(if load(second) < load(first) { second } else { first })
    }

    /// Records that a plain request was sent to `engine`.
    pub fn on_plain_dispatch(&mut self, engine: EngineId, key: CallKey, now: Millis) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.own_calls.insert(key, DispatchedCall { sent_at: now, prefill_tokens: 0 });
        }
    }
}

impl Engine {
    fn new(machine: Machine, now: Millis) -> Self {
        Self {
            machine,
            known_since: now,
            report: ASSUMED_REPORT,
            report_received_at: None,
            own_calls: BTreeMap::new(),
            consecutive_failures: 0,
            ejected_until: Millis::default(),
        }
    }

    fn can_accept(&self, role: MachineRole, serves: &str, now: Millis) -> bool {
        let leaving = self.machine.leaving || self.report.leaving;
        self.machine.role == role && self.machine.serves == serves && !leaving && now >= self.ejected_until
    }

    /// Whether the last report is stale or there is none.
    fn has_stale_report(&self, now: Millis) -> bool {
        self.report_received_at.is_none_or(|at| now.since(at) >= REPORT_VALID_MS)
    }

    /// Calls of this node that were sent after the last report was measured.
    fn unreported_calls(&self) -> impl Iterator<Item = &DispatchedCall> {
        let as_of = self.report.as_of;
        self.own_calls.values().filter(move |call| call.sent_at >= as_of)
    }

    fn calls_in_flight(&self) -> u64 {
        let reported = u64::from(self.report.queued_calls + self.report.running_calls);
        reported + self.unreported_calls().count() as u64
    }

    /// Estimated microseconds until a new call's prefill begins.
    fn wait_us(&self, now: Millis) -> u64 {
        let rate = self.report.prefill_rate.max(1);
        let unreported_tokens: u64 = self.unreported_calls().map(|call| call.prefill_tokens).sum();
        let elapsed_us = now.since(self.report.as_of) * 1000;
        let reported_us = (self.report.queued_prefill_tokens * 1_000_000 / rate).saturating_sub(elapsed_us);
        let prefill_us = reported_us + unreported_tokens * 1_000_000 / rate;
        prefill_us + self.slot_wait_us()
    }

    /// Estimated microseconds until a slot in a full batch becomes free.
    fn slot_wait_us(&self) -> u64 {
        let limit = u64::from(self.report.batch_limit.max(1));
        let calls_over_limit = (self.calls_in_flight() + 1).saturating_sub(limit);
        let call_us = self.step_us(limit) * TYPICAL_ANSWER_TOKENS;
        calls_over_limit * call_us / limit
    }

    fn step_us(&self, calls: u64) -> u64 {
        self.report.step_base_us + calls.saturating_sub(1) * self.report.step_call_us
    }

    fn wait_ms(&self, now: Millis) -> u64 {
        self.wait_us(now) / 1000
    }

    fn cost_us(&self, cached_tokens: u64, request: &PlacementRequest<'_>, now: Millis) -> u64 {
        let uncached_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        let prefill_us = uncached_tokens * 1_000_000 / self.report.prefill_rate.max(1);
        let calls = self.calls_in_flight().min(u64::from(self.report.batch_limit));
        // Prefilling a prompt delays every call that decodes on the same engine. The first prompt of a branch consists
        // mostly of the prefix that all programs of its kind share; each engine has to compute that prefix once in any
        // case, so its prefill time gets no extra weight.
        let begins_branch = request.key.sequence == 0;
        let weight_percent = if begins_branch { 100 } else { (1 + calls) * request.cache_weight };
        // A branch mostly stays on the engine of its first call, so the cost of the first call includes the decoding
        // time of all calls expected in the branch.
        let expected_calls = if begins_branch { TYPICAL_CALLS_PER_BRANCH } else { 1 };
        let answer_tokens = request.maximum_output_tokens.min(TYPICAL_ANSWER_TOKENS);
        let decode_us = self.step_us(calls + 1) * answer_tokens;
        let slow_start_us = SLOW_START_MS.saturating_sub(now.since(self.known_since)) * 100;
        let stale_us = if self.has_stale_report(now) { STALE_COST_US } else { 0 };
        stale_us + self.wait_us(now) + prefill_us * weight_percent / 100 + decode_us * expected_calls + slow_start_us
    }
}
