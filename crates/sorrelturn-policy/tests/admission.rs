//! Guards against gates that shed important requests before less important ones, and against limits that
//! don't adapt.

use proptest::prelude::*;
use sorrelturn_policy::*;
use sorrelturn_protocol::{Importance, Priority, Refusal};
use std::{collections::HashMap, time::Duration};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gate(slots: u32, queue_len: u32) -> Gate {
    let cfg = GateConfig {
        slots,
        queue_len,
        queue_timeout: ms(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: None,
    };
    Gate::new(cfg, ms(0))
}

fn arrival(id: u64, importance: Importance, bucket: u8) -> Arrival {
    Arrival {
        id,
        priority: Priority::new(importance, bucket),
        is_nested_call: false,
        deadline: ms(10_000),
        level: 0,
    }
}

#[test]
fn an_important_arrival_evicts_the_least_important_queued_request() {
    let mut gate = gate(1, 2);
    assert_eq!(
        gate.arrive(ms(0), &arrival(1, Importance::Normal, 9)).0,
        Decision::Admit
    );
    assert_eq!(
        gate.arrive(ms(0), &arrival(2, Importance::Normal, 9)).0,
        Decision::Queue
    );
    assert_eq!(
        gate.arrive(ms(0), &arrival(3, Importance::Background, 9)).0,
        Decision::Queue
    );
    let high = gate.arrive(ms(0), &arrival(4, Importance::High, 0));
    assert_eq!(high, (Decision::Queue, Some(3)));
    let background = gate.arrive(ms(0), &arrival(5, Importance::Background, 255));
    assert_eq!(background, (Decision::Refuse(Refusal::Overload), None));
    let released = gate.finish(ms(1), Outcome::Answered, ms(1));
    assert_eq!(released.admitted, [4]);
}

#[test]
fn nested_calls_are_admitted_first_within_an_importance() {
    let mut gate = gate(1, 4);
    gate.arrive(ms(0), &arrival(1, Importance::Normal, 0));
    gate.arrive(ms(0), &arrival(2, Importance::Normal, 255));
    let nested_call = Arrival {
        is_nested_call: true,
        ..arrival(3, Importance::Normal, 0)
    };
    gate.arrive(ms(0), &nested_call);
    assert_eq!(gate.finish(ms(1), Outcome::Answered, ms(1)).admitted, [3]);
}

#[test]
fn a_request_that_cannot_finish_before_its_deadline_is_refused_at_once() {
    let mut gate = gate(1, 10);
    gate.arrive(ms(0), &arrival(1, Importance::Normal, 0));
    gate.finish(ms(50), Outcome::Answered, ms(50));
    gate.arrive(ms(50), &arrival(2, Importance::Normal, 0));
    gate.arrive(ms(50), &arrival(3, Importance::Normal, 9));
    let late = Arrival {
        deadline: ms(60),
        level: 0,
        ..arrival(4, Importance::Normal, 0)
    };
    assert_eq!(
        gate.arrive(ms(50), &late).0,
        Decision::Refuse(Refusal::Deadline)
    );
}

#[test]
fn a_request_that_expired_in_the_queue_is_not_forwarded() {
    let mut gate = gate(1, 10);
    gate.arrive(ms(0), &arrival(1, Importance::Normal, 0));
    let short = Arrival {
        deadline: ms(20),
        level: 0,
        ..arrival(2, Importance::Normal, 0)
    };
    assert_eq!(gate.arrive(ms(0), &short).0, Decision::Queue);
    let released = gate.finish(ms(30), Outcome::Answered, ms(30));
    assert_eq!(released.refused, [(2, Refusal::Deadline)]);
    assert!(released.admitted.is_empty());
}

#[test]
fn the_limit_falls_on_overload_and_recovers() {
    let mut limit = AdaptiveLimit::new(100, Duration::ZERO, ms(0));
    for at in 0..200 {
        limit.observe(ms(at * 10), Outcome::Overloaded, ms(5), 100);
    }
    assert_eq!(limit.get(ms(2_000)), 10);
    for at in 0..20_000 {
        limit.observe(ms(2_000 + at), Outcome::Answered, ms(5), 100);
    }
    assert_eq!(limit.get(ms(30_000)), 100);
}

#[test]
fn the_limit_of_a_cold_backend_server_rises_over_its_cold_start() {
    let mut limit = AdaptiveLimit::new(80, ms(1_000), ms(0));
    assert_eq!(limit.get(ms(0)), 20);
    assert_eq!(limit.get(ms(500)), 50);
    assert_eq!(limit.get(ms(1_000)), 80);
    limit.restarted(ms(2_000));
    assert_eq!(limit.get(ms(2_000)), 20);
}

/// Sends three times the capacity at random importance; returns the admitted and refused counts.
fn overload(gate: &mut Gate, rng: &mut fastrand::Rng) -> HashMap<Importance, (u64, u64)> {
    let mut in_progress: Vec<(u64, u64)> = Vec::new();
    let mut importance_of = HashMap::new();
    let mut counts: HashMap<Importance, (u64, u64)> = HashMap::new();
    for now in 0..5_000 {
        let done = in_progress.iter().filter(|(_, end)| *end == now).count();
        in_progress.retain(|(_, end)| *end != now);
        for _ in 0..done {
            let released = gate.finish(ms(now), Outcome::Answered, ms(20));
            for id in released.admitted {
                in_progress.push((id, now + 20));
                counts.entry(importance_of[&id]).or_default().0 += 1;
            }
            for (id, _) in released.refused {
                counts.entry(importance_of[&id]).or_default().1 += 1;
            }
        }
        for offset in 0..3 {
            let id = now * 3 + offset;
            let importance = Importance::ALL[rng.usize(..4)];
            importance_of.insert(id, importance);
            let (decision, evicted) = gate.arrive(ms(now), &arrival(id, importance, rng.u8(..)));
            match decision {
                Decision::Admit => {
                    in_progress.push((id, now + 20));
                    counts.entry(importance).or_default().0 += 1;
                }
                Decision::Refuse(_) => counts.entry(importance).or_default().1 += 1,
                Decision::Queue => {}
            }
            if let Some(id) = evicted {
                counts.entry(importance_of[&id]).or_default().1 += 1;
            }
        }
    }
    counts
}

#[test]
fn at_three_times_the_load_no_critical_request_is_refused() {
    let mut rng = fastrand::Rng::with_seed(1);
    let counts = overload(&mut gate(20, 20), &mut rng);
    let (admitted, refused) = counts[&Importance::Critical];
    assert!(admitted > 3_000, "{counts:?}");
    assert_eq!(refused, 0, "{counts:?}");
    let (background_admitted, _) = counts[&Importance::Background];
    assert!(background_admitted < 100, "{counts:?}");
}

#[test]
fn the_threshold_rises_under_overload_and_is_zero_within_a_second_after() {
    let mut rng = fastrand::Rng::with_seed(2);
    let mut gate = gate(20, 20);
    overload(&mut gate, &mut rng);
    let high = gate.threshold(ms(5_000));
    assert!(high >= Priority::new(Importance::Normal, 0), "{high:?}");
    assert!(high < Priority::new(Importance::Critical, 0), "{high:?}");
    assert_eq!(gate.threshold(ms(6_000)), Priority::LOWEST);
}

#[test]
fn a_learned_threshold_is_forgotten_without_updates() {
    let learned = LearnedThreshold::default();
    for at in 0..10 {
        learned.observe(ms(at), Priority(600));
    }
    assert!(learned.current(ms(10)) > Priority(590));
    assert_eq!(learned.current(ms(900)), Priority::LOWEST);
    for at in 900..920 {
        learned.observe(ms(at), Priority::LOWEST);
    }
    assert_eq!(learned.current(ms(920)), Priority::LOWEST);
}

proptest! {
    #[test]
    fn in_no_schedule_is_a_request_refused_while_a_less_important_one_is_queued(
        steps in prop::collection::vec((0u8..4, any::<u8>(), any::<bool>(), 0u64..5), 1..200),
    ) {
        let mut gate = gate(3, 4);
        let mut now = 0;
        let mut queued: HashMap<u64, Arrival> = HashMap::new();
        for (id, (importance, bucket, finishes, elapsed)) in steps.into_iter().enumerate() {
            now += elapsed;
            if finishes && gate.in_flight() > 0 {
                for id in gate.finish(ms(now), Outcome::Answered, ms(1)).admitted {
                    queued.remove(&id);
                }
            }
            let importance = Importance::ALL[usize::from(importance)];
            let arrival = arrival(id as u64, importance, bucket);
            let (decision, evicted) = gate.arrive(ms(now), &arrival);
            let refused = match (decision, evicted) {
                (Decision::Refuse(_), _) => Some(arrival),
                (_, Some(id)) => queued.remove(&id),
                _ => None,
            };
            if decision == Decision::Queue {
                queued.insert(arrival.id, arrival);
            }
            if let Some(refused) = refused {
                for other in queued.values() {
                    prop_assert!(other.priority >= refused.priority);
                }
            }
            prop_assert_eq!(gate.queued(), queued.len());
            prop_assert!(gate.in_flight() <= 3);
        }
    }
}
