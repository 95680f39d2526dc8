//! The verdict `not-run` is reported only if no backend server can have executed the request.

mod common;

use common::{chain, request};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use sorrelturn_bench::{Client, Fault, FleetPlan, LocalFleet, publish_bundle, run_on};
use sorrelturn_daemon::{Daemon, Dialect};
use sorrelturn_platform::{Platform, StandIn, serve};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

#[test]
fn a_backend_server_that_cuts_at_any_byte_of_the_request_may_have_run_it() {
    run_on(2, async |ex| {
        let platform_listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let platform = platform_listener.local_addr().expect("address");
        let stand_in = serve(Arc::clone(&ex), platform_listener, StandIn::default());
        let _stand_in = ex.spawn(stand_in);
        let plan = FleetPlan::new(chain(1, 1), &[("s0", 1)], &["a"], &[]);
        publish_bundle(
            &Platform::new(platform, Duration::from_secs(20)),
            &plan.bundle,
        )
        .await;

        // The backend server closes each connection after reading `cut_at` bytes; 0 closes it at once.
        let cut_at = Arc::new(AtomicUsize::new(0));
        let received = Arc::new(AtomicUsize::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let backend = listener.local_addr().expect("address");
        let (backend_cut_at, backend_received) = (Arc::clone(&cut_at), Arc::clone(&received));
        let _backend = ex.spawn(async move {
            loop {
                let Ok((mut tcp, _)) = listener.accept().await else {
                    return;
                };
                let mut buf = vec![0; backend_cut_at.load(Ordering::Relaxed)];
                if !buf.is_empty() && tcp.read_exact(&mut buf).await.is_ok() {
                    backend_received.fetch_add(1, Ordering::Relaxed);
                }
                let _ = tcp.close().await;
            }
        });
        let daemon = Daemon::start(
            plan.settings(&plan.instances[0], platform, backend),
            Dialect::own(),
            ex.clone(),
        )
        .await
        .expect("the daemon starts");
        let caller = Client::new(Arc::clone(&ex), daemon.addresses.callers);
        while daemon.discovery_state() != (1, true) {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        for position in 0..220 {
            cut_at.store(position, Ordering::Relaxed);
            let before = received.load(Ordering::Relaxed);
            let answer = caller
                .send(request("GET", "/k0/7"), None)
                .await
                .expect("an answer");
            let has_reached_backend = received.load(Ordering::Relaxed) > before;
            assert!(answer.status >= 500, "cut at {position}: {answer:?}");
            if has_reached_backend {
                assert_eq!(
                    answer.verdict(),
                    "may-have-run",
                    "cut at {position}: {answer:?}"
                );
            }
        }
    });
}

#[test]
fn refusals_before_the_work_are_not_run_and_failures_after_it_are_not() {
    run_on(2, async |ex| {
        let plan = FleetPlan::new(chain(1, 1), &[("s0", 1)], &["a"], &[]);
        let fleet = LocalFleet::start(ex, plan).await;
        let caller = fleet.caller(0);
        let backend = &fleet.backends[0];
        // The bundle declares that status 503 means refused before execution.
        backend.change_plan(|plan| plan.fault = Fault::Refuses);
        let refused = caller
            .send(request("GET", "/k0/7"), None)
            .await
            .expect("an answer");
        assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
        assert!(refused.header("retry-after").is_some());
        assert_eq!(backend.executions(), 0);

        backend.change_plan(|plan| plan.fault = Fault::AnswersError);
        let failed = caller
            .send(request("GET", "/k0/7"), None)
            .await
            .expect("an answer");
        assert_eq!((failed.status, failed.verdict()), (500, "ran"));

        backend.change_plan(|plan| plan.fault = Fault::BreaksBeforeHead);
        let interrupted = caller
            .send(request("GET", "/k0/7"), None)
            .await
            .expect("an answer");
        assert_eq!(
            interrupted.verdict(),
            if interrupted.status == 502 {
                "may-have-run"
            } else {
                "ran"
            }
        );
    });
}

#[test]
fn a_parent_whose_child_was_not_run_has_itself_run() {
    run_on(2, async |ex| {
        let plan = FleetPlan::new(chain(2, 2), &[("s0", 1), ("s1", 1)], &["a"], &[]);
        let fleet = LocalFleet::start(ex, plan).await;
        fleet.backends[1].change_plan(|plan| plan.fault = Fault::Refuses);
        let answer = fleet.caller(0).send(request("GET", "/k0/7"), None).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.verdict()), (502, "ran"));
        assert_eq!(fleet.backends[0].executions(), 1);
        assert_eq!(fleet.backends[1].executions(), 0);
    });
}
