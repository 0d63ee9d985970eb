//! Records the programs of one tenant that recently sent requests, and estimates how many requests a program makes.

use std::collections::HashMap;
use std::time::Duration;

/// Number of requests that a program is expected to make, assumed before any program has been observed.
const PRIOR_REQUESTS: f64 = 10.0;
/// Weight of [`PRIOR_REQUESTS`] in the mean size of programs, as a number of observed programs.
const PRIOR_PROGRAMS: f64 = 4.0;
/// Number of observed programs above which both sums of [`ProgramSizes`] are halved, so that older programs have less
/// weight.
const MAX_COUNTED_PROGRAMS: f64 = 64.0;
/// Time after a program's last request until the program is forgotten.
const PROGRAM_RETENTION: Duration = Duration::from_secs(30);
/// Time without a request after which a program is assumed to have ended, and its size (the number of its requests) is
/// included in the mean.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two searches for programs that have ended.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Sums over a tenant's observed programs: their number, and the number of their requests.
#[derive(Clone, Copy, Debug, Default)]
struct ProgramSizes {
    programs: f64,
    requests: f64,
}

impl ProgramSizes {
    /// Mean number of requests of a program, over the observed programs and the prior.
    fn mean(&self) -> f64 {
        (PRIOR_REQUESTS * PRIOR_PROGRAMS + self.requests) / (PRIOR_PROGRAMS + self.programs)
    }

    /// Adds a program that has ended after this number of requests.
    fn add_program(&mut self, requests: u32) {
        self.programs += 1.0;
        self.requests += f64::from(requests);
        if self.programs > MAX_COUNTED_PROGRAMS {
            self.programs /= 2.0;
            self.requests /= 2.0;
        }
    }
}

/// A program that recently sent requests.
#[derive(Clone, Copy, Debug)]
struct RecentProgram {
    last_request_at: Duration,
    /// Number of requests granted since the program's size was last included in the mean.
    requests: u32,
    /// Whether the program's last request was refused.
    is_last_request_refused: bool,
}

impl RecentProgram {
    /// The estimated number of requests of the whole program. If the program's last request was refused, the program
    /// is assumed to have ended early, after half of its requests.
    fn estimated_requests(&self) -> u32 {
        self.requests.saturating_mul(if self.is_last_request_refused { 2 } else { 1 })
    }
}

/// The programs of one tenant from which one share recently received requests.
#[derive(Clone, Debug)]
pub(super) struct Programs {
    sizes: ProgramSizes,
    recent: HashMap<u64, RecentProgram>,
    swept_at: Duration,
}

impl Programs {
    /// Creates a record without programs at the time `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self { sizes: ProgramSizes::default(), recent: HashMap::new(), swept_at: now }
    }

    /// Whether the share recently granted a request of the program, or refused a request of it when the program was no
    /// longer new.
    pub(super) fn contains(&self, program: u64) -> bool {
        self.recent.contains_key(&program)
    }

    /// Number of requests that a program is expected to make.
    pub(super) fn mean_requests(&self) -> f64 {
        self.sizes.mean()
    }

    /// Number of further requests that the running programs are expected to make.
    pub(super) fn expected_further_requests(&self, now: Duration) -> f64 {
        let mean = self.mean_requests();
        let active =
            self.recent.values().filter(|program| now.saturating_sub(program.last_request_at) < PROGRAM_IDLE_TIMEOUT);
        active.map(|program| (mean - f64::from(program.requests)).max(0.0)).sum()
    }

    /// Records that a request of a program was granted or refused.
    pub(super) fn note_request(&mut self, program: u64, is_granted: bool, now: Duration) {
        let new_program = RecentProgram { last_request_at: now, requests: 0, is_last_request_refused: false };
        let entry = self.recent.entry(program).or_insert(new_program);
        entry.last_request_at = now;
        entry.requests = entry.requests.saturating_add(u32::from(is_granted));
        entry.is_last_request_refused = !is_granted;
    }

    /// Includes the sizes of programs that have ended in the mean, and forgets programs without recent requests.
    pub(super) fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let sizes = &mut self.sizes;
        self.recent.retain(|_, program| {
            let idle = now.saturating_sub(program.last_request_at);
            if idle >= PROGRAM_IDLE_TIMEOUT && program.requests > 0 {
                sizes.add_program(program.estimated_requests());
                program.requests = 0;
            }
            idle < PROGRAM_RETENTION
        });
    }
}
