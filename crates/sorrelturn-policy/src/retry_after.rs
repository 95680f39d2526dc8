//! Computes when a refused caller should retry. See `docs/design/returns.md`.

use crate::Now;
use std::time::Duration;

/// Minimum expected duration of an overload.
const MIN_EXPECTED_OVERLOAD: Duration = Duration::from_secs(1);
/// Maximum expected duration of an overload: if it ends early, callers must not stay away for long.
const MAX_EXPECTED_OVERLOAD: Duration = Duration::from_secs(30);

/// Time without a refusal after which an overload counts as over. Entry daemons with little
/// traffic refuse requests of a rare kind more than a second apart.
const QUIET_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracks how long an entry daemon has been refusing requests of one kind.
///
/// The gate of an entry daemon can't see that a service deeper in the call chain is overloaded, so
/// the retry time is based on the refusals at the entry daemon itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalStreak {
    first: Now,
    last: Option<Now>,
}

impl RefusalStreak {
    /// Records a refusal and returns the delay after which the caller should retry.
    pub fn record_refusal(&mut self, now: Now, rng: &mut fastrand::Rng) -> Duration {
        let continues = self
            .last
            .is_some_and(|last| now.saturating_sub(last) < QUIET_TIMEOUT);
        if !continues {
            self.first = now;
        }
        self.last = Some(now);
        RetryAfter::compute(Some(now.saturating_sub(self.first)), rng)
    }
}

/// Computes retry delays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter;

impl RetryAfter {
    /// Returns a retry delay, assuming that an overload lasts as long again as it already has. A
    /// random factor from 0.5 to 1.5 spreads the retries.
    pub fn compute(overload_duration: Option<Duration>, rng: &mut fastrand::Rng) -> Duration {
        let expected = overload_duration
            .unwrap_or(MIN_EXPECTED_OVERLOAD)
            .clamp(MIN_EXPECTED_OVERLOAD, MAX_EXPECTED_OVERLOAD);
        expected
            .mul_f64(0.5 + rng.f64())
            .max(MIN_EXPECTED_OVERLOAD / 2)
    }

    /// Returns the value of the `Retry-After` header in whole seconds, rounded up so that callers
    /// don't retry too early.
    pub fn header_seconds(retry_after_ms: u32) -> u32 {
        retry_after_ms.div_ceil(1000).max(1)
    }
}
