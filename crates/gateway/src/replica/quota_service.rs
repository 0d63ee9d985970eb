//! A replica's shares of tenants' rate limits. Before a replica grants requests from a share, it writes to disk the cap
//! up to which it may grant them in a window, so that it cannot grant the same requests again after a restart.

use crate::locks::lock;
use crate::logging::part;
use crate::replica::disk::{Disk, DiskError, NewestRecords};
use foxnotch_scheduler::quota::{
    Admission, Answer, Cap, Demand, Grant, PriorGrants, ProgramStage, QuotaRules, QuotaShares,
};
use foxnotch_scheduler::tenants::RateLimit;
use foxnotch_turns::segment::{QuotaCap, QuotaCaps, Record};
use foxnotch_wire::{ProgramStageTag, QuotaGiven, RpcBody, TakeQuota};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Delay after which a caller should retry a replica that cannot write a cap. The replica's disk may stay full, and
/// other replicas grant requests in the meantime.
const FULL_DISK_RETRY_AFTER: Duration = Duration::from_millis(500);

/// This replica's shares, and the start of the clock by which it grants requests.
#[derive(Clone)]
pub struct QuotaService {
    started_at: Instant,
    shares: Arc<Mutex<QuotaShares>>,
}

fn program_stage(stage: ProgramStageTag) -> ProgramStage {
    match stage {
        ProgramStageTag::New => ProgramStage::New,
        ProgramStageTag::Running => ProgramStage::Running,
    }
}

fn caps_record(caps: &[Cap]) -> Record {
    let caps = caps.iter().map(|cap| QuotaCap { tenant: cap.tenant, requests: cap.requests });
    Record::QuotaCaps(QuotaCaps { caps: caps.collect() })
}

fn encode_decision(grant: &Grant) -> RpcBody {
    let retry_after_ms = u32::try_from(grant.retry_after.as_millis()).unwrap_or(u32::MAX);
    RpcBody::QuotaGiven(QuotaGiven { granted: u8::from(grant.granted), left: grant.left, retry_after_ms })
}

/// Computes from the newest records on disk what this replica may have granted before this start: no requests in a new
/// deployment, otherwise at most the caps on disk. If the disk is empty or not refilled yet, it has replaced a lost
/// disk, so the earlier grants are unknown.
pub fn prior_grants_on_disk(newest: &NewestRecords, is_first_start: bool) -> PriorGrants {
    match &newest.state {
        Some(state) if state.complete == 1 => PriorGrants::Caps(newest.caps.clone().into_iter().collect()),
        None if is_first_start => PriorGrants::None,
        Some(_) | None => PriorGrants::Unknown,
    }
}

impl QuotaService {
    /// Creates the shares of a replica that starts now.
    pub fn new(rules: QuotaRules, admission: Admission, prior_grants: PriorGrants) -> Self {
        let shares = QuotaShares::new(rules, admission, prior_grants, Duration::ZERO);
        Self { started_at: Instant::now(), shares: Arc::new(Mutex::new(shares)) }
    }

    /// Drops what this replica knows of earlier grants. Called when it becomes a member of the set: until now, another
    /// replica may have granted requests from the shares that this replica takes over.
    pub fn reset_on_join(&self) {
        lock(&self.shares).reset_on_join(self.started_at.elapsed());
    }

    /// The number of tenants for whose limits this replica has a share.
    pub fn tenant_count(&self) -> usize {
        lock(&self.shares).tenant_count()
    }

    /// Answers a quota request of a gateway that has the same version of the set. The set has `members` members.
    pub async fn answer(&self, request: &TakeQuota, members: usize, disk: &Disk) -> RpcBody {
        let limit = RateLimit { per_second: request.per_second, burst: request.burst };
        if !limit.is_valid() {
            return RpcBody::NotServed;
        }
        let demand = Demand {
            tenant: request.tenant,
            limit,
            version: request.version,
            share_count: members,
            program: request.program.0,
            stage: program_stage(request.stage),
        };
        loop {
            let answer = lock(&self.shares).try_acquire(&demand, self.started_at.elapsed());
            match answer {
                Answer::Decided(grant) => {
                    self.raise_cap_ahead(request.tenant, disk);
                    return encode_decision(&grant);
                }
                Answer::NeedsCap(cap) => {
                    if self.write_cap(cap, disk).await.is_err() {
                        return encode_decision(&Grant {
                            granted: false,
                            left: 0.0,
                            retry_after: FULL_DISK_RETRY_AFTER,
                        });
                    }
                }
            }
        }
    }

    /// Writes the next cap before it is needed, in a task of its own, so that requests need not wait for the disk.
    fn raise_cap_ahead(&self, tenant: u64, disk: &Disk) {
        let next = lock(&self.shares).begin_cap_raise(tenant, self.started_at.elapsed());
        let Some(cap) = next else { return };
        let (quotas, disk) = (self.clone(), disk.clone());
        tokio::spawn(async move {
            // A failed write has been logged; the cap is written again when it is needed.
            let _ = quotas.write_cap(cap, &disk).await;
        });
    }

    async fn write_cap(&self, cap: Cap, disk: &Disk) -> Result<(), DiskError> {
        let written = disk.write(vec![caps_record(&[cap])]).await;
        if let Err(error) = &written {
            log::warn!(
                target: part::REPLICA,
                "Could not write a higher request cap for tenant {:016x} to disk; this replica grants the tenant no \
                 requests above the previous cap until the write succeeds (`requests` is the higher cap): \
                 requests={}: {error}.",
                cap.tenant,
                cap.requests,
            );
        }
        lock(&self.shares).note_cap_write_ended(cap, written.is_ok());
        written.map(drop)
    }

    /// Lowers the caps of tenants that need less than before, and writes them in a task of its own.
    pub fn lower_caps(&self, disk: &Disk) {
        let caps = lock(&self.shares).lower_caps(self.started_at.elapsed());
        if caps.is_empty() {
            return;
        }
        let disk = disk.clone();
        tokio::spawn(async move {
            // If the write fails, the higher caps stay on disk. After a restart they count as granted, so this replica
            // grants a tenant fewer requests in the first window.
            if let Err(error) = disk.write(vec![caps_record(&caps)]).await {
                log::warn!(
                    target: part::REPLICA,
                    "{} lowered caps on tenants' requests were not written to disk; after a restart, this replica may \
                     grant these tenants fewer requests in the first window: {error}.",
                    caps.len(),
                );
            }
        });
    }
}
