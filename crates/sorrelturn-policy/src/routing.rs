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
/// What an instance that fails every call would have added, in percent: at a failure in three it is
/// avoided like one that is loaded to the full.
const ERROR_WEIGHT: u64 = 300;
/// Each call's outcome counts for one part in so many.
const ERRORS_SMOOTHED_OVER: u32 = 16;
/// The scale of the share of errors.
const ERROR_SCALE: u32 = 1_000;
/// Without calls, the share of errors loses half of its weight in this time, so that an instance that
/// was avoided is tried again.
const ERROR_HALF_LIFE_MS: u64 = 1_000;
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
    errors: AtomicU32,
    errors_at_ms: AtomicU64,
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
    /// Its backend server turned the call away though it had a slot, or failed by itself.
    Erred,
    /// Nothing could be sent to it.
    Unreachable,
    /// It said that it is leaving.
    Leaving,
    /// It broke off or let the deadline pass.
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
            errors: AtomicU32::new(0),
            errors_at_ms: AtomicU64::new(0),
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
        self.count_error(now, report);
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
            InstanceReport::Erred => {
                self.failures.store(0, Relaxed);
                false
            }
            InstanceReport::Unreachable => {
                // Nothing was sent, so nothing is lost by waiting; a silent VM holds each try up.
                let missing = FAILURES_TO_EJECT.saturating_sub(1);
                self.failures.fetch_max(missing, Relaxed);
                self.failed(now)
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

    fn count_error(&self, now: Now, report: InstanceReport) {
        let wanted = match report {
            InstanceReport::Answered { .. } => 0,
            // What broke off is a matter of ejection.
            InstanceReport::Erred => ERROR_SCALE,
            _ => return,
        };
        let before = self.errors_now(now);
        let step = wanted.abs_diff(before) / ERRORS_SMOOTHED_OVER;
        let after = if wanted > before {
            before + step
        } else {
            before - step
        };
        self.errors.store(after, Relaxed);
        self.errors_at_ms.store(now.as_millis() as u64, Relaxed);
    }

    /// The share of calls that failed, by [`ERROR_SCALE`].
    fn errors_now(&self, now: Now) -> u32 {
        let age = (now.as_millis() as u64).saturating_sub(self.errors_at_ms.load(Relaxed));
        let halvings = (age / ERROR_HALF_LIFE_MS).min(31) as u32;
        self.errors.load(Relaxed) >> halvings
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
        let errors = u64::from(self.errors_now(now)) * ERROR_WEIGHT / u64::from(ERROR_SCALE);
        reported + own + far + errors
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

/// Chooses an instance: the better of a few drawn at random, among those that are fit.
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

/// Draws two of the own failure domain, where there are any, and one of the others, which takes over
/// when the near ones are loaded. Without a near one among the drawn, calls would cross failure
/// domains by chance.
fn pick<'a>(
    candidates: impl Iterator<Item = (usize, &'a Instance)> + Clone,
    count: usize,
    now: Now,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let is_near = |(_, instance): &(usize, &Instance)| instance.near;
    let near = candidates.clone().filter(is_near);
    let far = candidates.filter(|candidate| !is_near(candidate));
    let near_count = near.clone().count();
    let far_count = count - near_count;
    let from_far = match near_count {
        0 => 2,
        _ => 1,
    };
    let near = draw(near, near_count, 2, rng);
    let far = draw(far, far_count, from_far, rng);
    let mut drawn = near.into_iter().chain(far).flatten();
    let mut better = drawn.next()?;
    let mut other = None;
    for next in drawn {
        let loser = if next.1.score(now) < better.1.score(now) {
            std::mem::replace(&mut better, next)
        } else {
            next
        };
        other = other.or(Some(loser));
    }
    let given_cold = rng.u64(..100) < better.1.warmth(now);
    match other {
        Some(other) if !given_cold && other.1.warmth(now) > better.1.warmth(now) => Some(other.0),
        _ => Some(better.0),
    }
}

/// Draws up to two of the candidates at random, without allocation.
fn draw<'a>(
    mut candidates: impl Iterator<Item = (usize, &'a Instance)> + Clone,
    count: usize,
    wanted: usize,
    rng: &mut fastrand::Rng,
) -> [Option<(usize, &'a Instance)>; 2] {
    match count.min(wanted) {
        0 => [None, None],
        1 => [candidates.nth(rng.usize(..count)), None],
        _ => {
            let first = rng.usize(..count);
            let second = (first + rng.usize(1..count)) % count;
            [candidates.clone().nth(first), candidates.nth(second)]
        }
    }
}
