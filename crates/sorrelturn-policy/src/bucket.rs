//! Token buckets for the request rate of a caller and for retries as a fraction of successes.

use crate::Now;

/// Limits the request rate of a caller; the burst is one second's worth of requests.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Now,
}

impl RateBucket {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64, now: Now) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            refilled_at: now,
        }
    }

    /// Takes a token; returns `false` if none is available.
    pub fn take(&mut self, now: Now) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

const MAX_RETRY_TOKENS: f64 = 10.0;

/// Limits the retries on one edge of the call graph to a fraction of its successes.
#[derive(Clone, Debug)]
pub struct RetryBucket {
    fraction: f64,
    tokens: f64,
}

impl RetryBucket {
    /// Creates a full bucket; each success adds `fraction` of a retry.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            tokens: MAX_RETRY_TOKENS,
        }
    }

    /// Records a successful call.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry; returns `false` if none is available.
    pub fn take(&mut self) -> bool {
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
