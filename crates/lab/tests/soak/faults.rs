//! Injects the faults of a plan, ends them, and restarts processes.

use super::callers::Callers;
use super::disk_watch::StallAdjustedInstant;
use super::ledger::Violation;
use super::plan::{Fault, Node, PathFault, Step};
use super::processes::{node_name, Machine, GRACE_S};
use super::run::Soak;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time between the end of a process and its restart, unless the fault sets it.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Additional time that a stopping process has beyond its grace period, because all processes share this machine.
const GRACE_MARGIN: Duration = Duration::from_secs(3);

/// State of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// The process should be running.
    Running,
    /// The process is down; it is restarted at this time.
    Down(Instant),
    /// The process is suspended; it resumes at this time.
    Paused(Instant),
    /// The process received SIGTERM at this time.
    Stopping(StallAdjustedInstant),
}

impl Soak {
    /// Injects the fault of a step.
    pub(super) fn inject(&mut self, step: Step) {
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
            Fault::Configure { more } => self.write_configuration(more),
            Fault::ForgetHistory => self.store.drop_history(),
            Fault::EngineLeaves { engine } => {
                self.put_engine_entry(engine, "draining");
                self.active_faults.push((until, step.fault));
            }
            Fault::StorePath { .. } | Fault::StoreDown { .. } | Fault::EnginePath { .. } | Fault::EngineFull { .. } => {
                self.set_fault(&step.fault, true);
                self.active_faults.push((until, step.fault));
            }
        }
    }

    /// Applies `act` to a machine whose process is running; otherwise counts the step as skipped.
    pub(super) fn disturb(&mut self, node: Node, act: impl FnOnce(&mut Machine) -> Condition) {
        match self.machines.get_mut(&node) {
            Some((machine, condition)) if *condition == Condition::Running => *condition = act(machine),
            _ => self.skipped += 1,
        }
    }

    /// Starts or ends a fault of a network path or of an engine; ignores other faults.
    pub(super) fn set_fault(&self, fault: &Fault, is_active: bool) {
        let how = |how: PathFault| is_active.then_some(how);
        match fault {
            Fault::StorePath { node, how: fault } => {
                if let Some(path) = self.store_paths.get(node) {
                    path.set_fault(how(*fault));
                }
            }
            Fault::StoreDown { how: fault } => self.store_paths.values().for_each(|path| path.set_fault(how(*fault))),
            Fault::EnginePath { engine, how: fault } => self.engine_paths[*engine].set_fault(how(*fault)),
            Fault::EngineFull { engine } => self.engines[*engine].set_full(is_active),
            _ => {}
        }
    }

    /// Closes the connections of each engine that has ended under a request, and starts another one at another address.
    fn replace_ended_engines(&mut self) {
        for number in 0..self.engines.len() {
            if !self.engines[number].take_has_ended() {
                continue;
            }
            if let Err(error) = self.engine_paths[number].move_to_next_port() {
                eprintln!("soak: an engine could not be started again: {error}");
            }
            self.replace_engine(number);
        }
    }

    /// Ends the faults whose time has passed, updates each machine's condition, and restarts processes that are due.
    pub(super) fn update_machines(&mut self) {
        self.replace_ended_engines();
        let now = Instant::now();
        let longest_stop = Duration::from_secs(GRACE_S) + GRACE_MARGIN;
        let (expired, remaining): (Vec<_>, Vec<_>) = self.active_faults.drain(..).partition(|(at, _)| *at <= now);
        self.active_faults = remaining;
        for (_, fault) in expired {
            self.end_fault(&fault);
        }
        for (node, (machine, condition)) in &mut self.machines {
            if let Some(kilobytes) = machine.take_exceeded_memory() {
                self.ledger.record_violation(Violation::MemoryExceeded { node: node_name(*node), kilobytes });
            }
            let (runs, ended) = machine.poll_exit();
            *condition = match *condition {
                Condition::Running if !runs => {
                    let status = ended.map_or_else(String::new, |status| status.to_string());
                    self.ledger.record_violation(Violation::EndedByItself { node: node_name(*node), status });
                    Condition::Down(now + RESTART_PAUSE)
                }
                Condition::Down(at) if at <= now => {
                    restart(*node, machine, &self.callers);
                    Condition::Running
                }
                Condition::Paused(at) if at <= now => {
                    machine.signal(Signal::CONT);
                    Condition::Running
                }
                Condition::Stopping(_) if !runs => Condition::Down(now + RESTART_PAUSE),
                Condition::Stopping(stop_requested) if stop_requested.elapsed(&self.disk) > longest_stop => {
                    self.ledger.record_violation(Violation::NotStopped { node: node_name(*node) });
                    machine.kill();
                    Condition::Down(now)
                }
                other => other,
            };
        }
    }

    fn end_fault(&mut self, fault: &Fault) {
        self.set_fault(fault, false);
        if let Fault::EngineLeaves { engine } = fault {
            self.replace_engine(*engine);
        }
    }

    /// Removes a leaving engine from the list and adds another engine at the same address.
    fn replace_engine(&mut self, number: usize) {
        self.store.remove("servers", &self.engine_ids[number]);
        let next = format!("{}x", self.engine_ids[number]);
        self.engines[number].replace(next.clone());
        self.engine_ids[number] = next;
        self.put_engine_entry(number, "ready");
    }

    /// Ends all faults now; processes that are down or suspended are restarted or resumed at the next update.
    pub(super) fn end_faults(&mut self) {
        for (_, fault) in std::mem::take(&mut self.active_faults) {
            self.end_fault(&fault);
        }
        for (_, condition) in self.machines.values_mut() {
            match condition {
                Condition::Down(at) | Condition::Paused(at) => *at = Instant::now(),
                Condition::Running | Condition::Stopping(_) => {}
            }
        }
    }

    /// Sends SIGTERM to a machine's process; it is restarted after it has ended.
    pub(super) fn stop(&mut self, node: Node) {
        let stop_requested = StallAdjustedInstant::now(&self.disk);
        self.disturb(node, |machine| {
            machine.signal(Signal::TERM);
            Condition::Stopping(stop_requested)
        });
    }
}

fn restart(node: Node, machine: &mut Machine, callers: &Callers) {
    if let Node::Gateway(number) = node {
        callers.restarts[number].fetch_add(1, Ordering::SeqCst);
        callers.are_upgraded[number].store(true, Ordering::SeqCst);
    }
    machine.upgrade();
    if let Err(error) = machine.start(false) {
        eprintln!("soak: {error:#}");
    }
}
