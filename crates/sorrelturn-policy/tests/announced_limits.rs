//! Guards against backend servers that get more requests than the limit that they name in their responses.

use proptest::prelude::*;
use sorrelturn_policy::*;
use sorrelturn_protocol::{Importance, Incarnation, Priority, Refusal, RequestRate};
use std::time::Duration;

const WINDOW_MS: u64 = 4_000;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

fn gate() -> Gate {
    let cfg = GateConfig {
        slots: 100,
        queue_len: 100,
        queue_timeout: ms(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: Some(ms(250)),
    };
    Gate::new(cfg, ms(0))
}

fn arrival(id: u64, at: u64) -> Arrival {
    Arrival {
        id,
        priority: Priority::new(Importance::Normal, 9),
        is_nested_call: false,
        deadline: ms(at + 5_000),
        level: 0,
    }
}

/// Plays one arrival per millisecond, each answered at once with `named`, and returns when requests were admitted.
fn admissions(gate: &mut Gate, from: u64, until: u64, named: NamedLimit) -> Vec<u64> {
    let mut admitted = Vec::new();
    for at in from..until {
        let (decision, _) = gate.arrive(ms(at), &arrival(at, at));
        if decision == Decision::Admit {
            admitted.push(at);
            gate.announced_limit().record_answer(ms(at), ms(at), named);
            gate.finish(ms(at), Outcome::Answered, ms(10));
        }
    }
    admitted
}

fn max_in_window(admitted: &[u64]) -> usize {
    let count_from = |first: usize| {
        let end = admitted[first] + WINDOW_MS;
        admitted[first..].iter().filter(|at| **at < end).count()
    };
    (0..admitted.len()).map(count_from).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> f64 {
    OVERAGE * per_second * WINDOW_MS as f64 / 1_000.0 + SLACK
}

/// Guards against a limit that is named but not applied.
#[test]
fn a_backend_server_gets_no_more_requests_than_the_limit_that_it_names() {
    for per_second in [0.0, 0.001, 0.3, 1.0, 18.5, 25.8, 300.0] {
        let mut gate = gate();
        let named = NamedLimit::Rate(rate(per_second));
        gate.announced_limit().record_answer(ms(0), ms(0), named);
        let admitted = admissions(&mut gate, 0, 20_000, named);
        let most = max_in_window(&admitted);
        assert!(
            most as f64 <= allowed(per_second),
            "{most} in 4 s at {per_second}"
        );
    }
}

#[test]
fn a_limit_ends_with_the_first_response_without_it() {
    let mut gate = gate();
    let named = NamedLimit::Rate(rate(10.0));
    gate.announced_limit().record_answer(ms(0), ms(0), named);
    assert!(admissions(&mut gate, 0, 2_000, named).len() <= 25);
    let ended = gate
        .announced_limit()
        .record_answer(ms(2_000), ms(2_000), NamedLimit::Absent);
    assert!(ended);
    let admitted = admissions(&mut gate, 2_000, 3_000, NamedLimit::Absent);
    assert_eq!(admitted.len(), 1_000);
}

/// Guards against a limit that ends with a response that is older than the last one that named it.
#[test]
fn a_response_that_was_overtaken_doesnt_end_a_limit() {
    let mut limit = AnnouncedLimit::default();
    limit.record_answer(ms(100), ms(50), NamedLimit::Rate(rate(10.0)));
    assert!(!limit.record_answer(ms(101), ms(40), NamedLimit::Absent));
    assert_eq!(limit.rate(), Some(rate(10.0)));
    assert!(limit.record_answer(ms(150), ms(100), NamedLimit::Absent));
    assert_eq!(limit.rate(), None);
}

#[test]
fn an_unreadable_limit_neither_begins_nor_ends_one() {
    for text in ["", "soon", "-1", "NaN", "inf", "1e999", "3,5", "0x10"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    assert_eq!(RequestRate::parse(" 0.25 "), Some(rate(0.25)));
    let mut limit = AnnouncedLimit::default();
    limit.record_answer(ms(0), ms(0), NamedLimit::Unreadable);
    assert_eq!(limit.rate(), None);
    limit.record_answer(ms(0), ms(0), NamedLimit::Rate(rate(10.0)));
    limit.record_answer(ms(10), ms(10), NamedLimit::Unreadable);
    assert_eq!(limit.rate(), Some(rate(10.0)));
}

#[test]
fn a_restored_limit_holds_until_the_backend_server_answers() {
    let mut limit = AnnouncedLimit::default();
    assert!(limit.restore(ms(0), "b-1", rate(10.0)));
    limit.backend_started("b-1");
    assert_eq!(limit.rate(), Some(rate(10.0)));
    assert!(limit.record_answer(ms(20), ms(10), NamedLimit::Absent));
    assert!(!limit.restore(ms(30), "b-1", rate(10.0)), "it has answered");
    limit.record_answer(ms(40), ms(30), NamedLimit::Rate(rate(5.0)));
    limit.backend_started("b-2");
    assert_eq!(limit.rate(), None, "another backend server names its own");
    assert!(!limit.restore(ms(50), "b-1", rate(10.0)));
}

/// Guards against requests of low importance that use up a limit before more important ones arrive.
#[test]
fn more_important_requests_keep_a_part_of_the_burst() {
    let mut gate = gate();
    let named = NamedLimit::Rate(rate(40.0));
    gate.announced_limit().record_answer(ms(0), ms(0), named);
    let mut admitted = [0, 0];
    let mut decide = |at: u64, importance: Importance, admitted: &mut u32| {
        let arrival = Arrival {
            priority: Priority::new(importance, 9),
            ..arrival(at, at)
        };
        match gate.arrive(ms(at), &arrival).0 {
            Decision::Admit => {
                gate.finish(ms(at), Outcome::Answered, ms(10));
                *admitted += 1;
            }
            decision => assert_eq!(decision, Decision::Refuse(Refusal::BackendLimit)),
        }
    };
    // Many requests of low importance, and fewer important ones than the limit allows.
    for at in 0..10_000 {
        decide(at, Importance::Background, &mut admitted[0]);
        if at > 1_000 && at % 50 == 0 {
            decide(at, Importance::Critical, &mut admitted[1]);
        }
    }
    assert_eq!(admitted[1], 179, "all important ones");
    assert!(admitted[0] > 100, "{} of the others", admitted[0]);
}

/// Guards against refusals whose number grows with the fleet.
#[test]
fn callers_together_try_about_as_often_as_requests_are_accepted() {
    let mut limit = AnnouncedLimit::default();
    limit.record_answer(ms(0), ms(0), NamedLimit::Rate(rate(40.0)));
    for callers in [10, 100, 400] {
        let pause = limit.pause(callers).expect("a limit");
        let tries_per_second = callers as f64 / pause.as_secs_f64();
        assert!(
            tries_per_second <= 40.5,
            "{tries_per_second} with {callers}"
        );
    }
    let pause = limit.pause(2_700).expect("a limit");
    assert!(pause <= ms(10_000), "an end is noticed: {pause:?}");
}

#[test]
fn paused_instances_get_calls_only_if_there_are_no_others() {
    let instances: Vec<Instance> = (0..4)
        .map(|number| Instance::new(Incarnation(number), true, Duration::ZERO, ms(0)))
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut chosen = |now| choose(instances.iter(), ms(now), &[], &mut rng).expect("an instance");
    instances[0].pause(ms(0), ms(500));
    instances[1].pause(ms(0), ms(500));
    assert!((0..100).all(|_| chosen(499) >= 2));
    instances[2].pause(ms(0), ms(500));
    instances[3].pause(ms(0), ms(500));
    let seen: std::collections::BTreeSet<usize> = (0..100).map(|_| chosen(499)).collect();
    assert_eq!(seen.len(), 4);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        is_nested_call: bool,
        critical: bool,
    },
    Finish,
    Resend,
    TimeOut,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        6 => (any::<bool>(), any::<bool>())
            .prop_map(|(is_nested_call, critical)| Step::Arrive { is_nested_call, critical }),
        5 => Just(Step::Finish),
        1 => Just(Step::Resend),
        1 => Just(Step::TimeOut),
    ];
    prop::collection::vec((0u64..40, step), 1..2_000)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against requests beyond the limit that leave a queue, or are sent twice, or follow a change of the limit.
    #[test]
    fn no_window_gets_more_than_the_limit_allows(
        steps in steps(),
        first in 0.0f64..60.0,
        second in 0.0f64..60.0,
        change_at in 0u64..40_000,
    ) {
        let mut gate = Gate::new(
            GateConfig {
                slots: 3,
                queue_len: 3,
                queue_timeout: ms(100),
                cold_start: Duration::ZERO,
                call_queue_timeout: Some(ms(250)),
            },
            ms(0),
        );
        let name_limit = |gate: &mut Gate, now: u64, per_second: f64| {
            let named = NamedLimit::Rate(rate(per_second));
            gate.announced_limit().record_answer(ms(now), ms(now), named);
        };
        name_limit(&mut gate, 0, first);
        let (mut now, mut running, mut sent) = (0, 0u32, Vec::new());
        let mut queued: Vec<Arrival> = Vec::new();
        let mut has_changed = false;
        for (number, (pause, step)) in steps.into_iter().enumerate() {
            now += pause;
            if !has_changed && now >= change_at {
                has_changed = true;
                name_limit(&mut gate, now, second);
            }
            match step {
                Step::Arrive { is_nested_call, critical } => {
                    let importance = if critical { Importance::Critical } else { Importance::Normal };
                    let arrival = Arrival {
                        priority: Priority::new(importance, 9),
                        is_nested_call,
                        ..arrival(number as u64, now)
                    };
                    let (decision, evicted) = gate.arrive(ms(now), &arrival);
                    queued.retain(|queued| Some(queued.id) != evicted);
                    match decision {
                        Decision::Admit => {
                            running += 1;
                            sent.push(now);
                        }
                        Decision::Queue => queued.push(arrival),
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Finish if running > 0 => {
                    let released = gate.finish(ms(now), Outcome::Answered, ms(20));
                    running -= 1;
                    for id in released.admitted {
                        queued.retain(|queued| queued.id != id);
                        running += 1;
                        sent.push(now);
                    }
                    for (id, _) in released.refused {
                        queued.retain(|queued| queued.id != id);
                    }
                }
                Step::Resend if running > 0 && gate.admit_resend(ms(now)) => sent.push(now),
                Step::TimeOut => {
                    if let Some(arrival) = queued.pop() {
                        gate.remove_queued(&arrival, true);
                    }
                }
                Step::Finish | Step::Resend => {}
            }
        }
        let bound = allowed(first.max(second));
        let most = max_in_window(&sent);
        prop_assert!(most as f64 <= bound, "{} in 4 s, {} allowed", most, bound);
    }
}
