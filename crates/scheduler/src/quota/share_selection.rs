//! Selects the shares of a tenant's limit that a gateway asks to grant a request, and the order in which it asks them.
//!
//! A gateway remembers the last answer of each share. It first asks the share of a replica in its own zone, then the
//! other shares, those with more remaining requests first. Shares that recently did not answer come last, and shares
//! that are expected to refuse are left out. When all shares are expected to refuse, the gateway refuses the request
//! without asking, so that a tenant far above its limit does not cost the replicas a message for each request.

use super::{Grant, ProgramStage};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a share that did not answer is asked after all other shares.
const SILENT_SHARE_PERIOD: Duration = Duration::from_secs(1);
/// When at least this many answers are stored, outdated ones are removed.
const ANSWERS_BEFORE_SWEEP: usize = 4096;
/// Age from which a stored answer is outdated.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// A replica that holds a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareHolder {
    /// Number of the node that runs the replica.
    pub node: u32,
    /// Whether the replica is in the gateway's zone.
    pub is_same_zone: bool,
}

/// The last answer that a gateway got from one share, and the times that follow from it for the next requests.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    answered_at: Duration,
    /// Number of requests that the share could still grant when it answered.
    left: f64,
    /// Time until which the share is expected to grant no requests at all.
    empty_until: Duration,
    /// Time until which the share is expected to grant no requests of new programs.
    closed_until: Duration,
    /// Time until which the share is expected not to answer.
    silent_until: Duration,
}

/// A gateway's decision which shares to ask about a request of a tenant that has a limit.
#[derive(Clone, Debug, PartialEq)]
pub enum AskPlan {
    /// Ask these shares, given by their index in the list of holders, one after the other until one grants the request.
    Ask(Vec<usize>),
    /// Refuse without asking: no share is expected to grant the request before this time has passed.
    Refuse(Duration),
}

/// The last answers of all shares, by tenant and node. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ShareAnswers {
    answers: HashMap<(u64, u32), LastAnswer>,
}

impl ShareAnswers {
    /// Decides which shares to ask about a request, and in which order. `tenant` is the hash of the tenant's name; for
    /// a permit to send to a cold engine, it is the hash of the engine's identifier.
    pub fn plan_requests(&self, tenant: u64, holders: &[ShareHolder], stage: ProgramStage, now: Duration) -> AskPlan {
        let mut ranked: Vec<(usize, ShareRank)> = Vec::with_capacity(holders.len());
        let mut shortest_wait = Duration::MAX;
        for (index, holder) in holders.iter().enumerate() {
            let answer = self.answers.get(&(tenant, holder.node));
            let wait = answer.map_or(Duration::ZERO, |answer| answer.time_until_grant(stage, now));
            shortest_wait = shortest_wait.min(wait);
            if wait.is_zero() {
                ranked.push((index, ShareRank::of(answer, holder, now)));
            }
        }
        if ranked.is_empty() && !holders.is_empty() {
            return AskPlan::Refuse(shortest_wait);
        }
        ranked.sort_by(|first, second| first.1.compare(&second.1));
        AskPlan::Ask(ranked.into_iter().map(|(index, _)| index).collect())
    }

    /// Records a share's answer to a request of a program in this stage.
    pub fn note_answer(&mut self, tenant: u64, node: u32, stage: ProgramStage, grant: &Grant, now: Duration) {
        if self.answers.len() >= ANSWERS_BEFORE_SWEEP {
            self.answers.retain(|_, answer| now.saturating_sub(answer.answered_at) < ANSWER_LIFETIME);
        }
        let is_closed = !grant.granted && stage == ProgramStage::New;
        let closed_until = if is_closed { now + grant.retry_after } else { Duration::ZERO };
        // A share that refuses a new program may still grant requests of running programs.
        let empty_until = if is_closed && grant.left >= 1.0 { Duration::ZERO } else { now + grant.retry_after };
        let answer =
            LastAnswer { answered_at: now, left: grant.left, empty_until, closed_until, silent_until: Duration::ZERO };
        self.answers.insert((tenant, node), answer);
    }

    /// Records that a share did not answer.
    pub fn note_silence(&mut self, tenant: u64, node: u32, now: Duration) {
        let zero = Duration::ZERO;
        let no_answer =
            LastAnswer { answered_at: now, left: 0.0, empty_until: zero, closed_until: zero, silent_until: zero };
        self.answers.entry((tenant, node)).or_insert(no_answer).silent_until = now + SILENT_SHARE_PERIOD;
    }
}

impl LastAnswer {
    /// Time until the share is expected to grant a request of a program in this stage.
    fn time_until_grant(&self, stage: ProgramStage, now: Duration) -> Duration {
        let until_filled = self.empty_until.saturating_sub(now);
        match stage {
            ProgramStage::Running => until_filled,
            ProgramStage::New => until_filled.max(self.closed_until.saturating_sub(now)),
        }
    }
}

/// The sort key of a share: shares that have not recently failed to answer come first, then those in the gateway's
/// zone, then those with more remaining requests.
#[derive(Clone, Copy, Debug)]
struct ShareRank {
    is_silent: bool,
    is_same_zone: bool,
    left: f64,
}

impl ShareRank {
    fn of(answer: Option<&LastAnswer>, holder: &ShareHolder, now: Duration) -> Self {
        Self {
            is_silent: answer.is_some_and(|answer| answer.silent_until > now),
            is_same_zone: holder.is_same_zone,
            left: answer.map_or(f64::MAX, |answer| answer.left),
        }
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_silence = self.is_silent.cmp(&other.is_silent);
        let by_zone = other.is_same_zone.cmp(&self.is_same_zone);
        by_silence.then(by_zone).then(other.left.total_cmp(&self.left))
    }
}
