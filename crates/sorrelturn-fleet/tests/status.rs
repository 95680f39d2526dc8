//! A watcher's report rate stays bounded, and members count as silent only after the timeout.

use sorrelturn_fleet::*;
use sorrelturn_protocol::MemberState;
use std::time::Duration;

fn report(instance: &str, version: u64) -> Report {
    Report {
        instance: instance.to_owned(),
        state: MemberState::Live,
        version,
        trouble: None,
    }
}

#[test]
fn a_watcher_receives_at_most_two_periodic_reports_per_second() {
    assert_eq!(report_interval(3), Duration::from_secs(20));
    for members in [40, 135, 2_700] {
        let reports_per_second = members as f64 / report_interval(members).as_secs_f64();
        assert!(
            reports_per_second <= 2.001,
            "{reports_per_second} reports per second from {members} members"
        );
    }
}

#[test]
fn only_a_member_that_stops_reporting_counts_as_silent() {
    for members in [3, 135] {
        let mut view = DomainView::default();
        // A daemon checks every few seconds whether a report is due.
        let next_report_at = report_interval(members) + Duration::from_secs(7);
        view.record_report(Duration::ZERO, report("a", 2));
        view.record_report(next_report_at, report("b", 1));
        let timeout = silence_timeout(members);
        let status = |now| view.status(now, timeout, "d", "w", 0);
        assert_eq!(status(next_report_at).silent, 0);
        assert_eq!(status(next_report_at).behind.len(), 1);
        assert_eq!(status(timeout).silent, 1);
        assert_eq!(status(timeout + next_report_at).silent, 2);
    }
}
