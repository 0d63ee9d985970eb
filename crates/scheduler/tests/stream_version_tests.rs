//! Tests at which software version a stream may be resumed.

use foxnotch_scheduler::stream_version::{stream_lifetime, OnlyVersion, ResumeVersion};
use rstest::rstest;
use std::time::Duration;

const LIFETIME: Duration = Duration::from_secs(8);

#[rstest]
#[case::recorded(Some("v1"), None, ResumeVersion::Recorded("v1"))]
#[case::recorded_although_only_another_serves(Some("v1"), Some("v2"), ResumeVersion::Recorded("v1"))]
#[case::the_only_one(None, Some("v2"), ResumeVersion::Only("v2"))]
#[case::several(None, None, ResumeVersion::Unknown)]
fn the_record_decides_and_without_it_the_only_version(
    #[case] recorded: Option<&str>,
    #[case] only: Option<&str>,
    #[case] decision: ResumeVersion<&str>,
) {
    assert_eq!(ResumeVersion::decide(recorded, only), decision);
}

/// A gateway's own list may be behind, so it proves nothing about a stream that the caller names. A list that the store
/// has confirmed does.
#[rstest]
#[case::for_long(8_000, false, true, true)]
#[case::for_a_short_time(7_999, false, false, false)]
#[case::for_a_short_time_since_the_start(7_999, true, false, true)]
#[case::no_time(0, true, false, true)]
fn one_version_must_have_begun_a_stream_once_no_other_can_have(
    #[case] known_for_ms: u64,
    #[case] is_first: bool,
    #[case] if_confirmed: bool,
    #[case] if_unnamed: bool,
) {
    let only = OnlyVersion { version: "v1", known_for: Duration::from_millis(known_for_ms), is_first };
    assert!(!only.must_have_begun(LIFETIME, true));
    assert_eq!(only.must_have_begun_if_confirmed(LIFETIME), if_confirmed);
    assert_eq!(only.must_have_begun(LIFETIME, false), if_unnamed);
}

#[test]
fn a_stream_lives_for_several_timeouts_of_its_route() {
    assert_eq!(stream_lifetime(Duration::from_secs(4)), LIFETIME);
    assert_eq!(stream_lifetime(Duration::MAX), Duration::MAX);
}
