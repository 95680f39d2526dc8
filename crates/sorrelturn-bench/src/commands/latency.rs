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

/// The longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 10_000_000;

fn signature() -> Command {
    Command::new("latency")
        .about("Compares calls through two daemons with direct calls, in one run")
        .after_help("Example:\n  sorrelturn-bench latency --rate 200 --seconds 10")
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("CALLS")
                .help("Calls a second")
                .default_value("200")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .help("How long each way is measured")
                .default_value("10")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

struct Row {
    way: &'static str,
    times: Histogram<u64>,
    failed: u64,
    calls: u64,
    cpu: Duration,
}

fn run(args: &ArgMatches) -> ExitCode {
    let rate = *args.get_one::<u32>("rate").expect("clap fills it in");
    let seconds = *args.get_one::<u32>("seconds").expect("clap fills it in");
    let rows = run_on(2, async |ex| measure(ex, rate, seconds).await);
    println!("way         calls   failed  p50 us  p99 us  p99.9 us  daemons' CPU us/call");
    for row in &rows {
        let at = |quantile| row.times.value_at_quantile(quantile);
        println!(
            "{:<10} {:>6} {:>8} {:>7} {:>7} {:>9} {:>21.1}",
            row.way,
            row.calls,
            row.failed,
            at(0.5),
            at(0.99),
            at(0.999),
            row.cpu.as_secs_f64() * 1e6 / row.calls.max(1) as f64
        );
    }
    if let [direct, daemons] = rows.as_slice() {
        let added = |quantile| {
            daemons.times.value_at_quantile(quantile) as i64
                - direct.times.value_at_quantile(quantile) as i64
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
    let work = BTreeMap::from([("calendar-view".to_owned(), 0.0)]);
    let mut no_work: Plan = plan_for(&fleet.plan.indexed_bundle(), "scheduling", &work);
    no_work.local = Some(fleet.daemons[1].addresses.local);
    fleet.daemons[1].set_plan(&no_work).await;
    let direct = Client::new(Arc::clone(&ex), fleet.daemons[1].backend_addr);
    // The entry is the archive's daemon, the owner the scheduling service's.
    let through = fleet.caller(0);
    drive(&ex, &[&direct, &through], rate, 2).await;
    let pids: Vec<u32> = fleet.daemons.iter().map(|d| d.process.pid()).collect();
    let before: Duration = pids.iter().map(|pid| cpu_time(*pid)).sum();
    let results = drive(&ex, &[&direct, &through], rate, seconds).await;
    let after: Duration = pids.iter().map(|pid| cpu_time(*pid)).sum();
    // Direct calls don't touch the daemons, so all of their time goes to the other way.
    let cpu = [Duration::ZERO, after.saturating_sub(before)];
    let rows = ["direct", "daemons"]
        .into_iter()
        .zip(results)
        .zip(cpu)
        .map(|((way, (times, failed)), cpu)| Row {
            way,
            calls: times.len() + failed,
            times,
            failed,
            cpu,
        })
        .collect();
    let _ = std::fs::remove_dir_all(&folder);
    rows
}

/// Sends calls at a steady rate to each client in turn, whether answers come or not. The ways
/// alternate call by call, so that whatever else the machine does meets all of them alike.
async fn drive(
    ex: &Arc<Executor<'static>>,
    clients: &[&Client],
    rate: u32,
    seconds: u32,
) -> Vec<(Histogram<u64>, u64)> {
    let times = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are right");
    let results = Arc::new(Mutex::new(vec![(times, 0); clients.len()]));
    let start = Instant::now();
    let mut tasks = Vec::new();
    let ways = clients.len() as u32;
    for number in 0..rate * seconds * ways {
        Timer::at(start + Duration::from_secs(1) * number / (rate * ways)).await;
        let way = (number % ways) as usize;
        let (client, results) = (clients[way].clone(), Arc::clone(&results));
        tasks.push(ex.spawn(async move {
            let expected = Expected {
                echo: number.to_string(),
            };
            let req = Request::get("/calendar/7").body(Bytes::new());
            let sent = Instant::now();
            let answer = client.send(req.expect("a request"), Some(&expected)).await;
            let took = sent.elapsed().as_micros() as u64;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            match answer {
                Ok(answer) if answer.status == 200 && !answer.wrong => {
                    results[way].0.saturating_record(took);
                }
                _ => results[way].1 += 1,
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.clone()
}
