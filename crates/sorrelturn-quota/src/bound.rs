//! The bound on requests per window for a quota, and the token bucket that enforces it.

use crate::Limit;
use std::time::Duration;

/// The fraction of the slack that the bucket uses. The rest covers the one request that each fragment of a partitioned
/// fleet may grant regardless of its share.
const SLACK_FRACTION: f64 = 0.5;
/// The minimum fraction of the burst that the bucket can hold if the bound leaves little beyond the rate.
const MIN_BURST_FRACTION: f64 = 0.25;

/// The bound of a quota: at most `(rate * window + burst) * (1 + overage) + slack` requests in every window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// The duration of the window.
    pub window: Duration,
    /// The fraction by which the number of requests may exceed `rate * window + burst`.
    pub overage: f64,
    /// The number of requests that may be admitted beyond that.
    pub slack: f64,
}

impl Bound {
    /// Returns the token bucket that enforces the bound in every window, even if an allocator loses its state.
    ///
    /// A workspace may use its burst again in each window, so the bucket refills at the rate plus one burst per window,
    /// or more slowly if the bound would leave too little capacity. The capacity is the rest of the bound. A grant
    /// issued before a window may be used in it, so the bucket refills over the window plus `grant_validity`, the time
    /// for which an unused grant stays valid.
    pub fn token_bucket(&self, quota: Limit, grant_validity: Duration) -> Limit {
        let window = self.window.as_secs_f64();
        let max_without_slack = (quota.rate * window + quota.burst) * (1.0 + self.overage);
        let max_in_window = max_without_slack + self.slack * SLACK_FRACTION;
        let window_and_grant_seconds = window + grant_validity.as_secs_f64();
        let min_burst = (quota.burst * MIN_BURST_FRACTION).max(1.0);
        let rate = (quota.rate + quota.burst / window)
            .min((max_in_window - min_burst) / window_and_grant_seconds);
        Limit {
            rate: rate.max(0.0),
            burst: max_in_window - rate.max(0.0) * window_and_grant_seconds,
        }
    }
}
