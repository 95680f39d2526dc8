//! A request passes through separate processes from caller to nested call and is answered completely.

mod common;

use common::{bundle, folder, request};
use sorrelturn_bench::{Expected, FleetPlan, ProcessFleet, binary, run_on};
use std::process::Command;

#[test]
fn a_callers_request_crosses_two_services_and_brings_its_own_whole_answer() {
    let plan = FleetPlan::new(
        bundle("protokols-riga.jsonc"),
        &[("archive", 2), ("certification", 2)],
        &["riga-a", "riga-b"],
        &[],
    );
    let folder = folder("whole_path");
    run_on(2, async |ex| {
        let fleet = ProcessFleet::start(ex, plan, &folder).await;
        for entry in 0..4 {
            let caller = fleet.caller(entry);
            for number in 0..5 {
                let expected = Expected {
                    echo: format!("caller {entry} request {number}"),
                };
                let answer = caller
                    .send(request("GET", "/transcripts/7?bytes=5000"), Some(&expected))
                    .await
                    .expect("an answer");
                assert_eq!(answer.status, 200, "{answer:?}");
                assert_eq!(answer.verdict(), "ran");
                assert!(!answer.wrong, "{answer:?}");
            }
        }
        let answer = fleet
            .caller(0)
            .send(request("GET", "/transcripts/7"), None)
            .await;
        let answer = answer.expect("an answer");
        let id = answer.header("sorrelturn-request-id").expect("an id");
        let daemon = fleet.daemons[0].addresses.admin.to_string();
        let explained = Command::new(binary("sorrelctl"))
            .args(["explain", id, "--daemon", &daemon])
            .output()
            .expect("sorrelctl runs");
        let explanation = String::from_utf8_lossy(&explained.stdout);
        assert!(explained.status.success(), "{explained:?}");
        for kind in ["transcript-open", "speaker-index", "seal-record"] {
            assert!(
                explanation.contains(kind),
                "{kind} is not explained:\n{explanation}"
            );
        }
    });
}
