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
const MIN_AVAILABLE_PERCENT: usize = 50;
/// A reported load loses half of its weight in this time. It must outlast the pauses between the calls
/// that an entry makes to one instance: one that isn't asked would else look idle.
const LOAD_HALF_LIFE_MS: u64 = 600;
/// What a call adds to an instance's load that is in flight from here and not yet in its report, in
/// percent.
const UNREPORTED_CALL_PERCENT: u64 = 4;
/// From this load on, in percent, waits begin and requests are refused.
const HIGH_LOAD_PERCENT: u64 = 80;
/// Each percent above it counts so many times.
const HIGH_LOAD_FACTOR: u64 = 4;
/// What an instance that fails every call would have added, in percent: at a failure in three it is
/// avoided like one that is loaded to the full.
const ERROR_PENALTY_PERCENT: u64 = 300;
/// Each call's outcome counts for one part in so many.
const ERROR_SMOOTHING_CALLS: u32 = 16;
/// The scale of the share of errors.
const ERROR_SCALE: u32 = 1_000;
/// Without calls, the share of errors loses half of its weight in this time, so that an instance that
/// was avoided is tried again.
const ERROR_HALF_LIFE_MS: u64 = 1_000;
/// What another failure domain adds, in percent: near instances are used until they are loaded.
const OTHER_DOMAIN_PENALTY_PERCENT: u64 = 40;

/// What is known here of one instance of a service; written by answers, read by every choice.
#[derive(Debug)]
pub struct Instance {
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it is in this daemon's failure domain.
    pub near: bool,
    warm_at_ms: u64,
    cold_start_ms: u64,
    in_flight: AtomicU32,
    /// How many were in flight from here when it reported its load last.
    in_flight_at_report: AtomicU32,
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
    BackendError,
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
        let warm_up_ms = cold_start.as_millis() as u64;
        Self {
            incarnation,
            near,
            warm_at_ms: now.as_millis() as u64 + warm_up_ms,
            cold_start_ms: warm_up_ms,
            in_flight: AtomicU32::new(0),
            in_flight_at_report: AtomicU32::new(0),
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
        let in_flight = self.in_flight.fetch_sub(1, Relaxed).saturating_sub(1);
        match report {
            InstanceReport::Answered { load } => {
                if self.errors.load(Relaxed) != 0 {
                    self.record_error_sample(now, 0);
                }
                self.load.store(u32::from(load), Relaxed);
                self.in_flight_at_report.store(in_flight, Relaxed);
                self.load_at_ms.store(now.as_millis() as u64, Relaxed);
                self.failures.store(0, Relaxed);
                self.ejected_until_ms.store(0, Relaxed);
                false
            }
            InstanceReport::Leaving => {
                self.leaving.store(1, Relaxed);
                false
            }
            InstanceReport::BackendError => {
                // What broke off is a matter of ejection instead.
                self.record_error_sample(now, ERROR_SCALE);
                self.failures.store(0, Relaxed);
                false
            }
            InstanceReport::Unreachable => {
                // Nothing was sent, so nothing is lost by waiting; a silent VM holds each try up.
                let failures_before_ejection = FAILURES_TO_EJECT.saturating_sub(1);
                self.failures.fetch_max(failures_before_ejection, Relaxed);
                self.record_failure(now)
            }
            InstanceReport::Failed => self.record_failure(now),
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
        self.is_ejected_at(now.as_millis() as u64)
    }

    fn is_ejected_at(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms.load(Relaxed)
    }

    /// Takes one call's outcome: 0 for an answer, [`ERROR_SCALE`] for an error.
    fn record_error_sample(&self, now: Now, sample: u32) {
        let now_ms = now.as_millis() as u64;
        let before = self.error_share_at(now_ms);
        let step = sample.abs_diff(before) / ERROR_SMOOTHING_CALLS;
        let after = if sample > before {
            before + step
        } else {
            before - step
        };
        self.errors.store(after, Relaxed);
        self.errors_at_ms.store(now_ms, Relaxed);
    }

    /// The share of calls that failed, by [`ERROR_SCALE`].
    fn error_share_at(&self, now_ms: u64) -> u32 {
        let errors = self.errors.load(Relaxed);
        if errors == 0 {
            return 0;
        }
        let age = now_ms.saturating_sub(self.errors_at_ms.load(Relaxed));
        let halvings = (age / ERROR_HALF_LIFE_MS).min(31) as u32;
        errors >> halvings
    }

    fn record_failure(&self, now: Now) -> bool {
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
    fn score(&self, now_ms: u64) -> u64 {
        let age = now_ms.saturating_sub(self.load_at_ms.load(Relaxed));
        let halvings = (age / LOAD_HALF_LIFE_MS).min(16) as u32;
        let reported = u64::from(self.load.load(Relaxed)) >> halvings;
        let in_flight = self.in_flight.load(Relaxed);
        let unreported = in_flight.saturating_sub(self.in_flight_at_report.load(Relaxed));
        let load = reported + u64::from(unreported) * UNREPORTED_CALL_PERCENT;
        let loaded = load.saturating_sub(HIGH_LOAD_PERCENT) * (HIGH_LOAD_FACTOR - 1);
        let far = if self.near {
            0
        } else {
            OTHER_DOMAIN_PENALTY_PERCENT
        };
        let errors =
            u64::from(self.error_share_at(now_ms)) * ERROR_PENALTY_PERCENT / u64::from(ERROR_SCALE);
        load + loaded + far + errors
    }

    /// The share of its calls that a cold instance is given, in percent.
    fn warmth(&self, now_ms: u64) -> u64 {
        let left = self.warm_at_ms.saturating_sub(now_ms);
        if left == 0 || self.cold_start_ms == 0 {
            return 100;
        }
        100 - (left * 90 / self.cold_start_ms).min(90)
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
    let now_ms = now.as_millis() as u64;
    let is_selectable = |instance: &Instance| {
        !instance.is_leaving() && (tried.is_empty() || !tried.contains(&instance.incarnation))
    };
    let is_candidate_at =
        |instance: &Instance, at_ms: u64| is_selectable(instance) && !instance.is_ejected_at(at_ms);
    let available = instances.clone();
    let mut counts =
        CandidateCounts::of(available.filter(|instance| is_candidate_at(instance, now_ms)));
    let mut at_ms = now_ms;
    if counts.all() * 100 < all * MIN_AVAILABLE_PERCENT {
        // Every ejection is over by then.
        at_ms = u64::MAX;
        counts = CandidateCounts::of(instances.clone().filter(|instance| is_selectable(instance)));
    }
    let candidates = instances
        .enumerate()
        .filter(|(_, instance)| is_candidate_at(instance, at_ms));
    choose_from_sample(counts.sample(rng), candidates, now_ms, rng)
}

/// How many candidates there are in the own failure domain and in the others.
#[derive(Clone, Copy, Default)]
struct CandidateCounts {
    near: usize,
    far: usize,
}

/// Which candidates were drawn, by their counts among the near and among the far ones.
struct Sample {
    near: [usize; 2],
    far: [usize; 2],
    /// How many they are.
    count: usize,
}

/// How many choices of 256 are between two near candidates. The rest are between a near and a far one,
/// so that load that the near ones can't take leaves the failure domain.
const NEAR_PAIRS_PER_256: u8 = 32;
/// The place of no candidate.
const NOT_SAMPLED: usize = usize::MAX;

impl CandidateCounts {
    fn of<'a>(candidates: impl Iterator<Item = &'a Instance>) -> Self {
        let (mut near, mut all) = (0, 0);
        for instance in candidates {
            near += usize::from(instance.near);
            all += 1;
        }
        Self {
            near,
            far: all - near,
        }
    }

    fn all(self) -> usize {
        self.near + self.far
    }

    /// Draws two: a near one, where there is any, with a far one mostly, or another near one. A far one
    /// takes over when the near one is loaded; without a near one among the drawn, calls would cross
    /// failure domains by chance.
    fn sample(self, rng: &mut fastrand::Rng) -> Sample {
        let from_near = match self.near {
            0 => 0,
            near if self.far == 0 || (near > 1 && rng.u8(..) < NEAR_PAIRS_PER_256) => 2,
            _ => 1,
        };
        let from_far = 2 - from_near;
        Sample {
            near: sample_positions(self.near, from_near, rng),
            far: sample_positions(self.far, from_far, rng),
            count: self.near.min(from_near) + self.far.min(from_far),
        }
    }
}

/// Draws up to two counts out of `count`.
fn sample_positions(count: usize, wanted: usize, rng: &mut fastrand::Rng) -> [usize; 2] {
    match count.min(wanted) {
        0 => [NOT_SAMPLED; 2],
        1 => [rng.usize(..count), NOT_SAMPLED],
        _ => {
            let first = rng.usize(..count);
            let second = rng.usize(..count - 1);
            [first, second + usize::from(second >= first)]
        }
    }
}

/// The best of the candidates that were drawn; a cold one gets its small share only.
fn choose_from_sample<'a>(
    sample: Sample,
    candidates: impl Iterator<Item = (usize, &'a Instance)>,
    now_ms: u64,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let (mut near, mut far) = (0, 0);
    let mut remaining = sample.count;
    let mut best: Option<(usize, &Instance, u64)> = None;
    let mut other: Option<(usize, &Instance)> = None;
    for (position, instance) in candidates {
        let (place, wanted) = if instance.near {
            (&mut near, &sample.near)
        } else {
            (&mut far, &sample.far)
        };
        let is_sampled = wanted.contains(place);
        let is_first_sampled = wanted[0] == *place;
        *place += 1;
        if !is_sampled {
            continue;
        }
        remaining -= 1;
        let score = instance.score(now_ms);
        match best {
            // Of two alike, the one that was drawn first: its place in the list must not count.
            Some((at, known, best_score))
                if best_score < score || (best_score == score && !is_first_sampled) =>
            {
                best = Some((at, known, best_score));
                other = other.or(Some((position, instance)));
            }
            before => {
                other = before.map(|(at, known, _)| (at, known)).or(other);
                best = Some((position, instance, score));
            }
        }
        if remaining == 0 {
            break;
        }
    }
    let (position, instance, _) = best?;
    let warmth = instance.warmth(now_ms);
    let accepts_despite_warm_up = warmth == 100 || rng.u64(..100) < warmth;
    match other {
        Some((at, other)) if !accepts_despite_warm_up && other.warmth(now_ms) > warmth => Some(at),
        _ => Some(position),
    }
}
