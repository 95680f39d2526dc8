//! An accepted bundle comes in force everywhere, whatever fails, and never goes back.

mod common;

use bytes::Bytes;
use common::{chain, folder};
use hyper::Request;
use smol::{Executor, Timer};
use sorrelturn_bench::{
    DaemonProcess, FleetPlan, ProcessFleet, operator_key, publish_bundle, run_on,
};
use sorrelturn_bundle::{BundleSource, OperatorKey};
use sorrelturn_command::{Publication, exit, publish, read_head};
use sorrelturn_platform::{Expected, Faults, Platform, http::exchange, keys};
use sorrelturn_protocol::Incarnation;
use std::{sync::Arc, time::Duration};

const WAIT: Duration = Duration::from_secs(20);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

async fn start(ex: Arc<Executor<'static>>, test: &str, count: usize) -> ProcessFleet {
    let plan = FleetPlan::new(chain(1, 2), &[("s0", count)], &DOMAINS, &[]);
    ProcessFleet::start(ex, plan, &folder(test)).await
}

/// A bundle that differs from the last one.
fn changed(slots: u32) -> BundleSource {
    let mut bundle = chain(1, 2);
    for service in bundle.services.values_mut() {
        service.slots = slots;
    }
    bundle
}

fn platform(fleet: &ProcessFleet) -> Platform {
    Platform::new(fleet.platform, WAIT)
}

async fn until_in_force(fleet: &ProcessFleet, version: u64) {
    for daemon in &fleet.daemons {
        daemon
            .until(|status| status.bundle_version == version)
            .await;
    }
}

#[test]
fn a_bundle_is_in_force_everywhere_though_watches_stop_silently() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_silent", 6).await;
        publish_bundle(&platform(&fleet), &changed(21)).await;
        until_in_force(&fleet, 2).await;
        fleet
            .play(&Faults {
                silent_watches: true,
                ..Faults::default()
            })
            .await;
        publish_bundle(&platform(&fleet), &changed(22)).await;
        until_in_force(&fleet, 3).await;
    });
}

#[test]
fn a_bundle_that_one_daemon_has_reaches_all_while_the_platform_is_down() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_outage", 6).await;
        let publication = Publication::sign(&changed(23), 2, "", &operator_key()).expect("signed");
        fleet
            .play(&Faults {
                down: true,
                ..Faults::default()
            })
            .await;
        // The platform went down right after the acceptance; the operator hands the bundle over.
        let body = serde_json::to_vec(&publication).expect("json");
        assert_eq!(bring(&fleet, 5, body).await, 200);
        until_in_force(&fleet, 2).await;
        // A daemon that is restarted in the outage takes the newest from its peers.
        let mut fleet = fleet;
        let seed = fleet.daemons[1].addresses.control;
        fleet.daemons[0].process.kill();
        let mut settings = fleet.daemons[0].settings.clone();
        settings.seeds = vec![seed];
        let backend = sorrelturn_bench::Process::start("sorrelturn-bench", &["backend"]);
        let addr = backend.first_line.parse().expect("an address");
        settings.backend.address = addr;
        fleet.daemons[0] = fleet.start_with(settings, backend, addr).await;
        until_in_force(&fleet, 2).await;
    });
}

async fn bring(fleet: &ProcessFleet, at: usize, body: Vec<u8>) -> u16 {
    let req = Request::put("/bundle")
        .body(Bytes::from(body))
        .expect("a request");
    let addr = fleet.daemons[at].addresses.admin;
    let res = exchange(addr, req, WAIT).await.expect("the daemon answers");
    res.status().as_u16()
}

#[test]
fn forged_replayed_older_and_partial_bundles_are_not_taken() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_forged", 2).await;
        publish_bundle(&platform(&fleet), &changed(24)).await;
        until_in_force(&fleet, 2).await;
        let stranger = OperatorKey::from_hex("bench", &"17".repeat(32)).expect("a key");
        let unknown = OperatorKey::from_hex("eve", &"42".repeat(32)).expect("a key");
        let own = operator_key();
        let sign = |version, key: &OperatorKey| {
            Publication::sign(&changed(25), version, "", key).expect("signed")
        };
        let mut partial = sign(9, &own);
        partial.sections.pop();
        let mut swapped = sign(9, &own);
        swapped.sections[0].bytes = b"{}".to_vec();
        let mut altered = sign(9, &own);
        altered.manifest.manifest = altered
            .manifest
            .manifest
            .replace("\"version\":9", "\"version\":8");
        let refused = [
            ("stranger's key", sign(9, &stranger), 403),
            ("unknown operator", sign(9, &unknown), 403),
            ("half of the sections", partial, 403),
            ("swapped section", swapped, 403),
            ("altered manifest", altered, 403),
            ("replayed version", sign(2, &own), 200),
            ("older version", sign(1, &own), 200),
        ];
        for (what, publication, status) in refused {
            let body = serde_json::to_vec(&publication).expect("json");
            assert_eq!(bring(&fleet, 0, body).await, status, "{what}");
            let report = fleet.daemons[0].status().await.expect("the daemon answers");
            assert_eq!(report.bundle_version, 2, "{what}");
        }
        // A store that shows an old head, as after a restore from a copy, changes nothing.
        let old = serde_json::to_string(&sign(1, &own).manifest).expect("json");
        let written = platform(&fleet)
            .put(keys::BUNDLE_HEAD, &old, Expected::Anything)
            .await;
        assert!(written.is_ok());
        Timer::after(Duration::from_secs(3)).await;
        for daemon in &fleet.daemons {
            assert_eq!(
                daemon.status().await.map(|status| status.bundle_version),
                Some(2)
            );
        }
    });
}

#[test]
fn with_the_watchers_killed_others_take_over() {
    run_on(1, async |ex| {
        let mut fleet = start(ex, "spread_watchers", 9).await;
        let mut killed = 0;
        for at in (0..fleet.daemons.len()).rev() {
            let watcher = fleet.daemons[at].status().await.is_some_and(|s| s.watcher);
            // One of each failure domain's three is left, whichever it is.
            let domain = fleet.daemons[at].settings.failure_domain.clone();
            let left = fleet
                .daemons
                .iter()
                .filter(|daemon| daemon.settings.failure_domain == domain)
                .count();
            if watcher && left > 1 {
                let mut daemon = fleet.daemons.remove(at);
                daemon.process.kill();
                killed += 1;
            }
        }
        assert!(killed >= 3, "{killed}");
        publish_bundle(&platform(&fleet), &changed(26)).await;
        until_in_force(&fleet, 2).await;
    });
}

#[test]
fn a_daemon_that_was_cut_off_catches_up_when_it_is_back() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_cut_off", 6).await;
        // Frozen processes stand for a failure domain that nobody reaches.
        let cut_off: Vec<&DaemonProcess> = fleet
            .daemons
            .iter()
            .filter(|daemon| daemon.settings.failure_domain == "c")
            .collect();
        for daemon in &cut_off {
            daemon.process.freeze().await;
        }
        publish_bundle(&platform(&fleet), &changed(27)).await;
        for daemon in &fleet.daemons {
            if daemon.settings.failure_domain != "c" {
                daemon.until(|status| status.bundle_version == 2).await;
            }
        }
        for daemon in &cut_off {
            daemon.process.signal("CONT");
        }
        until_in_force(&fleet, 2).await;
    });
}

#[test]
fn of_two_racing_operators_one_gets_a_clear_conflict() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_race", 1).await;
        let platform = platform(&fleet);
        let head = read_head(&platform).await.expect("the store answers");
        let key = operator_key();
        let first = Publication::sign(&changed(28), 2, "first", &key).expect("signed");
        let second = Publication::sign(&changed(29), 2, "second", &key).expect("signed");
        let accepted = publish(&platform, head.as_ref(), &first).await;
        assert_eq!(accepted.map(|accepted| accepted.version), Ok(2));
        let lost = publish(&platform, head.as_ref(), &second).await;
        assert_eq!(lost.map_err(|failure| failure.exit), Err(exit::CONFLICT));
        until_in_force(&fleet, 2).await;
    });
}

#[test]
fn a_publication_whose_answer_is_lost_is_known_to_be_accepted() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_lost", 1).await;
        let platform = platform(&fleet);
        let head = read_head(&platform).await.expect("the store answers");
        let publication = Publication::sign(&changed(30), 2, "", &operator_key()).expect("signed");
        // Every write of the publication loses its answer: history, sections, head.
        fleet
            .play(&Faults {
                lose_write_answers: 100,
                ..Faults::default()
            })
            .await;
        let accepted = publish(&platform, head.as_ref(), &publication).await;
        assert_eq!(accepted.map(|accepted| accepted.version), Ok(2));
    });
}

#[test]
fn an_earlier_run_that_looks_newer_doesnt_hide_a_daemon() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_clock", 3).await;
        let own = fleet.daemons[0]
            .status()
            .await
            .expect("the daemon answers")
            .record;
        // As if the clock had been set back before this run began.
        let mut earlier = own.clone();
        earlier.incarnation = Incarnation(7);
        earlier.started_ms += 1_000_000_000;
        let value = serde_json::to_string(&earlier).expect("json");
        let written = platform(&fleet)
            .put(&keys::member(&own.instance), &value, Expected::Anything)
            .await;
        assert!(written.is_ok());
        for daemon in &fleet.daemons[1..] {
            daemon
                .until_member(&own.instance, |record| {
                    record.incarnation == own.incarnation && record.started_ms > earlier.started_ms
                })
                .await;
        }
    });
}

#[test]
fn the_status_of_the_fleet_is_in_the_store_for_each_failure_domain() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_status", 6).await;
        let platform = platform(&fleet);
        for _ in 0..300 {
            let changes = platform
                .list(keys::STATUS)
                .await
                .expect("the store answers");
            let statuses: Vec<sorrelturn_fleet::DomainStatus> = changes
                .objects
                .iter()
                .filter_map(|object| serde_json::from_str(&object.value).ok())
                .collect();
            let reporting: usize = statuses.iter().flat_map(|s| s.in_force.values()).sum();
            if statuses.len() == DOMAINS.len() && reporting == 6 {
                return;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        panic!("the status never became whole");
    });
}
