//! What the entry's admission learns: the level of load, who calls whom, and what are calls.

use sorrelturn_policy::{
    CallGraph, Candidate, FirstTries, LEVEL_STEPS, LearnedThreshold, Origins, SheddingLevel,
    bucket_of_return, refuses,
};
use sorrelturn_protocol::Priority;
use std::time::Duration;

const SLOTS: u32 = 20;
const STEP: Duration = Duration::from_millis(10);
/// How long the backend server takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// The steps at the end over which the mean is taken.
const AT_END: usize = 200;

/// Plays a backend server that is asked for `load` times its slots by two ranks, half each; the
/// entry hears of the level after `delay` steps. Returns the mean share of slots that is asked for at
/// the end, and the level.
fn play(load: f64, delay: usize, steps: u32) -> (f64, u16) {
    let (asked, level) = play_whole(load, delay, steps);
    let at_end = &asked[asked.len() - AT_END..];
    (at_end.iter().sum::<f64>() / AT_END as f64, level)
}

/// Returns the share of slots that is asked for at each step, and the last level.
fn play_whole(load: f64, delay: usize, steps: u32) -> (Vec<f64>, u16) {
    let mut level = SheddingLevel::new(Duration::ZERO);
    let mut told = vec![0; delay];
    let mut asked = Vec::new();
    let mut owed = 0.0;
    for step in 1..=steps {
        let heard = told.remove(0);
        let passes = |rank| {
            let kept = (0..=255u8).filter(|bucket| !refuses(heard, rank, 2, *bucket));
            kept.count() as f64 / 256.0
        };
        let used = load * (passes(0) + passes(1)) / 2.0;
        owed += used * f64::from(SLOTS) * STEP.as_secs_f64() / WORK.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            // Each tells the level at which its root was admitted.
            level.arrived(heard);
            level.finished(WORK);
        }
        level.update(STEP * step, 0, SLOTS);
        told.push(level.level());
        asked.push(used);
    }
    (asked, told[delay - 1])
}

/// Where one of several instances is left, a step of the level changes several times as much; the way
/// of a request through a chain of sequential calls is half a second and more.
#[test]
fn the_level_does_not_swing_where_few_instances_are_left() {
    for load in [2.0, 3.0, 4.5] {
        let (asked, _) = play_whole(load, 60, 2_000);
        let at_end = &asked[asked.len() - 2 * AT_END..];
        let least = at_end.iter().copied().fold(f64::MAX, f64::min);
        let most = at_end.iter().copied().fold(0.0, f64::max);
        assert!(most - least < 0.3, "load {load}: {least} to {most}");
        assert!((0.8..=1.05).contains(&least), "load {load}: {least}");
    }
}

#[test]
fn the_level_settles_below_the_slots_whatever_the_overload() {
    // The lowest rank alone can give up 0.375 of the load; beyond that the next one gives up little.
    let most = [
        (1.1, LEVEL_STEPS),
        (1.3, LEVEL_STEPS),
        (1.45, LEVEL_STEPS),
        (1.5, LEVEL_STEPS * 11 / 10),
    ];
    for (load, most) in most {
        let (used, level) = play(load, 30, 1_000);
        assert!(
            (0.85..=0.97).contains(&used),
            "load {load}: {used} of the slots"
        );
        assert!(level < most, "load {load}: {level}");
    }
}

#[test]
fn nothing_is_refused_below_the_slots() {
    assert_eq!(play(0.8, 30, 500).1, 0);
}

#[test]
fn instances_that_hear_of_one_another_do_not_drift_apart() {
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
    let apart = busy.level().abs_diff(idle.level());
    assert!(apart < LEVEL_STEPS, "{apart}");
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

fn candidate(kind: &str, same_end: bool, count: u32) -> Candidate {
    Candidate {
        kind: kind.to_owned(),
        same_end,
        count,
    }
}

#[test]
fn calls_are_credited_to_the_kind_that_makes_them() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut graph = CallGraph::default();
    for _ in 0..4_000 {
        // Many requests of a kind that calls, few of one that doesn't, in changing numbers.
        let callers = rng.u32(1..20);
        let others = rng.u32(0..4);
        if rng.u32(0..20) < callers {
            let candidates = [
                candidate("caller", false, callers),
                candidate("other", false, others),
            ];
            graph.called("child", &candidates);
        }
        if rng.u32(0..80) < callers {
            graph.ended("caller", Duration::from_millis(100));
        }
        if rng.u32(0..80) < others {
            graph.ended("other", Duration::from_millis(100));
        }
    }
    assert_eq!(graph.calls("caller"), ["child"]);
    let others = graph.calls("other");
    assert!(others.is_empty(), "{}", graph.rate("other", "child"));
}

/// A start under load: each instance of a large service sees a few requests of a kind in its first half second.
#[test]
fn a_call_is_known_by_a_few_requests_where_callers_would_hardly_send_them_from_there() {
    // The shares of a fleet of 95 VMs.
    let share_of = |service: &str| match service {
        "archive" => 0.48,
        "seals" => 0.36,
        _ => 0.08,
    };
    let mut origins = Origins::default();
    for _ in 0..9 {
        origins.record("look-up", "archive");
    }
    assert!(!origins.are_calls("look-up", 4, share_of));
    origins.record("look-up", "archive");
    assert!(origins.are_calls("look-up", 4, share_of));
    // Callers on all VMs: the first twenty come from the two largest services once in thirty times.
    for at in 0..20 {
        origins.record("read", if at % 2 == 0 { "archive" } else { "seals" });
    }
    assert!(!origins.are_calls("read", 4, share_of));
}

#[test]
fn a_kind_is_taken_to_call_what_others_call_until_its_own_requests_tell() {
    let mut graph = CallGraph::default();
    let made_by = |kind: &str| Candidate {
        kind: kind.to_owned(),
        same_end: true,
        count: 1,
    };
    graph.called("call", &[made_by("caller")]);
    graph.ended("leaf", WORK);
    assert_eq!(graph.calls("caller"), ["call"]);
    assert_eq!(graph.calls("leaf"), ["call"]);
    for _ in 0..8 {
        graph.called("call", &[made_by("caller")]);
        graph.ended("caller", WORK);
        graph.ended("leaf", WORK);
    }
    assert_eq!(graph.calls("caller"), ["call"]);
    assert!(graph.calls("leaf").is_empty());
}

#[test]
fn requests_from_few_services_are_calls() {
    let mut origins = Origins::default();
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
fn a_request_with_less_time_than_its_like_was_tried_before() {
    let mut tries = FirstTries::default();
    for number in 0..40 {
        assert!(!tries.saw(4_999 + number % 2));
    }
    assert!(tries.saw(3_300));
    assert!(tries.saw(4_980));
    assert!(!tries.saw(4_995));
}

#[test]
fn nothing_is_concluded_where_callers_begin_with_all_sorts_of_times() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut tries = FirstTries::default();
    let concluded = (0..500).filter(|_| tries.saw(rng.u32(100..5_000))).count();
    assert!(concluded < 10, "{concluded}");
}

#[test]
fn callers_that_wait_less_than_earlier_ones_are_first_tries_again() {
    let mut tries = FirstTries::default();
    for _ in 0..40 {
        tries.saw(5_000);
    }
    for _ in 0..64 {
        tries.saw(1_000);
    }
    assert!(!tries.saw(1_000));
    assert!(tries.saw(700));
}

#[test]
fn a_daemon_that_runs_late_asks_for_less_though_slots_are_free() {
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
        learned.no_answer(now);
    }
    let raised = learned.current(now);
    assert!(raised.0 > LEVEL_STEPS / 4, "{raised:?}");
    for _ in 0..20 {
        learned.observe(now, Priority::LOWEST);
    }
    assert_eq!(learned.current(now), Priority::LOWEST);
}

#[test]
fn a_learnt_level_outlasts_the_pauses_between_few_answers_and_then_falls() {
    let learned = LearnedThreshold::of_level();
    let at = |ms| Duration::from_millis(ms);
    learned.observe(at(1_000), Priority(600));
    learned.observe(at(1_010), Priority(600));
    assert!(learned.current(at(1_600)).0 > 300);
    assert_eq!(learned.current(at(4_000)), Priority::LOWEST);
    // After a silence one answer says all.
    learned.observe(at(1_500), Priority(20));
    assert_eq!(learned.current(at(1_500)), Priority(20));
}

/// As seen at a billing server: some thirty long payments beside few short reads, each of which makes
/// one call that ends with it; a payment that ends at the same time is chance.
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
            graph.called("fetch", &candidates);
            graph.ended("read", Duration::from_millis(30));
        } else {
            let candidates = [
                candidate("payment", false, 30),
                candidate("payment", true, 1),
                candidate("read", false, 3),
            ];
            graph.called("fetch", &candidates);
            graph.ended("payment", Duration::from_millis(700));
        }
    }
    assert_eq!(graph.calls("payment"), ["fetch"]);
    assert_eq!(
        graph.calls("read"),
        ["fetch"],
        "{}",
        graph.rate("read", "fetch")
    );
}

#[test]
fn kinds_that_no_longer_exist_are_forgotten() {
    let mut graph = CallGraph::default();
    let mut origins = Origins::default();
    for _ in 0..100 {
        graph.called("child", &[candidate("old", true, 1)]);
        graph.ended("old", Duration::from_millis(10));
        origins.record("old", "a");
    }
    assert_eq!(graph.calls("old"), ["child"]);
    assert!(origins.are_calls("old", 4, |_| 1.0));
    graph.retain(|kind| kind == "child");
    origins.retain(|kind| kind == "child");
    assert!(graph.calls("old").is_empty());
    assert!(!origins.are_calls("old", 4, |_| 1.0));
}

/// A second refusal costs callers of a higher rank most: with a sixth of it refused, whoever returns has a chance,
/// though a smaller one than at a first try; in the lowest rank first tries go before all who return.
#[test]
fn who_returns_goes_behind_first_tries_and_finds_some_room_in_a_higher_rank() {
    let level = LEVEL_STEPS * 6 / 5;
    let served = |rank, place: fn(u8, usize) -> u8| {
        let kept = (0..=255u8).filter(|bucket| !refuses(level, rank, 2, place(*bucket, rank)));
        kept.count()
    };
    let (first, returned) = (served(1, |bucket, _| bucket), served(1, bucket_of_return));
    assert!((64..first).contains(&returned), "{returned} of {first}");
    assert_eq!(served(0, bucket_of_return), 0);
}
