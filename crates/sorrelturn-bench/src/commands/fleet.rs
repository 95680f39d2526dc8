//! `sorrelturn-bench fleet`

use super::CommandEntry;
use crate::{
    idle_fleet::{UsageSnapshot, start},
    processes::memory,
    run_on,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use smol::Timer;
use sorrelturn_platform::Counters;
use std::{process::ExitCode, time::Duration};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "fleet",
    signature,
    run,
};

/// Publications in each of the two states of the platform.
const PUBLICATIONS: u32 = 5;
/// How long a fleet that knows itself is left alone before it is watched.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// How long an idle fleet is watched.
const IDLE_TIME: Duration = Duration::from_secs(12);

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
        let row = run_on(2, async |_| measure(*size as usize).await);
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

async fn measure(size: usize) -> Row {
    let folder = std::env::temp_dir().join(format!("sorrelturn-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let fleet = start(size, &folder).await;
    fleet.wait_until_ready(size).await;
    Timer::after(SETTLE_TIME).await;

    let before = fleet.usage().await;
    Timer::after(IDLE_TIME).await;
    let idle = fleet.usage().await;
    let seconds = (idle.at - before.at).as_secs_f64();
    let (bytes_per_s, most_bytes_per_s) = rates(&before.bytes, &idle.bytes, seconds);
    let (cpu, most_cpu) = rates(&before.cpu_s, &idle.cpu_s, seconds);
    let per_s = |count: fn(&Counters) -> u64| {
        (count(&idle.counters) - count(&before.counters)) as f64 / seconds
    };

    let mut version = 1;
    let mut healthy = Vec::new();
    for _ in 0..PUBLICATIONS {
        version += 1;
        healthy.extend(fleet.publish(version, false).await);
    }
    let published = fleet.usage().await;
    // What publications cost is what came on top of an idle time of the same length.
    let each = |of: fn(&UsageSnapshot) -> &[f64], idle_rate: f64| {
        let length = (published.at - idle.at).as_secs_f64();
        let (rate, _) = rates(of(&idle), of(&published), length);
        (rate - idle_rate) * length / f64::from(PUBLICATIONS)
    };
    let bytes_per_publication = each(|reading| &reading.bytes, bytes_per_s);
    let cpu_ms_per_publication = each(|reading| &reading.cpu_s, cpu) * 1000.0;
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
        cpu_percent: cpu * 100.0,
        most_cpu_percent: most_cpu * 100.0,
        memory_mb,
        store_reads_per_s: per_s(|counters| counters.reads),
        store_writes_per_s: per_s(|counters| counters.writes),
        watches: idle.counters.watches_waiting as f64,
        bytes_per_publication,
        cpu_ms_per_publication,
        healthy_ms: middle_and_worst(&mut healthy),
        outage_ms: middle_and_worst(&mut outage),
    }
}

/// The mean rate a second over all daemons, and the highest.
fn rates(before: &[f64], after: &[f64], seconds: f64) -> (f64, f64) {
    let rates = before.iter().zip(after).map(|(b, a)| (a - b) / seconds);
    let (sum, most) = rates.fold((0.0, 0.0f64), |(sum, most), rate| {
        (sum + rate, most.max(rate))
    });
    (sum / before.len() as f64, most)
}

fn middle_and_worst(times: &mut [u64]) -> (u64, u64) {
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied().unwrap_or(0);
    (middle, times.last().copied().unwrap_or(0))
}
