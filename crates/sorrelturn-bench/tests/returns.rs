//! Refused callers that retry, in virtual time: guards against Retry-After times so short that retries
//! arrive while the overload lasts.

use sorrelturn_bench::{OVERLOAD_CASES, PRODUCT_POLICY, RetryStats, simulate_retries};

/// The sum of the results of three seeds, by kind.
fn simulate(name: &str) -> Vec<RetryStats> {
    let case = OVERLOAD_CASES.iter().find(|case| case.name == name);
    let mut sums = Vec::new();
    for seed in 0..3 {
        let stats_by_kind =
            simulate_retries(case.expect("the overload is listed"), seed, &PRODUCT_POLICY);
        sums.resize(stats_by_kind.len(), RetryStats::default());
        for (sum, stats) in sums.iter_mut().zip(&stats_by_kind) {
            sum.add(stats);
        }
    }
    sums
}

fn share(count: u32, whole: u32) -> f64 {
    f64::from(count) / f64::from(whole.max(1))
}

#[test]
fn retries_in_a_long_surge_are_served_often_enough() {
    let normal = &simulate("x2 for 5 s")[0];
    let served = share(normal.retried_served, normal.retried);
    assert!(served > 0.03, "{served}");
    let normal = &simulate("x1.3 for 5 s")[0];
    let served = share(normal.retried_served, normal.retried);
    assert!(served > 0.13, "{served}");
}

#[test]
fn critical_retries_are_served_where_little_capacity_is_left() {
    let critical = &simulate("one of three instances left, 8 s")[2];
    let served = share(critical.retried_served, critical.retried);
    assert!(served > 0.25, "{served}");
}

#[test]
fn more_important_requests_are_served_first_also_on_retry() {
    let stats_by_kind = simulate("x3 for 5 s");
    let [normal, _, critical] = &stats_by_kind[..] else {
        panic!("three kinds");
    };
    let of_critical = share(critical.retried_served, critical.retried);
    let of_normal = share(normal.retried_served, normal.retried);
    assert!(of_critical > 2.0 * of_normal, "{of_critical} {of_normal}");
    assert!(critical.refusal_delays.iter().all(|after| after.is_zero()));
}
