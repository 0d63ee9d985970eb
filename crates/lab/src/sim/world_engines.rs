//! Engines in the simulated world: commands, steps, crashes, and withdrawal from service.

use super::network::Network;
use super::platform::{Follower, SimEngine};
use super::world::{NodeRef, World, WorldEvent};
use crate::model::engine::{DispatchKey, EngineModel, EngineOutput, Submission};
use foxnotch_core::effect::{EngineCommand, EngineUpdate, Event, StartCall};
use foxnotch_membership::Millis;
use foxnotch_wire::{CallKey, EngineId};

/// Time until a node considers an engine behind a network cut unresponsive.
const CUT_TIMEOUT_MS: u64 = 800;
/// Time until a node receives a refusal or a connection reset from a reachable engine's machine.
const RESET_MS: u64 = 2;

impl World {
    /// Whether the network delivers messages between a node and an engine, in each direction.
    fn link_state(&self, engine: EngineId, node: NodeRef) -> LinkState {
        let zones =
            self.engines.get(&engine).zip(self.nodes.get(&node.node)).map(|(engine, node)| (engine.zone, node.zone));
        let Some((engine_zone, node_zone)) = zones else { return LinkState { to_engine: false, to_node: false } };
        LinkState {
            to_engine: !self.network.is_cut(node_zone, engine_zone, self.now),
            to_node: !self.network.is_cut(engine_zone, node_zone, self.now),
        }
    }

    fn send_update(
        &mut self,
        node: NodeRef,
        engine: EngineId,
        dispatch: DispatchKey,
        update: EngineUpdate,
        after: u64,
    ) {
        let DispatchKey { key, attempt } = dispatch;
        let event = Event::Engine { engine, key, attempt, update };
        self.schedule(after, WorldEvent::Deliver { to: node, event: Box::new(event) });
    }

    pub(super) fn on_engine_command(&mut self, engine: EngineId, from: NodeRef, command: EngineCommand) {
        let reach = self.link_state(engine, from);
        let up = self.engines.get(&engine).is_some_and(|engine| engine.up);
        match command {
            EngineCommand::Start(start) => self.on_start(engine, from, start, reach, up),
            EngineCommand::Resume { key, attempt } => {
                let dispatch = DispatchKey { key, attempt };
                if !reach.to_engine || !reach.to_node {
                    return self.send_update(from, engine, dispatch, EngineUpdate::Lost, CUT_TIMEOUT_MS);
                }
                if !up {
                    return self.send_update(from, engine, dispatch, EngineUpdate::Unknown, RESET_MS);
                }
                self.on_resume(engine, from, dispatch);
            }
            EngineCommand::Cancel { key, attempt } => {
                if up && reach.to_engine {
                    self.cancel_on_engine(engine, key);
                    if reach.to_node {
                        let dispatch = DispatchKey { key, attempt };
                        self.send_update(from, engine, dispatch, EngineUpdate::Stopped, RESET_MS);
                    }
                }
            }
            EngineCommand::Release { program, branch } => {
                let now_us = self.now * 1000;
                if let Some(engine) = self.engines.get_mut(&engine).filter(|_| up && reach.to_engine) {
                    engine.model.release_holds(program, branch, now_us);
                }
            }
        }
    }

    fn on_start(&mut self, engine: EngineId, from: NodeRef, start: StartCall, reach: LinkState, up: bool) {
        let dispatch = DispatchKey { key: start.key, attempt: start.attempt };
        if !up {
            return self.send_update(from, engine, dispatch, EngineUpdate::Refused, RESET_MS);
        }
        if !reach.to_engine {
            // A new connection fails, so nothing was sent. If the connection was already open, the node cannot know
            // whether the engine received the call. The world draws which of the two applies.
            let doubt = self.draw_up_to(1) == 0;
            let update = if doubt { EngineUpdate::Lost } else { EngineUpdate::Refused };
            return self.send_update(from, engine, dispatch, update, CUT_TIMEOUT_MS);
        }
        if Millis(self.now) > start.start_by {
            return self.send_update(from, engine, dispatch, EngineUpdate::Refused, RESET_MS);
        }
        let now_us = self.now * 1000;
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let submission = Submission {
            key: start.key,
            attempt: start.attempt,
            model: start.model,
            adapter: start.adapter,
            prompt: start.prompt,
            maximum_output_tokens: start.maximum_output_tokens,
            priority: start.priority,
            hold_us: start.hold_ms * 1000,
            start_by_us: start.start_by.0 * 1000,
        };
        if simulated.model.submit(submission, now_us).is_err() {
            let update = if reach.to_node { EngineUpdate::Refused } else { EngineUpdate::Lost };
            return self.send_update(from, engine, dispatch, update, RESET_MS);
        }
        self.oracle.engine_accepted(engine, start.key, self.now);
        self.collect_starts(engine);
        self.schedule_step(engine);
        self.stream_dispatch(engine, from, dispatch, reach);
    }

    fn on_resume(&mut self, engine: EngineId, from: NodeRef, dispatch: DispatchKey) {
        let known = self.engines.get(&engine).is_some_and(|engine| engine.model.has_dispatch(dispatch));
        if !known {
            let delay = Network::draw_delay(&mut self.random);
            return self.send_update(from, engine, dispatch, EngineUpdate::Unknown, delay);
        }
        self.stream_dispatch(engine, from, dispatch, LinkState { to_engine: true, to_node: true });
    }

    /// Streams a dispatch's answer to a node, starting with the first byte.
    fn stream_dispatch(&mut self, engine: EngineId, node: NodeRef, dispatch: DispatchKey, reach: LinkState) {
        if !reach.to_node {
            return self.send_update(node, engine, dispatch, EngineUpdate::Lost, CUT_TIMEOUT_MS);
        }
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let follower = Follower { node: node.node, generation: node.generation, sent_bytes: 0 };
        simulated.followers.entry(dispatch).or_default().push(follower);
        if let Some((text, true)) = simulated.model.answer(dispatch) {
            self.stream_to_followers(engine, dispatch, text.len(), true);
        }
        self.schedule_step(engine);
    }

    fn schedule_step(&mut self, engine: EngineId) {
        let now = self.now;
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let Some(next_us) = simulated.model.current_step_end_us() else { return };
        let at = next_us.div_ceil(1000).max(now);
        if simulated.scheduled.is_some_and(|scheduled| scheduled >= now && scheduled <= at) {
            return;
        }
        simulated.scheduled = Some(at);
        let generation = simulated.generation;
        self.schedule(at - now, WorldEvent::EngineStep { engine, generation });
    }

    pub(super) fn on_engine_step(&mut self, engine: EngineId, generation: u64) {
        let now_us = self.now * 1000;
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        if simulated.generation != generation || !simulated.up {
            return;
        }
        simulated.scheduled = None;
        let outputs = simulated.model.advance(now_us);
        self.collect_starts(engine);
        for output in outputs {
            match output {
                EngineOutput::Grown(dispatch, length) => self.stream_to_followers(engine, dispatch, length, false),
                EngineOutput::Expired(dispatch) => self.refuse_followers(engine, dispatch),
                EngineOutput::Finished(dispatch) => {
                    self.oracle.engine_stopped(dispatch.key);
                    self.stream_to_followers(engine, dispatch, usize::MAX, true);
                }
            }
        }
        self.schedule_step(engine);
    }

    /// Reports the calls that an engine has newly started to the oracle.
    fn collect_starts(&mut self, engine: EngineId) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        for start in simulated.model.take_starts() {
            self.oracle.engine_started(&start);
        }
    }

    /// Sends the new part of an answer to its followers. A follower behind a network cut loses the stream.
    fn stream_to_followers(&mut self, engine: EngineId, dispatch: DispatchKey, length: usize, finished: bool) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let Some(followers) = simulated.followers.remove(&dispatch) else { return };
        let answer = simulated.model.answer(dispatch).map(|(text, _)| text).unwrap_or_default();
        let length = length.min(answer.len());
        let mut remaining = Vec::new();
        for mut follower in followers {
            let node = NodeRef { node: follower.node, generation: follower.generation };
            if !self.link_state(engine, node).to_node {
                self.send_update(node, engine, dispatch, EngineUpdate::Lost, CUT_TIMEOUT_MS);
                continue;
            }
            if finished {
                let delay = Network::draw_delay(&mut self.random);
                let update = EngineUpdate::Finished { text: answer.clone() };
                self.send_update(node, engine, dispatch, update, delay);
                continue;
            }
            let update = EngineUpdate::Tokens {
                offset: follower.sent_bytes,
                text: answer[follower.sent_bytes..length].to_vec(),
            };
            follower.sent_bytes = length;
            remaining.push(follower);
            self.send_update(node, engine, dispatch, update, 1);
        }
        if let Some(simulated) = self.engines.get_mut(&engine).filter(|_| !remaining.is_empty()) {
            simulated.followers.insert(dispatch, remaining);
        }
    }

    /// Reports to the followers of a dispatch that the engine dropped it before starting it.
    fn refuse_followers(&mut self, engine: EngineId, dispatch: DispatchKey) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        for follower in simulated.followers.remove(&dispatch).unwrap_or_default() {
            let node = NodeRef { node: follower.node, generation: follower.generation };
            let to_node = self.link_state(engine, node).to_node;
            let update = if to_node { EngineUpdate::Refused } else { EngineUpdate::Lost };
            self.send_update(node, engine, dispatch, update, if to_node { RESET_MS } else { CUT_TIMEOUT_MS });
        }
    }

    fn cancel_on_engine(&mut self, engine: EngineId, key: CallKey) {
        let now_us = self.now * 1000;
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        simulated.model.cancel(key, now_us);
        simulated.followers.retain(|dispatch, _| dispatch.key != key);
        self.oracle.engine_stopped(key);
        self.collect_starts(engine);
        self.schedule_step(engine);
    }

    pub(super) fn poll_engine(&mut self, node: NodeRef, engine: EngineId, after: u64) {
        let reach = self.link_state(engine, node);
        let now = self.now;
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        if !simulated.up || !reach.to_engine || !reach.to_node {
            return;
        }
        let report = simulated.model.state(after, now * 1000).to_report(Millis(now));
        let delay = Network::draw_delay(&mut self.random);
        self.schedule(delay, WorldEvent::Deliver { to: node, event: Box::new(Event::Report { engine, report }) });
    }

    pub(super) fn engine_dies(&mut self, engine: EngineId, down_ms: u64) {
        self.disturbed_until = self.disturbed_until.max(self.now + down_ms);
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        if !simulated.up {
            return;
        }
        simulated.up = false;
        let followers = std::mem::take(&mut simulated.followers);
        for (dispatch, followers) in followers {
            self.oracle.engine_stopped(dispatch.key);
            for follower in followers {
                let node = NodeRef { node: follower.node, generation: follower.generation };
                self.send_update(node, engine, dispatch, EngineUpdate::Lost, RESET_MS);
            }
        }
        self.schedule(down_ms, WorldEvent::EngineStart(engine));
    }

    /// Restarts an engine with an empty cache.
    pub(super) fn start_engine(&mut self, engine: EngineId) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let generation = simulated.generation + 1;
        let leaving = simulated.leaving;
        *simulated = SimEngine { generation, leaving, ..SimEngine::new(engine, simulated.zone) };
        simulated.model = EngineModel::new(super::platform::engine_parameters());
    }

    pub(super) fn engine_leaves(&mut self, engine: EngineId, away_ms: u64) {
        let others = self.engines.values().filter(|other| other.id != engine && !other.leaving).count();
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        if simulated.leaving || others < 2 {
            return;
        }
        simulated.leaving = true;
        let shown_at = self.now.max(self.machine_list.stuck_until);
        self.oracle.engine_leaving(engine, Some(shown_at));
        self.publish_machines();
        self.schedule(away_ms, WorldEvent::EngineReturns(engine));
    }

    pub(super) fn engine_returns(&mut self, engine: EngineId) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        simulated.leaving = false;
        self.oracle.engine_leaving(engine, None);
        self.publish_machines();
    }
}

/// Whether the network delivers messages between a node and an engine, by direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkState {
    to_engine: bool,
    to_node: bool,
}
