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

/// With the platform up, and as many during an outage.
const PUBLICATION_COUNT: u32 = 5;
/// The wait before a ready fleet is measured.
const SETTLE_DURATION: Duration = Duration::from_secs(5);
const IDLE_MEASUREMENT_DURATION: Duration = Duration::from_secs(12);

fn signature() -> Command {
    Command::new("fleet")
        .about(
            "Starts fleets of real daemons and measures the cost of control traffic by fleet size",
        )
        .after_help("Example:\n  sorrelturn-bench fleet --sizes 10,50,100,200")
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("NUMBERS")
                .help("The fleet sizes, separated by commas")
                .default_value("10,50,100,200")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(2..=250)),
        )
}

/// The results for one fleet size. Memory, CPU time and control bytes are per daemon.
struct Row {
    size: f64,
    bytes_per_s: f64,
    max_bytes_per_s: f64,
    cpu_percent: f64,
    max_cpu_percent: f64,
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
    let sizes = args
        .get_many::<u64>("sizes")
        .expect("clap fills in the default");
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
            row.max_bytes_per_s,
            row.cpu_percent,
            row.max_cpu_percent,
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
        println!("\nlinear fits: value = base + slope x size, with the maximum deviation");
        print_linear_fit("bytes/s a daemon", &rows, |row| row.bytes_per_s);
        print_linear_fit("cpu % a daemon", &rows, |row| row.cpu_percent);
        print_linear_fit("MB a daemon", &rows, |row| row.memory_mb);
        print_linear_fit("store reads/s", &rows, |row| row.store_reads_per_s);
        print_linear_fit("store writes/s", &rows, |row| row.store_writes_per_s);
        print_linear_fit("bytes a publication", &rows, |row| {
            row.bytes_per_publication
        });
        print_linear_fit("cpu ms a publication", &rows, |row| {
            row.cpu_ms_per_publication
        });
    }
    ExitCode::SUCCESS
}

/// Prints a least-squares fit of a value by fleet size.
fn print_linear_fit(label: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.size).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let sum_of_squares: f64 = rows.iter().map(|row| (row.size - mean_x).powi(2)).sum();
    let slope = rows
        .iter()
        .map(|row| (row.size - mean_x) * (value(row) - mean_y))
        .sum::<f64>()
        / sum_of_squares;
    let base = mean_y - slope * mean_x;
    let max_deviation = rows
        .iter()
        .map(|row| (value(row) - base - slope * row.size).abs())
        .fold(0.0, f64::max);
    println!("{label:<22} base {base:>10.4}  slope {slope:>10.6}  off by {max_deviation:.4}");
}

async fn measure(size: usize) -> Row {
    let folder = std::env::temp_dir().join(format!("sorrelturn-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let fleet = start(size, &folder).await;
    fleet.wait_until_ready(size).await;
    Timer::after(SETTLE_DURATION).await;

    let before = fleet.usage().await;
    Timer::after(IDLE_MEASUREMENT_DURATION).await;
    let idle = fleet.usage().await;
    let seconds = (idle.at - before.at).as_secs_f64();
    let (bytes_per_s, max_bytes_per_s) = rates(&before.bytes, &idle.bytes, seconds);
    let (cpu, max_cpu) = rates(&before.cpu_s, &idle.cpu_s, seconds);
    let store_rate = |counter: fn(&Counters) -> u64| {
        (counter(&idle.counters) - counter(&before.counters)) as f64 / seconds
    };

    let mut version = 1;
    let mut healthy_ms = Vec::new();
    for _ in 0..PUBLICATION_COUNT {
        version += 1;
        healthy_ms.extend(fleet.publish(version, false).await);
    }
    let published = fleet.usage().await;
    // The cost of a publication is the usage above that of an idle fleet over the same time.
    let per_publication = |values: fn(&UsageSnapshot) -> &[f64], idle_rate: f64| {
        let elapsed_s = (published.at - idle.at).as_secs_f64();
        let (rate, _) = rates(values(&idle), values(&published), elapsed_s);
        (rate - idle_rate) * elapsed_s / f64::from(PUBLICATION_COUNT)
    };
    let bytes_per_publication = per_publication(|reading| &reading.bytes, bytes_per_s);
    let cpu_ms_per_publication = per_publication(|reading| &reading.cpu_s, cpu) * 1000.0;
    let mut outage_ms = Vec::new();
    for _ in 0..PUBLICATION_COUNT {
        version += 1;
        outage_ms.extend(fleet.publish(version, true).await);
    }
    let pids = fleet.daemons.iter().map(|(process, _)| process.pid());
    let memory_mb = pids.map(|pid| memory(pid) as f64 / 1e6).sum::<f64>() / size as f64;
    let _ = std::fs::remove_dir_all(&folder);
    Row {
        size: size as f64,
        bytes_per_s,
        max_bytes_per_s,
        cpu_percent: cpu * 100.0,
        max_cpu_percent: max_cpu * 100.0,
        memory_mb,
        store_reads_per_s: store_rate(|counters| counters.reads),
        store_writes_per_s: store_rate(|counters| counters.writes),
        watches: idle.counters.watches_waiting as f64,
        bytes_per_publication,
        cpu_ms_per_publication,
        healthy_ms: median_and_max(&mut healthy_ms),
        outage_ms: median_and_max(&mut outage_ms),
    }
}

/// The mean and the maximum rate per second over all daemons.
fn rates(before: &[f64], after: &[f64], seconds: f64) -> (f64, f64) {
    let rates = before.iter().zip(after).map(|(b, a)| (a - b) / seconds);
    let (sum, max) = rates.fold((0.0, 0.0f64), |(sum, max), rate| {
        (sum + rate, max.max(rate))
    });
    (sum / before.len() as f64, max)
}

fn median_and_max(delays_ms: &mut [u64]) -> (u64, u64) {
    delays_ms.sort_unstable();
    let median = delays_ms.get(delays_ms.len() / 2).copied().unwrap_or(0);
    (median, delays_ms.last().copied().unwrap_or(0))
}
