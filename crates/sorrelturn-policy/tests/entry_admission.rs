//! Admission at the entry: the shedding level, the call graph, and the detection of calls and
//! retries.

use sorrelturn_policy::{
    CallGraph, Candidate, LEVEL_STEPS, LearnedThreshold, RequestOrigins, RetryDetector,
    SheddingLevel, bucket_for_retry, refuses,
};
use sorrelturn_protocol::Priority;
use std::time::Duration;

const SLOTS: u32 = 20;
const STEP: Duration = Duration::from_millis(10);
/// Time that the backend server takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// Number of steps at the end over which the mean demand is taken.
const FINAL_STEPS: usize = 200;

/// Simulates a backend server whose demand is `load` times its slots, half of it from each of two
/// ranks; the entry receives the level after `delay` steps. Returns the mean demand at the end, as
/// a share of the slots, and the last level.
fn simulate(load: f64, delay: usize, steps: u32) -> (f64, u16) {
    let (demand, level) = simulate_steps(load, delay, steps);
    let final_demand = &demand[demand.len() - FINAL_STEPS..];
    (final_demand.iter().sum::<f64>() / FINAL_STEPS as f64, level)
}

/// Returns the demand at each step, as a share of the slots, and the last level.
fn simulate_steps(load: f64, delay: usize, steps: u32) -> (Vec<f64>, u16) {
    let mut level = SheddingLevel::new(Duration::ZERO);
    let mut delayed_levels = vec![0; delay];
    let mut demand = Vec::new();
    let mut pending = 0.0;
    for step in 1..=steps {
        let received = delayed_levels.remove(0);
        let admitted_share = |rank| {
            let admitted = (0..=255u8).filter(|bucket| !refuses(received, rank, 2, *bucket));
            admitted.count() as f64 / 256.0
        };
        let used = load * (admitted_share(0) + admitted_share(1)) / 2.0;
        pending += used * f64::from(SLOTS) * STEP.as_secs_f64() / WORK.as_secs_f64();
        while pending >= 1.0 {
            pending -= 1.0;
            // Each request carries the level at which its root was admitted.
            level.arrived(received);
            level.finished(WORK);
        }
        level.update(STEP * step, 0, SLOTS);
        delayed_levels.push(level.level());
        demand.push(used);
    }
    (demand, delayed_levels[delay - 1])
}

/// Guards against a level that oscillates when it takes effect late and each step refuses many
/// requests.
#[test]
fn the_level_does_not_oscillate_under_heavy_overload() {
    for load in [2.0, 3.0, 4.5] {
        let (demand, _) = simulate_steps(load, 60, 2_000);
        let final_demand = &demand[demand.len() - 2 * FINAL_STEPS..];
        let minimum = final_demand.iter().copied().fold(f64::MAX, f64::min);
        let maximum = final_demand.iter().copied().fold(0.0, f64::max);
        assert!(
            maximum - minimum < 0.3,
            "load {load}: {minimum} to {maximum}"
        );
        assert!((0.8..=1.05).contains(&minimum), "load {load}: {minimum}");
    }
}

#[test]
fn the_level_settles_below_the_slots_whatever_the_overload() {
    // The lowest rank alone can shed 0.375 of the load, and the next rank is needed only a little.
    let max_levels = [
        (1.1, LEVEL_STEPS),
        (1.3, LEVEL_STEPS),
        (1.45, LEVEL_STEPS),
        (1.5, LEVEL_STEPS * 11 / 10),
    ];
    for (load, max_level) in max_levels {
        let (used, level) = simulate(load, 30, 1_000);
        assert!(
            (0.85..=0.97).contains(&used),
            "load {load}: demand for {used} of the slots"
        );
        assert!(level < max_level, "load {load}: {level}");
    }
}

#[test]
fn nothing_is_refused_below_the_slots() {
    assert_eq!(simulate(0.8, 30, 500).1, 0);
}

#[test]
fn levels_of_instances_with_unequal_load_do_not_diverge() {
    let mut busy = SheddingLevel::new(Duration::ZERO);
    let mut idle = SheddingLevel::new(Duration::ZERO);
    for step in 1..=1_000 {
        let mean = (busy.level() + idle.level()) / 2;
        for (level, count) in [(&mut busy, 12), (&mut idle, 8)] {
            for _ in 0..count {
                level.arrived(mean);
                level.finished(WORK);
            }
            level.update(STEP * step, 0, SLOTS);
        }
    }
    let difference = busy.level().abs_diff(idle.level());
    assert!(difference < LEVEL_STEPS, "{difference}");
}

#[test]
fn the_lowest_rank_is_refused_first_and_never_all_of_it() {
    assert!(refuses(LEVEL_STEPS / 2, 0, 2, 0));
    assert!(!refuses(LEVEL_STEPS / 2, 1, 2, 0));
    assert!(!refuses(LEVEL_STEPS, 1, 2, 0));
    assert!(refuses(LEVEL_STEPS * 3 / 2, 1, 2, 0));
    assert!(!refuses(LEVEL_STEPS * 2, 0, 2, 220));
    assert!(!refuses(0, 0, 2, 0));
}

#[test]
fn beyond_the_highest_rank_all_are_refused_alike_and_still_not_all() {
    assert!(refuses(LEVEL_STEPS * 3, 0, 2, 240));
    assert!(refuses(LEVEL_STEPS * 3, 1, 2, 240));
    assert!(!refuses(u16::MAX, 0, 2, 250));
    assert!(!refuses(u16::MAX, 1, 2, 250));
}

fn candidate(kind: &str, has_same_deadline: bool, count: u32) -> Candidate {
    Candidate {
        kind: kind.to_owned(),
        has_same_deadline,
        count,
        repeat_share: 0.0,
    }
}

#[test]
fn calls_are_credited_to_the_kind_that_makes_them() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut graph = CallGraph::default();
    for _ in 0..4_000 {
        // Many requests of a kind that makes calls, few of one that doesn't, in varying numbers.
        let callers = rng.u32(1..20);
        let others = rng.u32(0..4);
        if rng.u32(0..20) < callers {
            let candidates = [
                candidate("caller", false, callers),
                candidate("other", false, others),
            ];
            graph.record_call("child", &candidates);
        }
        if rng.u32(0..80) < callers {
            graph.record_end("caller", Duration::from_millis(100));
        }
        if rng.u32(0..80) < others {
            graph.record_end("other", Duration::from_millis(100));
        }
    }
    assert_eq!(graph.calls("caller"), ["child"]);
    let others = graph.calls("other");
    assert!(others.is_empty(), "{}", graph.call_rate("other", "child"));
}

/// Guards against slow detection after a start under load, when each instance of a large service
/// has received only a few requests of a kind.
#[test]
fn few_requests_suffice_to_detect_calls_if_callers_are_unlikely_to_use_only_these_vms() {
    // The shares of VMs in a fleet of 95 VMs.
    let share_of = |service: &str| match service {
        "archive" => 0.48,
        "seals" => 0.36,
        _ => 0.08,
    };
    let mut origins = RequestOrigins::default();
    for _ in 0..9 {
        origins.record("look-up", "archive");
    }
    assert!(!origins.are_calls("look-up", 4, share_of));
    origins.record("look-up", "archive");
    assert!(origins.are_calls("look-up", 4, share_of));
    // If callers are on all VMs, the first 20 requests come from the two largest services by
    // chance in one of 30 cases.
    for at in 0..20 {
        origins.record("read", if at % 2 == 0 { "archive" } else { "seals" });
    }
    assert!(!origins.are_calls("read", 4, share_of));
}

#[test]
fn a_new_kind_is_assumed_to_make_the_calls_of_others_until_it_is_observed() {
    let mut graph = CallGraph::default();
    let made_by = |kind: &str| Candidate {
        kind: kind.to_owned(),
        has_same_deadline: true,
        count: 1,
        repeat_share: 0.0,
    };
    graph.record_call("call", &[made_by("caller")]);
    graph.record_end("leaf", WORK);
    assert_eq!(graph.calls("caller"), ["call"]);
    assert_eq!(graph.calls("leaf"), ["call"]);
    for _ in 0..8 {
        graph.record_call("call", &[made_by("caller")]);
        graph.record_end("caller", WORK);
        graph.record_end("leaf", WORK);
    }
    assert_eq!(graph.calls("caller"), ["call"]);
    assert!(graph.calls("leaf").is_empty());
}

#[test]
fn requests_from_few_services_are_calls() {
    let mut origins = RequestOrigins::default();
    for number in 0..100 {
        origins.record("call", "a");
        origins.record("root", ["a", "b", "c", "d"][number % 4]);
    }
    origins.record("rare", "a");
    assert!(origins.are_calls("call", 4, |_| 1.0));
    assert!(!origins.are_calls("root", 4, |_| 1.0));
    assert!(!origins.are_calls("rare", 4, |_| 1.0));
    assert!(!origins.are_calls("unknown", 4, |_| 1.0));
}

#[test]
fn less_time_left_than_usual_marks_a_retry() {
    let mut detector = RetryDetector::default();
    for number in 0..40 {
        assert!(!detector.observe(4_999 + number % 2));
    }
    assert!(detector.observe(3_300));
    assert!(detector.observe(4_980));
    assert!(!detector.observe(4_995));
}

// Guards against a time left at the end of its range that overflows, or that counts as shorter than itself.
#[test]
fn the_longest_time_left_that_a_caller_can_send_is_a_full_timeout() {
    let mut detector = RetryDetector::default();
    for _ in 0..40 {
        assert!(!detector.observe(u32::MAX));
        assert!(!detector.observe(u32::MAX - 1));
    }
    assert!(detector.observe(u32::MAX - 10));
    assert!(detector.observe(0));
}

#[test]
fn no_retries_are_detected_if_timeouts_of_callers_vary() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut detector = RetryDetector::default();
    let detected = (0..500)
        .filter(|_| detector.observe(rng.u32(100..5_000)))
        .count();
    assert!(detected < 10, "{detected}");
}

#[test]
fn first_attempts_with_a_shorter_timeout_than_before_are_not_retries() {
    let mut detector = RetryDetector::default();
    for _ in 0..40 {
        detector.observe(5_000);
    }
    for _ in 0..64 {
        detector.observe(1_000);
    }
    assert!(!detector.observe(1_000));
    assert!(detector.observe(700));
}

#[test]
fn scheduling_lag_raises_the_level_even_if_slots_are_free() {
    let mut level = SheddingLevel::new(Duration::ZERO);
    for step in 1..=100 {
        level.arrived(0);
        level.finished(WORK);
        level.set_lag(Duration::from_millis(90));
        level.update(STEP * step, 0, SLOTS);
    }
    assert!(level.level() > LEVEL_STEPS / 4, "{}", level.level());
}

#[test]
fn calls_without_an_answer_raise_the_threshold_and_answers_lower_it() {
    let learned = LearnedThreshold::default();
    let now = Duration::from_secs(1);
    for _ in 0..8 {
        learned.observe_no_response(now);
    }
    let raised = learned.current(now);
    assert!(raised.0 > LEVEL_STEPS / 4, "{raised:?}");
    for _ in 0..20 {
        learned.observe(now, Priority::LOWEST);
    }
    assert_eq!(learned.current(now), Priority::LOWEST);
}

#[test]
fn a_learned_level_outlasts_the_pauses_between_few_answers_and_then_falls() {
    let learned = LearnedThreshold::for_shedding_level();
    let at = |ms| Duration::from_millis(ms);
    learned.observe(at(1_000), Priority(600));
    learned.observe(at(1_010), Priority(600));
    assert!(learned.current(at(1_600)).0 > 300);
    assert_eq!(learned.current(at(4_000)), Priority::LOWEST);
    // After a silence, a single answer sets the level.
    learned.observe(at(1_500), Priority(20));
    assert_eq!(learned.current(at(1_500)), Priority(20));
}

/// Guards against crediting the calls of few short requests to many long ones; a payment whose
/// deadline equals that of a call has it by chance.
#[test]
fn short_requests_keep_their_calls_beside_many_long_ones() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut graph = CallGraph::default();
    for _ in 0..2_000 {
        let by_chance = u32::from(rng.u32(0..2) == 0);
        if rng.u32(0..10) < 7 {
            let candidates = [
                candidate("payment", false, 30),
                candidate("payment", true, by_chance),
                candidate("read", false, 2),
                candidate("read", true, 1),
            ];
            graph.record_call("fetch", &candidates);
            graph.record_end("read", Duration::from_millis(30));
        } else {
            let candidates = [
                candidate("payment", false, 30),
                candidate("payment", true, 1),
                candidate("read", false, 3),
            ];
            graph.record_call("fetch", &candidates);
            graph.record_end("payment", Duration::from_millis(700));
        }
    }
    assert_eq!(graph.calls("payment"), ["fetch"]);
    assert_eq!(
        graph.calls("read"),
        ["fetch"],
        "{}",
        graph.call_rate("read", "fetch")
    );
}

#[test]
fn kinds_that_no_longer_exist_are_forgotten() {
    let mut graph = CallGraph::default();
    let mut origins = RequestOrigins::default();
    for _ in 0..100 {
        graph.record_call("child", &[candidate("old", true, 1)]);
        graph.record_end("old", Duration::from_millis(10));
        origins.record("old", "a");
    }
    assert_eq!(graph.calls("old"), ["child"]);
    assert!(origins.are_calls("old", 4, |_| 1.0));
    graph.retain(|kind| kind == "child");
    origins.retain(|kind| kind == "child");
    assert!(graph.calls("old").is_empty());
    assert!(!origins.are_calls("old", 4, |_| 1.0));
}

/// Guards against starving callers of a higher rank that retry after a refusal. They are served
/// less often than first attempts; in the lowest rank, first attempts go before all retries.
#[test]
fn retries_go_behind_first_attempts_and_find_some_capacity_in_a_higher_rank() {
    let level = LEVEL_STEPS * 6 / 5;
    let served = |rank, bucket_for: fn(u8, usize) -> u8| {
        let admitted =
            (0..=255u8).filter(|bucket| !refuses(level, rank, 2, bucket_for(*bucket, rank)));
        admitted.count()
    };
    let (first, retried) = (served(1, |bucket, _| bucket), served(1, bucket_for_retry));
    assert!((64..first).contains(&retried), "{retried} of {first}");
    assert_eq!(served(0, bucket_for_retry), 0);
}

// Guards against retries that took the room of first attempts because no two callers had the same timeout.
#[test]
fn retries_are_detected_where_timeouts_of_callers_differ() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut detector = RetryDetector::default();
    let (mut firsts, mut retries) = ([0, 0], [0, 0]);
    for number in 0..4_000 {
        let timeout_ms = rng.u32(4_250..=5_000);
        let is_retry = number >= 100 && rng.f64() < 0.5;
        // A refused caller returns after a third of its time.
        let left_ms = if is_retry {
            timeout_ms * 2 / 3
        } else {
            timeout_ms
        };
        let detected = usize::from(detector.observe(left_ms));
        if is_retry {
            retries[detected] += 1;
        } else {
            firsts[detected] += 1;
        }
    }
    assert_eq!(firsts[1], 0, "first attempts taken for retries");
    assert!(retries[0] * 50 < retries[1], "{retries:?}");
}

// Guards against one caller with a very long timeout that made retries of all others.
#[test]
fn a_caller_with_a_far_longer_timeout_makes_no_retries_of_others() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut detector = RetryDetector::default();
    for number in 0..4_000 {
        let timeout_ms = if number % 29 == 0 {
            60_000
        } else {
            rng.u32(4_250..=5_000)
        };
        assert!(!detector.observe(timeout_ms), "request {number}");
    }
}

// Guards against a mark that is lost one level further down, because few of the requests in progress are repeats.
#[test]
fn a_call_is_a_repeat_with_the_probability_of_the_requests_that_may_have_made_it() {
    let mut graph = CallGraph::default();
    let group = |kind: &str, count, repeat_share| Candidate {
        repeat_share,
        ..candidate(kind, true, count)
    };
    let share = graph.record_call("call", &[group("caller", 10, 0.1)]);
    assert!((share - 0.1).abs() < 1e-9, "{share}");
    // A kind that doesn't make the call tells nothing of it.
    for _ in 0..400 {
        graph.record_call("call", &[group("caller", 1, 0.0)]);
        graph.record_end("caller", WORK);
        graph.record_end("leaf", WORK);
    }
    let in_progress = [group("caller", 5, 0.2), group("leaf", 5, 1.0)];
    let share = graph.record_call("call", &in_progress);
    assert!((0.2..0.25).contains(&share), "{share}");
    assert_eq!(graph.record_call("call", &[]), 0.0);
}
