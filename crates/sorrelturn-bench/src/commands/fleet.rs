//! `sorrelturn-bench fleet`

use super::CommandEntry;
use crate::{
    fleet::{FleetPlan, InstancePlan, publish_bundle},
    processes::{Process, cpu_time, memory},
    run_on,
};
use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Request;
use smol::{Executor, Timer};
use sorrelturn_bundle::{BundleSource, SignedManifest, split};
use sorrelturn_daemon::{Addresses, StatusReport};
use sorrelturn_platform::{Counters, Faults, Platform, http::exchange};
use sorrelturn_telemetry::EventRecord;
use std::{
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "fleet",
    signature,
    run,
};

/// Services of the bundle, as many as at the size that is aimed at.
const SERVICES: usize = 75;
/// Failure domains.
const DOMAINS: usize = 5;
/// Publications in each of the two states of the platform.
const PUBLICATIONS: u32 = 5;
/// How long an idle fleet is watched.
const IDLE_TIME: Duration = Duration::from_secs(12);
const WAIT: Duration = Duration::from_secs(60);

fn signature() -> Command {
    Command::new("fleet")
        .about("Starts fleets of real daemons and measures what control costs as they grow")
        .after_help("Example:\n  sorrelturn-bench fleet --sizes 10,50,100,200")
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("NUMBERS")
                .help("The sizes, with commas between them")
                .default_value("10,50,100,200")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(2..=250)),
        )
}

/// What one size came to; all but the times of publications are for one daemon.
struct Row {
    size: f64,
    bytes_per_s: f64,
    most_bytes_per_s: f64,
    cpu_percent: f64,
    most_cpu_percent: f64,
    memory_mb: f64,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
    watches: f64,
    bytes_per_publication: f64,
    cpu_ms_per_publication: f64,
    healthy_ms: (u64, u64),
    outage_ms: (u64, u64),
}

fn run(args: &ArgMatches) -> ExitCode {
    let sizes = args.get_many::<u64>("sizes").expect("clap fills it in");
    println!(
        "size  bytes/s (most)  cpu % (most)   MB   store r/s   w/s  watches  bytes/publ  \
         cpu ms/publ  in force ms: median worst  in outage: median worst"
    );
    let mut rows = Vec::new();
    for size in sizes {
        let row = run_on(2, async |ex| measure(ex, *size as usize).await);
        println!(
            "{:>4} {:>8.0} {:>6.0} {:>7.3} {:>6.3} {:>5.1} {:>10.1} {:>5.1} {:>8.0} {:>11.0} \
             {:>12.1} {:>18} {:>6} {:>19} {:>6}",
            row.size,
            row.bytes_per_s,
            row.most_bytes_per_s,
            row.cpu_percent,
            row.most_cpu_percent,
            row.memory_mb,
            row.store_reads_per_s,
            row.store_writes_per_s,
            row.watches,
            row.bytes_per_publication,
            row.cpu_ms_per_publication,
            row.healthy_ms.0,
            row.healthy_ms.1,
            row.outage_ms.0,
            row.outage_ms.1,
        );
        rows.push(row);
    }
    if rows.len() > 1 {
        println!("\nstraight lines: value = base + slope x size, and the largest distance from it");
        print_line("bytes/s a daemon", &rows, |row| row.bytes_per_s);
        print_line("cpu % a daemon", &rows, |row| row.cpu_percent);
        print_line("MB a daemon", &rows, |row| row.memory_mb);
        print_line("store reads/s", &rows, |row| row.store_reads_per_s);
        print_line("store writes/s", &rows, |row| row.store_writes_per_s);
        print_line("bytes a publication", &rows, |row| {
            row.bytes_per_publication
        });
        print_line("cpu ms a publication", &rows, |row| {
            row.cpu_ms_per_publication
        });
    }
    ExitCode::SUCCESS
}

fn print_line(what: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.size).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let spread: f64 = rows.iter().map(|row| (row.size - mean_x).powi(2)).sum();
    let slope = rows
        .iter()
        .map(|row| (row.size - mean_x) * (value(row) - mean_y))
        .sum::<f64>()
        / spread;
    let base = mean_y - slope * mean_x;
    let off = rows
        .iter()
        .map(|row| (value(row) - base - slope * row.size).abs())
        .fold(0.0, f64::max);
    println!("{what:<22} base {base:>10.4}  slope {slope:>10.6}  off by {off:.4}");
}

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
    let mut plan = FleetPlan::of(bundle(0), &[], &["-"], &[]);
    plan.instances = (0..size)
        .map(|number| InstancePlan {
            instance: format!("i{number}"),
            service: format!("service-{}", number % SERVICES),
            failure_domain: format!("d{}", number % DOMAINS),
        })
        .collect();
    plan
}

struct Running {
    daemons: Vec<(Process, Addresses)>,
    platform: SocketAddr,
    _platform: Process,
}

async fn start(size: usize, folder: &Path) -> Running {
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
    Running {
        daemons,
        platform: addr,
        _platform: platform,
    }
}

async fn measure(_: Arc<Executor<'static>>, size: usize) -> Row {
    let folder = std::env::temp_dir().join(format!("sorrelturn-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let fleet = start(size, &folder).await;
    fleet.settle(size).await;
    Timer::after(Duration::from_secs(5)).await;

    let (bytes, cpu, counters, begin) = fleet.reading().await;
    Timer::after(IDLE_TIME).await;
    let (bytes_after, cpu_after, counters_after, end) = fleet.reading().await;
    let seconds = (end - begin).as_secs_f64();
    let rates = |before: &[f64], after: &[f64], scale: f64| -> (f64, f64) {
        let rates = before
            .iter()
            .zip(after)
            .map(|(b, a)| (a - b) / seconds * scale);
        let (sum, most) = rates.fold((0.0, 0.0f64), |(sum, most), rate| {
            (sum + rate, most.max(rate))
        });
        (sum / before.len() as f64, most)
    };
    let (bytes_per_s, most_bytes_per_s) = rates(&bytes, &bytes_after, 1.0);
    let (cpu_percent, most_cpu_percent) = rates(&cpu, &cpu_after, 100.0);
    let per_s =
        |count: fn(&Counters) -> u64| (count(&counters_after) - count(&counters)) as f64 / seconds;

    let mut version = 1;
    let mut healthy = Vec::new();
    for _ in 0..PUBLICATIONS {
        version += 1;
        healthy.extend(fleet.publish(version, false).await);
    }
    let (bytes_published, cpu_published, _, published) = fleet.reading().await;
    let idle = (published - end).as_secs_f64();
    let mean = |before: &[f64], after: &[f64]| {
        before.iter().zip(after).map(|(b, a)| a - b).sum::<f64>() / before.len() as f64
    };
    let each = f64::from(PUBLICATIONS);
    let bytes_per_publication = (mean(&bytes_after, &bytes_published) - bytes_per_s * idle) / each;
    let cpu_ms_per_publication =
        (mean(&cpu_after, &cpu_published) * 1000.0 - cpu_percent * 10.0 * idle) / each;
    let mut outage = Vec::new();
    for _ in 0..PUBLICATIONS {
        version += 1;
        outage.extend(fleet.publish(version, true).await);
    }
    let pids = fleet.daemons.iter().map(|(process, _)| process.pid());
    let memory_mb = pids.map(|pid| memory(pid) as f64 / 1e6).sum::<f64>() / size as f64;
    let _ = std::fs::remove_dir_all(&folder);
    Row {
        size: size as f64,
        bytes_per_s,
        most_bytes_per_s,
        cpu_percent,
        most_cpu_percent,
        memory_mb,
        store_reads_per_s: per_s(|counters| counters.reads),
        store_writes_per_s: per_s(|counters| counters.writes),
        watches: counters_after.watches_waiting as f64,
        bytes_per_publication,
        cpu_ms_per_publication,
        healthy_ms: middle_and_worst(&mut healthy),
        outage_ms: middle_and_worst(&mut outage),
    }
}

fn middle_and_worst(times: &mut [u64]) -> (u64, u64) {
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied().unwrap_or(0);
    (middle, times.last().copied().unwrap_or(0))
}

impl Running {
    async fn settle(&self, size: usize) {
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
    async fn reading(&self) -> (Vec<f64>, Vec<f64>, Counters, Instant) {
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
        (bytes, cpu, counters, Instant::now())
    }

    /// Publishes, and returns for each daemon the milliseconds until the bundle was in force.
    ///
    /// In an outage the platform goes down right after the acceptance, and the operator's command
    /// hands the bundle to one daemon.
    async fn publish(&self, version: u64, outage: bool) -> Vec<u64> {
        let source = bundle(version as u32);
        let manifest = publish_bundle(&Platform::new(self.platform, WAIT), &source).await;
        let accepted = unix_ms();
        if outage {
            self.play(&Faults {
                down: true,
                ..Faults::default()
            })
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
        self.play(&Faults::default()).await;
        times
    }

    async fn play(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).unwrap_or_default();
        let req = Request::put("/stand-in/faults").body(Bytes::from(body));
        let played = exchange(self.platform, req.expect("a request"), WAIT).await;
        assert!(played.is_ok_and(|res| res.status().is_success()));
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
