//! Brings the faults of a plan about, ends them, and starts again what is down.

use super::callers::Callers;
use super::disk_watch::Told;
use super::ledger::Violation;
use super::plan::{Fault, Node, PathFault, Step};
use super::processes::{name, Machine, GRACE_S};
use super::run::Soak;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after which a process that was stopped as planned is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Time beyond its grace after which a process counts as not stopped: the machine is shared by all of them.
const GRACE_MARGIN: Duration = Duration::from_secs(3);

/// What a machine is in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// Up.
    Running,
    /// Down, to be started at this time.
    Down(Instant),
    /// Paused, to go on at this time.
    Paused(Instant),
    /// Told to stop at this time.
    Stopping(Told),
}

impl Soak {
    /// Begins what a step asks for.
    pub(super) fn begin(&mut self, step: Step) {
        let until = Instant::now() + Duration::from_millis(step.for_ms);
        match step.fault {
            Fault::Kill { node } => self.disturb(node, |machine| {
                machine.kill();
                Condition::Down(until)
            }),
            Fault::Pause { node } => self.disturb(node, |machine| {
                machine.signal(Signal::STOP);
                Condition::Paused(until)
            }),
            Fault::Stop { node } => self.stop(node),
            Fault::Wipe { node } => self.disturb(node, |machine| {
                machine.kill();
                if let Err(error) = machine.wipe() {
                    eprintln!("soak: {error:#}");
                }
                Condition::Down(until)
            }),
            Fault::Configure { more } => self.configure(more),
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::EngineLeaves { engine } => {
                self.list_engine(engine, "draining");
                self.endings.push((until, step.fault));
            }
            Fault::StorePath { .. } | Fault::StoreDown { .. } | Fault::EnginePath { .. } | Fault::EngineFull { .. } => {
                self.set_path(&step.fault, true);
                self.endings.push((until, step.fault));
            }
        }
    }

    /// Does something to a machine that nothing else is done to.
    pub(super) fn disturb(&mut self, node: Node, act: impl FnOnce(&mut Machine) -> Condition) {
        match self.machines.get_mut(&node) {
            Some((machine, condition)) if *condition == Condition::Running => *condition = act(machine),
            _ => self.skipped += 1,
        }
    }

    /// Begins or ends a fault of a path or of an engine.
    pub(super) fn set_path(&self, fault: &Fault, begins: bool) {
        let how = |how: PathFault| begins.then_some(how);
        match fault {
            Fault::StorePath { node, how: fault } => {
                if let Some(path) = self.store_paths.get(node) {
                    path.set(how(*fault));
                }
            }
            Fault::StoreDown { how: fault } => self.store_paths.values().for_each(|path| path.set(how(*fault))),
            Fault::EnginePath { engine, how: fault } => self.engine_paths[*engine].set(how(*fault)),
            Fault::EngineFull { engine } => self.engines[*engine].set_full(begins),
            _ => {}
        }
    }

    /// Ends what is over, and starts again what is down.
    pub(super) fn look(&mut self) {
        let now = Instant::now();
        let longest_stop = Duration::from_secs(GRACE_S) + GRACE_MARGIN;
        let (over, lasting): (Vec<_>, Vec<_>) = self.endings.drain(..).partition(|(at, _)| *at <= now);
        self.endings = lasting;
        for (_, fault) in over {
            self.end(&fault);
        }
        for (node, (machine, condition)) in &mut self.machines {
            let (runs, ended) = machine.look();
            *condition = match *condition {
                Condition::Running if !runs => {
                    let status = ended.map_or_else(String::new, |status| status.to_string());
                    self.ledger.violate(Violation::EndedByItself { node: name(*node), status });
                    Condition::Down(now + RESTART_PAUSE)
                }
                Condition::Down(at) if at <= now => {
                    start_again(*node, machine, &self.callers);
                    Condition::Running
                }
                Condition::Paused(at) if at <= now => {
                    machine.signal(Signal::CONT);
                    Condition::Running
                }
                Condition::Stopping(_) if !runs => Condition::Down(now + RESTART_PAUSE),
                Condition::Stopping(told) if told.elapsed(&self.disk) > longest_stop => {
                    self.ledger.violate(Violation::NotStopped { node: name(*node) });
                    machine.kill();
                    Condition::Down(now)
                }
                other => other,
            };
        }
    }

    fn end(&mut self, fault: &Fault) {
        self.set_path(fault, false);
        if let Fault::EngineLeaves { engine } = fault {
            self.replace_engine(*engine);
        }
    }

    /// The engine that left is gone, and another is listed at its address.
    fn replace_engine(&mut self, number: usize) {
        self.store.remove("servers", &self.engine_ids[number]);
        let next = format!("{}x", self.engine_ids[number]);
        self.engines[number].set_id(next.clone());
        self.engine_ids[number] = next;
        self.list_engine(number, "ready");
    }

    /// Ends all faults at once.
    pub(super) fn end_faults(&mut self) {
        for (_, fault) in std::mem::take(&mut self.endings) {
            self.end(&fault);
        }
        for (_, condition) in self.machines.values_mut() {
            match condition {
                Condition::Down(at) | Condition::Paused(at) => *at = Instant::now(),
                Condition::Running | Condition::Stopping(_) => {}
            }
        }
    }

    /// Tells a machine to stop as planned; it is started again once it has ended.
    pub(super) fn stop(&mut self, node: Node) {
        let told = Told::now(&self.disk);
        self.disturb(node, |machine| {
            machine.signal(Signal::TERM);
            Condition::Stopping(told)
        });
    }
}

fn start_again(node: Node, machine: &mut Machine, callers: &Callers) {
    if let Node::Gateway(number) = node {
        callers.lives[number].fetch_add(1, Ordering::SeqCst);
    }
    machine.upgrade();
    if let Err(error) = machine.start(false) {
        eprintln!("soak: {error:#}");
    }
}
