//! When a refused caller should come back.

use std::time::Duration;

/// The earliest return.
const LEAST: Duration = Duration::from_secs(1);
/// The latest return: an overload that ends sooner than foreseen must not keep callers away long.
const MOST: Duration = Duration::from_secs(30);

/// Computes when to come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter;

impl RetryAfter {
    /// An overload is expected to last as long again as it has lasted; a spread of half to one
    /// and a half keeps callers from returning as one wave.
    pub fn compute(lasting: Option<Duration>, rng: &mut fastrand::Rng) -> Duration {
        let expected = lasting.unwrap_or(LEAST).clamp(LEAST, MOST);
        expected.mul_f64(0.5 + rng.f64()).max(LEAST / 2)
    }

    /// The value of the HTTP header: whole seconds, rounded up so that nobody comes early.
    pub fn header_seconds(retry_after_ms: u32) -> u32 {
        retry_after_ms.div_ceil(1000).max(1)
    }
}
