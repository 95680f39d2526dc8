//! Fleets of daemon processes without backend servers, to measure the cost of control traffic by
//! fleet size.

use crate::{
    fleet::{FleetPlan, InstancePlan, publish_bundle},
    processes::{Process, cpu_time, play_faults},
};
use bytes::Bytes;
use hyper::Request;
use smol::Timer;
use sorrelturn_bundle::{BundleSource, SignedManifest, split};
use sorrelturn_daemon::{ListenSettings, StatusReport};
use sorrelturn_platform::{Counters, Faults, Platform, http::exchange};
use sorrelturn_telemetry::EventRecord;
use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The number of services in the bundle, as in a fleet of the target size.
const SERVICE_COUNT: usize = 75;
const DOMAIN_COUNT: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(60);

/// A bundle of the target size. Each `revision` changes one service.
fn bundle(revision: u32) -> BundleSource {
    let mut bundle = crate::example_bundle("protokols-riga");
    let template = bundle.services["archive"].clone();
    bundle.services.clear();
    for number in 0..SERVICE_COUNT {
        let mut service = template.clone();
        service.kinds = template
            .kinds
            .iter()
            .map(|(name, kind)| {
                let mut kind = kind.clone();
                kind.path = format!("/s{number}{}", kind.path);
                kind.exposed = true;
                kind.calls.clear();
                (format!("{name}-{number}"), kind)
            })
            .collect();
        bundle.services.insert(format!("service-{number}"), service);
    }
    for caller in bundle.callers.values_mut() {
        caller.kinds.clear();
    }
    let changed_service = format!("service-{}", revision as usize % SERVICE_COUNT);
    if let Some(service) = bundle.services.get_mut(&changed_service) {
        service.slots += revision;
    }
    bundle
}

fn plan(size: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(bundle(0), &[], &["-"], &[]);
    plan.instances = (0..size)
        .map(|number| InstancePlan {
            instance: format!("i{number}"),
            service: format!("service-{}", number % SERVICE_COUNT),
            failure_domain: format!("d{}", number % DOMAIN_COUNT),
        })
        .collect();
    plan
}

/// The resources that all daemons have used up to one moment.
pub(crate) struct UsageSnapshot {
    /// Control traffic by daemon.
    pub(crate) bytes: Vec<f64>,
    /// By daemon.
    pub(crate) cpu_s: Vec<f64>,
    /// The store's call counters.
    pub(crate) counters: Counters,
    pub(crate) at: Instant,
}

/// Daemon processes that carry no requests, and the platform stand-in.
pub(crate) struct IdleFleet {
    pub(crate) daemons: Vec<(Process, ListenSettings)>,
    platform: SocketAddr,
    _platform: Process,
}

/// Starts `size` daemons, assigned to the failure domains in turn.
pub(crate) async fn start(size: usize, folder: &Path) -> IdleFleet {
    let platform = Process::start("sorrelturn-platform", &["--listen", "127.0.0.1:0"]);
    let addr: SocketAddr = platform.first_line.parse().expect("an address");
    publish_bundle(&Platform::new(addr, TIMEOUT), &bundle(0)).await;
    let plan = plan(size);
    // No request reaches a backend server, so none is started.
    let unused_addr: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let daemons = plan
        .instances
        .iter()
        .map(|instance| {
            let settings = plan.settings(instance, addr, unused_addr);
            let file = folder.join(format!("{}.jsonc", instance.instance));
            let text = serde_json::to_string(&settings).expect("settings are JSON");
            std::fs::write(&file, text).expect("the folder can be written");
            let process =
                Process::start("sorrelturnd", &["--settings", &file.display().to_string()]);
            let addresses = serde_json::from_str(&process.first_line).expect("addresses");
            (process, addresses)
        })
        .collect();
    IdleFleet {
        daemons,
        platform: addr,
        _platform: platform,
    }
}

impl IdleFleet {
    /// Waits until each daemon knows all members and has a bundle in force.
    pub(crate) async fn wait_until_ready(&self, size: usize) {
        for (_, addresses) in &self.daemons {
            let deadline = Instant::now() + TIMEOUT;
            loop {
                let status: StatusReport = get_json(addresses.admin, "/status").await;
                if status.members == size && status.bundle_version > 0 {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "the daemons did not discover one another in time"
                );
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }

    pub(crate) async fn usage(&self) -> UsageSnapshot {
        let mut bytes = Vec::new();
        for (_, addresses) in &self.daemons {
            let status: StatusReport = get_json(addresses.admin, "/status").await;
            bytes.push(status.control_bytes as f64);
        }
        let cpu_seconds = self
            .daemons
            .iter()
            .map(|(process, _)| cpu_time(process.pid()).as_secs_f64())
            .collect();
        let counters = get_json(self.platform, "/stand-in/counters").await;
        UsageSnapshot {
            bytes,
            cpu_s: cpu_seconds,
            counters,
            at: Instant::now(),
        }
    }

    /// Publishes a bundle and returns, for each daemon, the milliseconds until it was in force.
    ///
    /// With `outage`, the platform goes down right after accepting the bundle, and the bundle is uploaded to one
    /// daemon instead, as the operator's command does.
    pub(crate) async fn publish(&self, version: u64, outage: bool) -> Vec<u64> {
        let source = bundle(version as u32);
        let manifest = publish_bundle(&Platform::new(self.platform, TIMEOUT), &source).await;
        let accepted_ms = unix_ms();
        if outage {
            play_faults(
                self.platform,
                &Faults {
                    down: true,
                    ..Faults::default()
                },
            )
            .await;
            self.upload_bundle(&manifest, &source).await;
        }
        let mut delays_ms = Vec::new();
        for (_, addresses) in &self.daemons {
            delays_ms.push(
                wait_until_in_force(addresses.admin, version)
                    .await
                    .saturating_sub(accepted_ms),
            );
        }
        play_faults(self.platform, &Faults::default()).await;
        delays_ms
    }

    async fn upload_bundle(&self, manifest: &SignedManifest, source: &BundleSource) {
        let upload = serde_json::json!({ "manifest": manifest, "sections": split(source) });
        let req = Request::put("/bundle").body(Bytes::from(upload.to_string()));
        let admin = self.daemons[0].1.admin;
        let uploaded = exchange(admin, req.expect("a request"), TIMEOUT).await;
        assert!(uploaded.is_ok_and(|res| res.status().is_success()));
    }
}

/// The Unix time in milliseconds at which `version` or a later one came in force at a daemon,
/// according to its events.
async fn wait_until_in_force(admin: SocketAddr, version: u64) -> u64 {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let events: Vec<EventRecord> = get_json(admin, "/events").await;
        let found = events.iter().find(|event| {
            let event_version = event
                .field("version")
                .and_then(|text| text.parse::<u64>().ok());
            event.name == "bundle-in-force" && event_version >= Some(version)
        });
        if let Some(event) = found {
            return event.at_ms;
        }
        assert!(
            Instant::now() < deadline,
            "version {version} did not come in force in time"
        );
        Timer::after(Duration::from_millis(50)).await;
    }
}

async fn get_json<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let req = Request::get(path).body(Bytes::new()).expect("a request");
    let res = exchange(addr, req, TIMEOUT)
        .await
        .expect("the process answers");
    serde_json::from_slice(res.body()).expect("the answer has the expected format")
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
