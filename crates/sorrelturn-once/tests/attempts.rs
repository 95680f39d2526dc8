//! Guards against an owner that reports an attempt as never arrived although it ran or will run: the sender's retry
//! would then run twice.

use proptest::prelude::*;
use sorrelturn_once::AttemptRegister;
use sorrelturn_protocol::{AttemptId, AttemptStatus, RequestId, SpanId};
use std::{collections::HashMap, time::Duration};

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId(7),
        span: SpanId(number),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_attempt_reported_as_never_arrived_is_refused_when_it_arrives_late() {
    let mut register = AttemptRegister::default();
    assert_eq!(
        register.status(ms(1_000), attempt(1), ms(500)),
        AttemptStatus::NeverCame
    );
    assert!(!register.begin(ms(1_200), attempt(1)));
    assert!(register.begin(ms(1_200), attempt(2)));
}

#[test]
fn an_attempt_is_in_progress_until_it_ends_and_may_have_run_afterwards() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(ms(1_000), attempt(1)));
    assert_eq!(
        register.status(ms(2_000), attempt(1), ms(1_000)),
        AttemptStatus::AtWork
    );
    register.end(ms(2_100), attempt(1));
    assert_eq!(
        register.status(ms(2_200), attempt(1), ms(1_200)),
        AttemptStatus::Over
    );
}

#[test]
fn an_attempt_that_arrives_twice_is_in_progress_until_both_end() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(ms(0), attempt(1)));
    assert!(register.begin(ms(10), attempt(1)));
    register.end(ms(20), attempt(1));
    assert_eq!(
        register.status(ms(30), attempt(1), ms(30)),
        AttemptStatus::AtWork
    );
}

#[test]
fn an_attempt_may_have_run_if_its_status_is_queried_after_the_retention_time() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(ms(0), attempt(1)));
    register.end(ms(100), attempt(1));
    for number in 2..50 {
        assert!(register.begin(ms(20_000), attempt(number)));
    }
    assert_eq!(
        register.status(ms(20_000), attempt(1), ms(20_000)),
        AttemptStatus::Over
    );
    // The status is certain for attempts sent after the end of every evicted attempt.
    assert_eq!(
        register.status(ms(20_000), attempt(99), ms(600)),
        AttemptStatus::NeverCame
    );
}

/// Guards against a second status query that doesn't extend the fence of an attempt reported as never arrived.
#[test]
fn a_repeated_query_extends_the_fence_of_an_attempt() {
    let mut register = AttemptRegister::default();
    for elapsed_ms in [0, 30_000] {
        let status = register.status(ms(elapsed_ms), attempt(1), ms(elapsed_ms));
        assert_eq!(status, AttemptStatus::NeverCame);
    }
    assert!(register.begin(ms(61_000), attempt(2)));
    assert!(!register.begin(ms(89_000), attempt(1)));
}

#[derive(Clone, Debug)]
enum Step {
    Arrives(u64),
    Ends(u64),
    Asks(u64),
    Passes(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..20u64).prop_map(Step::Arrives),
        (0..20u64).prop_map(Step::Ends),
        (0..20u64).prop_map(Step::Asks),
        (0..4_000u64).prop_map(Step::Passes),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// In every order of arrivals, ends and queries, an attempt that ran is never reported as never arrived, and one
    /// reported so doesn't run within a minute.
    #[test]
    fn an_attempt_reported_as_never_arrived_did_not_run_and_does_not_run_later(steps in steps()) {
        let mut register = AttemptRegister::default();
        let mut now = ms(0);
        let mut ran = HashMap::new();
        let mut fenced: HashMap<u64, Duration> = HashMap::new();
        let mut in_progress = std::collections::HashSet::new();
        for step in steps {
            match step {
                Step::Passes(elapsed_ms) => now += ms(elapsed_ms),
                Step::Arrives(number) => {
                    if register.begin(now, attempt(number)) {
                        let fence_expired = fenced.get(&number).is_none_or(|since| now - *since > ms(60_000));
                        prop_assert!(fence_expired, "attempt {number} ran after it was fenced");
                        ran.insert(number, ());
                        if !in_progress.insert(number) {
                            register.end(now, attempt(number));
                        }
                    }
                }
                Step::Ends(number) => {
                    if in_progress.remove(&number) {
                        register.end(now, attempt(number));
                    }
                }
                Step::Asks(number) => {
                    // All attempts were sent at the start of the schedule.
                    let status = register.status(now, attempt(number), now);
                    if status == AttemptStatus::NeverCame {
                        prop_assert!(!ran.contains_key(&number), "attempt {number} had already run");
                        fenced.insert(number, now);
                    }
                }
            }
        }
    }
}
