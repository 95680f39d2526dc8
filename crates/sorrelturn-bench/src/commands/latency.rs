//! `sorrelturn-bench latency`

use super::CommandEntry;
use crate::{
    Client, Expected, FleetPlan, ProcessFleet,
    examples::example_bundle,
    plan::{Plan, plan_for},
    processes::cpu_time,
    run_on,
};
use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use hyper::Request;
use smol::{Executor, Timer};
use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "latency",
    signature,
    run,
};

/// The maximum latency that a histogram records; longer ones count as this.
const MAX_RECORDED_LATENCY_US: u64 = 10_000_000;

fn signature() -> Command {
    Command::new("latency")
        .about("Compares the latency of calls through two daemons with direct calls")
        .after_help("Example:\n  sorrelturn-bench latency --rate 200 --seconds 10")
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("CALLS")
                .help("Calls per second on each path")
                .default_value("200")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .help("How long the two paths are measured, in alternation")
                .default_value("10")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

struct Row {
    path: &'static str,
    latencies: Histogram<u64>,
    failed: u64,
    calls: u64,
    cpu: Duration,
}

fn run(args: &ArgMatches) -> ExitCode {
    let rate = *args
        .get_one::<u32>("rate")
        .expect("clap fills in the default");
    let seconds = *args
        .get_one::<u32>("seconds")
        .expect("clap fills in the default");
    let rows = run_on(2, async |ex| measure(ex, rate, seconds).await);
    println!("way         calls   failed  p50 us  p99 us  p99.9 us  daemons' CPU us/call");
    for row in &rows {
        let latency_at = |quantile| row.latencies.value_at_quantile(quantile);
        println!(
            "{:<10} {:>6} {:>8} {:>7} {:>7} {:>9} {:>21.1}",
            row.path,
            row.calls,
            row.failed,
            latency_at(0.5),
            latency_at(0.99),
            latency_at(0.999),
            row.cpu.as_secs_f64() * 1e6 / row.calls.max(1) as f64
        );
    }
    if let [direct, daemons] = rows.as_slice() {
        let added = |quantile| {
            daemons.latencies.value_at_quantile(quantile) as i64
                - direct.latencies.value_at_quantile(quantile) as i64
        };
        println!("added: p50 {} us, p99 {} us", added(0.5), added(0.99));
    }
    ExitCode::SUCCESS
}

async fn measure(ex: Arc<Executor<'static>>, rate: u32, seconds: u32) -> Vec<Row> {
    let plan = FleetPlan::new(
        example_bundle("protokols-riga"),
        &[("archive", 1), ("scheduling", 1)],
        &["riga-a"],
        &[],
    );
    let folder = std::env::temp_dir().join(format!("sorrelturn-latency-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let fleet = ProcessFleet::start(Arc::clone(&ex), plan, &folder).await;
    let work_ms = BTreeMap::from([("calendar-view".to_owned(), 0.0)]);
    let mut zero_work: Plan = plan_for(&fleet.plan.indexed_bundle(), "scheduling", &work_ms);
    zero_work.local = Some(fleet.daemons[1].addresses.local);
    fleet.daemons[1].set_plan(&zero_work).await;
    let direct = Client::new(Arc::clone(&ex), fleet.daemons[1].backend_addr);
    // The entry is the daemon of `archive`, the owner the daemon of `scheduling`.
    let through_daemons = fleet.caller(0);
    drive(&ex, &[&direct, &through_daemons], rate, 2).await;
    let pids: Vec<u32> = fleet.daemons.iter().map(|d| d.process.pid()).collect();
    let before: Duration = pids.iter().map(|pid| cpu_time(*pid)).sum();
    let results = drive(&ex, &[&direct, &through_daemons], rate, seconds).await;
    let after: Duration = pids.iter().map(|pid| cpu_time(*pid)).sum();
    // Direct calls bypass the daemons, so all of the daemons' CPU time belongs to the other path.
    let cpu = [Duration::ZERO, after.saturating_sub(before)];
    let rows = ["direct", "daemons"]
        .into_iter()
        .zip(results)
        .zip(cpu)
        .map(|((path, (latencies, failed)), cpu)| Row {
            path,
            calls: latencies.len() + failed,
            latencies,
            failed,
            cpu,
        })
        .collect();
    let _ = std::fs::remove_dir_all(&folder);
    rows
}

/// Sends `rate` calls per second to each client regardless of pending answers; returns the latencies
/// and the number of failures per client. The clients alternate call by call, so that other load on
/// the machine affects them equally.
async fn drive(
    ex: &Arc<Executor<'static>>,
    clients: &[&Client],
    rate: u32,
    seconds: u32,
) -> Vec<(Histogram<u64>, u64)> {
    let latencies =
        Histogram::new_with_bounds(1, MAX_RECORDED_LATENCY_US, 3).expect("the bounds are valid");
    let results = Arc::new(Mutex::new(vec![(latencies, 0); clients.len()]));
    let start = Instant::now();
    let mut tasks = Vec::new();
    let client_count = clients.len() as u32;
    for number in 0..rate * seconds * client_count {
        Timer::at(start + Duration::from_secs(1) * number / (rate * client_count)).await;
        let index = (number % client_count) as usize;
        let (client, results) = (clients[index].clone(), Arc::clone(&results));
        tasks.push(ex.spawn(async move {
            let expected = Expected {
                echo: number.to_string(),
            };
            let req = Request::get("/calendar/7").body(Bytes::new());
            let sent = Instant::now();
            let answer = client.send(req.expect("a request"), Some(&expected)).await;
            let latency_us = sent.elapsed().as_micros() as u64;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            match answer {
                Ok(answer) if answer.status == 200 && !answer.wrong => {
                    results[index].0.saturating_record(latency_us);
                }
                _ => results[index].1 += 1,
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.clone()
}
