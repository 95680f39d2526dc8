//! Guards against a tuner that misses a slowdown near full load, or that costs throughput where there is none.
//! Request durations vary by half of their mean.

use fastrand::Rng;
use sorrelturn_policy::{ConcurrencyTuner, Now, TuningSample};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

/// A simulated backend server under permanent overload.
struct OverloadedServer {
    slots: u32,
    mean_ms: f64,
    /// Above this utilization, requests take `slowdown_factor` as long.
    knee_utilization: f64,
    slowdown_factor: f64,
    /// The start, end and factor of a temporary slowdown.
    temporary_slowdown: Option<(Now, Now, f64)>,
}

/// The result of a simulation.
struct Simulation {
    done: u64,
    best: u32,
    /// The number of steps per limit.
    limits: HashMap<u32, u32>,
}

/// The requests in progress, ordered by the time at which they finish.
type InProgress = BinaryHeap<Reverse<(Now, u64)>>;

impl OverloadedServer {
    /// Simulates the server with the tuned limit, or with all slots.
    fn simulate(&self, seed: u64, until: Now, is_tuned: bool) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let mut tuner = ConcurrencyTuner::new(self.slots);
        let mut in_progress = InProgress::new();
        let mut started: HashMap<u64, (Now, TuningSample)> = HashMap::new();
        let (mut now, mut id) = (Duration::ZERO, 0);
        let mut simulation = Simulation {
            done: 0,
            best: self.slots,
            limits: HashMap::new(),
        };
        while now < until {
            let limit = if is_tuned { tuner.limit() } else { self.slots };
            while in_progress.len() < limit as usize {
                id += 1;
                let in_flight = in_progress.len() as u32 + 1;
                started.insert(id, (now, tuner.begin(now, in_flight)));
                in_progress.push(Reverse((now + self.work(now, in_flight, &mut rng), id)));
            }
            *simulation.limits.entry(limit).or_default() += 1;
            let Some(Reverse((at, ended))) = in_progress.pop() else {
                break;
            };
            now = at;
            simulation.done += 1;
            if let Some((since, sample)) = started.remove(&ended) {
                tuner.end(now, sample, Some(1), now - since);
            }
        }
        simulation.best = tuner.best_limit();
        simulation
    }

    fn work(&self, now: Now, in_flight: u32, rng: &mut Rng) -> Duration {
        let utilization = f64::from(in_flight) / f64::from(self.slots);
        let slowdown = if utilization > self.knee_utilization {
            self.slowdown_factor
        } else {
            1.0
        };
        let temporary_slowdown = self
            .temporary_slowdown
            .filter(|(from, to, _)| (*from..*to).contains(&now))
            .map_or(1.0, |(_, _, factor)| factor);
        let variation = 0.5 - 0.5 * (1.0 - rng.f64()).ln();
        Duration::from_secs_f64(self.mean_ms * slowdown * temporary_slowdown * variation / 1_000.0)
    }

    /// The throughput ratio of the tuned limit to all slots, over several seeds.
    fn gain(&self, until: Now) -> f64 {
        let done = |is_tuned| -> u64 {
            (0..8)
                .map(|seed| self.simulate(seed, until, is_tuned).done)
                .sum()
        };
        done(true) as f64 / done(false) as f64
    }
}

const STEADY: OverloadedServer = OverloadedServer {
    slots: 35,
    mean_ms: 40.0,
    knee_utilization: 1.0,
    slowdown_factor: 1.0,
    temporary_slowdown: None,
};
const DURATION: Now = Duration::from_secs(60);

#[test]
fn the_limit_stays_below_the_load_that_slows_the_backend_server_down() {
    // The ideal gain is (33 / 35) * 1.3 = 1.23.
    let server = OverloadedServer {
        knee_utilization: 0.95,
        slowdown_factor: 1.3,
        ..STEADY
    };
    let gain = server.gain(DURATION);
    assert!(gain > 1.15, "{gain}");
    for seed in 0..8 {
        let simulation = server.simulate(seed, DURATION, true);
        assert!((28..=33).contains(&simulation.best), "{}", simulation.best);
    }
}

#[test]
fn the_best_limit_is_found_within_seconds() {
    let server = OverloadedServer {
        knee_utilization: 0.95,
        slowdown_factor: 1.3,
        ..STEADY
    };
    let gain = server.gain(Duration::from_secs(5));
    assert!(gain > 1.1, "{gain}");
}

#[test]
fn a_backend_server_that_slows_down_far_below_its_slots_is_found_as_well() {
    // The ideal gain is 0.8 * 1.6 = 1.28; every step between is worse than both ends.
    let server = OverloadedServer {
        knee_utilization: 0.8,
        slowdown_factor: 1.6,
        ..STEADY
    };
    let gain = server.gain(DURATION);
    assert!(gain > 1.15, "{gain}");
}

#[test]
fn without_a_slowdown_tuning_costs_at_most_one_and_a_half_percent() {
    for slots in [20, 35, 91, 400] {
        let server = OverloadedServer { slots, ..STEADY };
        let gain = server.gain(DURATION);
        assert!(gain > 0.985, "{slots} slots: {gain}");
    }
}

#[test]
fn a_temporary_slowdown_does_not_lower_the_limit() {
    let server = OverloadedServer {
        temporary_slowdown: Some((Duration::from_secs(20), Duration::from_secs(40), 5.0)),
        ..STEADY
    };
    let gain = server.gain(DURATION);
    assert!(gain > 0.97, "{gain}");
}

#[test]
fn a_slow_kind_does_not_bias_comparisons() {
    let mut tuner = ConcurrencyTuner::new(35);
    let mut now = Duration::ZERO;
    let mut rng = Rng::with_seed(4);
    let mut in_progress: InProgress = InProgress::new();
    let mut started = HashMap::new();
    for id in 0..40_000u64 {
        while in_progress.len() >= tuner.limit() as usize {
            let Some(Reverse((at, ended))) = in_progress.pop() else {
                break;
            };
            now = at;
            let (since, kind, sample): (Now, u64, TuningSample) =
                started.remove(&ended).expect("it started");
            tuner.end(now, sample, Some(kind), now - since);
        }
        // One in 20 requests takes 30 times as long; the lower side can have more of them by chance.
        let kind = u64::from(rng.u8(..20) == 0);
        let mean_ms = if kind == 1 { 600.0 } else { 20.0 };
        let work = Duration::from_secs_f64(mean_ms * (0.5 + rng.f64()) / 1_000.0);
        started.insert(
            id,
            (now, kind, tuner.begin(now, in_progress.len() as u32 + 1)),
        );
        in_progress.push(Reverse((now + work, id)));
    }
    assert!(tuner.best_limit() >= 32, "{}", tuner.best_limit());
}

#[test]
fn a_reset_restores_all_slots_and_ignores_samples_from_before_it() {
    let mut tuner = ConcurrencyTuner::new(35);
    let sample = tuner.begin(Duration::from_secs(1), 35);
    tuner.reset(35);
    assert_eq!(tuner.limit(), 35);
    tuner.end(
        Duration::from_secs(2),
        sample,
        Some(1),
        Duration::from_secs(1),
    );
    assert_eq!(tuner.limit(), 35);
}

#[test]
fn a_backend_server_of_very_few_slots_keeps_them() {
    for slots in 1..8 {
        let mut tuner = ConcurrencyTuner::new(slots);
        for step in 0..1_000 {
            let now = Duration::from_millis(20) * step;
            let sample = tuner.begin(now, slots);
            tuner.end(
                now + Duration::from_millis(10),
                sample,
                Some(1),
                Duration::from_millis(10),
            );
            assert!(tuner.limit() >= 1);
        }
    }
}
