//! Chooses the instance that serves a call. See `docs/design/routing.md` and `docs/design/instance-speed.md`.

use crate::{
    LearnedThreshold, Now,
    expected_time::{ExpectedAt, ExpectedTime},
};
use sorrelturn_protocol::{Incarnation, InstanceRoom, Priority};
use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// Consecutive failures after which an instance is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection. It doubles with each further consecutive failure, also with those
/// during an ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the duration of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Ejections are ignored if fewer than this percentage of the instances would remain: that many
/// rarely fail independently, and an empty service would be an outage. Of those to which nothing could be sent, calls
/// get nothing but a wait, so they are skipped all the same while another one is left.
const MIN_AVAILABLE_PERCENT: usize = 50;
/// The interval at which an instance to which nothing could be sent gets one call, if most of the service is ejected.
/// Many instances that are unreachable together are probably cut off, and are back long before their ejections end.
const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Half-life of the weight of a reported load. It exceeds the usual pause between two calls to one
/// instance, so that an unused instance doesn't look idle.
const LOAD_HALF_LIFE_MS: u64 = 600;
/// Load, in percent, that is added for each call in flight from this daemon that the last report
/// doesn't include.
const UNREPORTED_CALL_PERCENT: u64 = 4;
/// Load, in percent, from which calls are queued or refused.
const HIGH_LOAD_PERCENT: u64 = 80;
/// Weight of each percent above [`HIGH_LOAD_PERCENT`].
const HIGH_LOAD_FACTOR: u64 = 4;
/// Load, in percent, that is added to an instance that fails every call. An instance that fails one call in three is
/// avoided like one that is fully loaded.
const ERROR_PENALTY_PERCENT: u64 = 300;
/// Number of calls over which the error rate is averaged.
const ERROR_SMOOTHING_CALLS: u32 = 16;
/// Value that stands for an error rate of 100 %.
const ERROR_SCALE: u32 = 1_000;
/// Half-life of the error rate while no calls are made, so that an avoided instance is tried again.
const ERROR_HALF_LIFE_MS: u64 = 1_000;
/// Load, in percent, that is added to instances of other failure domains, so that calls stay in the
/// same failure domain until it is loaded.
const OTHER_DOMAIN_PENALTY_PERCENT: u64 = 40;

/// State of one instance of a service, as seen by this daemon. Answers update it and every choice
/// reads it.
#[derive(Debug)]
pub struct Instance {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Whether the instance is in this daemon's failure domain.
    pub in_same_domain: bool,
    warm_at_ms: u64,
    cold_start_ms: u64,
    in_flight: AtomicU32,
    /// Calls in flight from this daemon when the instance last reported its load.
    in_flight_at_report: AtomicU32,
    /// The last reported load.
    load_percent: AtomicU32,
    load_at_ms: AtomicU64,
    /// When the instance would answer a call, if its backend server reports work times.
    expected_time: ExpectedTime,
    consecutive_failures: AtomicU32,
    /// In units of 1/[`ERROR_SCALE`], as of `error_rate_at_ms`.
    error_rate: AtomicU32,
    error_rate_at_ms: AtomicU64,
    ejected_until_ms: AtomicU64,
    /// When nothing could be sent to the instance at the last attempt; 0 if something could.
    unreachable_at_ms: AtomicU64,
    /// 1 if the instance reported that it is leaving, otherwise 0.
    leaving: AtomicU32,
    /// The shedding level that the limit of its backend server calls for.
    limit_level: LearnedThreshold,
    /// Until when others are preferred, since its backend server limits its requests.
    paused_until_ms: AtomicU64,
    /// The later of the ends of ejection and pause, which the common case of a choice reads alone.
    avoided_until_ms: AtomicU64,
    /// The last report of load and capacity: the offered slots in the upper half, the capacity in the lower one.
    room: AtomicU64,
    room_at_ms: AtomicU64,
}

/// What one exchange reveals about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceReport {
    /// The instance answered and reported its load.
    Answered {
        /// Calls in flight and queued there, in percent of its limit.
        load: u16,
    },
    /// The backend server refused the call although it had a free slot, or failed on its own.
    BackendError,
    /// Nothing could be sent to the instance.
    Unreachable,
    /// The instance reported that it is leaving.
    Leaving,
    /// The connection broke or the deadline passed.
    Failed,
    /// This daemon cancelled the call, which says nothing about the instance.
    Cancelled,
}

impl Instance {
    /// Creates an instance whose share of calls grows to the full one over `cold_start`, counted
    /// from `now`.
    pub fn new(
        incarnation: Incarnation,
        in_same_domain: bool,
        cold_start: Duration,
        now: Now,
    ) -> Self {
        let warm_up_ms = cold_start.as_millis() as u64;
        Self {
            incarnation,
            in_same_domain,
            warm_at_ms: now.as_millis() as u64 + warm_up_ms,
            cold_start_ms: warm_up_ms,
            in_flight: AtomicU32::new(0),
            in_flight_at_report: AtomicU32::new(0),
            load_percent: AtomicU32::new(0),
            load_at_ms: AtomicU64::new(0),
            expected_time: ExpectedTime::default(),
            consecutive_failures: AtomicU32::new(0),
            error_rate: AtomicU32::new(0),
            error_rate_at_ms: AtomicU64::new(0),
            ejected_until_ms: AtomicU64::new(0),
            unreachable_at_ms: AtomicU64::new(0),
            leaving: AtomicU32::new(0),
            limit_level: LearnedThreshold::for_shedding_level(),
            paused_until_ms: AtomicU64::new(0),
            avoided_until_ms: AtomicU64::new(0),
            room: AtomicU64::new(0),
            room_at_ms: AtomicU64::new(0),
        }
    }

    /// Records that a call is sent to the instance.
    pub fn started(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Records the end of a call. Returns whether it leads to an ejection.
    pub fn finished(&self, now: Now, report: InstanceReport) -> bool {
        let in_flight = self.in_flight.fetch_sub(1, Relaxed).saturating_sub(1);
        match report {
            InstanceReport::Cancelled => {}
            InstanceReport::Unreachable => {
                let now_ms = (now.as_millis() as u64).max(1);
                self.unreachable_at_ms.store(now_ms, Relaxed);
            }
            _ => self.unreachable_at_ms.store(0, Relaxed),
        }
        match report {
            InstanceReport::Answered { load } => {
                if self.error_rate.load(Relaxed) != 0 {
                    self.record_error_sample(now, 0);
                }
                self.load_percent.store(u32::from(load), Relaxed);
                self.in_flight_at_report.store(in_flight, Relaxed);
                self.load_at_ms.store(now.as_millis() as u64, Relaxed);
                self.consecutive_failures.store(0, Relaxed);
                self.ejected_until_ms.store(0, Relaxed);
                let paused_until_ms = self.paused_until_ms.load(Relaxed);
                self.avoided_until_ms.store(paused_until_ms, Relaxed);
                false
            }
            InstanceReport::Leaving => {
                self.leaving.store(1, Relaxed);
                false
            }
            InstanceReport::BackendError => {
                // Broken exchanges don't count as errors here; they lead to ejections.
                self.record_error_sample(now, ERROR_SCALE);
                self.consecutive_failures.store(0, Relaxed);
                false
            }
            InstanceReport::Unreachable => {
                // Nothing was sent, so an early ejection loses no work, while each further attempt
                // at a silent VM would block until its timeout.
                let failures_before_ejection = FAILURES_TO_EJECT.saturating_sub(1);
                self.consecutive_failures
                    .fetch_max(failures_before_ejection, Relaxed);
                self.record_failure(now)
            }
            InstanceReport::Failed => self.record_failure(now),
            InstanceReport::Cancelled => false,
        }
    }

    /// Records when the instance would answer a call that reached it now; 0 if it doesn't know.
    pub fn record_expected(&self, now: Now, expected_ms: u32) {
        self.expected_time.record(now, expected_ms);
    }

    /// Records the shedding level that the limit of the instance's backend server calls for.
    pub fn record_limit_level(&self, now: Now, level: u16) {
        if level != 0 || self.limit_level(now) != 0 {
            self.limit_level.observe(now, Priority(level));
        }
    }

    /// Returns the shedding level that the limit of the instance's backend server calls for; 0 without a limit.
    pub fn limit_level(&self, now: Now) -> u16 {
        self.limit_level.current(now).0
    }

    /// Prefers other instances for some time, after this one refused a call because of its backend server's limit.
    pub fn pause(&self, now: Now, duration: Duration) {
        let until_ms = (now + duration).as_millis() as u64;
        self.paused_until_ms.store(until_ms, Relaxed);
        self.avoided_until_ms.fetch_max(until_ms, Relaxed);
    }

    fn is_paused_at(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms.load(Relaxed)
    }

    /// Records the load and the capacity that the instance reports; one without capacity is unknown and ignored.
    pub fn record_room(&self, now: Now, room: InstanceRoom) {
        if room.capacity == 0 {
            return;
        }
        let word = u64::from(room.offered) << 32 | u64::from(room.capacity);
        self.room.store(word, Relaxed);
        self.room_at_ms.store(now.as_millis() as u64, Relaxed);
    }

    /// Returns the last reported load and capacity and the age of the report; `None` without a report.
    pub fn reported_room(&self, now: Now) -> Option<(InstanceRoom, Duration)> {
        let word = self.room.load(Relaxed);
        let age_ms = (now.as_millis() as u64).saturating_sub(self.room_at_ms.load(Relaxed));
        let room = InstanceRoom {
            offered: (word >> 32) as u32,
            capacity: word as u32,
        };
        (word != 0).then_some((room, Duration::from_millis(age_ms)))
    }

    /// Returns the number of calls in flight from this daemon.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Returns whether the instance reported that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Relaxed) != 0
    }

    /// Returns whether the instance is ejected at `now`.
    pub fn is_ejected(&self, now: Now) -> bool {
        self.is_ejected_at(now.as_millis() as u64)
    }

    fn is_ejected_at(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms.load(Relaxed)
    }

    /// Returns whether calls are spared the wait for an instance to which nothing could be sent.
    fn is_unreachable_at(&self, now_ms: u64) -> bool {
        let since_ms = self.unreachable_at_ms.load(Relaxed);
        let retry_at_ms = since_ms + UNREACHABLE_RETRY_INTERVAL.as_millis() as u64;
        since_ms != 0 && (now_ms < retry_at_ms || self.in_flight.load(Relaxed) > 0)
    }

    /// Adds the result of one call to the error rate: 0 for an answer, [`ERROR_SCALE`] for an
    /// error.
    fn record_error_sample(&self, now: Now, sample: u32) {
        let now_ms = now.as_millis() as u64;
        let before = self.error_rate_at(now_ms);
        let step = sample.abs_diff(before) / ERROR_SMOOTHING_CALLS;
        let after = if sample > before {
            before + step
        } else {
            before - step
        };
        self.error_rate.store(after, Relaxed);
        self.error_rate_at_ms.store(now_ms, Relaxed);
    }

    /// Returns the error rate in units of 1/[`ERROR_SCALE`].
    fn error_rate_at(&self, now_ms: u64) -> u32 {
        let error_rate = self.error_rate.load(Relaxed);
        if error_rate == 0 {
            return 0;
        }
        let age = now_ms.saturating_sub(self.error_rate_at_ms.load(Relaxed));
        let halvings = (age / ERROR_HALF_LIFE_MS).min(31) as u32;
        error_rate >> halvings
    }

    fn record_failure(&self, now: Now) -> bool {
        let consecutive_failures = self.consecutive_failures.fetch_add(1, Relaxed) + 1;
        if consecutive_failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }
        let doublings = (consecutive_failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
        let until = now + FIRST_EJECTION * (1 << doublings);
        let until_ms = until.as_millis() as u64;
        self.ejected_until_ms.store(until_ms, Relaxed);
        self.avoided_until_ms.fetch_max(until_ms, Relaxed);
        true
    }

    /// Returns the estimated load of the instance plus penalties, in percent; older reports weigh less.
    fn score(&self, now_ms: u64) -> u64 {
        let age = now_ms.saturating_sub(self.load_at_ms.load(Relaxed));
        let halvings = (age / LOAD_HALF_LIFE_MS).min(16) as u32;
        let reported = u64::from(self.load_percent.load(Relaxed)) >> halvings;
        let in_flight = self.in_flight.load(Relaxed);
        let unreported = in_flight.saturating_sub(self.in_flight_at_report.load(Relaxed));
        let load = reported + u64::from(unreported) * UNREPORTED_CALL_PERCENT;
        let high_load_penalty = load.saturating_sub(HIGH_LOAD_PERCENT) * (HIGH_LOAD_FACTOR - 1);
        let domain_penalty = if self.in_same_domain {
            0
        } else {
            OTHER_DOMAIN_PENALTY_PERCENT
        };
        let error_penalty =
            u64::from(self.error_rate_at(now_ms)) * ERROR_PENALTY_PERCENT / u64::from(ERROR_SCALE);
        load + high_load_penalty + domain_penalty + error_penalty
    }

    /// Returns the percentage of its calls that a warming-up instance is given; the others go to
    /// the other candidate.
    fn warm_up_percent(&self, now_ms: u64) -> u64 {
        let remaining_ms = self.warm_at_ms.saturating_sub(now_ms);
        if remaining_ms == 0 || self.cold_start_ms == 0 {
            return 100;
        }
        100 - (remaining_ms * 90 / self.cold_start_ms).min(90)
    }
}

/// Chooses the better of two randomly sampled instances among those that are available: the one with less load or,
/// where both said when they would answer, the one that answers sooner.
///
/// `instances` lists all instances of the service; `tried` holds those that this call must not use
/// again. Returns the position in `instances`, or `None` if no instance is left. It runs for every
/// call and doesn't allocate.
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
    let selectable = instances.clone().filter(|instance| is_selectable(instance));
    let preferred = |instance: &Instance| now_ms >= instance.avoided_until_ms.load(Relaxed);
    let mut counts = CandidateCounts::of(selectable.clone().filter(|instance| preferred(instance)));
    let mut skipped = Skipped::ALL;
    if counts.all() < all {
        skipped = Skipped::of(instances.clone(), selectable.clone(), now_ms);
        counts = CandidateCounts::of(selectable.filter(|instance| !skipped.has(instance, now_ms)));
    }
    let candidates = instances
        .enumerate()
        .filter(|(_, instance)| is_selectable(instance) && !skipped.has(instance, now_ms));
    choose_from_sample(counts.sample(rng), candidates, now_ms, rng)
}

/// The instances that a choice skips.
#[derive(Clone, Copy)]
struct Skipped {
    ejected: SkippedEjections,
    paused: bool,
}

/// The ejected instances that a choice skips.
#[derive(Clone, Copy)]
enum SkippedEjections {
    All,
    Unreachable,
    None,
}

impl SkippedEjections {
    fn has(self, instance: &Instance, now_ms: u64) -> bool {
        match self {
            Self::All => instance.is_ejected_at(now_ms),
            Self::Unreachable => {
                instance.is_ejected_at(now_ms) && instance.is_unreachable_at(now_ms)
            }
            Self::None => false,
        }
    }
}

impl Skipped {
    const ALL: Self = Self {
        ejected: SkippedEjections::All,
        paused: true,
    };

    /// Skips ejected instances unless too few of `all` would remain, and paused ones unless none would. If too few would
    /// remain, those to which nothing could be sent are skipped, unless nothing could be sent to any of `all`.
    fn of<'a>(
        mut all: impl ExactSizeIterator<Item = &'a Instance>,
        selectable: impl Iterator<Item = &'a Instance> + Clone,
        now_ms: u64,
    ) -> Self {
        let not_ejected = selectable
            .clone()
            .filter(|instance| !instance.is_ejected_at(now_ms));
        let is_reachable = |instance: &Instance| {
            !instance.is_leaving() && !SkippedEjections::Unreachable.has(instance, now_ms)
        };
        let ejected = if not_ejected.count() * 100 >= all.len() * MIN_AVAILABLE_PERCENT {
            SkippedEjections::All
        } else if all.any(is_reachable) {
            SkippedEjections::Unreachable
        } else {
            SkippedEjections::None
        };
        let only_ejected = Self {
            ejected,
            paused: false,
        };
        let mut remaining = selectable.filter(|instance| !only_ejected.has(instance, now_ms));
        let paused = remaining.any(|instance| !instance.is_paused_at(now_ms));
        Self { ejected, paused }
    }

    fn has(self, instance: &Instance, now_ms: u64) -> bool {
        if now_ms >= instance.avoided_until_ms.load(Relaxed) {
            return false;
        }
        self.ejected.has(instance, now_ms) || (self.paused && instance.is_paused_at(now_ms))
    }
}

/// Number of candidates in the same failure domain and in the others.
#[derive(Clone, Copy, Default)]
struct CandidateCounts {
    same_domain: usize,
    other_domains: usize,
}

/// The sampled candidates, by their positions among those in the same failure domain and among the
/// others.
struct Sample {
    same_domain: [usize; 2],
    other_domains: [usize; 2],
    /// Number of sampled candidates.
    count: usize,
}

/// Number of choices out of 256 that compare two candidates in the same failure domain. The others
/// compare one of them with one in another domain, so that load which exceeds the capacity of the
/// same failure domain leaves it.
const SAME_DOMAIN_PAIRS_PER_256: u8 = 32;
/// Position that stands for no candidate.
const NOT_SAMPLED: usize = usize::MAX;

impl CandidateCounts {
    fn of<'a>(candidates: impl Iterator<Item = &'a Instance>) -> Self {
        let (mut same_domain, mut all) = (0, 0);
        for instance in candidates {
            same_domain += usize::from(instance.in_same_domain);
            all += 1;
        }
        Self {
            same_domain,
            other_domains: all - same_domain,
        }
    }

    fn all(self) -> usize {
        self.same_domain + self.other_domains
    }

    /// Samples two candidates: one in the same failure domain, if there is any, and usually one in
    /// another domain, otherwise a second one in the same domain. The one in another domain is
    /// chosen when the other one is loaded; without a candidate in the same domain, calls would
    /// cross failure domains needlessly.
    fn sample(self, rng: &mut fastrand::Rng) -> Sample {
        let from_same_domain = match self.same_domain {
            0 => 0,
            count
                if self.other_domains == 0
                    || (count > 1 && rng.u8(..) < SAME_DOMAIN_PAIRS_PER_256) =>
            {
                2
            }
            _ => 1,
        };
        let from_other_domains = 2 - from_same_domain;
        Sample {
            same_domain: sample_positions(self.same_domain, from_same_domain, rng),
            other_domains: sample_positions(self.other_domains, from_other_domains, rng),
            count: self.same_domain.min(from_same_domain)
                + self.other_domains.min(from_other_domains),
        }
    }
}

/// Samples up to two positions below `count`.
fn sample_positions(count: usize, sample_size: usize, rng: &mut fastrand::Rng) -> [usize; 2] {
    match count.min(sample_size) {
        0 => [NOT_SAMPLED; 2],
        1 => [rng.usize(..count), NOT_SAMPLED],
        _ => {
            let first = rng.usize(..count);
            let second = rng.usize(..count - 1);
            [first, second + usize::from(second >= first)]
        }
    }
}

/// The error rate, in units of 1/[`ERROR_SCALE`], from which an instance is judged by its score alone. Errors may come at
/// once, so that they don't count in its expected time.
const MAX_ERROR_RATE_OF_EXPECTED_TIMES: u32 = ERROR_SCALE / 16;

/// By what two candidates are compared.
#[derive(Clone, Copy)]
struct Cost {
    score: u64,
    expected: ExpectedAt,
}

impl Cost {
    fn of(instance: &Instance, now_ms: u64) -> Self {
        let fails_often = instance.error_rate_at(now_ms) > MAX_ERROR_RATE_OF_EXPECTED_TIMES;
        let expected = match fails_often {
            true => ExpectedAt::UNKNOWN,
            false => instance.expected_time.at(now_ms),
        };
        Self {
            score: instance.score(now_ms),
            expected,
        }
    }

    /// Returns whether this candidate is better than the next one in the list, which may have been sampled first.
    fn is_preferred_to(self, next: Self, is_next_sampled_first: bool) -> bool {
        let (own, other) = match self.expected.both_known(next.expected) {
            None => (self.score, next.score),
            Some((own_time, other_time)) => (
                own_time * (100 + self.score),
                other_time * (100 + next.score),
            ),
        };
        own < other || (own == other && !is_next_sampled_first)
    }
}

/// A sampled candidate.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    /// The position among all instances.
    position: usize,
    instance: &'a Instance,
    is_first_sampled: bool,
}

/// Chooses the sampled candidate with the lowest cost; if it is still warming up, some of its calls
/// go to the other candidate.
fn choose_from_sample<'a>(
    sample: Sample,
    candidates: impl Iterator<Item = (usize, &'a Instance)>,
    now_ms: u64,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let [first, second] = find_sampled(sample, candidates);
    let first = first?;
    let Some(second) = second else {
        return Some(first.position);
    };
    let first_cost = Cost::of(first.instance, now_ms);
    let second_cost = Cost::of(second.instance, now_ms);
    // On a tie, the first sampled one wins, so that the list order does not matter.
    let (best, other) = match first_cost.is_preferred_to(second_cost, second.is_first_sampled) {
        true => (first, second),
        false => (second, first),
    };
    let warm_up_percent = best.instance.warm_up_percent(now_ms);
    let is_given_call = warm_up_percent == 100 || rng.u64(..100) < warm_up_percent;
    if !is_given_call && other.instance.warm_up_percent(now_ms) > warm_up_percent {
        return Some(other.position);
    }
    Some(best.position)
}

/// Returns the sampled candidates in the order of the list.
fn find_sampled<'a>(
    sample: Sample,
    candidates: impl Iterator<Item = (usize, &'a Instance)>,
) -> [Option<Candidate<'a>>; 2] {
    let (mut same_domain_index, mut other_domains_index) = (0, 0);
    let mut found = [None; 2];
    let mut count = 0;
    for (position, instance) in candidates {
        let (index, sampled) = if instance.in_same_domain {
            (&mut same_domain_index, &sample.same_domain)
        } else {
            (&mut other_domains_index, &sample.other_domains)
        };
        let is_sampled = sampled.contains(index);
        let is_first_sampled = sampled[0] == *index;
        *index += 1;
        if !is_sampled {
            continue;
        }
        found[count] = Some(Candidate {
            position,
            instance,
            is_first_sampled,
        });
        count += 1;
        if count == sample.count {
            break;
        }
    }
    found
}
