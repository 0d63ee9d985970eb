//! The periodic work of a node (membership, configuration, engine polls, refill, idle programs) and its plain requests,
//! which belong to no program.

use super::Node;
use crate::configuration::Configuration;
use crate::effect::Effect;
use crate::owner::{IdleCopy, Owner};
use crate::ownership::{rendezvous_score, replicas_of};
use crate::proposer::Send;
use crate::replica::Record;
use crate::request::RequestId;
use foxnotch_membership::Datagram;
use foxnotch_membership::Millis;
use foxnotch_wire::{
    CallKey, Closed, ConfigDelta, ConfigPull, EngineId, Entry, MemberPull, Message, NodeId, ProgramId, RefillPage,
    ReplicaLog, ROOT_BRANCH,
};

/// Number of nodes that read the configuration store, which supports only a few readers.
const STORE_READER_COUNT: usize = 2;
/// Rendezvous key: the nodes with the highest scores for it read the configuration store.
const STORE_READER_KEY: u128 = 0x636f_6e66_6967;
/// Number of nodes to which a node pushes a newly applied configuration.
const CONFIGURATION_PUSH_FAN_OUT: usize = 3;
/// Minimum milliseconds between two requests for configuration to other nodes.
const CONFIGURATION_PULL_PERIOD_MS: u64 = 100;
/// Milliseconds after which the configuration store is polled again if a poll was not answered.
const STORE_POLL_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds after a failed poll of the configuration store before the next one.
const STORE_RETRY_DELAY_MS: u64 = 500;
/// Milliseconds between two polls of an engine.
const ENGINE_POLL_PERIOD_MS: u64 = 250;
/// Milliseconds between two requests for the member list until one is answered.
const MEMBER_PULL_RETRY_MS: u64 = 500;
/// Milliseconds between the first answered request for the member list and the next one. The period doubles with each
/// answer.
const FIRST_MEMBER_PULL_PERIOD_MS: u64 = 1_000;
/// Maximum milliseconds between two requests for the member list.
const MAX_MEMBER_PULL_PERIOD_MS: u64 = 60_000;
/// Milliseconds between two requests for refill pages.
const REFILL_REQUEST_PERIOD_MS: u64 = 500;
/// Milliseconds between two searches for idle programs and expired histories.
const IDLE_SEARCH_PERIOD_MS: u64 = 5_000;
/// Milliseconds without use after which a program without an owner is taken over to be ended, if its instance no longer
/// exists.
const DEFAULT_IDLE_LIMIT_MS: u64 = 600_000;
/// Maximum number of idle programs that one search returns.
const MAX_IDLE_PROGRAMS_PER_SEARCH: usize = 50;

/// When each periodic task is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    next_engine_poll: Millis,
    next_store_poll: Millis,
    next_configuration_pull: Millis,
    next_refill_request: Millis,
    next_idle_search: Millis,
    next_member_pull: Millis,
    member_pull_period_ms: u64,
}

impl Timers {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            next_engine_poll: now,
            next_store_poll: now,
            next_configuration_pull: now,
            next_refill_request: now,
            next_idle_search: now.plus(IDLE_SEARCH_PERIOD_MS),
            next_member_pull: now,
            member_pull_period_ms: FIRST_MEMBER_PULL_PERIOD_MS,
        }
    }

    pub(super) fn on_members_received(&mut self, now: Millis) {
        self.next_member_pull = now.plus(self.member_pull_period_ms);
        self.member_pull_period_ms = (2 * self.member_pull_period_ms).min(MAX_MEMBER_PULL_PERIOD_MS);
    }

    pub(super) fn on_store_failed(&mut self, now: Millis) {
        self.next_store_poll = now.plus(STORE_RETRY_DELAY_MS);
    }
}

impl Node {
    pub(super) fn on_tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let datagrams = self.membership.tick(now);
        self.send_datagrams(datagrams, effects);
        self.with_context(now, effects, |owners, context| {
            for owner in owners.values_mut() {
                owner.tick(context);
            }
        });
        self.pull_members(now, effects);
        self.poll_store(now, effects);
        self.poll_engines(now, effects);
        self.request_refill(now, effects);
        self.clean_up_histories(now, effects);
    }

    pub(super) fn send_datagrams(&mut self, datagrams: Vec<Datagram>, effects: &mut Vec<Effect>) {
        for datagram in datagrams {
            let Datagram { to, address, message } = datagram;
            effects.push(Effect::Send { to, address, message, datagram: true });
        }
    }

    /// Whether this node is one of the few nodes that read the configuration store.
    pub fn is_store_reader(&self) -> bool {
        let own_score = rendezvous_score(STORE_READER_KEY, u64::from(self.id.0));
        let eligible = self.membership.nodes_accepting_work();
        let higher_ranked =
            eligible.filter(|node| rendezvous_score(STORE_READER_KEY, u64::from(node.0)) > own_score).count();
        higher_ranked < STORE_READER_COUNT
    }

    fn poll_store(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now >= self.timers.next_store_poll && self.is_store_reader() {
            self.timers.next_store_poll = now.plus(STORE_POLL_TIMEOUT_MS);
            effects.push(Effect::PollStore { after: self.configuration.revision() });
        }
    }

    pub(super) fn on_store_objects(&mut self, delta: &ConfigDelta, now: Millis, effects: &mut Vec<Effect>) {
        self.timers.next_store_poll = now;
        self.on_config_delta(delta, now, effects);
    }

    /// Requests the configuration changes from `from` if that node has a newer revision.
    pub(super) fn pull_configuration(&mut self, from: NodeId, now: Millis, effects: &mut Vec<Effect>) {
        let own_revision = self.configuration.revision();
        let newer = self
            .membership
            .members()
            .any(|member| member.update.node == from && member.update.config_revision > own_revision);
        if newer && now >= self.timers.next_configuration_pull {
            self.timers.next_configuration_pull = now.plus(CONFIGURATION_PULL_PERIOD_MS);
            self.send(Send { to: from, message: Message::ConfigPull(ConfigPull { since: own_revision }) }, effects);
        }
    }

    pub(super) fn on_config_pull(&mut self, from: NodeId, pull: ConfigPull, effects: &mut Vec<Effect>) {
        if self.configuration.revision() > pull.since {
            let delta = self.configuration.delta_since(pull.since);
            self.send(Send { to: from, message: Message::ConfigDelta(delta) }, effects);
        }
    }

    /// Applies a newer configuration and pushes the changes to a few random members.
    pub(super) fn on_config_delta(&mut self, delta: &ConfigDelta, now: Millis, effects: &mut Vec<Effect>) {
        let before = self.configuration.revision();
        if !self.configuration.apply(delta) || self.configuration.revision() <= before {
            self.membership.set_configuration_revision(self.configuration.revision());
            return;
        }
        self.membership.set_configuration_revision(self.configuration.revision());
        self.counters.configuration_applied_at = now.0;
        let changes = self.configuration.delta_since(before);
        for to in self.random_members(CONFIGURATION_PUSH_FAN_OUT) {
            self.send(Send { to, message: Message::ConfigDelta(changes.clone()) }, effects);
        }
    }

    fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        let mut others: Vec<NodeId> = self.membership.nodes_accepting_work().filter(|node| *node != self.id).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !others.is_empty() {
            let index = self.membership.random_below(others.len());
            chosen.push(others.swap_remove(index));
        }
        chosen
    }

    /// Requests the member list from one random node: often after the start, so that a node that was started with a
    /// few seeds soon knows all members, and less often later.
    fn pull_members(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.timers.next_member_pull {
            return;
        }
        self.timers.next_member_pull = now.plus(MEMBER_PULL_RETRY_MS);
        let asker = *self.membership.own_update();
        for to in self.random_members(1) {
            self.send(Send { to, message: Message::MemberPull(MemberPull { asker }) }, effects);
        }
    }

    fn poll_engines(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.timers.next_engine_poll {
            return;
        }
        self.timers.next_engine_poll = now.plus(ENGINE_POLL_PERIOD_MS);
        for engine in self.router.engines_to_poll(self.id, now) {
            effects.push(Effect::PollEngine { engine, after_event: self.router.last_event(engine) });
        }
    }

    fn request_refill(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.timers.next_refill_request {
            return;
        }
        self.timers.next_refill_request = now.plus(REFILL_REQUEST_PERIOD_MS);
        let requests = self.replica.as_ref().map(|replica| replica.refill_requests()).unwrap_or_default();
        for send in requests {
            self.send(Send { to: send.to, message: Message::RefillRequest(send.request) }, effects);
        }
    }

    /// Writes a page of another replica's histories to disk and makes the next request due at once.
    pub(super) fn on_refill_page(&mut self, from: NodeId, page: RefillPage, now: Millis, effects: &mut Vec<Effect>) {
        let Some(replica) = self.replica.as_mut() else { return };
        let records = replica.apply_refill_page(from, page);
        if !records.is_empty() {
            self.begin_persist(records, effects);
        }
        self.timers.next_refill_request = now;
    }

    /// Requests the next refill pages after a write has completed, until the replica votes.
    pub(super) fn on_refill_persisted(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.replica.as_ref().is_some_and(|replica| !replica.is_voting()) {
            self.request_refill(now, effects);
        }
    }

    /// Takes over idle programs of this replica to end them, and deletes histories whose retention time has passed.
    fn clean_up_histories(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.timers.next_idle_search {
            return;
        }
        self.timers.next_idle_search = now.plus(IDLE_SEARCH_PERIOD_MS);
        let search = self.find_idle_and_expired(now);
        for idle in search.idle {
            self.last_used.insert(idle.program, now);
            if !self.owners.contains_key(&idle.program) && self.is_first_reachable_replica(idle.program) {
                self.take_over_idle(idle, now, effects);
            }
        }
        let records: Vec<Record> =
            search.expired.into_iter().filter_map(|program| self.drop_history(program)).collect();
        if !records.is_empty() {
            self.begin_persist(records, effects);
        }
    }

    fn drop_history(&mut self, program: ProgramId) -> Option<Record> {
        self.last_used.remove(&program);
        self.replica.as_mut().map(|replica| replica.drop_history(program))
    }

    /// Returns the open programs on this replica whose idle limit has passed since their last use, and the histories
    /// whose retention time has passed.
    fn find_idle_and_expired(&mut self, now: Millis) -> HistorySearch {
        let mut search = HistorySearch::default();
        let Some(replica) = &self.replica else { return search };
        for log in replica.histories() {
            let since = *self.last_used.entry(log.program).or_insert(now);
            let unused_ms = now.since(since);
            if needs_no_owner(log) {
                if unused_ms >= self.retention_ms {
                    search.expired.push(log.program);
                }
                continue;
            }
            let idle_ms = idle_limit_ms(log, &self.configuration);
            if unused_ms >= idle_ms && search.idle.len() < MAX_IDLE_PROGRAMS_PER_SEARCH {
                let copy = IdleCopy { entries: log.entries.len(), since };
                search.idle.push(IdleProgram { program: log.program, copy });
            }
        }
        search
    }

    /// Whether this node is the first reachable replica of `program` and a majority of its replicas can be reached.
    /// Only that replica takes over an idle program.
    fn is_first_reachable_replica(&self, program: ProgramId) -> bool {
        let replicas = replicas_of(program, &self.replicas);
        let first = replicas.into_iter().find(|replica| self.membership.is_reachable(*replica));
        first == Some(self.id) && self.is_quorum_reachable(program)
    }

    fn take_over_idle(&mut self, idle: IdleProgram, now: Millis, effects: &mut Vec<Effect>) {
        let replicas = replicas_of(idle.program, &self.replicas);
        let takeover = self.next_takeover(idle.program);
        self.with_context(now, effects, |owners, context| {
            let owner = Owner::take_over_idle(takeover, &replicas, idle.copy, context);
            owners.insert(idle.program, owner);
        });
    }

    pub(super) fn on_plain_request(
        &mut self,
        id: RequestId,
        tenant: &str,
        instance: &str,
        avoid: Option<EngineId>,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.plain_sequence += 1;
        let key =
            CallKey { program: ProgramId(u128::from(self.id.0)), sequence: self.plain_sequence, ..CallKey::default() };
        let random = [self.membership.random_below(usize::MAX), self.membership.random_below(usize::MAX)];
        let resolved = self.configuration.instance(instance).filter(|resolved| &*resolved.tenant == tenant);
        let backend =
            resolved.and_then(|resolved| self.router.choose_plain(&resolved.policy.model, random, avoid, now));
        if let Some(backend) = backend {
            self.router.on_plain_dispatch(backend, key, now);
            self.plain_requests.insert(id, super::PlainRequest { backend, key });
        }
        effects.push(Effect::Plain { id, backend });
    }

    pub(super) fn on_plain_request_ended(&mut self, id: RequestId, answered: bool, now: Millis) {
        if let Some(plain) = self.plain_requests.remove(&id) {
            self.router.on_call_end(plain.backend, plain.key, answered, now);
        }
    }
}

/// Result of one search of the replica's histories.
#[derive(Default)]
struct HistorySearch {
    idle: Vec<IdleProgram>,
    expired: Vec<ProgramId>,
}

/// An open program whose idle limit has passed since its last use.
#[derive(Clone, Copy)]
struct IdleProgram {
    program: ProgramId,
    copy: IdleCopy,
}

/// Milliseconds without use after which the program of `log` is ended.
fn idle_limit_ms(log: &ReplicaLog, configuration: &Configuration) -> u64 {
    let Some(Entry::Opened(opened)) = log.entries.first() else { return DEFAULT_IDLE_LIMIT_MS };
    let instance = configuration.instance(&opened.instance.to_string_lossy());
    instance.map_or(DEFAULT_IDLE_LIMIT_MS, |instance| instance.policy.idle_ms)
}

/// Whether the program needs no owner: it has ended or was never opened.
fn needs_no_owner(log: &ReplicaLog) -> bool {
    log.entries.is_empty() || log.entries.contains(&Entry::Closed(Closed { branch: ROOT_BRANCH }))
}
