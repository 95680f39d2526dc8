//! Every caller receives its own complete answer or an error, never another caller's answer or a
//! silently truncated one.

mod common;

use common::{chain, request};
use smol::Timer;
use sorrelturn_bench::{ExchangeConfig, FleetPlan, LocalFleet, exchange_many, run_on};
use std::time::Duration;

fn fleet_plan() -> FleetPlan {
    FleetPlan::new(chain(2, 6), &[("s0", 2), ("s1", 2)], &["a", "b"], &[])
}

#[test]
fn under_concurrency_cuts_and_cancellations_no_answer_is_mixed_up_or_silently_truncated() {
    run_on(4, async |ex| {
        let fleet = LocalFleet::start(ex, fleet_plan()).await;
        let config = ExchangeConfig {
            count: 3_000,
            concurrency: 128,
            body_size_range_bytes: 200_000,
        };
        let counts = exchange_many(&fleet, config).await;
        assert_eq!(counts.wrong, 0, "{counts:?}");
        assert!(counts.good > 300, "{counts:?}");
        assert!(counts.failed > 300, "{counts:?}");
    });
}

#[test]
fn when_a_caller_goes_away_its_work_is_cancelled_down_to_the_last_hop() {
    run_on(2, async |ex| {
        let mut plan = fleet_plan();
        plan.work_ms.insert("k1".to_owned(), 60_000.0);
        let fleet = LocalFleet::start(ex, plan).await;
        let executions = || -> u64 { fleet.backends.iter().map(|b| b.executions()).sum() };
        let cancelled = || -> u64 { fleet.backends.iter().map(|b| b.cancelled()).sum() };
        let caller = fleet.caller(0);
        let request_task = fleet.ex.spawn(async move {
            let _ = caller.send(request("GET", "/k0/7"), None).await;
        });
        wait_for_count(2, executions).await;
        drop(request_task);
        wait_for_count(2, cancelled).await;
        assert_eq!(executions(), 2);
    });
}

/// Waits until the count is as expected, with a time limit that allows for a slow machine.
async fn wait_for_count(expected: u64, count: impl Fn() -> u64) {
    for _ in 0..2_000 {
        if count() == expected {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    panic!("the count is {} instead of {expected}", count());
}
