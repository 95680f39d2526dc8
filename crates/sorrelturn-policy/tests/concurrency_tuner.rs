//! How many of its slots a backend server works best with, under a load that fills all of them for long, as the smallest
//! service of a fleet sees it. Work times vary by half of their mean, as users' do; the bounds on what is lost and
//! won are those of the design note.

use fastrand::Rng;
use sorrelturn_policy::{ConcurrencyTuner, Now, TuningSample};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

/// A backend server that is always asked for more than it can do.
struct Busy {
    slots: u32,
    mean_ms: f64,
    /// With more than this part of its slots taken, it works so many times slower.
    knee: f64,
    knee_times: f64,
    /// It turns so many times slower in this stretch.
    slow: Option<(Now, Now, f64)>,
}

/// What came of it.
struct Played {
    done: u64,
    best: u32,
    /// The parts of the time by limit.
    limits: HashMap<u32, u32>,
}

/// What it works on, by when it is done.
type AtWork = BinaryHeap<Reverse<(Now, u64)>>;

impl Busy {
    /// Plays it with the limit found, or with all slots.
    fn play(&self, seed: u64, until: Now, finds: bool) -> Played {
        let mut rng = Rng::with_seed(seed);
        let mut tuner = ConcurrencyTuner::new(self.slots);
        let mut at_work = AtWork::new();
        let mut began: HashMap<u64, (Now, TuningSample)> = HashMap::new();
        let (mut now, mut id) = (Duration::ZERO, 0);
        let mut played = Played {
            done: 0,
            best: self.slots,
            limits: HashMap::new(),
        };
        while now < until {
            let limit = if finds { tuner.limit() } else { self.slots };
            while at_work.len() < limit as usize {
                id += 1;
                let at_once = at_work.len() as u32 + 1;
                began.insert(id, (now, tuner.begin(now, at_once)));
                at_work.push(Reverse((now + self.work(now, at_once, &mut rng), id)));
            }
            *played.limits.entry(limit).or_default() += 1;
            let Some(Reverse((at, ended))) = at_work.pop() else {
                break;
            };
            now = at;
            played.done += 1;
            if let Some((since, began)) = began.remove(&ended) {
                tuner.end(now, began, Some(1), now - since);
            }
        }
        played.best = tuner.best_limit();
        played
    }

    fn work(&self, now: Now, at_once: u32, rng: &mut Rng) -> Duration {
        let taken = f64::from(at_once) / f64::from(self.slots);
        let knee = if taken > self.knee {
            self.knee_times
        } else {
            1.0
        };
        let slow = self
            .slow
            .filter(|(from, to, _)| (*from..*to).contains(&now))
            .map_or(1.0, |(_, _, times)| times);
        let varies = 0.5 - 0.5 * (1.0 - rng.f64()).ln();
        Duration::from_secs_f64(self.mean_ms * knee * slow * varies / 1_000.0)
    }

    /// How much more is done with the limit found than with all slots, over several seeds.
    fn gain(&self, until: Now) -> f64 {
        let done = |finds| -> u64 { (0..8).map(|seed| self.play(seed, until, finds).done).sum() };
        done(true) as f64 / done(false) as f64
    }
}

const STEADY: Busy = Busy {
    slots: 35,
    mean_ms: 40.0,
    knee: 1.0,
    knee_times: 1.0,
    slow: None,
};
const LONG: Now = Duration::from_secs(60);

#[test]
fn a_backend_server_that_slows_down_when_nearly_full_is_kept_below_that() {
    // 33 of 35 slots at full speed do 1.23 times the work of 35 at 1 / 1.3.
    let busy = Busy {
        knee: 0.95,
        knee_times: 1.3,
        ..STEADY
    };
    let gain = busy.gain(LONG);
    assert!(gain > 1.15, "{gain}");
    for seed in 0..8 {
        let played = busy.play(seed, LONG, true);
        assert!((28..=33).contains(&played.best), "{}", played.best);
    }
}

#[test]
fn it_is_found_within_seconds() {
    let busy = Busy {
        knee: 0.95,
        knee_times: 1.3,
        ..STEADY
    };
    let gain = busy.gain(Duration::from_secs(5));
    assert!(gain > 1.1, "{gain}");
}

#[test]
fn a_backend_server_that_slows_down_far_below_its_slots_is_found_as_well() {
    // 0.8 of the slots at full speed do 1.28 times the work of all at 1 / 1.6; each step between is worse than both.
    let busy = Busy {
        knee: 0.8,
        knee_times: 1.6,
        ..STEADY
    };
    let gain = busy.gain(LONG);
    assert!(gain > 1.15, "{gain}");
}

#[test]
fn where_nothing_slows_down_looking_costs_about_a_hundredth() {
    for slots in [20, 35, 91, 400] {
        let busy = Busy { slots, ..STEADY };
        let gain = busy.gain(LONG);
        assert!(gain > 0.985, "{slots} slots: {gain}");
    }
}

#[test]
fn a_backend_server_that_turns_slow_for_a_while_is_not_taken_for_one_that_is_too_full() {
    let busy = Busy {
        slow: Some((Duration::from_secs(20), Duration::from_secs(40), 5.0)),
        ..STEADY
    };
    let gain = busy.gain(LONG);
    assert!(gain > 0.97, "{gain}");
}

#[test]
fn a_kind_that_takes_much_longer_decides_nothing_by_its_share() {
    let mut tuner = ConcurrencyTuner::new(35);
    let mut now = Duration::ZERO;
    let mut rng = Rng::with_seed(4);
    let mut at_work: AtWork = AtWork::new();
    let mut began = HashMap::new();
    for id in 0..40_000u64 {
        while at_work.len() >= tuner.limit() as usize {
            let Some(Reverse((at, ended))) = at_work.pop() else {
                break;
            };
            now = at;
            let (since, kind, how): (Now, u64, TuningSample) =
                began.remove(&ended).expect("it began");
            tuner.end(now, how, Some(kind), now - since);
        }
        // One in twenty takes thirty times as long; the lower side has more of them by chance.
        let kind = u64::from(rng.u8(..20) == 0);
        let mean_ms = if kind == 1 { 600.0 } else { 20.0 };
        let work = Duration::from_secs_f64(mean_ms * (0.5 + rng.f64()) / 1_000.0);
        began.insert(id, (now, kind, tuner.begin(now, at_work.len() as u32 + 1)));
        at_work.push(Reverse((now + work, id)));
    }
    assert!(tuner.best_limit() >= 32, "{}", tuner.best_limit());
}

#[test]
fn another_run_is_found_anew_and_samples_of_the_last_one_tell_nothing_of_it() {
    let mut tuner = ConcurrencyTuner::new(35);
    let began = tuner.begin(Duration::from_secs(1), 35);
    tuner.reset(35);
    assert_eq!(tuner.limit(), 35);
    tuner.end(
        Duration::from_secs(2),
        began,
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
            let began = tuner.begin(now, slots);
            tuner.end(
                now + Duration::from_millis(10),
                began,
                Some(1),
                Duration::from_millis(10),
            );
            assert!(tuner.limit() >= 1);
        }
    }
}
