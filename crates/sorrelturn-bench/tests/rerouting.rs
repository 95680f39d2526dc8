//! A call that a backend server refuses is sent to other instances, but to none of them twice.

mod common;

use common::{chain, request};
use sorrelturn_bench::{Fault, FleetPlan, LocalFleet, run_on};

const ATTEMPTS: u32 = 6;

/// Both instances refuse every call. Sending the call to the first one again is useless, because a
/// refusal means that its backend server is full.
#[test]
fn a_refused_call_is_sent_to_each_instance_once() {
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
