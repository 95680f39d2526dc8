//! At-most-once requests never run twice, even if owners are killed, frozen or stopped, or the
//! platform fails.

mod common;

use bytes::Bytes;
use common::{bundle, folder};
use hyper::Request;
use smol::{Executor, Timer};
use sorrelturn_bench::{Answer, Client, FleetPlan, ProcessFleet, plan_for, run_on};
use sorrelturn_platform::{Faults, Platform, http::exchange, keys};
use sorrelturn_protocol::ExecutionToken;
use std::{collections::HashMap, sync::Arc, time::Duration};

const BOOKING_PATH: &str = "/bookings/h1";
/// The number of scheduling instances, which come first in the plan.
const OWNER_COUNT: usize = 2;
/// The index of the entry, the only certification instance.
const ENTRY: usize = 2;

async fn start(ex: Arc<Executor<'static>>, test: &str) -> ProcessFleet {
    let plan = FleetPlan::new(
        bundle("protokols-riga.jsonc"),
        &[("scheduling", OWNER_COUNT), ("certification", 1)],
        &["riga-a", "riga-b"],
        &[],
    );
    ProcessFleet::start(ex, plan, &folder(test)).await
}

async fn request_token(caller: &Client) -> String {
    let token_request = format!(r#"{{ "method": "POST", "path": "{BOOKING_PATH}" }}"#);
    let req = Request::post("/.sorrelturn/tokens").body(Bytes::from(token_request));
    let answer = caller
        .send(req.expect("a request"), None)
        .await
        .expect("an answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    answer
        .header("sorrelturn-token")
        .expect("a token")
        .to_owned()
}

async fn book(caller: &Client, header: &str, value: &str) -> Answer {
    let req = Request::post(BOOKING_PATH)
        .header(header, value)
        .header("x-execution-key", value)
        .body(Bytes::new());
    caller
        .send(req.expect("a request"), None)
        .await
        .expect("an answer")
}

/// The number of executions of the booking with this key at all backend servers.
async fn execution_count(fleet: &ProcessFleet, key: &str) -> u32 {
    let mut executions = 0;
    for daemon in &fleet.daemons {
        let ran: HashMap<String, u32> = daemon.execution_counts().await;
        executions += ran
            .get(&format!("{key} stenographer-book"))
            .copied()
            .unwrap_or(0);
    }
    executions
}

/// The index of the instance that owns a token.
async fn owner_of(fleet: &ProcessFleet, token: &str) -> usize {
    let token: ExecutionToken = token.parse().expect("a token");
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let status = daemon.status().await.expect("every daemon answers");
        if status.record.incarnation == token.owner {
            return index;
        }
    }
    panic!("no instance owns {token}");
}

#[test]
fn a_repeat_by_token_or_by_key_gets_the_first_answer_and_runs_nothing() {
    run_on(1, async |ex| {
        let fleet = start(ex, "once_repeat").await;
        let caller = fleet.caller(ENTRY);
        let token = request_token(&caller).await;
        for (header, value) in [
            ("sorrelturn-token", token.as_str()),
            ("idempotency-key", "k1"),
        ] {
            let first = book(&caller, header, value).await;
            assert_eq!((first.status, first.verdict()), (200, "ran"), "{first:?}");
            for entry in 0..3 {
                let again = book(&fleet.caller(entry), header, value).await;
                assert_eq!((again.status, &again.body), (200, &first.body), "{again:?}");
            }
            assert_eq!(execution_count(&fleet, value).await, 1);
        }
        let bare = book(&caller, "x-none", "bare").await;
        assert_eq!((bare.status, bare.verdict()), (428, "not-run"));
    });
}

#[test]
fn a_key_is_kept_through_lost_answers_of_the_store_and_refused_in_its_outage() {
    run_on(1, async |ex| {
        let fleet = start(ex, "once_store").await;
        let caller = fleet.caller(ENTRY);
        let lose_answers = Faults {
            lose_write_answers: 1,
            ..Faults::default()
        };
        fleet.play(&lose_answers).await;
        assert_eq!(book(&caller, "idempotency-key", "lost").await.status, 200);
        assert_eq!(book(&caller, "idempotency-key", "lost").await.status, 200);
        assert_eq!(execution_count(&fleet, "lost").await, 1);

        fleet
            .play(&Faults {
                down: true,
                ..Faults::default()
            })
            .await;
        let refused = book(&caller, "idempotency-key", "outage").await;
        // Without the store, it is unknown whether an earlier request with this key ran.
        assert_eq!(
            (refused.status, refused.verdict()),
            (503, "may-have-run"),
            "{refused:?}"
        );
        assert!(refused.header("retry-after").is_some());
        assert_eq!(execution_count(&fleet, "outage").await, 0);
        // Requests with tokens still work.
        let token = request_token(&caller).await;
        assert_eq!(book(&caller, "sorrelturn-token", &token).await.status, 200);

        fleet.play(&Faults::default()).await;
        assert_eq!(book(&caller, "idempotency-key", "outage").await.status, 200);
        assert_eq!(execution_count(&fleet, "outage").await, 1);
    });
}

#[test]
fn a_token_of_a_killed_owner_is_never_run_by_its_replacement() {
    run_on(1, async |ex| {
        let mut fleet = start(ex, "once_killed").await;
        let caller = fleet.caller(ENTRY);
        let used = request_token(&caller).await;
        assert_eq!(book(&caller, "sorrelturn-token", &used).await.status, 200);
        let unused = request_token(&caller).await;
        for owner in 0..OWNER_COUNT {
            fleet.daemons[owner].process.kill();
            let replacement = fleet.start_daemon(owner).await;
            // The old backend server keeps running, so its executions can still be counted.
            let old = std::mem::replace(&mut fleet.daemons[owner], replacement);
            assert!(
                old.execution_counts()
                    .await
                    .values()
                    .all(|count| *count <= 1)
            );
        }
        fleet.wait_for_all_members().await;
        for _ in 0..5 {
            let again = book(&caller, "sorrelturn-token", &unused).await;
            assert_eq!(
                (again.status, again.verdict()),
                (502, "may-have-run"),
                "{again:?}"
            );
            let repeat = book(&caller, "sorrelturn-token", &used).await;
            assert_ne!(repeat.verdict(), "not-run", "{repeat:?}");
        }
        assert_eq!(execution_count(&fleet, &unused).await, 0);
        assert_eq!(execution_count(&fleet, &used).await, 0);
    });
}

#[test]
fn a_frozen_owner_that_wakes_up_runs_its_token_once_and_nobody_else_does() {
    run_on(1, async |ex| {
        let fleet = start(ex.clone(), "once_frozen").await;
        let caller = fleet.caller(ENTRY);
        let token = request_token(&caller).await;
        let frozen = owner_of(&fleet, &token).await;
        fleet.daemons[frozen].process.freeze().await;
        let (caller_of_pending, token_of_pending) = (caller.clone(), token.clone());
        let pending = ex.spawn(async move {
            book(&caller_of_pending, "sorrelturn-token", &token_of_pending).await
        });
        Timer::after(Duration::from_millis(300)).await;
        fleet.daemons[frozen].process.signal("CONT");
        let first = pending.await;
        assert_ne!(first.verdict(), "not-run", "{first:?}");
        let again = book(&caller, "sorrelturn-token", &token).await;
        assert_eq!((again.status, again.verdict()), (200, "ran"), "{again:?}");
        assert_eq!(execution_count(&fleet, &token).await, 1);
    });
}

#[test]
fn an_entry_that_refuses_never_says_that_a_token_or_key_did_not_run() {
    run_on(1, async |ex| {
        let fleet = start(ex, "once_refusing_entry").await;
        let caller = fleet.caller(0);
        let token = request_token(&caller).await;
        assert_eq!(book(&caller, "sorrelturn-token", &token).await.status, 200);
        assert_eq!(book(&caller, "idempotency-key", "k9").await.status, 200);
        let drain = Request::post("/drain")
            .body(Bytes::new())
            .expect("a request");
        let admin = fleet.daemons[ENTRY].addresses.admin;
        let drained = exchange(admin, drain, Duration::from_secs(20)).await;
        assert!(drained.is_ok_and(|res| res.status().is_success()));
        for (header, value) in [
            ("sorrelturn-token", token.as_str()),
            ("idempotency-key", "k9"),
        ] {
            let refused = book(&fleet.caller(ENTRY), header, value).await;
            assert_eq!(
                (refused.status, refused.verdict()),
                (503, "may-have-run"),
                "{refused:?}"
            );
        }
        let fresh = book(&fleet.caller(ENTRY), "x-none", "fresh").await;
        assert_eq!(
            (fresh.status, fresh.verdict()),
            (503, "not-run"),
            "{fresh:?}"
        );
    });
}

#[test]
fn a_booking_continues_when_its_caller_disconnects_and_its_answer_is_retained() {
    run_on(1, async |ex| {
        let fleet = start(ex, "once_gone").await;
        for daemon in &fleet.daemons[..OWNER_COUNT] {
            let mut plan = plan_for(
                &fleet.plan.indexed_bundle(),
                "scheduling",
                &fleet.plan.work_ms,
            );
            plan.local = Some(daemon.addresses.local);
            plan.slow = 300.0;
            daemon.set_plan(&plan).await;
        }
        let caller = fleet.caller(ENTRY);
        let token = request_token(&caller).await;
        let req = Request::post(BOOKING_PATH)
            .header("sorrelturn-token", &token)
            .header("x-execution-key", &token)
            .body(Bytes::new())
            .expect("a request");
        let timed_out = caller
            .send_within(req, None, Duration::from_millis(100))
            .await;
        assert!(timed_out.is_err());
        let mut answer = book(&caller, "sorrelturn-token", &token).await;
        while answer.status == 409 {
            assert_eq!(answer.verdict(), "may-have-run");
            Timer::after(Duration::from_millis(50)).await;
            answer = book(&caller, "sorrelturn-token", &token).await;
        }
        assert_eq!(
            (answer.status, answer.verdict()),
            (200, "ran"),
            "{answer:?}"
        );
        assert_eq!(execution_count(&fleet, &token).await, 1);
    });
}

#[test]
fn after_a_planned_stop_an_unused_token_is_known_not_to_have_run_and_a_used_one_to_have() {
    run_on(1, async |ex| {
        let mut fleet = start(ex, "once_stopped").await;
        let caller = fleet.caller(ENTRY);
        let token_owned_by = |stopped: usize| {
            let (fleet, caller) = (&fleet, &caller);
            async move {
                loop {
                    let token = request_token(caller).await;
                    if owner_of(fleet, &token).await == stopped {
                        return token;
                    }
                }
            }
        };
        let stopped = 0;
        let (token, used) = (token_owned_by(stopped).await, token_owned_by(stopped).await);
        assert_eq!(book(&caller, "sorrelturn-token", &used).await.status, 200);
        let incarnation = token.parse::<ExecutionToken>().expect("a token").owner;
        // The stop writes the last outcomes and the closing record even if the store's answers are
        // lost.
        let lose_answers = Faults {
            lose_write_answers: 4,
            ..Faults::default()
        };
        fleet.play(&lose_answers).await;
        fleet.daemons[stopped].process.signal("TERM");
        let status = fleet.daemons[stopped].process.wait_for_exit().await;
        assert_eq!(status.code(), Some(0));
        let platform = Platform::new(fleet.platform, Duration::from_secs(20));
        let closing = platform
            .get(&keys::closing_record(incarnation))
            .await
            .expect("the store answers");
        assert!(closing.is_some());
        let answer = book(&caller, "sorrelturn-token", &token).await;
        assert_eq!(
            (answer.status, answer.verdict()),
            (503, "not-run"),
            "{answer:?}"
        );
        let again = book(&caller, "sorrelturn-token", &used).await;
        assert_eq!(again.verdict(), "ran", "{again:?}");
    });
}
