//! The results of an experiment.

use std::time::Duration;

/// The results of the requests of one kind that were first sent within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// First attempts.
    pub requested: u32,
    /// Answered within the target time, counted from the first attempt.
    pub good: u32,
    /// Answered later.
    pub late: u32,
    /// Refused at the last attempt.
    pub refused: u32,
    /// Of the refused ones, those that had been retried.
    pub refused_again: u32,
    /// Failed or never answered.
    pub failed: u32,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.requested += other.requested;
        self.good += other.good;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_again += other.refused_again;
        self.failed += other.failed;
    }
}

/// The results of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindOutcome {
    /// Its name.
    pub kind: String,
    /// The values of an answer in time and of a late one.
    pub worth: (f64, f64),
    /// The counts by the second in which requests were first sent.
    pub by_second: Vec<Counts>,
}

impl KindOutcome {
    /// The counts of all seconds together.
    pub fn total(&self) -> Counts {
        self.between(0, self.by_second.len())
    }

    /// The counts of the seconds `from..to` together.
    pub fn between(&self, from: usize, to: usize) -> Counts {
        let mut sum = Counts::default();
        for counts in self.by_second.iter().take(to).skip(from) {
            sum.add(counts);
        }
        sum
    }

    fn earned_worth(&self, counts: &Counts) -> f64 {
        f64::from(counts.good) * self.worth.0 + f64::from(counts.late) * self.worth.1
    }
}

/// What the operators' limit on retries counts at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryCounts {
    /// Requests that callers and backend servers sent, whether they arrived or not.
    pub requests: u32,
    /// Arrivals at backend servers beyond the first of a request, and all those of calls that a repeated run made.
    pub repeats: u32,
}

/// The results at one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceOutcome {
    /// Its name.
    pub service: String,
    /// The fraction of its slots in use, sampled at a fixed rate.
    pub slot_usage: Vec<f64>,
    /// Requests that arrived at its daemons.
    pub arrived: u64,
    /// Arrivals of repeated attempts.
    pub repeated: u64,
    /// What the operators' limit on retries counts, by quarters of a second.
    pub retry_counts: Vec<RetryCounts>,
    /// Arrivals from another failure domain.
    pub cross_domain: u64,
    /// Crashes of its backend servers.
    pub crashes: u64,
}

impl ServiceOutcome {
    pub(super) fn retry_counts_at(&mut self, now: Duration) -> &mut RetryCounts {
        let slice = now.as_millis() as usize * RETRY_SLICES_PER_SECOND / 1_000;
        if self.retry_counts.len() <= slice {
            self.retry_counts.resize(slice + 1, RetryCounts::default());
        }
        &mut self.retry_counts[slice]
    }

    /// The repeats of the worst window as a multiple of those that the operators' limit allows in it: `ratio` of the
    /// requests in this window, in the one before it or in the one half a window earlier, whichever has the most, and
    /// `slack`.
    pub fn worst_use_of_retry_limit(&self, ratio: f64, slack: f64) -> f64 {
        let slices = &self.retry_counts;
        let sum = |begin: usize, end: usize, count: fn(&RetryCounts) -> u32| -> f64 {
            let end = end.min(slices.len());
            let counts = slices[begin.min(end)..end].iter().map(count);
            counts.map(f64::from).sum()
        };
        let requests_until = |end: usize| {
            let begin = end.saturating_sub(RETRY_WINDOW_SLICES);
            sum(begin, end, |counts| counts.requests)
        };
        let windows = (0..slices.len()).map(|begin| {
            let end = begin + RETRY_WINDOW_SLICES;
            let requests = requests_until(end)
                .max(requests_until(begin))
                .max(requests_until(begin + RETRY_WINDOW_SLICES / 2));
            let repeats = sum(begin, end, |counts| counts.repeats);
            repeats / (ratio * requests + slack)
        });
        windows.fold(0.0, f64::max)
    }
}

/// The results of an experiment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The results of the kinds that callers send.
    pub kinds: Vec<KindOutcome>,
    /// The results of all services.
    pub services: Vec<ServiceOutcome>,
}

const RETRY_SLICES_PER_SECOND: usize = 4;
const RETRY_WINDOW_SLICES: usize = 10 * RETRY_SLICES_PER_SECOND;
pub(super) const SAMPLES_PER_SECOND: usize = 10;

impl Outcome {
    /// The value of the answers to requests of the seconds `from..to`, as a fraction of the maximum value.
    pub fn worth_between(&self, from: usize, to: usize) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for kind in &self.kinds {
            let counts = kind.between(from, to);
            earned += kind.earned_worth(&counts);
            owed += f64::from(counts.requested) * kind.worth.0;
        }
        if owed > 0.0 { earned / owed } else { 0.0 }
    }

    /// The same fraction over the whole time.
    pub fn worth(&self) -> f64 {
        let seconds = self.kinds.iter().map(|kind| kind.by_second.len());
        self.worth_between(0, seconds.max().unwrap_or(0))
    }

    /// The mean fraction of a service's slots in use in the seconds `from..to`, and the distance between the 10th
    /// and the 90th percentile of its means over half a second.
    pub fn slot_usage_between(&self, service: &str, from: usize, to: usize) -> (f64, f64) {
        let found = self.services.iter().find(|found| found.service == service);
        let samples = found.map_or(&[][..], |found| &found.slot_usage);
        let from = (from * SAMPLES_PER_SECOND).min(samples.len());
        let to = (to * SAMPLES_PER_SECOND).min(samples.len());
        let half_seconds = samples[from..to].chunks(SAMPLES_PER_SECOND / 2);
        let mut means: Vec<f64> = half_seconds
            .map(|half_second| half_second.iter().sum::<f64>() / half_second.len() as f64)
            .collect();
        if means.is_empty() {
            return (0.0, 0.0);
        }
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        means.sort_unstable_by(f64::total_cmp);
        let decile = |tenths: usize| means[(means.len() * tenths / 10).min(means.len() - 1)];
        (mean, decile(9) - decile(1))
    }

    /// Adds the results of another seed.
    pub fn add(&mut self, other: &Self) {
        if self.kinds.is_empty() {
            *self = other.clone();
            return;
        }
        for (kind, more) in self.kinds.iter_mut().zip(&other.kinds) {
            for (counts, more) in kind.by_second.iter_mut().zip(&more.by_second) {
                counts.add(more);
            }
        }
        for (service, more) in self.services.iter_mut().zip(&other.services) {
            service.slot_usage.extend(&more.slot_usage);
            service.arrived += more.arrived;
            service.repeated += more.repeated;
            service.cross_domain += more.cross_domain;
            service.crashes += more.crashes;
        }
    }
}
