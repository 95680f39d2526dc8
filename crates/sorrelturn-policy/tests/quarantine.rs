//! Which requests are held after crashes of backend servers, whatever is heard in whichever order.

use proptest::prelude::*;
use sorrelturn_policy::{Now, Quarantine};
use sorrelturn_protocol::{Cleared, CrashId, CrashNews, CrashReport, RequestFingerprint};
use std::time::Duration;

/// Much less than what was learnt is kept for.
const NOW: Now = Duration::from_secs(1_000);
/// Longer than what was learnt is kept for.
const MUCH_LATER: Now = Duration::from_secs(3_000);

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint(number)
}

fn crash(id: u64, age_ms: u64, running: &[u64]) -> CrashNews {
    let report = CrashReport {
        id: CrashId(id),
        age_ms,
        running: running.iter().copied().map(request).collect(),
    };
    CrashNews {
        crashes: vec![report],
        cleared: Vec::new(),
    }
}

fn cleared(number: u64) -> CrashNews {
    CrashNews {
        crashes: Vec::new(),
        cleared: vec![Cleared {
            request: request(number),
            age_ms: 0,
        }],
    }
}

fn after(news: &[CrashNews]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for news in news {
        quarantine.receive(NOW, news);
    }
    quarantine
}

#[test]
fn what_ran_beside_one_crash_is_let_through() {
    let quarantine = after(&[crash(1, 0, &[7, 8, 9])]);
    for number in [7, 8, 9] {
        assert!(!quarantine.is_quarantined(request(number)));
    }
}

#[test]
fn what_was_at_work_in_two_crashes_is_held_and_what_was_in_one_is_not() {
    let quarantine = after(&[crash(1, 0, &[7, 8]), crash(2, 0, &[7, 9])]);
    assert!(quarantine.is_quarantined(request(7)));
    assert!(!quarantine.is_quarantined(request(8)));
    assert!(!quarantine.is_quarantined(request(9)));
}

#[test]
fn one_crash_that_is_told_twice_counts_once() {
    let quarantine = after(&[crash(1, 0, &[7]), crash(1, 30, &[7]), crash(1, 60, &[7, 8])]);
    assert!(!quarantine.is_quarantined(request(7)));
    assert!(!quarantine.is_quarantined(request(8)));
}

#[test]
fn what_is_told_later_of_a_crash_counts_as_well() {
    let quarantine = after(&[crash(1, 0, &[8]), crash(2, 0, &[7]), crash(1, 100, &[7])]);
    assert!(quarantine.is_quarantined(request(7)));
}

#[test]
fn what_has_run_to_its_end_anywhere_is_let_through_whenever_that_is_heard() {
    let crashes = [crash(1, 0, &[7]), crash(2, 0, &[7])];
    for at in 0..=crashes.len() {
        let mut heard = crashes.to_vec();
        heard.insert(at, cleared(7));
        assert!(!after(&heard).is_quarantined(request(7)));
    }
}

#[test]
fn only_what_was_unknown_goes_on_so_that_news_comes_to_rest() {
    let mut quarantine = Quarantine::default();
    let news = crash(1, 0, &[7, 8]);
    assert_eq!(quarantine.receive(NOW, &news).new_reports, news);
    assert!(quarantine.receive(NOW, &news).new_reports.is_empty());
    let more = quarantine.receive(NOW, &crash(1, 0, &[8, 9]));
    assert_eq!(more.new_reports, crash(1, 0, &[9]));
    assert_eq!(quarantine.receive(NOW, &cleared(7)).new_reports, cleared(7));
    assert!(quarantine.receive(NOW, &cleared(7)).new_reports.is_empty());
}

#[test]
fn whoever_hears_the_proof_alone_holds_the_same_requests_and_no_others() {
    let mut quarantine = after(&[crash(1, 0, &[7, 8, 9]), crash(3, 0, &[11])]);
    let held = quarantine
        .receive(NOW, &crash(2, 0, &[7, 8, 10]))
        .quarantined;
    assert_eq!(held, [request(7), request(8)]);
    assert!(
        quarantine
            .receive(NOW, &crash(4, 0, &[7]))
            .quarantined
            .is_empty()
    );
    let crashes = quarantine.evidence_for(NOW, &held);
    assert!(crashes.iter().all(|crash| crash.id != CrashId(3)));
    let proof = CrashNews {
        crashes,
        cleared: Vec::new(),
    };
    let other = after(&[proof]);
    assert!(other.is_quarantined(request(7)) && other.is_quarantined(request(8)));
    let crash_of_others = [9, 10, 11].map(|number| crash(5, 0, &[number]));
    let mut other = other;
    for news in &crash_of_others {
        assert!(other.receive(NOW, news).quarantined.is_empty());
    }
}

#[test]
fn a_request_is_held_for_ten_minutes_after_the_last_crash_but_one() {
    let mut quarantine = after(&[crash(1, 100_000, &[7]), crash(2, 40_000, &[7])]);
    let left = quarantine.remaining_quarantine(NOW, request(7));
    assert_eq!(left, Some(Duration::from_secs(500)));
    quarantine.receive(NOW, &crash(3, 10_000, &[7]));
    let left = quarantine.remaining_quarantine(NOW, request(7));
    assert_eq!(left, Some(Duration::from_secs(560)));
    quarantine.receive(MUCH_LATER, &CrashNews::default());
    assert_eq!(
        quarantine.remaining_quarantine(MUCH_LATER, request(7)),
        None
    );
    assert!(quarantine.is_empty());
}

#[test]
fn a_request_is_let_through_after_ten_minutes_though_nothing_more_is_heard() {
    let quarantine = after(&[crash(1, 0, &[7]), crash(2, 0, &[7])]);
    assert_eq!(
        quarantine.remaining_quarantine(MUCH_LATER, request(7)),
        None
    );
}

/// Daemons that tell each other all that they know would else remember it for ever.
#[test]
fn what_daemons_go_on_telling_one_another_is_forgotten_by_all() {
    let mut one = after(&[crash(1, 0, &[7]), crash(2, 0, &[7]), cleared(8)]);
    let mut two = Quarantine::default();
    let mut now = NOW;
    while now < MUCH_LATER {
        now += Duration::from_secs(2);
        two.receive(now, &one.snapshot(now));
        one.receive(
            now + Duration::from_secs(1),
            &two.snapshot(now + Duration::from_secs(1)),
        );
    }
    assert!(one.snapshot(now).is_empty() && two.snapshot(now).is_empty());
}

#[test]
fn a_crash_of_long_ago_is_not_taken_up_again() {
    let quarantine = after(&[crash(1, 600_000, &[7]), crash(2, 0, &[7])]);
    assert!(!quarantine.is_quarantined(request(7)));
}

#[test]
fn a_fleet_that_loses_very_many_backend_servers_remembers_a_bounded_number_of_crashes() {
    let mut quarantine = Quarantine::default();
    for id in 0..10_000 {
        let running: Vec<u64> = (0..50).map(|number| id * 50 + number).collect();
        quarantine.receive(NOW, &crash(id, 0, &running));
    }
    assert!(quarantine.snapshot(NOW).crashes.len() <= 128);
    // The newest are the ones that are kept.
    quarantine.receive(NOW, &crash(20_000, 0, &[9_999 * 50]));
    assert!(quarantine.is_quarantined(request(9_999 * 50)));
}

fn any_news() -> impl Strategy<Value = Vec<CrashNews>> {
    let crash = (0u64..6, prop::collection::vec(0u64..8, 0..5))
        .prop_map(|(id, running)| crash(id, 0, &running));
    let one = prop_oneof![4 => crash, 1 => (0u64..8).prop_map(cleared)];
    prop::collection::vec(one, 0..20)
}

proptest! {
    /// Two daemons that heard the same in another order, one of them by a swap with a third, agree.
    #[test]
    fn daemons_that_heard_the_same_hold_the_same(
        (news, other) in any_news().prop_flat_map(|news| (Just(news.clone()), Just(news).prop_shuffle())),
        split in 0usize..20,
    ) {
        let one = after(&news);
        let split = split.min(other.len());
        let mut two = after(&other[..split]);
        let three = after(&other[split..]);
        two.receive(NOW, &three.snapshot(NOW));
        prop_assert_eq!(one.checksum(), two.checksum());
        for number in 0..8 {
            prop_assert_eq!(one.is_quarantined(request(number)), two.is_quarantined(request(number)));
        }
    }

    /// Against the rule written down plainly.
    #[test]
    fn a_request_is_held_exactly_if_two_crashes_had_it_at_work_and_nobody_has_seen_it_run(news in any_news()) {
        let quarantine = after(&news);
        for number in 0..8 {
            let mut crashes: Vec<CrashId> = news
                .iter()
                .flat_map(|news| &news.crashes)
                .filter(|crash| crash.running.contains(&request(number)))
                .map(|crash| crash.id)
                .collect();
            crashes.sort_unstable();
            crashes.dedup();
            let cleared = news.iter().flat_map(|news| &news.cleared);
            let has_run = cleared.into_iter().any(|cleared| cleared.request == request(number));
            prop_assert_eq!(quarantine.is_quarantined(request(number)), crashes.len() >= 2 && !has_run);
        }
    }
}
