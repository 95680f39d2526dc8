//! The bound on requests per window for a quota, and the token bucket that enforces it.

use crate::Limit;
use std::time::Duration;

/// The fraction of the slack that the bucket uses. The rest covers the one request that fits into each fragment of a
/// partitioned fleet.
const SLACK_FRACTION: f64 = 0.5;
/// The minimum fraction of the burst that is admitted at once if the bound leaves little beyond the rate.
const MIN_BURST_FRACTION: f64 = 0.25;

/// The bound of a quota: in every window, at most rate times window plus burst, exceeded by no more than the overage
/// and the slack.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// The duration of the window.
    pub window: Duration,
    /// The fraction by which the count may exceed rate times window plus burst.
    pub overage: f64,
    /// The number of requests by which the count may exceed it in addition.
    pub slack: f64,
}

impl Bound {
    /// Returns the token bucket that enforces the bound in every window, even if an allocator loses its state.
    ///
    /// A workspace may use its burst again in each window, so the bucket refills at the rate plus one burst per window.
    /// The bucket's capacity is the rest of the bound. `grant` is how long an unused grant stays valid.
    pub fn bucket(&self, quota: Limit, grant: Duration) -> Limit {
        let window = self.window.as_secs_f64();
        let in_window = (quota.rate * window + quota.burst) * (1.0 + self.overage);
        let max_in_window = in_window + self.slack * SLACK_FRACTION;
        let spending_seconds = window + grant.as_secs_f64();
        let min_burst = (quota.burst * MIN_BURST_FRACTION).max(1.0);
        let rate =
            (quota.rate + quota.burst / window).min((max_in_window - min_burst) / spending_seconds);
        Limit {
            rate: rate.max(0.0),
            burst: max_in_window - rate.max(0.0) * spending_seconds,
        }
    }
}
