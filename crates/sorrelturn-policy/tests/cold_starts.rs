//! Guards against cold backend servers that get more requests in a second than they accept, and against
//! cold instances that take away the capacity of warm ones.

use proptest::prelude::*;
use sorrelturn_policy::*;
use sorrelturn_protocol::{Importance, Priority, Refusal};
use std::time::Duration;

const RATE: ColdRate = ColdRate {
    per_second: 16.0,
    max_per_second: 32.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gate(rate: Option<ColdRate>) -> Gate {
    let cfg = GateConfig {
        slots: 100,
        queue_len: 100,
        queue_timeout: ms(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: Some(ms(250)),
    };
    let mut gate = Gate::new(cfg, ms(0));
    gate.cold_limiter().set_rate(rate);
    gate
}

fn arrival(id: u64, at: u64) -> Arrival {
    Arrival {
        id,
        priority: Priority::new(Importance::Normal, 9),
        is_nested_call: false,
        deadline: ms(at + 5_000),
        level: 0,
    }
}

/// Returns how many of the arrivals, one each millisecond, are admitted.
fn admitted(gate: &mut Gate, from: u64, until: u64) -> usize {
    let mut count = 0;
    for at in from..until {
        let (decision, _) = gate.arrive(ms(at), &arrival(at, at));
        if decision == Decision::Admit {
            count += 1;
            gate.finish(ms(at), Outcome::Answered, ms(10));
        }
    }
    count
}

#[test]
fn a_backend_server_that_has_not_reported_yet_counts_as_cold() {
    let mut gate = gate(Some(RATE));
    assert!(admitted(&mut gate, 0, 1_000) <= 32);
    gate.cold_limiter().report(ms(1_000), Duration::ZERO);
    assert_eq!(admitted(&mut gate, 1_000, 2_000), 1_000);
}

#[test]
fn without_a_rate_nothing_is_limited() {
    let mut gate = gate(None);
    gate.cold_limiter().report(ms(0), ms(3_000));
    assert_eq!(admitted(&mut gate, 0, 1_000), 1_000);
}

#[test]
fn a_cold_backend_server_gets_its_sustained_rate_and_all_requests_once_it_is_warm() {
    let mut gate = gate(Some(RATE));
    gate.cold_limiter().report(ms(0), ms(3_000));
    let cold = admitted(&mut gate, 0, 3_000);
    assert!((44..=48).contains(&cold), "{cold} admitted");
    assert_eq!(admitted(&mut gate, 3_000, 4_000), 1_000);
}

#[test]
fn refusals_of_a_cold_backend_server_are_no_overload_and_raise_its_load() {
    let mut gate = gate(Some(RATE));
    gate.cold_limiter().report(ms(0), ms(3_000));
    let (decision, _) = gate.arrive(ms(0), &arrival(1, 0));
    assert_eq!(decision, Decision::Refuse(Refusal::WarmingUp));
    assert!(gate.load_percent(ms(0)) > 100);
    for at in 1..2_000 {
        gate.arrive(ms(at), &arrival(at, at));
    }
    assert_eq!(gate.threshold(ms(2_000)), Priority(0));
    assert_eq!(gate.overload_duration(ms(2_000)), None);
}

/// What happens to a backend server beside its requests.
#[derive(Clone, Copy, Debug)]
enum Change {
    Restarts,
    ReportsCold(u64),
    ReportsWarm,
}

fn changes() -> impl Strategy<Value = Vec<(u64, Change)>> {
    let change = prop_oneof![
        Just(Change::Restarts),
        (1u64..4_000).prop_map(Change::ReportsCold),
        Just(Change::ReportsWarm),
    ];
    prop::collection::vec((0u64..10_000, change), 0..12)
}

proptest! {
    /// In every second in which the backend server is cold or may be, no more than the maximum is admitted, whatever
    /// arrives, however long requests take, and whatever it reports.
    #[test]
    fn no_second_while_cold_has_more_admissions_than_the_maximum(
        arrivals in prop::collection::vec((0u64..10_000, 0u64..800), 0..600),
        mut changes in changes(),
    ) {
        enum Step { Arrive(u64), Change(Change), Finish }
        let mut gate = gate(Some(RATE));
        let mut steps: Vec<(u64, Step)> = Vec::new();
        for (at, takes) in &arrivals {
            steps.push((*at, Step::Arrive(*takes)));
        }
        changes.sort_by_key(|(at, _)| *at);
        for (at, change) in changes {
            steps.push((at, Step::Change(change)));
        }
        steps.sort_by_key(|(at, _)| *at);
        let mut queue = std::collections::VecDeque::from(steps);
        let mut admissions: Vec<(u64, bool)> = Vec::new();
        let mut cold_since: Option<u64> = Some(0);
        let mut next_id = 0;
        while let Some((at, step)) = queue.pop_front() {
            let mut newly_admitted = 0;
            match step {
                Step::Arrive(takes) => {
                    next_id += 1;
                    let (decision, _) = gate.arrive(ms(at), &arrival(next_id, at));
                    if decision == Decision::Admit {
                        newly_admitted = 1;
                        let end = at + takes;
                        let place = queue.partition_point(|(other, _)| *other <= end);
                        queue.insert(place, (end, Step::Finish));
                    }
                }
                Step::Finish => {
                    let released = gate.finish(ms(at), Outcome::Answered, ms(10));
                    newly_admitted = released.admitted.len();
                    for _ in &released.admitted {
                        queue.push_front((at, Step::Finish));
                    }
                }
                Step::Change(Change::Restarts) => gate.cold_limiter().assume_cold(ms(at)),
                Step::Change(Change::ReportsCold(remaining)) => {
                    gate.cold_limiter().report(ms(at), ms(remaining));
                }
                Step::Change(Change::ReportsWarm) => {
                    gate.cold_limiter().report(ms(at), Duration::ZERO);
                }
            }
            let is_cold = gate.cold_limiter().is_limiting(ms(at));
            if !is_cold {
                cold_since = None;
            } else if cold_since.is_none() {
                cold_since = Some(at);
            }
            admissions.extend((0..newly_admitted).map(|_| (at, is_cold)));
        }
        let cold: Vec<u64> = admissions.iter().filter(|(_, cold)| *cold).map(|(at, _)| *at).collect();
        for (first, at) in cold.iter().enumerate() {
            let within = cold[first..].iter().take_while(|other| **other < at + 1_000).count();
            prop_assert!(within as f64 <= RATE.max_per_second, "{within} in the second after {at} ms");
        }
    }
}

/// Guards against an addition beyond the highest time, for which a backend server may say that it is cold.
#[test]
fn a_backend_server_may_say_that_it_is_cold_forever() {
    let mut gate = gate(Some(RATE));
    let now = Duration::from_secs(3_600);
    gate.cold_limiter().report(now, Duration::MAX);
    assert!(gate.cold_limiter().is_limiting(now));
    gate.cold_limiter().report(now, Duration::ZERO);
    assert!(!gate.cold_limiter().is_limiting(now));
}
