//! A replica's shares of the rates at which requests may be sent to cold engines.

use crate::locks::lock;
use crate::logging::part;
use foxnotch_scheduler::slow_start::permits::{PermitLimiter, PermitRequest};
use foxnotch_scheduler::slow_start::SlowStartTolerance;
use foxnotch_wire::{ColdPermit, RpcBody, TakeColdPermit};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// This replica's shares, and the start of the clock by which it grants permits.
pub struct ColdPermitService {
    started_at: Instant,
    limiter: Mutex<PermitLimiter>,
}

impl ColdPermitService {
    /// Creates the shares of a replica that starts now. Unless the deployment is new, the replica grants no permits at
    /// first, because it may have granted permits just before it restarted.
    pub fn new(tolerance: SlowStartTolerance, is_new_deployment: bool) -> Self {
        let limiter = PermitLimiter::new(tolerance, is_new_deployment, Duration::ZERO);
        Self { started_at: Instant::now(), limiter: Mutex::new(limiter) }
    }

    /// Makes this replica grant no permits for a while. Called when it becomes a member of the set: until now, another
    /// replica may have granted permits from the shares that this replica takes over.
    pub fn reset_on_join(&self) {
        let time = lock(&self.limiter).reset_on_join(self.started_at.elapsed());
        log::info!(
            target: part::REPLICA,
            "This replica grants no permits to send to cold engines for {time:?}, because another replica may have \
             granted permits from the same share of the rate: cause=joined_set.",
        );
    }

    /// The number of engines for which this replica granted permits recently.
    pub fn recently_permitted_engine_count(&self) -> usize {
        lock(&self.limiter).recently_permitted_engine_count()
    }

    /// Answers a permit request of a gateway that has the same version of the set. The set has `members` members, and
    /// `share_index` is this replica's index among them.
    pub fn answer(&self, request: &TakeColdPermit, members: usize, share_index: usize) -> RpcBody {
        if !(request.per_second.is_finite() && request.per_second > 0.0) {
            return RpcBody::NotServed;
        }
        let wanted =
            PermitRequest { engine: request.engine, per_second: request.per_second, share_count: members, share_index };
        let grant = lock(&self.limiter).try_acquire(&wanted, self.started_at.elapsed());
        // Rounded up, so that a permit is available when the caller retries after this time.
        let retry_after_ms = u32::try_from(grant.retry_after.as_micros().div_ceil(1000)).unwrap_or(u32::MAX);
        RpcBody::ColdPermit(ColdPermit { granted: u8::from(grant.granted), left: grant.left as u32, retry_after_ms })
    }
}
