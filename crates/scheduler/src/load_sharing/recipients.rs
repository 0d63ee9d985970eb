//! Decides to which gateways a gateway sends its load report.

use crate::load_sharing::peers::Peers;
use std::time::Duration;

/// The time between two reports. They are sent also while there is no load: otherwise mostly busy gateways would be heard,
/// and their load would be taken for that of all.
pub const REPORT_PERIOD: Duration = Duration::from_millis(120);
/// The number of gateways to which each report is sent. It bounds the number of messages in a large fleet.
const GATEWAYS_PER_REPORT: usize = 4;
/// How many of them are of other groups, if there are any.
const OTHER_GATEWAYS_PER_REPORT: usize = 2;

/// The age above which a report of a gateway of the own group is ignored.
pub const GROUP_REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// The age above which a report of another gateway is ignored. It is longer, since only few of them are heard, and all
/// together they tell the load of the fleet.
pub const OTHER_REPORT_LIFETIME: Duration = Duration::from_millis(4000);

/// Whose turn it is to get a report.
#[derive(Clone, Debug, Default)]
pub struct ReportRotation {
    /// The last gateway of the own group that got a report.
    last_in_group: Option<u32>,
}

impl ReportRotation {
    /// The gateways to which a report is sent now: of the own group one after the other, so that each hears from each
    /// other one equally often, and of the others some at random. Called each [`REPORT_PERIOD`]. `random_below` returns a
    /// random number below its argument.
    pub fn next_recipients(&mut self, peers: &Peers, mut random_below: impl FnMut(usize) -> usize) -> Vec<u32> {
        let Peers { group, others, .. } = peers;
        let other_count = OTHER_GATEWAYS_PER_REPORT.min(others.len());
        let group_count = (GATEWAYS_PER_REPORT - other_count).min(group.len());
        let start = match self.last_in_group {
            Some(last) => group.partition_point(|node| *node <= last),
            None => random_below(group.len().max(1)),
        };
        let mut recipients: Vec<u32> = group.iter().cycle().skip(start).take(group_count).copied().collect();
        self.last_in_group = recipients.last().copied().or(self.last_in_group);
        recipients.extend((0..other_count).map(|_| others[random_below(others.len())]));
        recipients
    }
}
