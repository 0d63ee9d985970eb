//! Computes the time for which the gateway tries to place a request at an engine.
//!
//! Inputs: whether the program has begun, the route's latency objective, and the request's time limit. For a new
//! program, the gateway gives up once the objective has passed: no earlier work is lost, and the caller may try again.
//! The refusal of a running program's turn loses all of the program's earlier work, so the gateway tries for longer.
//! It leaves enough of the time limit to run the turn itself.

use crate::quota::ProgramStage;
use std::time::Duration;

/// Fraction of the request's time limit in which the gateway tries to place a request of a running program; the rest
/// is for the turn itself. A larger fraction places more turns, but more of the placed turns end late.
const RUNNING_PLACEMENT_FRACTION: f64 = 0.5;
/// Lower bound of a route's objective. It also applies to a route without an objective, so that the gateway still tries
/// once to send each of the route's requests.
const MIN_OBJECTIVE: Duration = Duration::from_millis(1);

/// Returns the time from a request's arrival until the gateway gives up placing the request; at most `time_limit`,
/// which also counts from the arrival.
pub fn placement_timeout(stage: ProgramStage, objective: Duration, time_limit: Duration) -> Duration {
    let objective = objective.max(MIN_OBJECTIVE);
    let timeout = match stage {
        ProgramStage::New => objective,
        ProgramStage::Running => objective.max(time_limit.mul_f64(RUNNING_PLACEMENT_FRACTION)),
    };
    timeout.min(time_limit)
}
