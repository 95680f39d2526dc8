//! Fleets of real daemons without backend servers, to see what control costs as they grow.

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

/// Services of the bundle, as many as at the size that is aimed at.
const SERVICES: usize = 75;
/// Failure domains.
const DOMAINS: usize = 5;
/// The longest time for anything that is waited for.
const WAIT: Duration = Duration::from_secs(60);

/// A bundle of the size that is aimed at; `round` changes one service of it.
fn bundle(round: u32) -> BundleSource {
    let mut bundle = crate::example_bundle("protokols-riga");
    let template = bundle.services["archive"].clone();
    bundle.services.clear();
    for number in 0..SERVICES {
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
    let changed = format!("service-{}", round as usize % SERVICES);
    if let Some(service) = bundle.services.get_mut(&changed) {
        service.slots += round;
    }
    bundle
}

fn plan(size: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(bundle(0), &[], &["-"], &[]);
    plan.instances = (0..size)
        .map(|number| InstancePlan {
            instance: format!("i{number}"),
            service: format!("service-{}", number % SERVICES),
            failure_domain: format!("d{}", number % DOMAINS),
        })
        .collect();
    plan
}

/// What all daemons had used at one moment.
pub(crate) struct UsageSnapshot {
    /// Control bytes of each daemon.
    pub(crate) bytes: Vec<f64>,
    /// Processor seconds of each daemon.
    pub(crate) cpu_s: Vec<f64>,
    /// The store's calls.
    pub(crate) counters: Counters,
    /// When it was read.
    pub(crate) at: Instant,
}

/// Daemons that carry no calls, and the platform's stand-in.
pub(crate) struct IdleFleet {
    pub(crate) daemons: Vec<(Process, ListenSettings)>,
    platform: SocketAddr,
    _platform: Process,
}

/// Starts so many daemons, spread over failure domains in turn.
pub(crate) async fn start(size: usize, folder: &Path) -> IdleFleet {
    let platform = Process::start("sorrelturn-platform", &["--listen", "127.0.0.1:0"]);
    let addr: SocketAddr = platform.first_line.parse().expect("an address");
    publish_bundle(&Platform::new(addr, WAIT), &bundle(0)).await;
    let plan = plan(size);
    // No call goes to a backend server here, so none is started.
    let nobody: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let daemons = plan
        .instances
        .iter()
        .map(|instance| {
            let settings = plan.settings(instance, addr, nobody);
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
    /// Waits until everybody knows everybody.
    pub(crate) async fn wait_until_ready(&self, size: usize) {
        for (_, addresses) in &self.daemons {
            let until = Instant::now() + WAIT;
            loop {
                let status: StatusReport = get(addresses.admin, "/status").await;
                if status.members == size && status.bundle_version > 0 {
                    break;
                }
                assert!(Instant::now() < until, "the fleet doesn't know itself");
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }

    /// Control bytes and processor seconds of each daemon, and the store's counters.
    pub(crate) async fn usage(&self) -> UsageSnapshot {
        let mut bytes = Vec::new();
        for (_, addresses) in &self.daemons {
            let status: StatusReport = get(addresses.admin, "/status").await;
            bytes.push(status.control_bytes as f64);
        }
        let cpu = self
            .daemons
            .iter()
            .map(|(process, _)| cpu_time(process.pid()).as_secs_f64())
            .collect();
        let counters = get(self.platform, "/stand-in/counters").await;
        UsageSnapshot {
            bytes,
            cpu_s: cpu,
            counters,
            at: Instant::now(),
        }
    }

    /// Publishes, and returns for each daemon the milliseconds until the bundle was in force.
    ///
    /// In an outage the platform goes down right after the acceptance, and the operator's command
    /// hands the bundle to one daemon.
    pub(crate) async fn publish(&self, version: u64, outage: bool) -> Vec<u64> {
        let source = bundle(version as u32);
        let manifest = publish_bundle(&Platform::new(self.platform, WAIT), &source).await;
        let accepted = unix_ms();
        if outage {
            play_faults(
                self.platform,
                &Faults {
                    down: true,
                    ..Faults::default()
                },
            )
            .await;
            self.bring(&manifest, &source).await;
        }
        let mut times = Vec::new();
        for (_, addresses) in &self.daemons {
            times.push(
                in_force_at(addresses.admin, version)
                    .await
                    .saturating_sub(accepted),
            );
        }
        play_faults(self.platform, &Faults::default()).await;
        times
    }

    async fn bring(&self, manifest: &SignedManifest, source: &BundleSource) {
        let brought = serde_json::json!({ "manifest": manifest, "sections": split(source) });
        let req = Request::put("/bundle").body(Bytes::from(brought.to_string()));
        let admin = self.daemons[0].1.admin;
        let taken = exchange(admin, req.expect("a request"), WAIT).await;
        assert!(taken.is_ok_and(|res| res.status().is_success()));
    }
}

/// When a version, or a higher one, came in force at a daemon, by the event that it noted.
async fn in_force_at(admin: SocketAddr, version: u64) -> u64 {
    let until = Instant::now() + WAIT;
    loop {
        let events: Vec<EventRecord> = get(admin, "/events").await;
        let found = events.iter().find(|event| {
            let in_force = event
                .field("version")
                .and_then(|text| text.parse::<u64>().ok());
            event.name == "bundle-in-force" && in_force >= Some(version)
        });
        if let Some(event) = found {
            return event.at_ms;
        }
        assert!(
            Instant::now() < until,
            "version {version} never came in force"
        );
        Timer::after(Duration::from_millis(50)).await;
    }
}

async fn get<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let req = Request::get(path).body(Bytes::new()).expect("a request");
    let res = exchange(addr, req, WAIT).await.expect("it answers");
    serde_json::from_slice(res.body()).expect("the answer is as agreed")
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
