//! The report of a soak as text.

use super::ledger::Violation;
use super::plan::{Fault, Plan};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Results of a soak.
pub(crate) struct SoakReport {
    pub(super) plan: Plan,
    /// Number of steps that were skipped because their node was under another fault.
    pub(crate) skipped: usize,
    pub(super) stalled: Duration,
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Violations found.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}: {} s, {} steps", self.plan.seed, self.plan.seconds, self.plan.steps.len())?;
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for step in &self.plan.steps {
            *kinds.entry(fault_name(&step.fault)).or_default() += 1;
        }
        for (kind, count) in kinds {
            writeln!(formatter, "  step {kind}: {count}")?;
        }
        writeln!(formatter, "  steps skipped because their node was under another fault: {}", self.skipped)?;
        writeln!(formatter, "  this machine's disk stalled for {:.1} s", self.stalled.as_secs_f64())?;
        for (outcome, count) in &self.outcomes {
            writeln!(formatter, "  requests, {outcome}: {count}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "  BROKEN {violation}")?;
        }
        writeln!(formatter, "violations: {}", self.violations.len())
    }
}

/// Name of a fault as in a plan's file, with the path's fault if there is one.
fn fault_name(fault: &Fault) -> String {
    let value = serde_json::to_value(fault).unwrap_or_default();
    let word = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    [word("do"), word("how")].join(" ").trim().to_owned()
}
