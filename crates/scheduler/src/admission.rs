//! Whether a program may begin while the engines have little room.
//!
//! When more is asked than the engines serve, every program that is let in gets some of its turns and hardly one ends
//! in time. So new programs are refused while the engines are full, and those under way go on. Between the two bounds a
//! part of the new ones is refused, because gateways learn of each other's load half a second late and would all open
//! and close at once.
//!
//! Inputs: whether the program has begun, requests under way and slots of the engines that can be reached, a random
//! draw.
//!
//! What would speak for other bounds: in a long lack of room, earlier refusals are much better (0.9 to 1.15 requests a
//! slot: 0.695 of the credit earned against 0.584, two fifths of the engines down for 22 s); in short bursts they are
//! no better (0.846, 0.765 and 0.762 against 0.817, 0.805 and 0.794 on three days), because a short queue costs less
//! than a program that never begins. No fixed bounds suit both; see `docs/design/overload.md`.

use crate::quota::ProgramStage;
use std::time::Duration;

/// Requests under way for each slot at which the first new programs are refused: short queues at the engines bear
/// bursts. With [`ALL_REFUSED`] chosen between measured pairs: from 1.0 to 1.4, a day without room earned 0.413 and a
/// day with bursts 0.764; from 1.5 to 2.0, 0.324 and 0.816; never, 0.096 and 0.798 (share of the credit earned, one
/// play each).
const FIRST_REFUSALS: f64 = 1.25;
/// Requests under way for each slot at which all new programs are refused.
const ALL_REFUSED: f64 = 1.6;
/// The least time after which a refused caller may try again: the engines take as long for a turn or two.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest. Callers try again spread over the time between.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// How loaded the engines of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests under way, of all gateways together.
    pub under_way: f64,
    /// Requests that the engines work on at once.
    pub slots: f64,
}

impl ServiceLoad {
    /// Requests under way for each slot.
    pub fn for_each_slot(self) -> f64 {
        self.under_way / self.slots.max(1.0)
    }
}

/// When a caller that is refused may try again; `random_draw` is from 0 to 1.
pub fn retry_after(random_draw: f64) -> Duration {
    MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(random_draw.clamp(0.0, 1.0))
}

/// Whether a request may be sent to an engine; `random_draw` is from 0 to 1, drawn for each request.
pub fn admits(stage: ProgramStage, load: ServiceLoad, random_draw: f64) -> bool {
    if stage == ProgramStage::Running {
        return true;
    }
    let refused = (load.for_each_slot() - FIRST_REFUSALS) / (ALL_REFUSED - FIRST_REFUSALS);
    random_draw >= refused
}
