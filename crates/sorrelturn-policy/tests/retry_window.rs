//! All daemons together stay within the bound on retries, though each counts only its own attempts.
//! Retries per window may reach a fifth of the requests of that window, the one before it or the
//! one half a window earlier, whichever is the maximum, plus a slack for all daemons.

use proptest::prelude::*;
use sorrelturn_policy::RetryWindow;
use sorrelturn_protocol::{Importance, Precedence};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
/// Length of a simulated step.
const STEP: Duration = Duration::from_millis(250);
const STEPS_PER_WINDOW: usize = 40;
/// Minimum number of daemons that the slack is divided among; half of the slack is reserved for
/// restarts.
const MIN_DAEMONS: usize = 12;

fn new_window(daemons: usize) -> RetryWindow {
    let share = SLACK * 0.5 / daemons.max(MIN_DAEMONS) as f64;
    RetryWindow::new(WINDOW, RATIO, share)
}

/// A period of the simulation with constant load.
#[derive(Clone, Debug)]
struct Period {
    steps: usize,
    /// First attempts of all daemons per step.
    load: u32,
    /// Retries that each daemon wants per first attempt, in percent; above 100, some requests are
    /// retried twice.
    retry_percent: u32,
    /// Relative share of the load of each daemon.
    weights: Vec<u32>,
    /// Whether each daemon restarts at the beginning of the period.
    restarts: Vec<bool>,
}

fn period() -> impl Strategy<Value = Period> {
    (
        4usize..60,
        0u32..600,
        0u32..130,
        prop::collection::vec(2u32..5, 14),
        prop::collection::vec(prop::bool::weighted(0.15), 14),
    )
        .prop_map(|(steps, load, retry_percent, weights, restarts)| Period {
            steps,
            load,
            retry_percent,
            weights,
            restarts,
        })
}

/// Runs the simulation and returns the first attempts and retries of each step.
fn simulate(daemons: usize, periods: &[Period]) -> Vec<(f64, f64)> {
    let mut windows: Vec<RetryWindow> = (0..daemons).map(|_| new_window(daemons)).collect();
    let mut steps = Vec::new();
    let mut now = Duration::from_secs(1);
    for period in periods {
        for (window, restarts) in windows.iter_mut().zip(&period.restarts) {
            if *restarts {
                *window = new_window(daemons);
            }
        }
        let total_weight: u32 = period.weights[..daemons].iter().sum();
        for _ in 0..period.steps {
            let (mut first, mut retries) = (0.0, 0.0);
            for (window, weight) in windows.iter_mut().zip(&period.weights) {
                let sent = period.load * weight / total_weight;
                for _ in 0..sent {
                    window.record_first_attempt(now);
                }
                first += f64::from(sent);
                for _ in 0..sent * period.retry_percent / 100 {
                    retries += f64::from(u8::from(window.try_retry(now)));
                }
            }
            steps.push((first, retries));
            now += STEP;
        }
    }
    steps
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn all_daemons_together_keep_the_bound_under_any_load(
        daemons in 2usize..=14,
        periods in prop::collection::vec(period(), 1..12),
    ) {
        let steps = simulate(daemons, &periods);
        let first = |from: usize, to: usize| -> f64 {
            steps[from.min(to)..to].iter().map(|(first, _)| first).sum()
        };
        for end in 1..=steps.len() {
            let begin = end.saturating_sub(STEPS_PER_WINDOW);
            let half = end.saturating_sub(STEPS_PER_WINDOW / 2);
            let counted = first(begin, end)
                .max(first(begin.saturating_sub(STEPS_PER_WINDOW), begin))
                .max(first(half.saturating_sub(STEPS_PER_WINDOW), half));
            let retries: f64 = steps[begin..end].iter().map(|(_, retries)| retries).sum();
            let max_retries = RATIO * counted + SLACK;
            prop_assert!(retries <= max_retries, "{retries} of {max_retries} in the window that ends with step {end}");
        }
    }
}

#[test]
fn earlier_attempts_allow_retries_when_a_service_begins_to_refuse_most_calls() {
    let healthy = Period {
        steps: 60,
        load: 280,
        retry_percent: 0,
        weights: vec![1; 14],
        restarts: vec![false; 14],
    };
    let refused = Period {
        steps: 8,
        retry_percent: 120,
        ..healthy.clone()
    };
    let steps = simulate(14, &[healthy, refused]);
    let (first, retries) = steps[60..]
        .iter()
        .fold((0.0, 0.0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
    // The attempts before the failure allow most of the wanted retries.
    assert!(retries > first * 0.7, "{retries} for {first}");
}

#[test]
fn a_restarted_daemon_may_use_its_share_of_the_slack_at_once_and_no_more() {
    let mut window = new_window(14);
    let now = Duration::from_secs(1);
    let allowed = (0..20).filter(|_| window.try_retry(now)).count();
    assert_eq!(allowed, 1);
    for _ in 0..100 {
        window.record_first_attempt(now);
    }
    let later = now + STEP * 2;
    let allowed = (0..100).filter(|_| window.try_retry(later)).count();
    assert!((5..=15).contains(&allowed), "{allowed}");
}

#[test]
fn calls_of_a_repeated_request_count_as_retries_whoever_repeated_it() {
    let now = Duration::from_secs(1);
    let allowed_retries = |repeated: f64| {
        let mut window = RetryWindow::new(WINDOW, RATIO, 0.0);
        for step in 0..80 {
            let at = now + STEP * step;
            for _ in 0..10 {
                window.record_call_of_repeat(at, repeated);
            }
        }
        let last = now + STEP * 79;
        (0..1_000).filter(|_| window.try_retry(last)).count()
    };
    let without = allowed_retries(0.0);
    assert!((50..=80).contains(&without), "{without}");
    // A tenth of the calls count as retries.
    let with = allowed_retries(0.1);
    assert!(with <= without / 2, "{with} of {without}");
}

/// Calls in a row that a request needs to complete.
const CALLS_IN_A_ROW: usize = 4;
/// Attempts of one call at most.
const MAX_ATTEMPTS: usize = 8;

/// Makes the calls of one request, of which backend servers refuse 55 %; returns whether it completes.
fn completes(
    rng: &mut fastrand::Rng,
    window: &mut RetryWindow,
    now: Duration,
    retry: impl Fn(&mut RetryWindow) -> bool,
) -> bool {
    (0..CALLS_IN_A_ROW).all(|_| {
        window.record_first_attempt(now);
        let mut attempts = 1;
        while rng.f64() < 0.55 {
            if attempts == MAX_ATTEMPTS || !retry(window) {
                return false;
            }
            attempts += 1;
        }
        true
    })
}

/// Plays 8.5 s in which backend servers refuse widely; returns the share of payments and of reads that complete.
fn play_wide_rejection(is_ordered: bool) -> [f64; 2] {
    let payment = Precedence::new(Importance::Critical, true);
    let read = Precedence::new(Importance::Normal, false);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut window = RetryWindow::new(WINDOW, RATIO, 1.0);
    // Before it, nothing is refused: 1,400 calls per second.
    for step in 0..12_000 {
        let now = Duration::from_millis(step);
        window.record_first_attempt(now);
        if step % 5 < 2 {
            window.record_first_attempt(now);
        }
    }
    let mut completed = [0, 0];
    let mut offered = [0, 0];
    for step in 12_000..20_500 {
        let now = Duration::from_millis(step);
        for (index, precedence) in [payment, read].into_iter().enumerate() {
            let per_second = [35.0, 150.0][index];
            if rng.f64() >= per_second / 1_000.0 {
                continue;
            }
            offered[index] += 1;
            let retry = |window: &mut RetryWindow| match is_ordered {
                true => window.try_retry_of(now, precedence),
                false => window.try_retry(now),
            };
            completed[index] += usize::from(completes(&mut rng, &mut window, now, retry));
        }
    }
    [0, 1].map(|index| completed[index] as f64 / offered[index] as f64)
}

// Guards against retries that are spread over all calls of a wide rejection, so that hardly any payment completes.
#[test]
fn scarce_retries_go_to_the_requests_that_come_first() {
    let [payments, _] = play_wide_rejection(false);
    let [ordered_payments, ordered_reads] = play_wide_rejection(true);
    assert!(
        ordered_payments > 2.0 * payments,
        "{payments} of the payments complete, {ordered_payments} in order"
    );
    assert!(
        ordered_reads > 0.03,
        "first attempts still complete: {ordered_reads}"
    );
}

#[test]
fn retries_of_a_lower_precedence_have_a_fifth_while_higher_ones_are_wanted_and_leave_a_reserve_after_that()
 {
    let low = Precedence::new(Importance::Normal, false);
    let high = Precedence::new(Importance::Critical, true);
    let mut now = Duration::from_secs(1);
    let mut window = RetryWindow::new(WINDOW, RATIO, 10.0);
    let granted = |window: &mut RetryWindow, now, precedence| {
        (0..20)
            .filter(|_| window.try_retry_of(now, precedence))
            .count()
    };
    assert!(window.try_retry_of(now, high));
    assert_eq!(granted(&mut window, now, low), 2);
    now += Duration::from_secs(2);
    assert_eq!(granted(&mut window, now, low), 5, "a fifth stays reserved");
    assert_eq!(granted(&mut window, now, high), 2);
    now += WINDOW * 2;
    assert_eq!(granted(&mut window, now, low), 10, "nobody else wants any");
}

// Guards against repeats further up that take the retries which a service's own calls need.
#[test]
fn calls_of_repeats_are_let_in_up_to_a_part_of_the_limit_and_own_retries_up_to_all_of_it() {
    let now = Duration::from_secs(1);
    let mut window = RetryWindow::new(WINDOW, RATIO, 20.0);
    let mut let_in = 0;
    while window.has_room_for_calls_of_repeat(now, 4.0) {
        window.expect_calls_of_repeat(now, 4.0);
        let_in += 4;
    }
    assert!((8..=16).contains(&let_in), "{let_in}");
    let own = (0..100).filter(|_| window.try_retry(now)).count();
    assert_eq!(own, 20 - let_in);
    assert!(!window.has_room_for_calls_of_repeat(now, 0.0));
}

#[test]
fn expected_calls_of_a_repeat_count_once_with_the_calls_that_it_makes() {
    let now = Duration::from_secs(1);
    let mut window = RetryWindow::new(WINDOW, RATIO, 20.0);
    window.expect_calls_of_repeat(now, 4.0);
    for _ in 0..4 {
        window.record_call_of_repeat(now, 1.0);
    }
    assert_eq!((0..100).filter(|_| window.try_retry(now)).count(), 16);
}

#[test]
fn a_repeat_that_did_not_run_gives_back_what_was_reserved_for_its_calls() {
    let now = Duration::from_secs(1);
    let mut window = RetryWindow::new(WINDOW, RATIO, 20.0);
    window.expect_calls_of_repeat(now, 4.0);
    window.forget_expected_calls(now + STEP, 4.0);
    let retries = (0..100).filter(|_| window.try_retry(now + STEP));
    assert_eq!(retries.count(), 20);
}
