//! What an owner says of an attempt whose sender misses the answer: it may be sent again as not run only
//! if it has not run and never will.

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

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_that_never_came_is_refused_when_it_comes_late() {
    let mut register = AttemptRegister::default();
    assert_eq!(
        register.fate(at(1_000), attempt(1), at(500)),
        AttemptStatus::NeverCame
    );
    assert!(!register.begin(at(1_200), attempt(1)));
    assert!(register.begin(at(1_200), attempt(2)));
}

#[test]
fn one_at_work_is_waited_for_and_one_that_has_ended_may_have_run() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(at(1_000), attempt(1)));
    assert_eq!(
        register.fate(at(2_000), attempt(1), at(1_000)),
        AttemptStatus::AtWork
    );
    register.end(at(2_100), attempt(1));
    assert_eq!(
        register.fate(at(2_200), attempt(1), at(1_200)),
        AttemptStatus::Over
    );
}

#[test]
fn a_token_that_is_asked_for_twice_is_at_work_until_both_are_over() {
    let mut register = AttemptRegister::default();
    assert!(register.begin(at(0), attempt(1)));
    assert!(register.begin(at(10), attempt(1)));
    register.end(at(20), attempt(1));
    assert_eq!(
        register.fate(at(30), attempt(1), at(30)),
        AttemptStatus::AtWork
    );
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
        register.fate(at(20_000), attempt(1), at(20_000)),
        AttemptStatus::Over
    );
    // What was sent after all that is forgotten had ended is known for sure.
    assert_eq!(
        register.fate(at(20_000), attempt(99), at(600)),
        AttemptStatus::NeverCame
    );
}

/// Seen in a random play: asked about again, an attempt was said to have never come, but was fenced off only as
/// long as after the first question.
#[test]
fn one_that_is_asked_about_again_is_fenced_off_anew() {
    let mut register = AttemptRegister::default();
    for ms in [0, 30_000] {
        let fate = register.fate(at(ms), attempt(1), at(ms));
        assert_eq!(fate, AttemptStatus::NeverCame);
    }
    assert!(register.begin(at(61_000), attempt(2)));
    assert!(!register.begin(at(89_000), attempt(1)));
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
    /// Whatever is sent, held up, ended and asked in whichever order: what ran before is never said to have never
    /// come, and what was said to have never come never runs within a minute.
    #[test]
    fn never_came_is_true_before_and_after(steps in steps()) {
        let mut register = AttemptRegister::default();
        let mut now = at(0);
        let mut ran = HashMap::new();
        let mut fenced: HashMap<u64, Duration> = HashMap::new();
        let mut at_work = std::collections::HashSet::new();
        for step in steps {
            match step {
                Step::Passes(ms) => now += at(ms),
                Step::Arrives(number) => {
                    if register.begin(now, attempt(number)) {
                        let old = fenced.get(&number).is_none_or(|since| now - *since > at(60_000));
                        prop_assert!(old, "{number} ran after it was fenced off");
                        ran.insert(number, ());
                        if !at_work.insert(number) {
                            register.end(now, attempt(number));
                        }
                    }
                }
                Step::Ends(number) => {
                    if at_work.remove(&number) {
                        register.end(now, attempt(number));
                    }
                }
                Step::Asks(number) => {
                    // All were sent when the play began.
                    let fate = register.fate(now, attempt(number), now);
                    if fate == AttemptStatus::NeverCame {
                        prop_assert!(!ran.contains_key(&number), "{number} had run");
                        fenced.insert(number, now);
                    }
                }
            }
        }
    }
}
