//! Tests at which software version a stream may be resumed.

use foxnotch_scheduler::stream_version::{stream_lifetime, OnlyVersion, ResumeVersion};
use rstest::rstest;
use std::time::Duration;

const LIFETIME: Duration = Duration::from_secs(16);

/// `only` has a version and the time for which it has been the only one, in milliseconds.
#[rstest]
#[case::recorded(Some("v1"), None, ResumeVersion::Recorded("v1"))]
#[case::recorded_although_only_another_serves(Some("v1"), Some(("v2", 60_000)), ResumeVersion::Recorded("v1"))]
#[case::the_only_one_for_long(None, Some(("v2", 16_000)), ResumeVersion::Only("v2"))]
#[case::the_only_one_for_a_short_time(None, Some(("v2", 15_999)), ResumeVersion::Unknown)]
#[case::several(None, None, ResumeVersion::Unknown)]
fn the_record_decides_and_without_it_the_only_version(
    #[case] recorded: Option<&str>,
    #[case] only: Option<(&str, u64)>,
    #[case] decision: ResumeVersion<&str>,
) {
    let only = only.map(|(version, ms)| OnlyVersion { version, known_for: Duration::from_millis(ms) });
    assert_eq!(ResumeVersion::decide(recorded, only, LIFETIME), decision);
}

#[test]
fn a_stream_lives_for_several_timeouts_of_its_route() {
    assert_eq!(stream_lifetime(Duration::from_secs(4)), LIFETIME);
    assert_eq!(stream_lifetime(Duration::MAX), Duration::MAX);
}
