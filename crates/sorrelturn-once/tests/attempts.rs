//! Guards against an owner that reports an attempt as never arrived although it ran or will run: the sender would then
//! retry it and it would run twice.

use proptest::prelude::*;
use sorrelturn_once::AttemptRegister;
use sorrelturn_protocol::{AttemptId, Fate, RequestId, SpanId};
use std::{collections::HashMap, time::Duration};

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId(7),
        span: SpanId(number),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_that_never_came_is_refused_when_it_comes_late() {
    let mut register = AttemptRegister::default();
    assert_eq!(
        register.status(at(1_000), attempt(1), at(500)),
        Fate::NeverCame
    );
    assert!(!register.begin(at(1_200), attempt(1)));
    assert!(register.begin(at(1_200), attempt(2)));
}

#[test]
fn one_at_work_is_waited_for_and_one_that_has_ended_may_have_run() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(at(1_000), attempt(1)));
    assert_eq!(
        register.status(at(2_000), attempt(1), at(1_000)),
        Fate::AtWork
    );
    register.end(at(2_100), attempt(1));
    assert_eq!(
        register.status(at(2_200), attempt(1), at(1_200)),
        Fate::Over
    );
}

#[test]
fn a_token_that_is_asked_for_twice_is_at_work_until_both_are_over() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(at(0), attempt(1)));
    assert!(register.begin(at(10), attempt(1)));
    register.end(at(20), attempt(1));
    assert_eq!(register.status(at(30), attempt(1), at(30)), Fate::AtWork);
}

#[test]
fn a_sender_that_stood_still_beyond_what_is_remembered_is_told_that_it_may_have_run() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(at(0), attempt(1)));
    register.end(at(100), attempt(1));
    for number in 2..50 {
        assert!(register.begin(at(20_000), attempt(number)));
    }
    assert_eq!(
        register.status(at(20_000), attempt(1), at(20_000)),
        Fate::Over
    );
    // The status is certain for attempts sent after the end of every evicted attempt.
    assert_eq!(
        register.status(at(20_000), attempt(99), at(600)),
        Fate::NeverCame
    );
}

/// Guards against a second status query that doesn't extend the fence of an attempt reported as never arrived.
#[test]
fn one_that_is_asked_about_again_is_fenced_off_anew() {
    let mut register = AttemptRegister::default();
    for ms in [0, 30_000] {
        let status = register.status(at(ms), attempt(1), at(ms));
        assert_eq!(status, Fate::NeverCame);
    }
    assert!(register.begin(at(61_000), attempt(2)));
    assert!(!register.begin(at(89_000), attempt(1)));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(u64),
    End(u64),
    Query(u64),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..20u64).prop_map(Step::Arrive),
        (0..20u64).prop_map(Step::End),
        (0..20u64).prop_map(Step::Query),
        (0..4_000u64).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// In every order of arrivals, ends and queries: an attempt that ran is never reported as never arrived, and an
    /// attempt reported as never arrived doesn't run within a minute.
    #[test]
    fn never_came_is_true_before_and_after(steps in steps()) {
        let mut register = AttemptRegister::default();
        let mut now = at(0);
        let mut ran = HashMap::new();
        let mut fenced: HashMap<u64, Duration> = HashMap::new();
        let mut in_progress = std::collections::HashSet::new();
        for step in steps {
            match step {
                Step::Advance(ms) => now += at(ms),
                Step::Arrive(number) => {
                    if register.begin(now, attempt(number)) {
                        let fence_expired = fenced.get(&number).is_none_or(|since| now - *since > at(60_000));
                        prop_assert!(fence_expired, "attempt {number} ran after it was fenced");
                        ran.insert(number, ());
                        if !in_progress.insert(number) {
                            register.end(now, attempt(number));
                        }
                    }
                }
                Step::End(number) => {
                    if in_progress.remove(&number) {
                        register.end(now, attempt(number));
                    }
                }
                Step::Query(number) => {
                    // All attempts were sent at the start of the schedule.
                    let status = register.status(now, attempt(number), now);
                    if status == Fate::NeverCame {
                        prop_assert!(!ran.contains_key(&number), "attempt {number} had already run");
                        fenced.insert(number, now);
                    }
                }
            }
        }
    }
}
