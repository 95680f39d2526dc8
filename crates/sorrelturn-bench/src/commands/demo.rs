//! `sorrelturn-bench demo`

use super::{
    CommandEntry,
    overload::{SYSTEMS, measure, table_head, table_row},
};
use crate::{scenario::Scenario, workload::Workload};
use clap::{ArgMatches, Command};
use std::{
    io::{Write, stdout},
    process::ExitCode,
    sync::Arc,
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "demo",
    signature,
    run,
};

const SCENARIO: Scenario = Scenario {
    name: "a surge with a slow deep service and hard retries",
    surge: 2.0,
    slow: 3.0,
    tries: 3,
    overloads: 1,
};

fn signature() -> Command {
    Command::new("demo")
        .about("Compares a fleet under overload with and without sorrelturn, on loopback")
        .after_help("Example:\n  sorrelturn-bench demo")
}

fn run(_: &ArgMatches) -> ExitCode {
    let workload = Arc::new(Workload::for_deployment("protokols-riga"));
    println!(
        "Four services with 15 instances have a capacity of {:.0} requests/s. The load is {}.\n",
        workload.capacity, SCENARIO.name
    );
    let summaries: Vec<_> = SYSTEMS
        .into_iter()
        .map(|system| {
            print!("{:<13}", system.name());
            let _ = stdout().flush();
            let summary = measure(&workload, &SCENARIO, system, |phase| {
                print!(" ... {phase}");
                let _ = stdout().flush();
            });
            println!(" ... done");
            summary
        })
        .collect();
    println!(
        "\nGood answers under overload by importance, goodput, recovery, and counts that must be 0:\n"
    );
    println!("{}", table_head());
    for summary in &summaries {
        println!("{}", table_row(summary));
    }
    ExitCode::SUCCESS
}
