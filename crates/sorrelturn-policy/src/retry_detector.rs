//! Detects retries by the time that is left to a request. See `docs/design/entry-admission.md`.
//!
//! A request carries the time left until its deadline. Where callers of a kind mostly start with the same timeout,
//! a request with less time left is a retry after a refusal or failure.

/// Tolerance between equal timeouts, for the time that it takes to send a request.
const TIMEOUT_TOLERANCE_MS: u32 = 10;
/// The number of recent requests that are remembered.
const RECENT_REQUESTS: u32 = 32;
/// The minimum number of recent requests with the full timeout for a retry to be detected.
const MIN_FULL_TIMEOUTS: u32 = RECENT_REQUESTS / 3;

/// Divides the shedding bucket of retries in the lowest rank.
const RETRY_BUCKET_DIVISOR: u8 = 8;
/// Divides the shedding bucket of retries in higher ranks, whose callers lose more by a second refusal.
const HIGHER_RANK_RETRY_BUCKET_DIVISOR: u8 = 4;

/// Returns the shedding bucket of a retry within its rank, where bucket 0 is shed first and rank 0 is the lowest; see
/// [`refuses`](crate::refuses).
///
/// Retries are shed before first attempts, so that more requests succeed at their first attempt.
pub fn bucket_for_retry(bucket: u8, rank: usize) -> u8 {
    match rank {
        0 => bucket / RETRY_BUCKET_DIVISOR,
        _ => bucket / HIGHER_RANK_RETRY_BUCKET_DIVISOR,
    }
}

/// Returns the shedding bucket of an at-most-once request within a rank that also has repeatable requests.
///
/// It lies in the upper half of the rank, because a refusal costs the callers of at-most-once requests more.
pub fn bucket_for_at_most_once(bucket: u8) -> u8 {
    u8::MAX - (u8::MAX - bucket) / 2
}

/// Learns the timeout of the callers of one kind and detects retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryDetector {
    /// The longest time left of the recent requests, in milliseconds.
    full_timeout_ms: u32,
    /// One bit for each recent request, set if it had the full timeout.
    recent: u32,
}

impl RetryDetector {
    /// Records a request with `left_ms` until its deadline; returns whether it is a retry.
    pub fn observe(&mut self, left_ms: u32) -> bool {
        if left_ms > self.full_timeout_ms {
            if left_ms > self.full_timeout_ms + TIMEOUT_TOLERANCE_MS {
                self.recent = 0;
            }
            self.full_timeout_ms = left_ms;
        }
        let has_full_timeout = left_ms + TIMEOUT_TOLERANCE_MS > self.full_timeout_ms;
        self.recent = self.recent << 1 | u32::from(has_full_timeout);
        if self.recent == 0 {
            // No recent request had the full timeout, so a shorter one replaces it.
            self.full_timeout_ms = left_ms;
        }
        !has_full_timeout && self.recent.count_ones() >= MIN_FULL_TIMEOUTS
    }
}
