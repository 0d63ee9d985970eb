//! Decides whether a new program may begin while the engines have little capacity left.
//!
//! When demand exceeds the capacity and every program is admitted, each program gets only some of its turns, and hardly
//! any program completes in time. So new programs are refused while the engines are full, and running programs
//! continue. Between two load bounds, only a fraction of the new programs is refused. Gateways learn of each other's
//! load half a second late, and with a single bound all would start and stop refusing at the same time.
//!
//! Inputs: the stage of the program, the requests in flight and the slots of the engines that can be reached, and a
//! random number.
//!
//! The bounds are a compromise. In a long shortage, lower bounds (0.9 and 1.15 requests in flight for each slot) are
//! much better. In short bursts, lower bounds are no better, because a short queue costs less than a program that never
//! begins. No fixed bounds suit both cases; see `docs/design/overload.md`.

use crate::quota::ProgramStage;
use std::time::Duration;

/// Requests in flight for each slot above which some new programs are refused. Up to this bound, short queues at the
/// engines absorb bursts. Bounds of 1.0 and 1.4 refuse too many programs in bursts; bounds of 1.5 and 2.0 refuse too
/// few in a shortage.
const FIRST_REFUSALS: f64 = 1.25;
/// Requests in flight for each slot from which all new programs are refused.
const ALL_REFUSED: f64 = 1.6;
/// The shortest time after which a refused caller may try again: about the duration of one or two turns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest time after which a refused caller may try again. A random time between the two spreads the retries of
/// the callers.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// The load of the reachable engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of requests in flight at the engines, from all gateways together.
    pub in_flight: f64,
    /// Number of requests that all engines together can work on at the same time.
    pub slots: f64,
}

impl ServiceLoad {
    /// Number of requests in flight for each slot.
    pub fn requests_per_slot(self) -> f64 {
        self.in_flight / self.slots.max(1.0)
    }
}

/// The time after which the caller of a refused request may try again; `random_draw` is from 0 to 1.
pub fn random_retry_after(random_draw: f64) -> Duration {
    MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(random_draw.clamp(0.0, 1.0))
}

/// Whether a request is admitted; `random_draw` is from 0 to 1, drawn for each request.
pub fn admits(stage: ProgramStage, load: ServiceLoad, random_draw: f64) -> bool {
    if stage == ProgramStage::Running {
        return true;
    }
    let refused_fraction = (load.requests_per_slot() - FIRST_REFUSALS) / (ALL_REFUSED - FIRST_REFUSALS);
    random_draw >= refused_fraction
}
