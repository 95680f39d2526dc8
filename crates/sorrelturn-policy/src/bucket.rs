//! Token buckets: a caller's rate, and retries as a fraction of successes.

use crate::Now;

/// A caller's rate, with one second's worth of burst.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    tokens: f64,
    filled: Now,
}

impl RateBucket {
    /// A full bucket that refills at `rate` tokens a second.
    pub fn new(rate: f64, now: Now) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            filled: now,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Now) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate.max(1.0));
        self.filled = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// The most retries that successes can pay for in advance.
const RETRY_BURST: f64 = 10.0;

/// Retries of one edge of the call graph, paid for by its successes.
#[derive(Clone, Debug)]
pub struct RetryBucket {
    fraction: f64,
    tokens: f64,
}

impl RetryBucket {
    /// A full bucket; each success pays for `fraction` of a retry.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            tokens: RETRY_BURST,
        }
    }

    /// A call succeeded.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(RETRY_BURST);
    }

    /// Takes the price of one retry if it is there.
    pub fn take(&mut self) -> bool {
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
