//! Retries do not multiply over eight failing hops: executions stay within the root's attempts.

mod common;

use common::{chain, request};
use sorrelturn_bench::{Fault, FleetPlan, LocalFleet, run_on};

const DEPTH: usize = 8;
const ATTEMPTS: u32 = 20;

fn fleet_plan() -> FleetPlan {
    let names: Vec<String> = (0..DEPTH).map(|index| format!("s{index}")).collect();
    let instances: Vec<(&str, usize)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    FleetPlan::new(chain(DEPTH, ATTEMPTS), &instances, &["a", "b"], &[])
}

async fn executions(fleet: &LocalFleet) -> u64 {
    fleet
        .backends
        .iter()
        .map(|backend| backend.executions())
        .sum()
}

#[test]
fn a_root_request_costs_no_more_executions_than_its_attempts() {
    run_on(4, async |ex| {
        let fleet = LocalFleet::start(ex, fleet_plan()).await;
        let caller = fleet.caller(0);
        let answer = caller.send(request("GET", "/k0/7"), None).await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(executions(&fleet).await, DEPTH as u64);

        for fault in [
            Fault::AnswersError,
            Fault::BreaksBeforeHead,
            Fault::BreaksInBody,
        ] {
            // The backend servers also retry nested calls themselves, as misbehaving ones do.
            for backend in &fleet.backends {
                backend.change_plan(|plan| {
                    plan.fault = fault;
                    plan.nested_tries = 3;
                });
            }
            let before = executions(&fleet).await;
            let requests = 20;
            for _ in 0..requests {
                let answer = caller.send(request("GET", "/k0/7"), None).await;
                assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status >= 500));
            }
            let caused = executions(&fleet).await - before;
            assert!(
                caused <= requests * u64::from(ATTEMPTS),
                "{fault:?} caused {caused} executions"
            );
        }
    });
}
