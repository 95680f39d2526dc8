//! Shedding level of a service from the load and the capacity of all its instances together, so that no request is
//! refused for the fullest instance while others have room. See `docs/design/service-room.md`.

use crate::{
    Instance, LEVEL_STEPS, Now,
    shedding_level::{WINDOW, level_that_admits},
};
use sorrelturn_protocol::Priority;
use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// Maximum age of a report that counts. In a large fleet, a daemon hears an instance about once a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Half-life of the weight of a report, since old reports delay the level when demand rises or falls.
const WEIGHT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Weight of a new report; it exceeds that of the oldest one that counts by the halvings in between.
const MAX_WEIGHT: u64 = 1 << 8;
/// Minimum percentage of the instances whose reports count.
const MIN_REPORTED_PERCENT: u64 = 50;
/// Number of reports that represent a service of any size.
const MIN_REPORTS_OF_LARGE_SERVICE: u64 = 16;

/// The bits of [`ServiceRoom::word`] below the time: the level and whether there is one.
const LEVEL_BITS: u32 = 17;
/// The bit of [`ServiceRoom::word`] that is set if there is a level.
const HAS_LEVEL: u64 = 1 << 16;

/// The load and the capacity of the instances of a service, as far as their reports tell. Newer reports weigh more, so
/// only the ratio of both sums means something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomSum {
    /// Weighted sum of the slots that would be in use if no root request were refused.
    pub offered: u64,
    /// Weighted sum of the slots that should be in use at most.
    pub capacity: u64,
    /// Instances whose reports count.
    pub reports: u64,
    /// Instances that accept calls.
    pub instances: u64,
}

impl RoomSum {
    /// Adds up the reports of a service's instances. Those that are leaving or ejected serve nobody and don't count.
    pub fn of<'a>(now: Now, instances: impl Iterator<Item = &'a Instance>) -> Self {
        let mut sum = Self::default();
        for instance in instances {
            if instance.is_leaving() || instance.is_ejected(now) {
                continue;
            }
            sum.instances += 1;
            let Some((room, age)) = instance.reported_room(now) else {
                continue;
            };
            if age > MAX_REPORT_AGE {
                continue;
            }
            let weight = weight_of_age(age);
            sum.offered += weight * u64::from(room.offered);
            sum.capacity += weight * u64::from(room.capacity);
            sum.reports += 1;
        }
        sum
    }

    /// Returns the load in percent of the capacity; `None` without a report.
    pub fn used_percent(&self) -> Option<u64> {
        (self.offered * 100).checked_div(self.capacity)
    }

    /// Returns the level that brings the load to the capacity, in steps of 1/[`LEVEL_STEPS`]; `None` if too few
    /// instances have reported to judge the service.
    pub fn level(&self) -> Option<u16> {
        let is_large_sample = self.reports >= MIN_REPORTS_OF_LARGE_SERVICE;
        let is_enough = self.reports * 100 >= self.instances * MIN_REPORTED_PERCENT;
        if self.reports == 0 || !(is_large_sample || is_enough) {
            return None;
        }
        let level = level_that_admits(self.capacity as f64 / self.offered.max(1) as f64);
        Some((level * f64::from(LEVEL_STEPS)) as u16)
    }
}

/// Returns the weight of a report, at least 1.
fn weight_of_age(age: Duration) -> u64 {
    let halvings = age.as_millis() / WEIGHT_HALF_LIFE.as_millis();
    (MAX_WEIGHT >> halvings.min(63)).max(1)
}

/// The pooled level of one service, recomputed at most once per [`WINDOW`]: it is read for every answer, and adding up
/// the reports of a large service each time would cost too much.
#[derive(Debug, Default)]
pub struct ServiceRoom {
    /// The time of the computation in milliseconds plus 1, above [`LEVEL_BITS`]; 0 before the first one.
    word: AtomicU64,
}

impl ServiceRoom {
    /// Returns the pooled level, or `None` if announced levels have to do.
    pub fn level<'a>(
        &self,
        now: Now,
        instances: impl Iterator<Item = &'a Instance>,
    ) -> Option<u16> {
        let now_ms = now.as_millis() as u64 + 1;
        let cached = self.word.load(Relaxed);
        let computed_at_ms = cached >> LEVEL_BITS;
        if cached != 0 && now_ms.saturating_sub(computed_at_ms) < WINDOW.as_millis() as u64 {
            return (cached & HAS_LEVEL != 0).then_some(cached as u16);
        }
        let level = RoomSum::of(now, instances).level();
        let bits = level.map_or(0, |level| HAS_LEVEL | u64::from(level));
        self.word.store(now_ms << LEVEL_BITS | bits, Relaxed);
        level
    }
    /// Returns the level that follows from an answer: the pooled level instead of the part of `announced` that follows
    /// from the room of the instance that answered. `without_room` is the other part.
    pub fn level_of_answer<'a>(
        &self,
        now: Now,
        instances: impl Iterator<Item = &'a Instance>,
        announced: Priority,
        without_room: Priority,
    ) -> Priority {
        let pooled = self.level(now, instances);
        pooled.map_or(announced, |level| Priority(level).max(without_room))
    }
}
