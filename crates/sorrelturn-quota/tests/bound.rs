//! Guards against a token bucket that admits more than the bound in some window.

use sorrelturn_quota::{Bound, Limit};
use std::time::Duration;

const GRANT_VALIDITY: Duration = Duration::from_millis(150);

#[test]
fn no_window_admits_more_than_the_bound_allows() {
    for rate in [0.5, 8.0, 343.0, 10_000.0] {
        for burst in [0.0, 1.0, 0.2 * rate, rate, 5.0 * rate] {
            for (window, overage, slack) in [
                (5.0, 0.1, 20.0),
                (5.0, 0.0, 0.0),
                (1.0, 0.2, 0.0),
                (60.0, 0.05, 5.0),
            ] {
                let window_duration = Duration::from_secs_f64(window);
                let bound = Bound {
                    window: window_duration,
                    overage,
                    slack,
                };
                let bucket = bound.token_bucket(Limit { rate, burst }, GRANT_VALIDITY);
                let max_admitted =
                    bucket.rate * (window_duration + GRANT_VALIDITY).as_secs_f64() + bucket.burst;
                let allowed = (rate * window + burst) * (1.0 + overage) + slack;
                assert!(
                    max_admitted <= allowed + 1e-6,
                    "{bucket:?} admits {max_admitted} in a window; {allowed} are allowed"
                );
                assert!(bucket.rate >= 0.0 && bucket.burst >= 0.0, "{bucket:?}");
            }
        }
    }
}

#[test]
fn a_workspace_may_use_its_rate_and_its_burst_in_each_window() {
    let bound = Bound {
        window: Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
    };
    let bucket = bound.token_bucket(
        Limit {
            rate: 100.0,
            burst: 100.0,
        },
        GRANT_VALIDITY,
    );
    assert_eq!(bucket.rate, 120.0);
    assert!(bucket.burst >= 25.0, "{bucket:?}");
}
