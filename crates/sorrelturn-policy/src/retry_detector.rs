//! Whether a request is a caller's first try. See `docs/design/entry-admission.md`.
//!
//! A caller tells how long it will wait. Where the callers of a kind mostly begin with the same
//! time, one that has less has spent some of it: it was refused or has failed before.

/// Times that differ by less are the same one: it took that long to send the request.
const SAME_TIME_MS: u32 = 10;
/// So many of the last requests are remembered.
const KEPT: u32 = 32;
/// Nothing is concluded unless so many of them had the longest time.
const LEAST_FULL: u32 = KEPT / 3;

/// Requests of the lowest rank that were tried before are shed as if they were so many times further down in it.
/// With 4, 1 in 100 more of them are served with one of three instances left, and 1 in 100 fewer at the first try.
const TRIED_BEFORE_DIVISOR: u8 = 8;
/// The same of higher ranks, whose callers lose most by a second refusal. With one of three instances left, 12.0 in
/// 100 critical requests aren't served in the end (8: 13.1) and 82.2 are served in good time at the first try (8:
/// 83.2); with 2 they are 9.5 and 77.8. Both by `sorrelturn-bench returns`.
const TRIED_BEFORE_DIVISOR_OF_HIGHER_RANKS: u8 = 4;

/// The place in its rank (0 to 255, lowest first) by which a request is shed that was tried before; ranks count from
/// 0, the lowest. Whoever is refused anyway is refused at the second try rather than one more at the first, since as
/// many are served and more of them at once.
pub fn bucket_for_retry(bucket: u8, rank: usize) -> u8 {
    match rank {
        0 => bucket / TRIED_BEFORE_DIVISOR,
        _ => bucket / TRIED_BEFORE_DIVISOR_OF_HIGHER_RANKS,
    }
}

/// The place in its rank by which a request is shed that must not run twice, where others of its rank may. Its caller
/// loses more by a refusal: half of the rank is refused before the first of them. With one service that binds and answers
/// bookings itself, 80 instead of 61 in 100 bookings are served in time, and 44.0 instead of 44.6 in 100 of the reads of
/// their rank, which make nine in ten of it (`experiments/large-fleet.jsonc`).
pub fn bucket_for_at_most_once(bucket: u8) -> u8 {
    u8::MAX - (u8::MAX - bucket) / 2
}

/// The times that callers of one kind begin with.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryDetector {
    full_ms: u32,
    /// One bit for each of the last requests: whether it had the full time.
    last: u32,
}

impl RetryDetector {
    /// A request came with this much time left; returns whether it was tried before.
    pub fn observe(&mut self, left_ms: u32) -> bool {
        if left_ms > self.full_ms {
            if left_ms > self.full_ms + SAME_TIME_MS {
                self.last = 0;
            }
            self.full_ms = left_ms;
        }
        let has_full = left_ms + SAME_TIME_MS > self.full_ms;
        self.last = self.last << 1 | u32::from(has_full);
        if self.last == 0 {
            // Nobody has so much time any more.
            self.full_ms = left_ms;
        }
        !has_full && self.last.count_ones() >= LEAST_FULL
    }
}
