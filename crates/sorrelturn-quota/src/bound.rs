//! The bound on requests per window for a quota, and the token bucket that enforces it.

use crate::Limit;
use std::time::Duration;

/// The part of the slack that the bucket uses. The rest covers the one request that each fragment of a partitioned
/// fleet may grant regardless of its share.
const SLACK_FRACTION: f64 = 0.5;
/// The minimum capacity as a fraction of the burst, if the bound leaves little beyond the rate.
const MIN_BURST_FRACTION: f64 = 0.25;

/// At most `(rate * window + burst) * (1 + overage) + slack` requests in every window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// The duration of the window.
    pub window: Duration,
    /// The permitted excess over `rate * window + burst`, as a fraction.
    pub overage: f64,
    /// The requests permitted beyond that.
    pub slack: f64,
}

impl Bound {
    /// The token bucket that enforces the bound in every window, even if an allocator loses its state.
    ///
    /// The burst may be used again in each window, so the bucket refills at the rate plus one burst per window, or more
    /// slowly if the bound would leave too little capacity. The capacity is the rest of the bound. A grant issued
    /// before a window may be used in it, so the bucket refills over the window plus `grant_validity`, for which an
    /// unused grant stays valid.
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
