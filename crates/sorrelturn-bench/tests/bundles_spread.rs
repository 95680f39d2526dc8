//! An accepted bundle comes into force on all daemons despite faults, and is never rolled back to an
//! older version.

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

const TIMEOUT: Duration = Duration::from_secs(20);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

async fn start(ex: Arc<Executor<'static>>, test: &str, count: usize) -> ProcessFleet {
    let plan = FleetPlan::new(chain(1, 2), &[("s0", count)], &DOMAINS, &[]);
    ProcessFleet::start(ex, plan, &folder(test)).await
}

/// A bundle of one service with the given number of slots, so that each publication differs.
fn bundle_with_slots(slots: u32) -> BundleSource {
    let mut bundle = chain(1, 2);
    for service in bundle.services.values_mut() {
        service.slots = slots;
    }
    bundle
}

fn platform(fleet: &ProcessFleet) -> Platform {
    Platform::new(fleet.platform, TIMEOUT)
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
        publish_bundle(&platform(&fleet), &bundle_with_slots(21)).await;
        until_in_force(&fleet, 2).await;
        fleet
            .play(&Faults {
                silent_watches: true,
                ..Faults::default()
            })
            .await;
        publish_bundle(&platform(&fleet), &bundle_with_slots(22)).await;
        until_in_force(&fleet, 3).await;
    });
}

#[test]
fn a_bundle_that_one_daemon_has_reaches_all_while_the_platform_is_down() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_outage", 6).await;
        let publication =
            Publication::sign(&bundle_with_slots(23), 2, "", &operator_key()).expect("signed");
        fleet
            .play(&Faults {
                down: true,
                ..Faults::default()
            })
            .await;
        // The platform goes down right after accepting; the operator uploads the bundle to a daemon.
        let body = serde_json::to_vec(&publication).expect("json");
        assert_eq!(upload_bundle(&fleet, 5, body).await, 200);
        until_in_force(&fleet, 2).await;
        // A daemon that is restarted during the outage fetches the newest bundle from its peers.
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

async fn upload_bundle(fleet: &ProcessFleet, index: usize, body: Vec<u8>) -> u16 {
    let req = Request::put("/bundle")
        .body(Bytes::from(body))
        .expect("a request");
    let addr = fleet.daemons[index].addresses.admin;
    let res = exchange(addr, req, TIMEOUT)
        .await
        .expect("the daemon answers");
    res.status().as_u16()
}

#[test]
fn forged_replayed_older_and_partial_bundles_are_not_accepted() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_forged", 2).await;
        publish_bundle(&platform(&fleet), &bundle_with_slots(24)).await;
        until_in_force(&fleet, 2).await;
        let wrong_key = OperatorKey::from_hex("bench", &"17".repeat(32)).expect("a key");
        let unknown_operator = OperatorKey::from_hex("eve", &"42".repeat(32)).expect("a key");
        let own = operator_key();
        let sign = |version, key: &OperatorKey| {
            Publication::sign(&bundle_with_slots(25), version, "", key).expect("signed")
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
            ("wrong key", sign(9, &wrong_key), 403),
            ("unknown operator", sign(9, &unknown_operator), 403),
            ("half of the sections", partial, 403),
            ("swapped section", swapped, 403),
            ("altered manifest", altered, 403),
            ("replayed version", sign(2, &own), 200),
            ("older version", sign(1, &own), 200),
        ];
        for (case, publication, status) in refused {
            let body = serde_json::to_vec(&publication).expect("json");
            assert_eq!(upload_bundle(&fleet, 0, body).await, status, "{case}");
            let report = fleet.daemons[0].status().await.expect("the daemon answers");
            assert_eq!(report.bundle_version, 2, "{case}");
        }
        // An old head in the store, as after a restore from a backup, has no effect.
        let old_head = serde_json::to_string(&sign(1, &own).manifest).expect("json");
        let written = platform(&fleet)
            .put(keys::BUNDLE_HEAD, &old_head, Expected::Anything)
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
        for index in (0..fleet.daemons.len()).rev() {
            let watcher = fleet.daemons[index]
                .status()
                .await
                .is_some_and(|s| s.watcher);
            // At least one daemon of each failure domain stays.
            let domain = fleet.daemons[index].settings.failure_domain.clone();
            let remaining = fleet
                .daemons
                .iter()
                .filter(|daemon| daemon.settings.failure_domain == domain)
                .count();
            if watcher && remaining > 1 {
                let mut daemon = fleet.daemons.remove(index);
                daemon.process.kill();
                killed += 1;
            }
        }
        assert!(killed >= 3, "{killed}");
        publish_bundle(&platform(&fleet), &bundle_with_slots(26)).await;
        until_in_force(&fleet, 2).await;
    });
}

#[test]
fn a_daemon_that_was_cut_off_catches_up_when_it_is_back() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_cut_off", 6).await;
        // Frozen processes simulate a failure domain that is unreachable.
        let cut_off: Vec<&DaemonProcess> = fleet
            .daemons
            .iter()
            .filter(|daemon| daemon.settings.failure_domain == "c")
            .collect();
        for daemon in &cut_off {
            daemon.process.freeze().await;
        }
        publish_bundle(&platform(&fleet), &bundle_with_slots(27)).await;
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
        let first = Publication::sign(&bundle_with_slots(28), 2, "first", &key).expect("signed");
        let second = Publication::sign(&bundle_with_slots(29), 2, "second", &key).expect("signed");
        let accepted = publish(&platform, head.as_ref(), &first).await;
        assert_eq!(accepted.map(|accepted| accepted.version), Ok(2));
        let conflicting = publish(&platform, head.as_ref(), &second).await;
        assert_eq!(
            conflicting.map_err(|failure| failure.exit),
            Err(exit::CONFLICT)
        );
        until_in_force(&fleet, 2).await;
    });
}

#[test]
fn a_publication_whose_answer_is_lost_is_known_to_be_accepted() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_lost", 1).await;
        let platform = platform(&fleet);
        let head = read_head(&platform).await.expect("the store answers");
        let publication =
            Publication::sign(&bundle_with_slots(30), 2, "", &operator_key()).expect("signed");
        // The store loses the answer to every write of the publication: history, sections and head.
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
fn an_earlier_incarnation_that_looks_newer_doesnt_hide_a_daemon() {
    run_on(1, async |ex| {
        let fleet = start(ex, "spread_clock", 3).await;
        let own = fleet.daemons[0]
            .status()
            .await
            .expect("the daemon answers")
            .record;
        // As if the clock had been set back before this incarnation started.
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
        panic!("the status in the store did not become complete in time");
    });
}
