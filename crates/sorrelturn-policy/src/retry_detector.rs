//! Detects retries by the time that is left to a request. See `docs/design/entry-admission.md`.
//!
//! A request carries the time left until its deadline. Where callers of a kind mostly start with the same timeout,
//! a request with less time left is a retry after a refusal or failure. Where their timeouts differ somewhat, one with
//! noticeably less time left than the longest is.

/// Tolerance between equal timeouts, for the time that it takes to send a request.
const TIMEOUT_TOLERANCE_MS: u32 = 10;
/// Fraction by which the timeouts of callers may lie below the longest, where no single timeout is common. Callers that
/// return stay away for up to a third of their time, mostly for longer than this.
const MAX_TIMEOUT_SPREAD_FRACTION: f64 = 1.0 / 6.0;
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
    spread: SpreadTimeouts,
}

impl RetryDetector {
    /// Records a request with `left_ms` until its deadline; returns whether it is a retry.
    pub fn observe(&mut self, left_ms: u32) -> bool {
        if left_ms > self.full_timeout_ms {
            if left_ms - self.full_timeout_ms > TIMEOUT_TOLERANCE_MS {
                self.recent = 0;
            }
            self.full_timeout_ms = left_ms;
        }
        let has_full_timeout = self.full_timeout_ms - left_ms < TIMEOUT_TOLERANCE_MS;
        self.recent = self.recent << 1 | u32::from(has_full_timeout);
        if self.recent == 0 {
            // No recent request had the full timeout, so a shorter one replaces it.
            self.full_timeout_ms = left_ms;
        }
        let is_retry_by_spread = self.spread.observe(left_ms);
        if self.recent.count_ones() >= MIN_FULL_TIMEOUTS {
            !has_full_timeout
        } else {
            is_retry_by_spread
        }
    }
}

/// Detects retries where the timeouts of callers differ by up to [`MAX_TIMEOUT_SPREAD_FRACTION`].
#[derive(Clone, Copy, Debug, Default)]
struct SpreadTimeouts {
    /// The longest time left in the current block of [`RECENT_REQUESTS`] and in the one before, in milliseconds.
    longest_ms: [u32; 2],
    /// Requests in the current block.
    in_block: u32,
    /// One bit for each recent request, set if its time left was within the spread.
    recent: u32,
}

impl SpreadTimeouts {
    /// Records a request with `left_ms` until its deadline; returns whether it is a retry.
    fn observe(&mut self, left_ms: u32) -> bool {
        if self.in_block == RECENT_REQUESTS {
            self.longest_ms = [0, self.longest_ms[0]];
            self.in_block = 0;
        }
        self.in_block += 1;
        self.longest_ms[0] = self.longest_ms[0].max(left_ms);
        let longest_ms = self.longest_ms[0].max(self.longest_ms[1]);
        let shortest_first_ms = f64::from(longest_ms) * (1.0 - MAX_TIMEOUT_SPREAD_FRACTION);
        let is_within_spread = f64::from(left_ms) >= shortest_first_ms;
        self.recent = self.recent << 1 | u32::from(is_within_spread);
        !is_within_spread && self.recent.count_ones() >= MIN_FULL_TIMEOUTS
    }
}
