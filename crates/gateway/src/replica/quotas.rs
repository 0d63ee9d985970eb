//! A replica's shares of tenants' limits.

use crate::locks::lock;
use foxnotch_scheduler::quota::{Admission, Demand, QuotaBook, QuotaRules, Standing};
use foxnotch_scheduler::tenants::RateLimit;
use foxnotch_wire::{ProgramStanding, QuotaGiven, RpcBody, TakeQuota};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The shares, with the clock that they go by.
pub struct ReplicaQuotas {
    started_at: Instant,
    book: Mutex<QuotaBook>,
}

fn standing_of(standing: ProgramStanding) -> Standing {
    match standing {
        ProgramStanding::New => Standing::New,
        ProgramStanding::UnderWay => Standing::UnderWay,
    }
}

impl ReplicaQuotas {
    /// The shares of a replica that starts now.
    pub fn new(rules: QuotaRules, admission: Admission) -> Self {
        let book = QuotaBook::new(rules, admission, Duration::ZERO);
        Self { started_at: Instant::now(), book: Mutex::new(book) }
    }

    /// The replica has become a member of the set.
    pub fn begin_again(&self) {
        lock(&self.book).begin_again(self.started_at.elapsed());
    }

    /// Tenants of which it holds a share.
    pub fn tenants(&self) -> usize {
        lock(&self.book).tenants()
    }

    /// Answers a gateway that goes by the same set, of so many members.
    pub fn answer(&self, request: &TakeQuota, members: usize) -> RpcBody {
        let limit = RateLimit { per_second: request.per_second, burst: request.burst };
        if !limit.is_sound() {
            return RpcBody::NotServed;
        }
        let demand = Demand {
            tenant: request.tenant,
            limit,
            revision: request.revision,
            shares: members,
            program: request.program.0,
            standing: standing_of(request.standing),
            wanted: request.wanted,
        };
        let grant = lock(&self.book).take(&demand, self.started_at.elapsed());
        let come_back_ms = u32::try_from(grant.come_back.as_millis()).unwrap_or(u32::MAX);
        RpcBody::QuotaGiven(QuotaGiven { granted: grant.granted, left: grant.left, come_back_ms })
    }
}
