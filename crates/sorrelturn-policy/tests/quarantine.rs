//! Requests are quarantined after crashes of backend servers, in whichever order updates arrive.

use proptest::prelude::*;
use sorrelturn_policy::{Now, Quarantine};
use sorrelturn_protocol::{ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint};
use std::time::Duration;

/// Less than the retention time after the reports.
const NOW: Now = Duration::from_secs(1_000);
/// More than the retention time after the reports.
const MUCH_LATER: Now = Duration::from_secs(3_000);

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint(number)
}

fn crash(id: u64, age_ms: u64, running: &[u64]) -> CrashUpdate {
    let report = CrashReport {
        id: CrashId(id),
        age_ms,
        running: running.iter().copied().map(request).collect(),
    };
    CrashUpdate {
        crashes: vec![report],
        cleared: Vec::new(),
    }
}

fn cleared(number: u64) -> CrashUpdate {
    CrashUpdate {
        crashes: Vec::new(),
        cleared: vec![ClearedRequest {
            request: request(number),
            age_ms: 0,
        }],
    }
}

fn quarantine_after(updates: &[CrashUpdate]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for update in updates {
        quarantine.receive(NOW, update);
    }
    quarantine
}

#[test]
fn requests_in_progress_in_one_crash_are_not_quarantined() {
    let quarantine = quarantine_after(&[crash(1, 0, &[7, 8, 9])]);
    for number in [7, 8, 9] {
        assert!(!quarantine.is_quarantined(request(number)));
    }
}

#[test]
fn requests_in_progress_in_two_crashes_are_quarantined_and_those_in_one_are_not() {
    let quarantine = quarantine_after(&[crash(1, 0, &[7, 8]), crash(2, 0, &[7, 9])]);
    assert!(quarantine.is_quarantined(request(7)));
    assert!(!quarantine.is_quarantined(request(8)));
    assert!(!quarantine.is_quarantined(request(9)));
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let quarantine =
        quarantine_after(&[crash(1, 0, &[7]), crash(1, 30, &[7]), crash(1, 60, &[7, 8])]);
    assert!(!quarantine.is_quarantined(request(7)));
    assert!(!quarantine.is_quarantined(request(8)));
}

#[test]
fn later_reports_of_a_crash_count_as_well() {
    let quarantine = quarantine_after(&[crash(1, 0, &[8]), crash(2, 0, &[7]), crash(1, 100, &[7])]);
    assert!(quarantine.is_quarantined(request(7)));
}

#[test]
fn finished_requests_are_not_quarantined_whenever_that_is_reported() {
    let crashes = [crash(1, 0, &[7]), crash(2, 0, &[7])];
    for at in 0..=crashes.len() {
        let mut updates = crashes.to_vec();
        updates.insert(at, cleared(7));
        assert!(!quarantine_after(&updates).is_quarantined(request(7)));
    }
}

#[test]
fn only_new_reports_are_forwarded_so_that_gossip_ends() {
    let mut quarantine = Quarantine::default();
    let update = crash(1, 0, &[7, 8]);
    assert_eq!(quarantine.receive(NOW, &update).new_reports, update);
    assert!(quarantine.receive(NOW, &update).new_reports.is_empty());
    let more = quarantine.receive(NOW, &crash(1, 0, &[8, 9]));
    assert_eq!(more.new_reports, crash(1, 0, &[9]));
    assert_eq!(quarantine.receive(NOW, &cleared(7)).new_reports, cleared(7));
    assert!(quarantine.receive(NOW, &cleared(7)).new_reports.is_empty());
}

#[test]
fn a_daemon_that_receives_only_the_evidence_quarantines_the_same_requests_and_no_others() {
    let mut quarantine = quarantine_after(&[crash(1, 0, &[7, 8, 9]), crash(3, 0, &[11])]);
    let quarantined = quarantine
        .receive(NOW, &crash(2, 0, &[7, 8, 10]))
        .quarantined;
    assert_eq!(quarantined, [request(7), request(8)]);
    assert!(
        quarantine
            .receive(NOW, &crash(4, 0, &[7]))
            .quarantined
            .is_empty()
    );
    let crashes = quarantine.evidence_for(NOW, &quarantined);
    assert!(crashes.iter().all(|crash| crash.id != CrashId(3)));
    let evidence = CrashUpdate {
        crashes,
        cleared: Vec::new(),
    };
    let other = quarantine_after(&[evidence]);
    assert!(other.is_quarantined(request(7)) && other.is_quarantined(request(8)));
    let unrelated_crashes = [9, 10, 11].map(|number| crash(5, 0, &[number]));
    let mut other = other;
    for update in &unrelated_crashes {
        assert!(other.receive(NOW, update).quarantined.is_empty());
    }
}

#[test]
fn a_request_is_quarantined_for_ten_minutes_after_the_last_crash_but_one() {
    let mut quarantine = quarantine_after(&[crash(1, 100_000, &[7]), crash(2, 40_000, &[7])]);
    let remaining = quarantine.remaining_quarantine(NOW, request(7));
    assert_eq!(remaining, Some(Duration::from_secs(500)));
    quarantine.receive(NOW, &crash(3, 10_000, &[7]));
    let remaining = quarantine.remaining_quarantine(NOW, request(7));
    assert_eq!(remaining, Some(Duration::from_secs(560)));
    quarantine.receive(MUCH_LATER, &CrashUpdate::default());
    assert_eq!(
        quarantine.remaining_quarantine(MUCH_LATER, request(7)),
        None
    );
    assert!(quarantine.is_empty());
}

#[test]
fn a_request_is_released_after_ten_minutes_without_further_updates() {
    let quarantine = quarantine_after(&[crash(1, 0, &[7]), crash(2, 0, &[7])]);
    assert_eq!(
        quarantine.remaining_quarantine(MUCH_LATER, request(7)),
        None
    );
}

/// Guards against daemons that keep entries alive forever by sending them to each other.
#[test]
fn reports_that_daemons_keep_exchanging_expire_everywhere() {
    let mut one = quarantine_after(&[crash(1, 0, &[7]), crash(2, 0, &[7]), cleared(8)]);
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
fn an_expired_crash_is_not_recorded_again() {
    let quarantine = quarantine_after(&[crash(1, 600_000, &[7]), crash(2, 0, &[7])]);
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
    // The newest crashes are retained.
    quarantine.receive(NOW, &crash(20_000, 0, &[9_999 * 50]));
    assert!(quarantine.is_quarantined(request(9_999 * 50)));
}

fn any_updates() -> impl Strategy<Value = Vec<CrashUpdate>> {
    let crash = (0u64..6, prop::collection::vec(0u64..8, 0..5))
        .prop_map(|(id, running)| crash(id, 0, &running));
    let one = prop_oneof![4 => crash, 1 => (0u64..8).prop_map(cleared)];
    prop::collection::vec(one, 0..20)
}

proptest! {
    /// Guards against daemons that diverge after receiving the same updates in another order or
    /// through another daemon.
    #[test]
    fn daemons_that_received_the_same_updates_agree(
        (updates, other) in any_updates().prop_flat_map(|updates| (Just(updates.clone()), Just(updates).prop_shuffle())),
        split in 0usize..20,
    ) {
        let one = quarantine_after(&updates);
        let split = split.min(other.len());
        let mut two = quarantine_after(&other[..split]);
        let three = quarantine_after(&other[split..]);
        two.receive(NOW, &three.snapshot(NOW));
        prop_assert_eq!(one.checksum(), two.checksum());
        for number in 0..8 {
            prop_assert_eq!(one.is_quarantined(request(number)), two.is_quarantined(request(number)));
        }
    }

    /// Compares the quarantine with a reference implementation.
    #[test]
    fn a_request_is_quarantined_exactly_if_it_was_in_progress_in_two_crashes_and_never_finished(updates in any_updates()) {
        let quarantine = quarantine_after(&updates);
        for number in 0..8 {
            let mut crashes: Vec<CrashId> = updates
                .iter()
                .flat_map(|update| &update.crashes)
                .filter(|crash| crash.running.contains(&request(number)))
                .map(|crash| crash.id)
                .collect();
            crashes.sort_unstable();
            crashes.dedup();
            let cleared = updates.iter().flat_map(|update| &update.cleared);
            let has_run = cleared.into_iter().any(|cleared| cleared.request == request(number));
            prop_assert_eq!(quarantine.is_quarantined(request(number)), crashes.len() >= 2 && !has_run);
        }
    }
}
