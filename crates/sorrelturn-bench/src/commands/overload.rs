//! `sorrelturn-bench overload`

use super::CommandEntry;
use crate::{
    baseline::BaselineKind,
    run_on,
    scenario::{PhaseDurations, SCENARIOS, Scenario, System, run_scenario},
    summary::Summary,
    workload::Workload,
};
use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "overload",
    signature,
    run,
};

pub(super) const SYSTEMS: [System; 3] = [
    System::Sorrelturn,
    System::Baseline(BaselineKind::FixedLimits),
    System::Baseline(BaselineKind::PassThrough),
];

fn signature() -> Command {
    Command::new("overload")
        .about("Measures goodput and recovery under overload, compared with the baselines")
        .after_help(
            "Example:\n  sorrelturn-bench overload --deployment protokols-riga --json out.json",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .help("The example deployment to run")
                .default_value("protokols-riga")
                .value_parser(PossibleValuesParser::new([
                    "protokols-riga",
                    "dalaqyz-soft",
                ])),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("NUMBER")
                .help("Run only this scenario, counted from 1")
                .value_parser(value_parser!(u64).range(1..=SCENARIOS.len() as u64)),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("SYSTEM")
                .help("Run only this system")
                .value_parser(PossibleValuesParser::new(
                    SYSTEMS.iter().map(|system| system.name()),
                )),
        )
        .arg(
            Arg::new("failures")
                .long("failures")
                .help("Count failed requests by phase, kind, last status and reason")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Also write the results to this file")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(args: &ArgMatches) -> ExitCode {
    let name = args
        .get_one::<String>("deployment")
        .expect("clap fills it in");
    let workload = Arc::new(Workload::for_deployment(name));
    println!("{name}: capacity {:.0} root requests/s", workload.capacity);
    let scenario_number = args.get_one::<u64>("scenario");
    let only = args.get_one::<String>("only");
    let mut results = Vec::new();
    for (at, scenario) in SCENARIOS.iter().enumerate() {
        if scenario_number.is_some_and(|scenario_number| *scenario_number != at as u64 + 1) {
            continue;
        }
        println!("\n{}", scenario.name);
        println!("{}", table_head());
        for system in SYSTEMS {
            if only.is_some_and(|only| only != system.name()) {
                continue;
            }
            let is_single_measurement = scenario_number.is_some() && only.is_some();
            let summary = if is_single_measurement {
                measure(&workload, scenario, system, |_| {})
            } else {
                measure_in_subprocess(name, at + 1, system)
            };
            println!("{}", table_row(&summary));
            if args.get_flag("failures") {
                println!("    failures: {:?}", summary.failures);
            }
            results.push((scenario.name.to_owned(), summary));
        }
    }
    if let Some(file) = args.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&results).unwrap_or_default();
        if let Err(error) = std::fs::write(file, text) {
            eprintln!(
                "error: {}: {error}\n  help: choose a file in an existing folder",
                file.display()
            );
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Measures one system under one scenario in a process of its own, so that connections of earlier
/// measurements don't affect it.
fn measure_in_subprocess(deployment: &str, scenario: usize, system: System) -> Summary {
    let file = std::env::temp_dir().join(format!("sorrelturn-overload-{}", std::process::id()));
    let executable = std::env::current_exe().expect("the running program has a path");
    let status = std::process::Command::new(executable)
        .args(["overload", "--deployment", deployment])
        .args(["--scenario", &scenario.to_string()])
        .args(["--only", system.name()])
        .arg("--json")
        .arg(&file)
        .stdout(std::process::Stdio::null())
        .status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "the subprocess failed"
    );
    let text = std::fs::read_to_string(&file).expect("the subprocess wrote its results");
    let _ = std::fs::remove_file(&file);
    let mut results: Vec<(String, Summary)> = serde_json::from_str(&text).expect("results in JSON");
    results.remove(0).1
}

/// Threads for the daemons, the backend servers and the callers together.
const THREAD_COUNT: usize = 5;

pub(super) fn measure(
    workload: &Arc<Workload>,
    scenario: &Scenario,
    system: System,
    progress: impl Fn(&str),
) -> Summary {
    let durations = PhaseDurations {
        before: Duration::from_secs(3),
        overload: Duration::from_secs(5),
        between: Duration::from_secs(3),
        after: Duration::from_secs(6),
    };
    run_on(THREAD_COUNT, async |ex| {
        run_scenario(ex, workload, scenario, system, durations, progress).await
    })
}

pub(super) fn table_head() -> String {
    format!(
        "{:<13} {:>8} {:>8} {:>8} {:>8} | {:>7} {:>6} {:>7} {:>9} {:>7} {:>6} {:>6} {:>6} {:>6}",
        "system",
        "critical",
        "high",
        "normal",
        "before/s",
        "under/s",
        "best/s",
        "recov s",
        "executed",
        "waste %",
        "tries",
        "double",
        "wrong",
        "false"
    )
}

pub(super) fn table_row(summary: &Summary) -> String {
    let percent = |importance: &str| {
        summary
            .under
            .get(importance)
            .map_or_else(|| "-".to_owned(), |sum| format!("{:.1}%", sum.percent()))
    };
    format!(
        "{:<13} {:>8} {:>8} {:>8} {:>8.0} | {:>7.0} {:>6.0} {:>7.2} {:>9} {:>7.1} {:>6.2} {:>6} {:>6} {:>6}",
        summary.system,
        percent("critical"),
        percent("high"),
        percent("normal"),
        summary.goodput_before,
        summary.goodput_under,
        summary.best_under,
        summary.recovery_s,
        summary.executions,
        summary.wasted_percent,
        summary.tries_per_request,
        summary.double_runs,
        summary.wrong_answers,
        summary.false_not_run
    )
}
