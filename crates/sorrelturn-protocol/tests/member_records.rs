//! Which of two records of an instance is newer, whatever numbers another client of the store wrote.

use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};

const NOW_MS: u64 = 1_800_000_000_000;
/// A start that is further ahead of the clock than any VM's clock.
const FAR_AHEAD_MS: u64 = 101 * 366 * 86_400_000;

fn record(incarnation: u64, started_ms: u64, sequence: u32) -> MemberRecord {
    MemberRecord {
        instance: "i".to_owned(),
        service: "s".to_owned(),
        failure_domain: "d".to_owned(),
        incarnation: Incarnation(incarnation),
        started_ms,
        sequence,
        state: MemberState::Live,
        peer_addr: ([127, 0, 0, 1], 1).into(),
        control_addr: ([127, 0, 0, 1], 2).into(),
        backend: None,
        rate_limit: None,
        left: Vec::new(),
    }
}

/// Guards against a sequence that starts over and makes a record older than before.
#[test]
fn a_record_that_advances_is_newer_also_after_the_highest_sequence() {
    let mut advancing = record(7, NOW_MS, u32::MAX - 2);
    for _ in 0..5 {
        let before = advancing.clone();
        advancing.advance();
        assert!(advancing.supersedes(&before), "{advancing:?}");
    }
}

#[test]
fn a_record_that_outranks_another_one_is_newer_whatever_its_numbers() {
    let (lower, higher) = (1, u64::MAX);
    for incarnation in [lower, 7, higher] {
        for started_ms in [0, NOW_MS, NOW_MS + 3_600_000, NOW_MS + FAR_AHEAD_MS] {
            for sequence in [0, 9, u32::MAX] {
                let other = record(incarnation, started_ms, sequence);
                let mut own = record(7, NOW_MS, 9);
                own.outrank(&other);
                assert!(own.supersedes(&other), "{own:?} {other:?}");
            }
        }
    }
}

/// Guards against a highest number that is accepted, since no record could outrank it.
#[test]
fn a_record_that_outranks_a_plausible_one_is_plausible_a_moment_later() {
    let plausible = |started_ms: u64, now_ms: u64| record(1, started_ms, 0).is_plausible(now_ms);
    assert!(plausible(NOW_MS, NOW_MS));
    assert!(!plausible(NOW_MS + FAR_AHEAD_MS, NOW_MS));
    assert!(!plausible(u64::MAX, NOW_MS));
    let leads: Vec<u64> = (0..FAR_AHEAD_MS).step_by(3_600_001).collect();
    let highest = leads
        .into_iter()
        .rfind(|lead_ms| plausible(NOW_MS + lead_ms, NOW_MS));
    let other = record(1, NOW_MS + highest.expect("some lead is accepted"), 0);
    let mut own = record(2, NOW_MS, 0);
    own.outrank(&other);
    assert!(own.is_plausible(NOW_MS + 1));
}

/// Guards against a VM whose clock was reset, to which all others would seem to have started in the future.
#[test]
fn records_are_plausible_to_a_vm_whose_clock_was_reset() {
    assert!(record(1, NOW_MS, 0).is_plausible(0));
    assert!(record(1, 0, 0).is_plausible(NOW_MS));
}
