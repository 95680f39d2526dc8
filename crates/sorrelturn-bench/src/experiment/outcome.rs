//! What came of the requests of an experiment.

/// What came of the requests of one kind that were first sent within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// First tries.
    pub requested: u32,
    /// Answered in time, counted from the first try.
    pub good: u32,
    /// Answered later.
    pub late: u32,
    /// Refused, at the last try.
    pub refused: u32,
    /// Those of them who had come back.
    pub refused_again: u32,
    /// Failed after work was done, or never answered.
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

/// What came of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindOutcome {
    /// Its name.
    pub kind: String,
    /// What an answer in time is worth, and a late one.
    pub worth: (f64, f64),
    /// By the second in which requests were first sent.
    pub by_second: Vec<Counts>,
}

impl KindOutcome {
    /// All seconds together.
    pub fn total(&self) -> Counts {
        self.between(0, self.by_second.len())
    }

    /// The seconds from one to another, without that.
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

/// What one service was like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceOutcome {
    /// Its name.
    pub service: String,
    /// The part of its slots at work, sampled.
    pub slot_usage: Vec<f64>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Arrivals beyond the first of a request.
    pub repeated: u64,
    /// Arrivals from another failure domain.
    pub cross_domain: u64,
    /// Crashes of its backend servers.
    pub crashes: u64,
}

/// What came of an experiment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The kinds that callers send.
    pub kinds: Vec<KindOutcome>,
    /// The services.
    pub services: Vec<ServiceOutcome>,
}

/// How often the slots at work are sampled.
pub(super) const SAMPLES_PER_SECOND: usize = 10;

impl Outcome {
    /// The worth that was earned, as a part of what was owed, in some seconds.
    pub fn worth_between(&self, from: usize, to: usize) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for kind in &self.kinds {
            let counts = kind.between(from, to);
            earned += kind.earned_worth(&counts);
            owed += f64::from(counts.requested) * kind.worth.0;
        }
        if owed > 0.0 { earned / owed } else { 0.0 }
    }

    /// The worth of all.
    pub fn worth(&self) -> f64 {
        let seconds = self.kinds.iter().map(|kind| kind.by_second.len());
        self.worth_between(0, seconds.max().unwrap_or(0))
    }

    /// The mean part of a service's slots at work in some seconds, and how far its means over half a second lie
    /// apart, from the tenth to the ninetieth of a hundred.
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

    /// Adds the play of another seed.
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
