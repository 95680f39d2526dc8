//! How many of its slots a backend server works best with. See `docs/design/admission.md`.

use crate::Now;
use std::{collections::HashMap, time::Duration};

/// The parts of the slots that are compared, most first; below a half, a backend server is broken rather than full.
const RUNGS: [f64; 6] = [1.0, 0.94, 0.88, 0.8, 0.65, 0.5];
/// Each side of a comparison of two neighbours is the mean of so many requests. Where their times vary by half of their
/// mean, it is known to 4 in 100.
const SAMPLES: f64 = 160.0;
/// What a comparison of neighbours has to tell apart: times that are longer by so much. Wider steps take fewer samples.
const NEIGHBOURS_APART: f64 = 0.128;
/// But so many at least, so that no few slow requests decide.
const LEAST_SAMPLES: f64 = 64.0;
/// Fewer slots have to give so much more work a second: where nothing slows down, chance alone then takes slots away
/// in about one comparison of a hundred, until the next one.
const LEAST_GAIN: f64 = 1.08;
/// The pause before the next comparison once one is over: the requests of the last one are through by then.
const PAUSE_AFTER: Duration = Duration::from_millis(100);
/// The first pause between two comparisons with the same rung, where it is a neighbour. It doubles while they change
/// nothing. With one comparison of a quarter of a second in 16 s, looking costs less than 1 in 100 of the work.
const PAUSE: Duration = Duration::from_millis(1_000);
const LONGEST_PAUSE: Duration = Duration::from_secs(16);
/// A comparison that takes longer compares different times of day, and is dropped.
const LONGEST_COMPARISON: Duration = Duration::from_secs(4);

/// How a request began; given back when it is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TuningSample {
    /// The comparison that it is a sample of, and its side.
    sample: Option<(u32, Side)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Upper,
    Lower,
}

/// The times of the samples of one kind on one side.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: u32,
    sum_s: f64,
}

impl Times {
    fn add(&mut self, took: Duration) {
        self.count += 1;
        self.sum_s += took.as_secs_f64();
    }

    fn mean_s(&self) -> f64 {
        self.sum_s / f64::from(self.count)
    }
}

/// A comparison of two rungs.
#[derive(Clone, Debug)]
struct Comparison {
    upper: usize,
    lower: usize,
    begun: Now,
    /// Requests on each side.
    samples: u32,
    /// Those that have begun.
    begun_upper: u32,
    begun_lower: u32,
    /// Those that aren't over.
    at_work: u32,
    by_kind: HashMap<u64, (Times, Times)>,
}

impl Comparison {
    /// Whose turn it is; `None` while the last samples are worked on. Half of the upper side comes before the lower
    /// one and half after it.
    fn turn(&self) -> Option<Side> {
        if self.begun_upper < self.samples / 2 {
            Some(Side::Upper)
        } else if self.begun_lower < self.samples {
            Some(Side::Lower)
        } else if self.begun_upper < self.samples {
            Some(Side::Upper)
        } else {
            None
        }
    }

    /// How many times longer requests took on the upper side. Each kind counts by as many as it has on both sides, and
    /// each time as a part of its kind's mean: few requests of a long kind would else outweigh all others.
    fn slower(&self) -> f64 {
        let (mut with_most, mut with_fewer) = (0.0, 0.0);
        for (upper, lower) in self.by_kind.values() {
            let weight = f64::from(upper.count.min(lower.count));
            let mean = (upper.sum_s + lower.sum_s) / f64::from(upper.count + lower.count);
            if weight > 0.0 && mean > 0.0 {
                with_most += weight * upper.mean_s() / mean;
                with_fewer += weight * lower.mean_s() / mean;
            }
        }
        if with_fewer > 0.0 {
            with_most / with_fewer
        } else {
            1.0
        }
    }
}

/// When a rung is due, and how long it isn't after that.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Now,
    pause: Duration,
}

/// Finds the limit at which a backend server gets the most work done in a second.
///
/// Some work slower when nearly all of their slots are taken, and then get less done than with a few slots left
/// free. Whether this one does is seen in its own times only: while its slots are asked for, the limit is stepped
/// down and up again within a fraction of a second, and the times of requests that began on either side are compared,
/// kind by kind. The lower side lies between two halves of the upper one, so that a backend server that gets slower or
/// faster meanwhile isn't taken for one that is too full; and samples are chosen when they begin, since those that end
/// first are the short ones. Only kinds that call nothing tell anything: others take the time of other services too.
#[derive(Clone, Debug)]
pub struct ConcurrencyTuner {
    slots: u32,
    rung: usize,
    number: u32,
    comparison: Option<Comparison>,
    /// When the limit is compared with each rung again.
    due: [Due; RUNGS.len()],
    next_at: Now,
}

impl ConcurrencyTuner {
    /// Starts with all slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            rung: 0,
            number: 0,
            comparison: None,
            due: first_due(Duration::ZERO, 0),
            next_at: Duration::ZERO,
        }
    }

    /// Another run of the backend server, or other slots: nothing of what was found holds.
    pub fn reset(&mut self, slots: u32) {
        *self = Self {
            number: self.number + 1,
            ..Self::new(slots)
        };
    }

    /// How many requests it works best with, as far as is known.
    pub fn best_limit(&self) -> u32 {
        self.slots_of(self.rung)
    }

    /// How many requests it may be given now; while two limits are compared, one of them.
    pub fn limit(&self) -> u32 {
        let compared = self.comparison.as_ref();
        match compared.and_then(|compared| Some((compared, compared.turn()?))) {
            Some((compared, Side::Upper)) => self.slots_of(compared.upper),
            Some((compared, Side::Lower)) => self.slots_of(compared.lower),
            None => self.best_limit(),
        }
    }

    /// A request begins beside so many others, itself among them.
    pub fn begin(&mut self, now: Now, at_once: u32) -> TuningSample {
        self.drop_overdue(now);
        if self.comparison.is_none() && at_once >= self.best_limit() && now >= self.next_at {
            self.compare(now);
        }
        let (slots, number) = (self.slots, self.number);
        let Some(comparison) = &mut self.comparison else {
            return TuningSample::default();
        };
        let side = comparison.turn().filter(|side| {
            let rung = match side {
                Side::Upper => comparison.upper,
                Side::Lower => comparison.lower,
            };
            at_once > least_of(slots, rung) && at_once <= slots_of(slots, rung)
        });
        match side {
            Some(Side::Upper) => comparison.begun_upper += 1,
            Some(Side::Lower) => comparison.begun_lower += 1,
            None => return TuningSample::default(),
        }
        comparison.at_work += 1;
        TuningSample {
            sample: side.map(|side| (number, side)),
        }
    }

    /// A request is over. `kind` is that of one that was answered and calls nothing; of others nothing is learnt.
    pub fn end(&mut self, now: Now, began: TuningSample, kind: Option<u64>, took: Duration) {
        let Some((number, side)) = began.sample else {
            return;
        };
        let Some(comparison) = self.comparison.as_mut().filter(|_| number == self.number) else {
            return;
        };
        comparison.at_work = comparison.at_work.saturating_sub(1);
        if let Some(kind) = kind {
            let (upper, lower) = comparison.by_kind.entry(kind).or_default();
            match side {
                Side::Upper => upper.add(took),
                Side::Lower => lower.add(took),
            }
        }
        if comparison.at_work == 0 && comparison.turn().is_none() {
            self.conclude(now);
        }
    }

    fn drop_overdue(&mut self, now: Now) {
        let overdue = |comparison: &Comparison| now >= comparison.begun + LONGEST_COMPARISON;
        if self.comparison.as_ref().is_some_and(overdue) {
            self.comparison = None;
            self.next_at = now + PAUSE;
        }
    }

    /// Begins to compare the limit with the nearest rung that is due.
    fn compare(&mut self, now: Now) {
        let others = (0..RUNGS.len()).filter(|other| self.slots_of(*other) != self.best_limit());
        let due = others.filter(|other| self.due[*other].at <= now);
        let Some(other) = due.min_by_key(|other| other.abs_diff(self.rung)) else {
            return;
        };
        let next = &mut self.due[other];
        next.at = now + next.pause;
        next.pause = (next.pause * 2).min(LONGEST_PAUSE.max(next.pause));
        let (upper, lower) = (self.rung.min(other), self.rung.max(other));
        let apart = self.more_slots(upper, lower) * LEAST_GAIN - 1.0;
        let samples = SAMPLES * (NEIGHBOURS_APART / apart).powi(2);
        self.number += 1;
        self.comparison = Some(Comparison {
            upper,
            lower,
            begun: now,
            samples: samples.clamp(LEAST_SAMPLES, SAMPLES) as u32,
            begun_upper: 0,
            begun_lower: 0,
            at_work: 0,
            by_kind: HashMap::new(),
        });
    }

    fn conclude(&mut self, now: Now) {
        let Some(comparison) = self.comparison.take() else {
            return;
        };
        let (upper, lower) = (comparison.upper, comparison.lower);
        let fewer_are_better = comparison.slower() > self.more_slots(upper, lower) * LEAST_GAIN;
        let better = if fewer_are_better { lower } else { upper };
        self.next_at = now + PAUSE_AFTER;
        if better != self.rung {
            self.rung = better;
            self.due = first_due(now, better);
        }
    }

    /// How many times as many slots the upper of two rungs has.
    fn more_slots(&self, upper: usize, lower: usize) -> f64 {
        f64::from(self.slots_of(upper)) / f64::from(self.slots_of(lower))
    }

    fn slots_of(&self, rung: usize) -> u32 {
        slots_of(self.slots, rung)
    }
}

/// Neighbours of the limit are due at once; those further away later and less often, since a limit so far off costs
/// more while it is tried.
fn first_due(now: Now, rung: usize) -> [Due; RUNGS.len()] {
    std::array::from_fn(|other| {
        let away = other.abs_diff(rung).saturating_sub(1) as u32;
        Due {
            at: now + PAUSE * (away * away * 2),
            pause: PAUSE * (1 + away * away * 2),
        }
    })
}

fn slots_of(slots: u32, rung: usize) -> u32 {
    ((f64::from(slots) * RUNGS[rung]) as u32).max(1)
}

/// Requests that begin beside more than so many belong to a rung.
fn least_of(slots: u32, rung: usize) -> u32 {
    let own = slots_of(slots, rung);
    match RUNGS.get(rung + 1) {
        Some(_) => slots_of(slots, rung + 1).min(own - 1),
        None => own - own.div_ceil(8),
    }
}
