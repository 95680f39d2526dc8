//! Network partitions that delay traffic and deliver it later cause neither double executions nor
//! wrong verdicts, and few lost requests.

mod common;

use bytes::Bytes;
use common::{bundle, chain, folder, request};
use hyper::Request;
use smol::Executor;
use sorrelturn_bench::{Answer, Client, FleetPlan, ProcessFleet, Relay, publish_bundle, run_on};
use sorrelturn_daemon::AdvertiseSettings;
use sorrelturn_platform::Platform;
use sorrelturn_protocol::MemberRecord;
use std::{sync::Arc, time::Duration};

const TIMEOUT: Duration = Duration::from_secs(20);

/// The relays through which one daemon is connected to the fleet and the platform.
struct Paths {
    peers: Relay,
    control: Relay,
    platform: Relay,
}

impl Paths {
    fn cut(&self) {
        for path in self.all() {
            path.cut();
        }
    }

    fn join(&self) {
        for path in self.all() {
            path.heal();
        }
    }

    fn all(&self) -> [&Relay; 3] {
        [&self.peers, &self.control, &self.platform]
    }
}

/// Starts a fleet whose last daemon is connected to the others and the platform through relays.
async fn start(ex: Arc<Executor<'static>>, plan: FleetPlan, test: &str) -> (ProcessFleet, Paths) {
    let mut fleet = ProcessFleet::start(Arc::clone(&ex), plan, &folder(test)).await;
    let paths = Paths {
        peers: Relay::open(&ex).await,
        control: Relay::open(&ex).await,
        platform: Relay::open(&ex).await,
    };
    paths.platform.set_target(fleet.platform);
    let last = fleet.daemons.pop().expect("the plan has daemons");
    let mut settings = last.settings.clone();
    settings.platform.address = paths.platform.addr;
    settings.advertise = AdvertiseSettings {
        peers: Some(paths.peers.addr),
        control: Some(paths.control.addr),
    };
    // The earlier incarnation ends without notice and is replaced, as a VM is.
    drop(last);
    let backend = sorrelturn_bench::Process::start("sorrelturn-bench", &["backend"]);
    let addr = backend.first_line.parse().expect("an address");
    settings.backend.address = addr;
    let daemon = fleet.start_with(settings, backend, addr).await;
    paths.peers.set_target(daemon.addresses.peers);
    paths.control.set_target(daemon.addresses.control);
    fleet.daemons.push(daemon);
    let instance = fleet.daemons[fleet.daemons.len() - 1]
        .settings
        .instance
        .clone();
    for daemon in &fleet.daemons {
        let is_new_incarnation = |record: &MemberRecord| record.peer_addr == paths.peers.addr;
        daemon.until_member(&instance, is_new_incarnation).await;
    }
    // A new incarnation refuses calls until it has fetched the bundle, which can be after discovery.
    fleet.wait_for_all_members().await;
    (fleet, paths)
}

async fn book(caller: &Client, token: &str) -> Answer {
    let req = Request::post("/bookings/h1")
        .header("sorrelturn-token", token)
        .header("x-execution-key", "k")
        .body(Bytes::new());
    let answer = caller.send(req.expect("a request"), None).await;
    answer.expect("an answer")
}

#[test]
fn a_booking_that_the_network_delays_is_never_reported_as_not_run_and_runs_at_most_once() {
    run_on(2, async |ex| {
        let mut deployment = bundle("protokols-riga.jsonc");
        let scheduling = deployment.services.get_mut("scheduling");
        let scheduling = scheduling.expect("the example has it");
        let kind = scheduling.kinds.get_mut("stenographer-book");
        kind.expect("the example has it").deadline_ms = 1_000;
        let services = [("certification", 1), ("scheduling", 1)];
        let plan = FleetPlan::new(deployment, &services, &["riga-a"], &[]);
        let (fleet, paths) = start(ex, plan, "cut_booking").await;
        let caller = fleet.caller(0);
        let token_request = r#"{ "method": "POST", "path": "/bookings/h1" }"#;
        let req = Request::post("/.sorrelturn/tokens").body(Bytes::from(token_request));
        let answer = caller.send(req.expect("a request"), None).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 201, "{answer:?}");
        let token = answer.header("sorrelturn-token").expect("a token");

        paths.cut();
        let delayed = book(&caller, token).await;
        assert_eq!(delayed.verdict(), "may-have-run", "{delayed:?}");
        assert!(fleet.daemons[1].execution_counts().await.is_empty());

        // The delayed request arrives while the caller retries.
        paths.join();
        let mut last = book(&caller, token).await;
        for _ in 0..20 {
            if last.status == 200 {
                break;
            }
            last = book(&caller, token).await;
        }
        let executions = fleet.daemons[1].execution_counts().await;
        let executions = executions.get("k stenographer-book").copied().unwrap_or(0);
        // A request that is cancelled during execution has an unknown outcome and must not run again.
        assert!(executions <= 1, "{executions} executions");
        if last.status == 200 {
            assert_eq!(executions, 1, "{last:?}");
        } else {
            assert_ne!((last.verdict(), executions), ("not-run", 1), "{last:?}");
        }
    });
}

#[test]
fn few_calls_are_lost_to_a_partitioned_instance() {
    run_on(2, async |ex| {
        let mut deployment = chain(1, 4);
        let service = deployment.services.get_mut("s0").expect("the chain has it");
        let kind = service.kinds.get_mut("k0").expect("the chain has it");
        kind.deadline_ms = 500;
        let plan = FleetPlan::new(deployment, &[("s0", 4)], &["a"], &[]);
        let (fleet, paths) = start(ex, plan, "cut_calls").await;
        let caller = fleet.caller(0);
        paths.cut();
        let mut lost = 0;
        for _ in 0..200 {
            let answer = caller.send(request("GET", "/k0/7"), None).await;
            lost += u32::from(answer.expect("an answer").status != 200);
        }
        // Consecutive failures eject the instance; without ejection, every fourth call would be lost.
        assert!(lost <= 20, "{lost} of 200 calls were lost");
    });
}

#[test]
fn a_daemon_that_neither_platform_nor_peers_can_reach_fetches_the_bundle_itself() {
    run_on(1, async |ex| {
        let plan = FleetPlan::new(chain(1, 2), &[("s0", 4)], &["a", "b"], &[]);
        let (fleet, paths) = start(ex, plan, "cut_daemon").await;
        paths.cut();
        let mut bundle = chain(1, 2);
        let service = bundle.services.get_mut("s0").expect("the chain has it");
        service.slots = 21;
        publish_bundle(&Platform::new(fleet.platform, TIMEOUT), &bundle).await;
        for daemon in &fleet.daemons {
            daemon.until(|status| status.bundle_version == 2).await;
        }
        paths.join();
        fleet.wait_for_all_members().await;
    });
}
