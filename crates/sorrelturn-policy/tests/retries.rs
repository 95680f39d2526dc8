//! Retries of one request are bounded over the whole call tree.

use proptest::prelude::*;
use sorrelturn_policy::*;
use sorrelturn_protocol::{Refusal, Verdict};
use std::time::Duration;

/// Failure rates of the simulated executions.
#[derive(Clone, Copy)]
struct FailureRates {
    /// The fraction of executions that fail.
    fails: f64,
    /// The fraction of answers that are lost, together with the attempts that they would return.
    loses: f64,
}

struct Tree<'a> {
    fan_out: u32,
    depth: u32,
    failure_rates: FailureRates,
    rng: &'a mut fastrand::Rng,
    executions: u64,
}

impl Tree<'_> {
    /// Returns the number of executions that a call at this depth needs if nothing fails.
    fn need(&self, depth: u32) -> u32 {
        (depth..self.depth).fold(1u32, |need, _| {
            need.saturating_mul(self.fan_out).saturating_add(1)
        })
    }

    /// Makes a call with its share of attempts, as the forwarder does. Returns whether it succeeded
    /// and the attempts left.
    fn call(&mut self, depth: u32, mut share: u32) -> (bool, u32) {
        let need = self.need(depth);
        loop {
            let first = first_attempt_share(share, need);
            share -= first;
            let (good, already_retried, back) = self.execute(depth, first);
            let lost = self.rng.f64() < self.failure_rates.loses;
            share += if lost { 0 } else { back };
            if good && !lost {
                return (true, share);
            }
            let step = next_step(&Attempt {
                verdict: Verdict::MayHaveRun,
                refusal: Some(Refusal::BackendBroke),
                already_retried,
                repeatable: true,
                reroutes: 0,
                attempts_left: share,
                attempts_needed: need,
                has_time_left: true,
            });
            if step != Step::Retry {
                return (false, share);
            }
        }
    }

    /// Simulates one execution at a backend server, with its nested calls.
    fn execute(&mut self, depth: u32, share: u32) -> (bool, bool, u32) {
        if share == 0 {
            return (false, true, 0);
        }
        self.executions += 1;
        let mut pool = AttemptPool::new(share, self.need(depth));
        let mut all_good = true;
        if depth < self.depth {
            for _ in 0..self.fan_out {
                let child_need = self.need(depth + 1);
                let Some(child_share) = pool.take(child_need) else {
                    all_good = false;
                    continue;
                };
                let (good, back) = self.call(depth + 1, child_share);
                pool.give_back(back);
                all_good &= good;
            }
        }
        let fails = self.rng.f64() < self.failure_rates.fails;
        (all_good && !fails, !all_good, pool.close())
    }
}

/// Returns the number of executions with naive retries, where each hop tries three times.
fn naive(fan_out: u32, depth: u32) -> u64 {
    if depth == 0 {
        return 3;
    }
    3 * (1 + u64::from(fan_out) * naive(fan_out, depth - 1))
}

#[test]
fn eight_hops_that_all_fail_cost_no_more_than_the_roots_attempts() {
    for (fan_out, attempts) in [(1, 8), (1, 20), (3, 9_841), (3, 20_000)] {
        let mut rng = fastrand::Rng::with_seed(1);
        let failure_rates = FailureRates {
            fails: 1.0,
            loses: 0.0,
        };
        let mut tree = Tree {
            fan_out,
            depth: 7,
            failure_rates,
            rng: &mut rng,
            executions: 0,
        };
        let (good, _) = tree.call(0, attempts);
        assert!(!good);
        assert!(
            tree.executions <= u64::from(attempts),
            "{}",
            tree.executions
        );
        assert!(
            naive(fan_out, 7) > 100 * tree.executions,
            "{}",
            tree.executions
        );
    }
}

#[test]
fn a_healthy_tree_completes_with_just_what_it_needs() {
    for fan_out in 1..4 {
        let mut rng = fastrand::Rng::with_seed(2);
        let failure_rates = FailureRates {
            fails: 0.0,
            loses: 0.0,
        };
        let mut tree = Tree {
            fan_out,
            depth: 4,
            failure_rates,
            rng: &mut rng,
            executions: 0,
        };
        let need = tree.need(0);
        assert_eq!(tree.call(0, need), (true, 0));
        assert_eq!(tree.executions, u64::from(need));
    }
}

proptest! {
    #[test]
    fn in_no_tree_do_executions_exceed_the_roots_attempts(
        fan_out in 1u32..4,
        depth in 0u32..6,
        attempts in 1u32..2_000,
        fails in 0.0f64..1.0,
        loses in 0.0f64..1.0,
        seed: u64,
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let failure_rates = FailureRates { fails, loses };
        let mut tree = Tree { fan_out, depth, failure_rates, rng: &mut rng, executions: 0 };
        let (_, back) = tree.call(0, attempts);
        prop_assert!(tree.executions + u64::from(back) <= u64::from(attempts));
    }
}

fn attempt(verdict: Verdict, refusal: Refusal) -> Attempt {
    Attempt {
        verdict,
        refusal: Some(refusal),
        already_retried: false,
        repeatable: true,
        reroutes: 0,
        attempts_left: 5,
        attempts_needed: 1,
        has_time_left: true,
    }
}

#[test]
fn what_may_not_be_repeated_is_not_retried_once_it_may_have_run() {
    let unrepeatable = Attempt {
        repeatable: false,
        ..attempt(Verdict::MayHaveRun, Refusal::BackendBroke)
    };
    assert_eq!(next_step(&unrepeatable), Step::Answer);
    let unrun = Attempt {
        repeatable: false,
        ..attempt(Verdict::NotRun, Refusal::Leaving)
    };
    assert_eq!(next_step(&unrun), Step::Reroute);
}

#[test]
fn a_failure_that_was_retried_deeper_is_not_retried_again() {
    let retried = Attempt {
        already_retried: true,
        ..attempt(Verdict::Ran, Refusal::BackendBroke)
    };
    assert_eq!(next_step(&retried), Step::Answer);
}

#[test]
fn retries_are_limited_to_a_fraction_of_successes() {
    let mut bucket = RetryBucket::new(0.1);
    let in_advance = (0..100).filter(|_| bucket.take()).count();
    assert_eq!(in_advance, 10);
    for _ in 0..20 {
        bucket.succeeded();
    }
    assert_eq!((0..100).filter(|_| bucket.take()).count(), 2);
}

#[test]
fn retry_after_grows_with_the_overload_duration_and_spreads_callers() {
    let mut rng = fastrand::Rng::with_seed(3);
    let short = RetryAfter::compute(None, &mut rng);
    assert!(short <= Duration::from_millis(1_500));
    let times: Vec<Duration> = (0..100)
        .map(|_| RetryAfter::compute(Some(Duration::from_secs(20)), &mut rng))
        .collect();
    let (shortest, longest) = (times.iter().min(), times.iter().max());
    assert!(
        shortest >= Some(&Duration::from_secs(10)) && longest <= Some(&Duration::from_secs(30))
    );
    assert!(longest > shortest.map(|shortest| *shortest * 2).as_ref());
}

/// Guards against short retry times during a long overload that only services deeper in the call
/// chain can see.
#[test]
fn retry_after_grows_with_how_long_the_entry_has_refused() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut streak = RefusalStreak::default();
    let at = Duration::from_millis;
    let delays: Vec<Duration> = (0..100)
        .map(|number| streak.record_refusal(at(1_000 + number * 100), &mut rng))
        .collect();
    let mean = |delays: &[Duration]| delays.iter().sum::<Duration>() / delays.len() as u32;
    assert!(mean(&delays[..10]) < at(1_500), "{delays:?}");
    assert!(mean(&delays[90..]) > at(7_000), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= at(45_000)));
    // After a quiet time, another overload begins.
    let delay = streak.record_refusal(at(14_000), &mut rng);
    assert!(delay <= at(1_500), "{delay:?}");
}
