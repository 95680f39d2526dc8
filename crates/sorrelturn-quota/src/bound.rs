//! What operators promise of a quota, and the bucket that keeps it.

use crate::Limit;
use std::time::Duration;

/// The part of the slack that the bucket uses; each fragment of a fleet may hold one request of the rest.
const SLACK_FRACTION: f64 = 0.5;
/// The least part of the burst that may be let in at once, where the bound leaves little beside the rate.
const MIN_BURST_FRACTION: f64 = 0.25;

/// How a quota is counted: in every window, no more than rate times window and the burst, and a little over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// The window.
    pub window: Duration,
    /// The part by which the count may lie over that.
    pub overage: f64,
    /// The requests by which it may lie over that besides.
    pub slack: f64,
}

impl Bound {
    /// The bucket that keeps a quota in every window, whoever forgets what was granted before.
    ///
    /// In each window a workspace may ask for its burst anew, so the bucket refills at the rate and a burst a window. What
    /// is left of the bound is what may be let in at once. `grant` is how long a grant may lie unused.
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
