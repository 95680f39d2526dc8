//! What callers get that are refused at the entry and come back, in virtual time.
//!
//! As seen in these plays: callers were told about a second, whatever pressed and for how long, and came
//! back into it.

use sorrelturn_bench::{OVERLOAD_CASES, PRODUCT_POLICY, RetryStats, simulate_retries};

/// Adds up a few plays of a pressure.
fn simulate(name: &str) -> Vec<RetryStats> {
    let case = OVERLOAD_CASES.iter().find(|case| case.name == name);
    let mut sums = Vec::new();
    for seed in 0..3 {
        let stats_by_kind = simulate_retries(case.expect("it is listed"), seed, &PRODUCT_POLICY);
        sums.resize(stats_by_kind.len(), RetryStats::default());
        for (sum, stats) in sums.iter_mut().zip(&stats_by_kind) {
            sum.add(stats);
        }
    }
    sums
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

#[test]
fn those_who_come_back_in_a_long_surge_find_room_more_often() {
    let normal = &simulate("x2 for 5 s")[0];
    let served = share(normal.retried_served, normal.retried);
    assert!(served > 0.03, "{served}");
    let normal = &simulate("x1.3 for 5 s")[0];
    let served = share(normal.retried_served, normal.retried);
    assert!(served > 0.13, "{served}");
}

#[test]
fn critical_callers_that_come_back_find_room_where_little_is_left() {
    let critical = &simulate("one of three instances left, 8 s")[2];
    let served = share(critical.retried_served, critical.retried);
    assert!(served > 0.25, "{served}");
}

#[test]
fn the_more_important_are_served_first_also_when_they_come_back() {
    let stats_by_kind = simulate("x3 for 5 s");
    let [normal, _, critical] = &stats_by_kind[..] else {
        panic!("three kinds");
    };
    let of_critical = share(critical.retried_served, critical.retried);
    let of_normal = share(normal.retried_served, normal.retried);
    assert!(of_critical > 2.0 * of_normal, "{of_critical} {of_normal}");
    assert!(critical.refusal_delays.iter().all(|after| after.is_zero()));
}
