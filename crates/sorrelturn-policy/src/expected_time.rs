//! When an instance would answer a call, as the forwarding daemon knows it. See `docs/design/instance-speed.md`.

use crate::Now;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Half-life of the difference between the last report and the mean of the reports: work times change many times a
/// second, and an instance that recovers is told from one that doesn't by trying it.
const DEVIATION_HALF_LIFE_MS: u64 = 150;
/// The age of a report up to which it counts fully.
const FULL_WEIGHT_AGE_MS: u64 = 1_500;
/// Half-life of a report's weight beyond that, so that a slow instance is tried again.
const WEIGHT_HALF_LIFE_MS: u64 = 500;
/// The age at which a report stops counting.
const MAX_AGE_MS: u64 = 6_000;
/// The time over which the mean of the reports is taken.
const MEAN_INTERVAL_MS: u64 = 1_024;
/// The least weight of one report in the mean.
const MIN_REPORT_WEIGHT_MS: u64 = 8;
/// The greatest weight of one report in the mean.
const MAX_REPORT_WEIGHT_MS: u64 = 256;
/// The weight of a report below the mean, relative to one above it.
const FALLING_REPORT_FACTOR: u64 = 4;
/// The greatest time that is kept.
const MAX_EXPECTED_MS: u32 = (1 << LAST_BITS) - 1;
/// The unit of the mean, as a fraction of a millisecond.
const MEAN_SCALE: u64 = 256;
/// Bits of the last report in the word.
const LAST_BITS: u32 = 16;
/// Bits of the mean in the word.
const MEAN_BITS: u32 = 24;
/// Bits of the time of the last report in the word. It wraps, so once in hours a very old report may count once more.
const TIME_BITS: u32 = 64 - LAST_BITS - MEAN_BITS;
const TIME_MASK: u64 = (1 << TIME_BITS) - 1;
/// The unit of the weight of a report.
const FULL_WEIGHT: u64 = 256;

/// What an instance reported of its expected time, in one word that every choice reads: the time of the last report,
/// the report and the mean of the reports, in milliseconds. 0 stands for no report.
#[derive(Debug, Default)]
pub(crate) struct ExpectedTime(AtomicU64);

/// The expected time of an instance at some time.
#[derive(Clone, Copy)]
pub(crate) struct ExpectedAt {
    /// In units of 1/[`MEAN_SCALE`] ms; 0 if unknown.
    time: u64,
    /// In units of 1/[`FULL_WEIGHT`].
    weight: u64,
}

#[derive(Clone, Copy)]
struct Reports {
    /// The lower [`TIME_BITS`] of the time of the last report.
    at_ms: u64,
    last_ms: u64,
    /// In units of 1/[`MEAN_SCALE`] ms.
    mean: u64,
}

impl ExpectedTime {
    /// Records a report; 0 says that the instance doesn't know.
    pub(crate) fn record(&self, now: Now, expected_ms: u32) {
        let before = self.0.load(Relaxed);
        if expected_ms == 0 {
            if before != 0 {
                self.0.store(0, Relaxed);
            }
            return;
        }
        let at_ms = now.as_millis() as u64;
        let last_ms = u64::from(expected_ms.min(MAX_EXPECTED_MS));
        let mean = if before == 0 {
            last_ms * MEAN_SCALE
        } else {
            Reports::from_bits(before).mean_with(at_ms, last_ms)
        };
        let reports = Reports {
            at_ms,
            last_ms,
            mean,
        };
        self.0.store(reports.to_bits(), Relaxed);
    }

    /// Returns the expected time at `now_ms`.
    pub(crate) fn at(&self, now_ms: u64) -> ExpectedAt {
        let bits = self.0.load(Relaxed);
        if bits == 0 {
            return ExpectedAt::UNKNOWN;
        }
        Reports::from_bits(bits).at(now_ms)
    }
}

impl Reports {
    fn from_bits(bits: u64) -> Self {
        Self {
            at_ms: bits >> (LAST_BITS + MEAN_BITS),
            last_ms: (bits >> MEAN_BITS) & ((1 << LAST_BITS) - 1),
            mean: bits & ((1 << MEAN_BITS) - 1),
        }
    }

    fn to_bits(self) -> u64 {
        let at_ms = self.at_ms & TIME_MASK;
        at_ms << (LAST_BITS + MEAN_BITS) | self.last_ms << MEAN_BITS | self.mean
    }

    /// Returns 0 for a report that another thread recorded slightly later.
    fn age_ms(self, now_ms: u64) -> u64 {
        let age_ms = now_ms.wrapping_sub(self.at_ms) & TIME_MASK;
        if age_ms > TIME_MASK / 2 { 0 } else { age_ms }
    }

    /// Weights reports by the time since the one before, so that many in a short time don't make up the whole mean. One
    /// below the mean weighs more: an instance that is wrongly held for slow gets no calls that would correct it.
    fn mean_with(self, now_ms: u64, last_ms: u64) -> u64 {
        let elapsed = self.age_ms(now_ms);
        let weight = elapsed.clamp(MIN_REPORT_WEIGHT_MS, MAX_REPORT_WEIGHT_MS);
        let last = last_ms * MEAN_SCALE;
        let weight = if last < self.mean {
            weight * FALLING_REPORT_FACTOR
        } else {
            weight
        };
        (self.mean * (MEAN_INTERVAL_MS - weight) + last * weight) / MEAN_INTERVAL_MS
    }

    fn at(self, now_ms: u64) -> ExpectedAt {
        let age = self.age_ms(now_ms);
        if age > MAX_AGE_MS {
            return ExpectedAt::UNKNOWN;
        }
        let last = self.last_ms * MEAN_SCALE;
        let deviation = last.abs_diff(self.mean) >> (age / DEVIATION_HALF_LIFE_MS);
        let time = if last > self.mean {
            self.mean + deviation
        } else {
            self.mean - deviation
        };
        let weight_halvings = age.saturating_sub(FULL_WEIGHT_AGE_MS) / WEIGHT_HALF_LIFE_MS;
        ExpectedAt {
            time,
            weight: FULL_WEIGHT >> weight_halvings,
        }
    }
}

impl ExpectedAt {
    pub(crate) const UNKNOWN: Self = Self { time: 0, weight: 0 };

    /// Returns both times, or `None` if one is unknown. The older report's weight brings them closer, so that old
    /// differences count less.
    pub(crate) fn both_known(self, other: Self) -> Option<(u64, u64)> {
        if self.time == 0 || other.time == 0 {
            return None;
        }
        let difference = self.time.abs_diff(other.time);
        let forgotten = difference * (FULL_WEIGHT - self.weight.min(other.weight)) / FULL_WEIGHT;
        if self.time > other.time {
            Some((self.time - forgotten, other.time))
        } else {
            Some((self.time, other.time - forgotten))
        }
    }
}
