//! The limit on retries holds at each service of a deep chain, whichever of its services refuse.
//! See `docs/design/retries.md`.

use sorrelturn_bench::experiment::{Experiment, Rejection, simulate_experiment};
use std::path::Path;

/// From the first service that a request reaches to the last.
const CHAIN: [&str; 5] = ["portal", "orders", "ledgers", "history", "devices"];
const SEEDS: u64 = 2;

/// Returns the services whose repeats exceed the limit, with the multiple of it that they reach.
fn services_over_limit(rejections: &[Rejection<'_>]) -> Vec<(String, f64)> {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/deep-rejections.jsonc");
    let mut experiment = Experiment::read(&path).expect("a shipped experiment");
    experiment.replace_faults(rejections);
    let limit = experiment.retries;
    let mut over = Vec::new();
    for seed in 0..SEEDS {
        let outcome = simulate_experiment(&experiment, seed);
        for service in &outcome.services {
            let used = service.worst_use_of_retry_limit(limit.ratio, limit.slack);
            if used > 1.0 {
                over.push((service.service.clone(), used));
            }
        }
    }
    over
}

/// Checks each case on a thread of its own.
fn for_all<T: Sync>(cases: Vec<T>, check: impl Fn(&T) + Sync) {
    std::thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| check(case));
        }
    });
}

/// Returns all sets of two services of the chain or more.
fn sets_of_services() -> Vec<Vec<&'static str>> {
    let sets = (0u32..1 << CHAIN.len()).filter(|bits| bits.count_ones() >= 2);
    let members = |bits: u32| {
        let indexes = (0..CHAIN.len()).filter(move |index| bits >> index & 1 == 1);
        indexes.map(|index| CHAIN[index]).collect()
    };
    sets.map(members).collect()
}

/// Returns two rejections in a row by each of the services.
fn rejections_twice(services: &[&'static str], share: f64) -> Vec<Rejection<'static>> {
    let periods = [(10.0, 18.5), (18.5, 27.0)];
    let rejections = services.iter().flat_map(|service| {
        periods.map(|(from_s, to_s)| Rejection {
            service,
            share,
            from_s,
            to_s,
        })
    });
    rejections.collect()
}

// Guards against calls of repeated runs that count as first attempts and come on top of each daemon's own retries.
#[test]
fn repeats_stay_within_the_limit_whichever_services_refuse_together() {
    for_all(sets_of_services(), |services| {
        for share in [0.3, 0.55, 0.9] {
            let over = services_over_limit(&rejections_twice(services, share));
            assert!(over.is_empty(), "{services:?} refuse {share}: {over:?}");
        }
    });
}

// Guards against repeats that a service admits before the services that it calls need their own retries.
#[test]
fn repeats_stay_within_the_limit_when_services_begin_to_refuse_one_after_the_other() {
    let pairs = vec![
        (0, 4),
        (4, 0),
        (1, 3),
        (3, 1),
        (2, 4),
        (4, 2),
        (3, 4),
        (4, 3),
    ];
    for_all(pairs, |&(first, second)| {
        for delay in [0.5, 2.0, 6.0] {
            let begins = [(CHAIN[first], 10.0), (CHAIN[second], 10.0 + delay)];
            let rejections = begins.map(|(service, from_s)| Rejection {
                service,
                share: 0.55,
                from_s,
                to_s: from_s + 8.5,
            });
            let over = services_over_limit(&rejections);
            assert!(
                over.is_empty(),
                "{first} then {second} after {delay} s: {over:?}"
            );
        }
    });
}
