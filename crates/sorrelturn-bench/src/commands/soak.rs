//! `soak`: a fault soak of real daemons.
//!
//! It is no word of `sorrelturn-bench`: the daemons under test speak the users' platform's dialect, which only
//! the package `platform/` knows. Its example of this name calls what is here with that dialect.

use crate::{
    run_on,
    soak::{SoakPlan, SoakReport, SoakTarget, soak},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{path::PathBuf, process::ExitCode};

/// Threads for backend servers, callers, paths and the store's stand-in together.
const THREADS: usize = 3;
/// Each daemon has an address of its own in the last part of one network.
const MOST_INSTANCES: i64 = 200;

/// The arguments and the help.
pub fn signature() -> Command {
    Command::new("soak")
        .about("Plays faults of a seed at real daemons and checks what callers and backend servers see")
        .after_help(
            "Examples:\n  soak --seed 7\n  soak --seed 7 --seconds 60 --instances 24 --folder /tmp/soak-7\n  \
             soak --seed 7 --print\n\nExit codes:\n  0  no promise was broken\n  1  one was",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .help("What the faults are drawn from")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("NUMBER")
                .help("How long faults begin")
                .default_value("30")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("NUMBER")
                .help("How many daemons, each a process of its own; two at least")
                .default_value("6")
                .value_parser(value_parser!(u32).range(2..=MOST_INSTANCES)),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .help("Takes the settings and the logs of daemons; by default one of the seed's own")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("crashes")
                .long("crashes")
                .help("Send a request that crashes backend servers all the time")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("print")
                .long("print")
                .help("Print what would be done, and do nothing")
                .action(ArgAction::SetTrue),
        )
}

/// Runs it on daemons that speak like this.
pub fn run(args: &ArgMatches, words: &SoakTarget) -> ExitCode {
    let number = |name| *args.get_one::<u64>(name).expect("clap has it");
    let instances = *args.get_one::<u32>("instances").expect("clap fills it in");
    let plan = SoakPlan::from_seed(number("seed"), number("seconds"), instances as usize);
    let plan = match args.get_flag("crashes") {
        true => plan.with_crashes(),
        false => plan,
    };
    print!("{plan}");
    if args.get_flag("print") {
        return ExitCode::SUCCESS;
    }
    let of_seed = || std::env::temp_dir().join(format!("soak-{}", plan.seed));
    let folder = args.get_one::<PathBuf>("folder").cloned();
    let folder = folder.unwrap_or_else(of_seed);
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("error: can't create {}: {error}", folder.display());
        return ExitCode::FAILURE;
    }
    let report = run_on(THREADS, async |ex| soak(ex, words, &plan, &folder).await);
    print!("{report}");
    if report.breaches.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("logs: {}", folder.display());
    ExitCode::FAILURE
}

impl std::fmt::Display for SoakReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let counts = &self.counts;
        writeln!(
            f,
            "asked {}, good {}, refused {}, failed {}, lost with a reason {}, ran {}, stops {}, unsure tables {}, \
             late by {} ms at most, breaches {}",
            counts.sent,
            counts.succeeded,
            counts.refused,
            counts.failed,
            counts.lost,
            counts.ran,
            counts.stops,
            self.unsure_tables,
            self.lag.as_millis(),
            self.breaches.len()
        )?;
        for breach in &self.breaches {
            writeln!(f, "{breach}")?;
        }
        Ok(())
    }
}
