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
        .about("Shows on loopback what sorrelturn does under overload, with and without it")
        .after_help("Example:\n  sorrelturn-bench demo")
}

fn run(_: &ArgMatches) -> ExitCode {
    let workload = Arc::new(Workload::for_deployment("protokols-riga"));
    println!(
        "Four services in 15 instances carry {:.0} requests/s at most. Then comes {}.\n",
        workload.capacity, SCENARIO.name
    );
    let summaries: Vec<_> = SYSTEMS
        .into_iter()
        .map(|system| {
            print!("{:<13}", system.name());
            let _ = stdout().flush();
            let summary = measure(&workload, &SCENARIO, system, |stretch| {
                print!(" ... {stretch}");
                let _ = stdout().flush();
            });
            println!(" ... done");
            summary
        })
        .collect();
    println!(
        "\nGood answers under pressure by importance, goodput, recovery, and what must be 0:\n"
    );
    println!("{}", table_head());
    for summary in &summaries {
        println!("{}", table_row(summary));
    }
    ExitCode::SUCCESS
}
