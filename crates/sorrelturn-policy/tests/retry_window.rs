//! Retries of all daemons together stay within the operators' bound, though each counts what it sent alone.
//!
//! The pattern: a service turns half of all away though it has slots, and every daemon sends again as often as it may.
//! The bound is the operators': in each window, a fifth of the requests of that window, or of the one before it, or
//! of the one half a window before it, and a slack for all daemons.

use proptest::prelude::*;
use sorrelturn_policy::RetryWindow;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
/// Time is played in steps of a quarter of a second.
const STEP: Duration = Duration::from_millis(250);
const STEPS_A_WINDOW: usize = 40;
/// The slack is shared as if there were so many daemons at least, and half of it is kept for restarts.
const LEAST_SHARERS: usize = 12;

fn fresh(daemons: usize) -> RetryWindow {
    let share = SLACK * 0.5 / daemons.max(LEAST_SHARERS) as f64;
    RetryWindow::new(WINDOW, RATIO, share)
}

/// What one stretch of the play is like.
#[derive(Clone, Debug)]
struct Stretch {
    steps: usize,
    /// First sendings of all daemons in a step.
    load: u32,
    /// How many of a step's sendings each daemon wants to repeat, in percent: 120 is every one, some twice.
    wants_percent: u32,
    /// Each daemon's part of the load, before it is made whole.
    parts: Vec<u32>,
    /// These start anew as it begins.
    restarts: Vec<bool>,
}

fn stretch() -> impl Strategy<Value = Stretch> {
    (
        4usize..60,
        0u32..600,
        0u32..130,
        prop::collection::vec(2u32..5, 14),
        prop::collection::vec(prop::bool::weighted(0.15), 14),
    )
        .prop_map(|(steps, load, wants_percent, parts, restarts)| Stretch {
            steps,
            load,
            wants_percent,
            parts,
            restarts,
        })
}

/// Plays it; first sendings and repeats of each step.
fn play(daemons: usize, stretches: &[Stretch]) -> Vec<(f64, f64)> {
    let mut windows: Vec<RetryWindow> = (0..daemons).map(|_| fresh(daemons)).collect();
    let mut steps = Vec::new();
    let mut now = Duration::from_secs(1);
    for stretch in stretches {
        for (window, restarts) in windows.iter_mut().zip(&stretch.restarts) {
            if *restarts {
                *window = fresh(daemons);
            }
        }
        let whole: u32 = stretch.parts[..daemons].iter().sum();
        for _ in 0..stretch.steps {
            let (mut first, mut again) = (0.0, 0.0);
            for (window, part) in windows.iter_mut().zip(&stretch.parts) {
                let sends = stretch.load * part / whole;
                for _ in 0..sends {
                    window.record_first_attempt(now);
                }
                first += f64::from(sends);
                for _ in 0..sends * stretch.wants_percent / 100 {
                    again += f64::from(u8::from(window.take(now)));
                }
            }
            steps.push((first, again));
            now += STEP;
        }
    }
    steps
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn all_daemons_together_keep_the_bound_whatever_comes(
        daemons in 2usize..=14,
        stretches in prop::collection::vec(stretch(), 1..12),
    ) {
        let steps = play(daemons, &stretches);
        let first = |from: usize, to: usize| -> f64 {
            steps[from.min(to)..to].iter().map(|(first, _)| first).sum()
        };
        for end in 1..=steps.len() {
            let begin = end.saturating_sub(STEPS_A_WINDOW);
            let half = end.saturating_sub(STEPS_A_WINDOW / 2);
            let counted = first(begin, end)
                .max(first(begin.saturating_sub(STEPS_A_WINDOW), begin))
                .max(first(half.saturating_sub(STEPS_A_WINDOW), half));
            let again: f64 = steps[begin..end].iter().map(|(_, again)| again).sum();
            let most = RATIO * counted + SLACK;
            prop_assert!(again <= most, "{again} of {most} in the window that ends with step {end}");
        }
    }
}

#[test]
fn what_was_sent_before_pays_when_a_service_begins_to_turn_most_away() {
    let calm = Stretch {
        steps: 60,
        load: 280,
        wants_percent: 0,
        parts: vec![1; 14],
        restarts: vec![false; 14],
    };
    let turned_away = Stretch {
        steps: 8,
        wants_percent: 120,
        ..calm.clone()
    };
    let steps = play(14, &[calm, turned_away]);
    let (first, again) = steps[60..]
        .iter()
        .fold((0.0, 0.0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
    // Two seconds of load at 1.2 sendings more each: a bucket of 12 % of successes would have paid for a tenth of it.
    assert!(again > first * 0.7, "{again} for {first}");
}

#[test]
fn a_daemon_that_starts_anew_may_use_its_share_of_the_slack_at_once_and_no_more() {
    let mut window = fresh(14);
    let now = Duration::from_secs(1);
    let taken = (0..20).filter(|_| window.take(now)).count();
    assert_eq!(taken, 1);
    for _ in 0..100 {
        window.record_first_attempt(now);
    }
    let later = now + STEP * 2;
    let taken = (0..100).filter(|_| window.take(later)).count();
    assert!((5..=15).contains(&taken), "{taken}");
}

#[test]
fn calls_of_a_repeated_request_are_counted_whoever_made_it() {
    let now = Duration::from_secs(1);
    let taken = |repeated: f64| {
        let mut window = RetryWindow::new(WINDOW, RATIO, 0.0);
        for step in 0..80 {
            let at = now + STEP * step;
            for _ in 0..10 {
                window.record_call_of_repeat(at, repeated);
            }
        }
        let last = now + STEP * 79;
        (0..1_000).filter(|_| window.take(last)).count()
    };
    let without = taken(0.0);
    assert!((50..=80).contains(&without), "{without}");
    // A tenth of the calls are repeats already, and take as much of what is allowed.
    let with = taken(0.1);
    assert!(with <= without / 2, "{with} of {without}");
}
