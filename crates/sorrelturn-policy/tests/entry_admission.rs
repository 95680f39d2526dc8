//! What the entry's admission learns: the level of load, who calls whom, and what are calls.

use sorrelturn_policy::{CallGraph, Candidate, LoadLevel, Origins};
use sorrelturn_protocol::{Importance, Priority};
use std::time::Duration;

const SLOTS: u32 = 20;
const STEP: Duration = Duration::from_millis(10);
/// The steps at the end over which the mean is taken.
const AT_END: u32 = 200;

/// Plays a backend server that is asked for `load` times its slots by two ranks, half each; the
/// entry hears of the level after `delay` steps. Returns the mean share of slots in use at the end.
fn play(load: f64, delay: usize, steps: u32) -> (f64, Priority) {
    let mut level = LoadLevel::new(Duration::ZERO);
    level.saw(Importance::Normal);
    level.saw(Importance::Critical);
    let mut told = vec![Priority::LOWEST; delay];
    let mut used_at_end = 0.0;
    for step in 1..=steps {
        let threshold = told.remove(0);
        let passes = |importance| {
            let kept = (0..=255u8).filter(|bucket| Priority::new(importance, *bucket) >= threshold);
            kept.count() as f64 / 256.0
        };
        let used = load * (passes(Importance::Normal) + passes(Importance::Critical)) / 2.0;
        let requests = (used * f64::from(SLOTS)).round() as usize;
        level.passed(STEP * step, requests, SLOTS);
        told.push(level.threshold());
        if step > steps - AT_END {
            used_at_end += used / f64::from(AT_END);
        }
    }
    (used_at_end, told[delay - 1])
}

#[test]
fn the_level_settles_below_the_slots_whatever_the_overload() {
    // The lowest rank alone can give up 0.425 of the load.
    for load in [1.1, 1.3, 1.5] {
        let (used, threshold) = play(load, 30, 1_000);
        assert!(
            (0.8..=1.0).contains(&used),
            "load {load}: {used} of the slots"
        );
        assert_eq!(threshold.importance(), Importance::Normal);
    }
}

#[test]
fn nothing_is_refused_below_the_slots_and_soon_after_an_overload() {
    assert_eq!(play(0.8, 30, 500).1, Priority::LOWEST);
    let mut level = LoadLevel::new(Duration::ZERO);
    level.saw(Importance::Normal);
    level.saw(Importance::Critical);
    for step in 1..=100 {
        level.passed(STEP * step, 40, SLOTS);
    }
    assert!(level.threshold() > Priority::LOWEST);
    for step in 101..=300 {
        level.passed(STEP * step, 5, SLOTS);
    }
    assert_eq!(level.threshold(), Priority::LOWEST);
}

#[test]
fn the_lowest_rank_in_use_is_refused_first_and_never_all_of_it() {
    let mut level = LoadLevel::new(Duration::ZERO);
    level.saw(Importance::Normal);
    level.saw(Importance::Critical);
    for step in 1..=2_000 {
        level.passed(STEP * step, 60, SLOTS);
    }
    let highest = level.threshold();
    assert_eq!(highest.importance(), Importance::Critical);
    assert!(highest < Priority::new(Importance::Critical, 225));
}

#[test]
fn calls_are_credited_to_the_kind_that_makes_them() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut graph = CallGraph::default();
    for _ in 0..4_000 {
        // Many requests of a kind that calls, few of one that doesn't, in changing numbers.
        let callers = rng.u32(1..20);
        let others = rng.u32(0..4);
        let candidate = |kind: &str, count| Candidate {
            kind: kind.to_owned(),
            same_end: false,
            count,
        };
        if rng.u32(0..20) < callers {
            let candidates = [candidate("caller", callers), candidate("other", others)];
            graph.called("child", &candidates);
        }
        if rng.u32(0..80) < callers {
            graph.ended("caller");
        }
        if rng.u32(0..80) < others {
            graph.ended("other");
        }
    }
    let calls: Vec<&str> = graph.calls("caller").collect();
    assert_eq!(calls, ["child"]);
    let others: Vec<&str> = graph.calls("other").collect();
    assert!(others.is_empty(), "{}", graph.rate("other", "child"));
}

#[test]
fn requests_from_few_services_are_calls() {
    let mut origins = Origins::default();
    for number in 0..100 {
        origins.saw("call", "a");
        origins.saw("root", ["a", "b", "c", "d"][number % 4]);
    }
    origins.saw("rare", "a");
    assert!(origins.are_calls("call", 4));
    assert!(!origins.are_calls("root", 4));
    assert!(!origins.are_calls("rare", 4));
    assert!(!origins.are_calls("unknown", 4));
}
