//! Limits the rate of requests to a backend server that is still cold after its start.
//! See `docs/design/cold-starts.md`.

use crate::Now;
use std::time::Duration;

/// The fraction of [`ColdRate::max_per_second`] that is used, since requests may arrive closer
/// together than they were admitted.
const USED_FRACTION: f64 = 0.75;
/// How long a backend server that has not reported whether it is cold is assumed to be.
const ASSUMED_COLD_DURATION: Duration = Duration::from_secs(10);
/// The load, in percent, that is reported when no further request is admitted for the moment.
const EXHAUSTED_LOAD_PERCENT: f64 = 200.0;

/// The requests that a cold backend server accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// The sustained rate, in requests per second.
    pub per_second: f64,
    /// The maximum number of requests in any one second.
    pub max_per_second: f64,
}

impl ColdRate {
    /// The number of requests that may be admitted at once. Together with those of the next second
    /// they stay below the maximum.
    fn burst(self) -> f64 {
        (self.max_per_second * USED_FRACTION - self.per_second).max(1.0)
    }
}

/// Limits the admissions to one backend server while it is cold, or while it may be.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    rate: Option<ColdRate>,
    cold_until: Now,
    /// Requests that may be admitted now, as of `filled_at`.
    tokens: f64,
    filled_at: Now,
}

impl ColdLimiter {
    /// Creates the limiter of a backend server of which nothing is known yet.
    pub fn new(now: Now) -> Self {
        let mut limiter = Self::default();
        limiter.assume_cold(now);
        limiter
    }

    /// Sets the rate while cold; `None` means that cold backend servers need no limit.
    pub fn set_rate(&mut self, rate: Option<ColdRate>) {
        self.rate = rate;
    }

    /// Records that the backend server may have restarted or become cold, until it reports.
    pub fn assume_cold(&mut self, now: Now) {
        self.become_cold_until(now, now + ASSUMED_COLD_DURATION);
    }

    /// Records for how much longer the backend server says that it is cold.
    pub fn report(&mut self, now: Now, remaining: Duration) {
        match remaining {
            Duration::ZERO => self.cold_until = Now::ZERO,
            _ => self.become_cold_until(now, now.saturating_add(remaining)),
        }
    }

    /// Returns whether admissions are limited at `now`.
    pub fn is_limiting(&self, now: Now) -> bool {
        self.rate.is_some() && now < self.cold_until
    }

    /// Returns the sustained rate of admissions while they are limited, in requests per second.
    pub fn limit_per_second(&self, now: Now) -> Option<f64> {
        let rate = self.rate.filter(|_| self.is_limiting(now));
        rate.map(|rate| rate.per_second)
    }

    /// Returns whether a request may be admitted.
    pub fn has_token(&mut self, now: Now) -> bool {
        if !self.is_limiting(now) {
            return true;
        }
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Records the admission of a request.
    pub fn take(&mut self, now: Now) {
        if self.is_limiting(now) {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the load in percent, so that callers prefer other instances.
    pub fn load_percent(&self, now: Now) -> u16 {
        let Some(rate) = self.rate.filter(|_| self.is_limiting(now)) else {
            return 0;
        };
        let used = 1.0 - (self.tokens_at(now, rate) / rate.burst()).clamp(0.0, 1.0);
        (used * EXHAUSTED_LOAD_PERCENT) as u16
    }

    fn become_cold_until(&mut self, now: Now, until: Now) {
        if now >= self.cold_until {
            // Requests from before may still arrive, so none is admitted in advance.
            self.tokens = 0.0;
            self.filled_at = now;
        }
        self.cold_until = until;
    }

    fn refill(&mut self, now: Now) {
        if let Some(rate) = self.rate {
            self.tokens = self.tokens_at(now, rate);
            self.filled_at = now;
        }
    }

    fn tokens_at(&self, now: Now, rate: ColdRate) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + elapsed * rate.per_second).min(rate.burst())
    }
}
