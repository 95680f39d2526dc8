//! What a failure domain's watcher hears and says of its members.

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
fn however_large_a_failure_domain_its_watcher_hears_two_idle_reports_a_second_at_the_most() {
    assert_eq!(report_interval(3), Duration::from_secs(20));
    for members in [40, 135, 2_700] {
        let heard = members as f64 / report_interval(members).as_secs_f64();
        assert!(heard <= 2.001, "{heard} a second of {members}");
    }
}

#[test]
fn a_member_that_reports_as_it_should_is_never_called_silent_and_one_that_stops_is() {
    for members in [3, 135] {
        let mut view = DomainView::default();
        // A daemon looks every few seconds whether it should report.
        let late = report_interval(members) + Duration::from_secs(7);
        view.report(Duration::ZERO, report("a", 2));
        view.report(late, report("b", 1));
        let silence = silence_timeout(members);
        let status = |now| view.status(now, silence, "d", "w", 0);
        assert_eq!(status(late).silent, 0);
        assert_eq!(status(late).behind.len(), 1);
        assert_eq!(status(silence).silent, 1);
        assert_eq!(status(silence + late).silent, 2);
    }
}
