//! Decides when a gateway sends its load report, and to which gateways.

use crate::load_sharing::peers::Peers;
use std::time::Duration;

/// The shortest time between two reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(120);
/// The time after which an unchanged report is sent again. It is shorter than the 1.2 s after which receivers ignore a
/// report.
const REPEAT_PERIOD: Duration = Duration::from_millis(500);
/// The number of gateways, chosen at random, to which each report is sent. It bounds the number of messages in a large
/// fleet.
const GATEWAYS_PER_REPORT: usize = 4;

/// What a gateway has to report, compared with its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportContent {
    /// It differs from the last report.
    Changed,
    /// It is the same, and not empty.
    Unchanged,
    /// It is the same, and there is nothing in it.
    UnchangedEmpty,
}

/// The reports that a gateway has sent.
#[derive(Clone, Debug, Default)]
pub struct ReportSchedule {
    sent_at: Duration,
}

impl ReportSchedule {
    /// The gateways to which a report is sent now; called each [`REPORT_PERIOD`]. `now` is the time since an arbitrary
    /// fixed moment. `random_below` returns a random number below its argument.
    pub fn next_recipients(
        &mut self,
        content: ReportContent,
        peers: &Peers,
        now: Duration,
        mut random_below: impl FnMut(usize) -> usize,
    ) -> Vec<u32> {
        let is_due = match content {
            ReportContent::Changed => true,
            ReportContent::Unchanged => now.saturating_sub(self.sent_at) >= REPEAT_PERIOD,
            ReportContent::UnchangedEmpty => false,
        };
        if !is_due {
            return Vec::new();
        }
        self.sent_at = now;
        let mut gateways: Vec<u32> = peers.group.iter().chain(&peers.others).copied().collect();
        let count = GATEWAYS_PER_REPORT.min(gateways.len());
        (0..count).map(|_| gateways.swap_remove(random_below(gateways.len()))).collect()
    }
}
