//! Tunes the concurrency limit of a backend server for throughput. See `docs/design/admission.md`.

use crate::Now;
use std::{collections::HashMap, time::Duration};

/// The candidate limits as fractions of the slots, in descending order. Below a half, a backend server is broken rather
/// than full.
const LIMIT_FRACTIONS: [f64; 6] = [1.0, 0.94, 0.88, 0.8, 0.65, 0.5];
/// The maximum number of samples on each side of a comparison. Where durations vary by half of their mean, that many
/// give the mean to within 4 %.
const MAX_SAMPLES: f64 = 160.0;
/// The relative slowdown whose detection takes [`MAX_SAMPLES`]; larger ones take quadratically fewer.
const MAX_SAMPLES_SLOWDOWN: f64 = 0.128;
/// Keeps a few slow requests from deciding a comparison.
const MIN_SAMPLES: f64 = 64.0;
/// The throughput ratio that the lower limit must exceed to be chosen, so that noise rarely reduces the limit. Where
/// nothing slows down, noise then still exceeds it in about one comparison of a hundred.
const MIN_GAIN_FACTOR: f64 = 1.08;
/// The delay between the end of a comparison and the next one, so that requests of the last one can finish.
const COMPARISON_DELAY: Duration = Duration::from_millis(100);
/// The initial interval between comparisons with the same neighboring candidate; it doubles while the limit stays.
const INITIAL_INTERVAL: Duration = Duration::from_millis(1_000);
const MAX_INTERVAL: Duration = Duration::from_secs(16);
/// A comparison that takes longer is dropped because the load may have changed meanwhile.
const COMPARISON_TIMEOUT: Duration = Duration::from_secs(4);

/// Identifies the comparison that a request is a sample of; passed back when the request ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TuningSample {
    /// The number of the comparison and the side; `None` if the request is no sample.
    sample: Option<(u32, Side)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Upper,
    Lower,
}

/// The durations of the samples of one request kind on one side.
#[derive(Clone, Copy, Debug, Default)]
struct DurationSum {
    count: u32,
    sum_s: f64,
}

impl DurationSum {
    fn add(&mut self, took: Duration) {
        self.count += 1;
        self.sum_s += took.as_secs_f64();
    }

    fn mean_s(&self) -> f64 {
        self.sum_s / f64::from(self.count)
    }
}

/// A running comparison of two candidate limits.
#[derive(Clone, Debug)]
struct Comparison {
    /// The index of the higher limit in [`LIMIT_FRACTIONS`], which is smaller than that of the lower limit.
    upper_index: usize,
    lower_index: usize,
    started_at: Now,
    /// The number of samples on each side.
    samples: u32,
    started_upper: u32,
    started_lower: u32,
    /// The number of samples in progress.
    in_progress: u32,
    by_kind: HashMap<u64, (DurationSum, DurationSum)>,
}

impl Comparison {
    /// The side to sample next; `None` once all samples have started. The lower side is sampled between two halves of
    /// the upper side.
    fn next_side(&self) -> Option<Side> {
        if self.started_upper < self.samples / 2 {
            Some(Side::Upper)
        } else if self.started_lower < self.samples {
            Some(Side::Lower)
        } else if self.started_upper < self.samples {
            Some(Side::Upper)
        } else {
            None
        }
    }

    /// The ratio of request durations on the upper side to those on the lower side. Durations are relative to the mean
    /// of their kind, and a kind weighs as much as its smaller sample count, so that a few long requests don't dominate.
    fn slowdown(&self) -> f64 {
        let (mut with_upper, mut with_lower) = (0.0, 0.0);
        for (upper, lower) in self.by_kind.values() {
            let weight = f64::from(upper.count.min(lower.count));
            let mean = (upper.sum_s + lower.sum_s) / f64::from(upper.count + lower.count);
            if weight > 0.0 && mean > 0.0 {
                with_upper += weight * upper.mean_s() / mean;
                with_lower += weight * lower.mean_s() / mean;
            }
        }
        if with_lower > 0.0 {
            with_upper / with_lower
        } else {
            1.0
        }
    }
}

/// When a candidate is compared next, and the interval after that.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    due_at: Now,
    interval: Duration,
}

/// Finds the concurrency limit with the highest throughput of a backend server.
///
/// Some backend servers slow down when nearly all slots are in use, so that a few free slots increase throughput.
/// While demand fills the slots, the tuner lowers and raises the limit within a fraction of a second and compares the
/// durations of requests that started on either side, per kind. The lower side is sampled between two halves of the
/// upper side, which cancels a drift in speed. Samples are chosen at their start, since selection at the end favors
/// short requests. Only kinds that make no calls count: others include the time of other services.
#[derive(Clone, Debug)]
pub struct ConcurrencyTuner {
    slots: u32,
    /// The index of the best limit in [`LIMIT_FRACTIONS`].
    best_index: usize,
    comparison_number: u32,
    comparison: Option<Comparison>,
    /// When each candidate is compared with the limit again.
    schedule: [Schedule; LIMIT_FRACTIONS.len()],
    next_at: Now,
}

impl ConcurrencyTuner {
    /// Creates a tuner that starts with all slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            best_index: 0,
            comparison_number: 0,
            comparison: None,
            schedule: initial_schedule(Duration::ZERO, 0),
            next_at: Duration::ZERO,
        }
    }

    /// Discards all results, for a new incarnation of the backend server or a new number of slots.
    pub fn reset(&mut self, slots: u32) {
        *self = Self {
            comparison_number: self.comparison_number + 1,
            ..Self::new(slots)
        };
    }

    /// The limit with the highest throughput found so far.
    pub fn best_limit(&self) -> u32 {
        self.limit_at(self.best_index)
    }

    /// The limit to apply now. During a comparison, this is one of the two compared limits.
    pub fn limit(&self) -> u32 {
        let compared = self.comparison.as_ref();
        match compared.and_then(|compared| Some((compared, compared.next_side()?))) {
            Some((compared, Side::Upper)) => self.limit_at(compared.upper_index),
            Some((compared, Side::Lower)) => self.limit_at(compared.lower_index),
            None => self.best_limit(),
        }
    }

    /// Records the start of a request; `in_flight` is the number of requests in flight, including this one.
    pub fn begin(&mut self, now: Now, in_flight: u32) -> TuningSample {
        self.drop_overdue(now);
        if self.comparison.is_none() && in_flight >= self.best_limit() && now >= self.next_at {
            self.start_comparison(now);
        }
        let (slots, number) = (self.slots, self.comparison_number);
        let Some(comparison) = &mut self.comparison else {
            return TuningSample::default();
        };
        let side = comparison.next_side().filter(|side| {
            let index = match side {
                Side::Upper => comparison.upper_index,
                Side::Lower => comparison.lower_index,
            };
            in_flight > in_flight_above(slots, index) && in_flight <= limit_at(slots, index)
        });
        match side {
            Some(Side::Upper) => comparison.started_upper += 1,
            Some(Side::Lower) => comparison.started_lower += 1,
            None => return TuningSample::default(),
        }
        comparison.in_progress += 1;
        TuningSample {
            sample: side.map(|side| (number, side)),
        }
    }

    /// Records the end of a request. `kind` is set only for answered requests of a kind that makes no calls; all others
    /// are ignored.
    pub fn end(&mut self, now: Now, sample: TuningSample, kind: Option<u64>, took: Duration) {
        let Some((number, side)) = sample.sample else {
            return;
        };
        let Some(comparison) = self
            .comparison
            .as_mut()
            .filter(|_| number == self.comparison_number)
        else {
            return;
        };
        comparison.in_progress = comparison.in_progress.saturating_sub(1);
        if let Some(kind) = kind {
            let (upper, lower) = comparison.by_kind.entry(kind).or_default();
            match side {
                Side::Upper => upper.add(took),
                Side::Lower => lower.add(took),
            }
        }
        if comparison.in_progress == 0 && comparison.next_side().is_none() {
            self.conclude(now);
        }
    }

    fn drop_overdue(&mut self, now: Now) {
        let overdue = |comparison: &Comparison| now >= comparison.started_at + COMPARISON_TIMEOUT;
        if self.comparison.as_ref().is_some_and(overdue) {
            self.comparison = None;
            self.next_at = now + INITIAL_INTERVAL;
        }
    }

    /// Starts a comparison of the limit with the nearest candidate that is due.
    fn start_comparison(&mut self, now: Now) {
        let others =
            (0..LIMIT_FRACTIONS.len()).filter(|other| self.limit_at(*other) != self.best_limit());
        let due = others.filter(|other| self.schedule[*other].due_at <= now);
        let Some(other) = due.min_by_key(|other| other.abs_diff(self.best_index)) else {
            return;
        };
        let next = &mut self.schedule[other];
        next.due_at = now + next.interval;
        next.interval = (next.interval * 2).min(MAX_INTERVAL.max(next.interval));
        let (upper_index, lower_index) = (self.best_index.min(other), self.best_index.max(other));
        let min_slowdown = self.limit_ratio(upper_index, lower_index) * MIN_GAIN_FACTOR - 1.0;
        let samples = MAX_SAMPLES * (MAX_SAMPLES_SLOWDOWN / min_slowdown).powi(2);
        self.comparison_number += 1;
        self.comparison = Some(Comparison {
            upper_index,
            lower_index,
            started_at: now,
            samples: samples.clamp(MIN_SAMPLES, MAX_SAMPLES) as u32,
            started_upper: 0,
            started_lower: 0,
            in_progress: 0,
            by_kind: HashMap::new(),
        });
    }

    fn conclude(&mut self, now: Now) {
        let Some(comparison) = self.comparison.take() else {
            return;
        };
        let (upper_index, lower_index) = (comparison.upper_index, comparison.lower_index);
        let lower_is_better =
            comparison.slowdown() > self.limit_ratio(upper_index, lower_index) * MIN_GAIN_FACTOR;
        let better_index = if lower_is_better {
            lower_index
        } else {
            upper_index
        };
        self.next_at = now + COMPARISON_DELAY;
        if better_index != self.best_index {
            self.best_index = better_index;
            self.schedule = initial_schedule(now, better_index);
        }
    }

    /// The ratio of the upper candidate limit to the lower one.
    fn limit_ratio(&self, upper_index: usize, lower_index: usize) -> f64 {
        f64::from(self.limit_at(upper_index)) / f64::from(self.limit_at(lower_index))
    }

    fn limit_at(&self, index: usize) -> u32 {
        limit_at(self.slots, index)
    }
}

/// Neighbors of the limit are due at once; distant candidates are due later and less often because trying them costs
/// more throughput.
fn initial_schedule(now: Now, best_index: usize) -> [Schedule; LIMIT_FRACTIONS.len()] {
    std::array::from_fn(|other| {
        let distance = other.abs_diff(best_index).saturating_sub(1) as u32;
        Schedule {
            due_at: now + INITIAL_INTERVAL * (distance * distance * 2),
            interval: INITIAL_INTERVAL * (1 + distance * distance * 2),
        }
    })
}

fn limit_at(slots: u32, index: usize) -> u32 {
    ((f64::from(slots) * LIMIT_FRACTIONS[index]) as u32).max(1)
}

/// The exclusive lower bound of the requests in flight at which a request counts as a sample of a candidate.
fn in_flight_above(slots: u32, index: usize) -> u32 {
    let own = limit_at(slots, index);
    match LIMIT_FRACTIONS.get(index + 1) {
        Some(_) => limit_at(slots, index + 1).min(own - 1),
        None => own - own.div_ceil(8),
    }
}
