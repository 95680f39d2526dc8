//! Which instance gets a call. See `docs/design/routing.md`.

use crate::Now;
use sorrelturn_protocol::Incarnation;
use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// Failures in a row after which an instance is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// The first ejection; each further one in a row lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The most doublings of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// If fewer than this share of the instances would be left, ejections are ignored: so many
/// don't fail by themselves, and emptying a service would end it.
const LEAST_LEFT_PERCENT: usize = 50;
/// A reported load loses half of its weight in this time.
const LOAD_HALF_LIFE_MS: u64 = 200;
/// What a call in flight from here adds to an instance's load, in percent.
const OWN_CALL_WEIGHT: u64 = 4;
/// What another failure domain adds, in percent: near instances are used until they are loaded.
const OTHER_DOMAIN_WEIGHT: u64 = 40;

/// What is known here of one instance of a service; written by answers, read by every choice.
#[derive(Debug)]
pub struct Instance {
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it is in this daemon's failure domain.
    pub near: bool,
    warm_at_ms: u64,
    warm_time_ms: u64,
    in_flight: AtomicU32,
    load: AtomicU32,
    load_at_ms: AtomicU64,
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
    leaving: AtomicU32,
}

/// What one exchange told about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceReport {
    /// It answered, with this load in percent.
    Answered {
        /// Calls in flight and waiting there, in percent of its limit.
        load: u16,
    },
    /// It said that it is leaving.
    Leaving,
    /// It couldn't be reached, broke off or let the deadline pass.
    Failed,
    /// The call was given up here; says nothing.
    Cancelled,
}

impl Instance {
    /// An instance that is brought to full load over `cold_start`, counted from `now`.
    pub fn new(incarnation: Incarnation, near: bool, cold_start: Duration, now: Now) -> Self {
        let cold_ms = cold_start.as_millis() as u64;
        Self {
            incarnation,
            near,
            warm_at_ms: now.as_millis() as u64 + cold_ms,
            warm_time_ms: cold_ms,
            in_flight: AtomicU32::new(0),
            load: AtomicU32::new(0),
            load_at_ms: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            ejected_until_ms: AtomicU64::new(0),
            leaving: AtomicU32::new(0),
        }
    }

    /// A call goes out to it.
    pub fn started(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// A call to it is over; returns whether the instance is ejected by it.
    pub fn finished(&self, now: Now, report: InstanceReport) -> bool {
        self.in_flight.fetch_sub(1, Relaxed);
        match report {
            InstanceReport::Answered { load } => {
                self.load.store(u32::from(load), Relaxed);
                self.load_at_ms.store(now.as_millis() as u64, Relaxed);
                self.failures.store(0, Relaxed);
                self.ejected_until_ms.store(0, Relaxed);
                false
            }
            InstanceReport::Leaving => {
                self.leaving.store(1, Relaxed);
                false
            }
            InstanceReport::Failed => self.failed(now),
            InstanceReport::Cancelled => false,
        }
    }

    /// Calls in flight from here.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Whether it said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Relaxed) != 0
    }

    /// Whether it is ejected now.
    pub fn is_ejected(&self, now: Now) -> bool {
        (now.as_millis() as u64) < self.ejected_until_ms.load(Relaxed)
    }

    fn failed(&self, now: Now) -> bool {
        let failures = self.failures.fetch_add(1, Relaxed) + 1;
        if failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }
        let doublings = (failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
        let until = now + FIRST_EJECTION * (1 << doublings);
        self.ejected_until_ms
            .store(until.as_millis() as u64, Relaxed);
        true
    }

    /// The load that a call to it would meet, in percent; old reports count less.
    fn score(&self, now: Now) -> u64 {
        let now_ms = now.as_millis() as u64;
        let age = now_ms.saturating_sub(self.load_at_ms.load(Relaxed));
        let halvings = (age / LOAD_HALF_LIFE_MS).min(16) as u32;
        let reported = u64::from(self.load.load(Relaxed)) >> halvings;
        let own = u64::from(self.in_flight.load(Relaxed)) * OWN_CALL_WEIGHT;
        let far = if self.near { 0 } else { OTHER_DOMAIN_WEIGHT };
        reported + own + far
    }

    /// The share of its calls that a cold instance is given, in percent.
    fn warmth(&self, now: Now) -> u64 {
        let left = self.warm_at_ms.saturating_sub(now.as_millis() as u64);
        if left == 0 || self.warm_time_ms == 0 {
            return 100;
        }
        100 - (left * 90 / self.warm_time_ms).min(90)
    }
}

/// Chooses an instance: the better of two drawn at random, among those that are fit.
///
/// `instances` gives each instance; `tried` are those that this call must not ask again. Returns
/// the position in `instances`, or `None` if no instance is left. It allocates nothing: it runs
/// for every call, over all instances of a service.
pub fn choose<'a>(
    instances: impl ExactSizeIterator<Item = &'a Instance> + Clone,
    now: Now,
    tried: &[Incarnation],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let all = instances.len();
    let open = instances
        .enumerate()
        .filter(|(_, instance)| !tried.contains(&instance.incarnation))
        .filter(|(_, instance)| !instance.is_leaving());
    let fit = open
        .clone()
        .filter(|(_, instance)| !instance.is_ejected(now));
    let count = fit.clone().count();
    if count * 100 < all * LEAST_LEFT_PERCENT {
        let count = open.clone().count();
        pick(open, count, now, rng)
    } else {
        pick(fit, count, now, rng)
    }
}

fn pick<'a>(
    mut candidates: impl Iterator<Item = (usize, &'a Instance)> + Clone,
    count: usize,
    now: Now,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    if count < 2 {
        return candidates.next().map(|(position, _)| position);
    }
    let first = rng.usize(..count);
    let second = (first + rng.usize(1..count)) % count;
    let left = candidates.clone().nth(first)?;
    let right = candidates.nth(second)?;
    let (mut better, other) = if left.1.score(now) <= right.1.score(now) {
        (left, right)
    } else {
        (right, left)
    };
    let given_cold = rng.u64(..100) < better.1.warmth(now);
    if !given_cold && other.1.warmth(now) > better.1.warmth(now) {
        better = other;
    }
    Some(better.0)
}
