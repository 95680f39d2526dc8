//! Calls that backend servers turn away are offered to others, and to none of them twice.

mod common;

use common::{chain, request};
use sorrelturn_bench::{Fault, FleetPlan, LocalFleet, run_on};

const ATTEMPTS: u32 = 6;

/// Both instances of a service turn all away for a while. A call that comes back to the first has nothing to gain: on
/// this interface a refusal says that the backend server is full.
#[test]
fn a_call_that_is_turned_away_asks_each_instance_once() {
    run_on(4, async |ex| {
        let plan = FleetPlan::new(chain(1, ATTEMPTS), &[("s0", 2)], &["a", "b"], &[]);
        let fleet = LocalFleet::start(ex, plan).await;
        for backend in &fleet.backends {
            backend.change_plan(|plan| plan.fault = Fault::Refuses);
        }
        let answer = fleet.caller(0).send(request("GET", "/k0/7"), None).await;
        assert_eq!(answer.expect("an answer").status, 503);
        let refused: Vec<u64> = fleet.backends.iter().map(|b| b.refused()).collect();
        assert_eq!(refused, [1, 1]);
    });
}
