//! `soak`: a fault soak of real daemons.
//!
//! `sorrelturn-bench` doesn't offer it as a command: the daemons under test use the dialect of the users' platform,
//! which only the package `platform/` knows. Its example `soak` runs this command with that dialect.

use crate::{
    processes, run_on,
    soak::{SoakPlan, SoakReport, SoakTarget, soak},
};
use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use smol::stream::StreamExt;
use std::{
    panic,
    path::PathBuf,
    process::{self, ExitCode},
};

/// The threads shared by backend servers, callers, paths and the store's stand-in.
const THREADS: usize = 3;
/// Each daemon has its own address, whose last byte is its number plus one.
const MAX_INSTANCES: i64 = 200;
/// The soak itself panicked.
const EXIT_PANICKED: i32 = 101;
/// The soak was interrupted.
const EXIT_INTERRUPTED: i32 = 130;

/// The arguments and the help of the command.
pub fn signature() -> Command {
    Command::new("soak")
        .about("Injects faults into real daemons and checks what callers and backend servers observe")
        .after_help(
            "Examples:\n  soak --seed 7\n  soak --seed 7 --seconds 60 --instances 24 --folder /tmp/soak-7\n  \
             soak --seed 7 --print\n\nExit codes:\n  0    no promise was broken\n  1    a promise was broken\n  \
             101  the soak itself failed\n  130  the soak was interrupted; its daemons have ended",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .help("The seed that the faults are generated from")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("NUMBER")
                .help("The period in which faults begin, in seconds")
                .default_value("30")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("NUMBER")
                .help("The number of daemons, each a separate process; at least two")
                .default_value("6")
                .value_parser(value_parser!(u32).range(2..=MAX_INSTANCES)),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .help("The folder for the settings and logs of the daemons [default: soak-SEED in the folder for temporary files]")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("crashes")
                .long("crashes")
                .help("Repeatedly send a request that crashes backend servers")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("signals")
                .long("signals")
                .help("Backend servers name limits and leaves in their responses")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("mixed")
                .long("mixed")
                .help("Callers send uploads and requests behind one another, and go; backend servers make calls, refuse and copy responses")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("copied-percent")
                .long("copied-percent")
                .value_name("NUMBER")
                .help("With --mixed, the part of the responses that overloaded backend servers copy")
                .default_value("20")
                .value_parser(value_parser!(u8).range(0..=100)),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .help("Only publish series of route tables, beside long faults that don't excuse a late one")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("restarts")
                .long("restarts")
                .help("Daemons also restart, or their path is disturbed, one after another")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("other-writers")
                .long("other-writers")
                .help("Other clients write entries into the store that can't be parsed or aren't theirs to write; with --changes, also records of live daemons")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("print")
                .long("print")
                .help("Print the plan without running it")
                .action(ArgAction::SetTrue),
        )
}

/// Runs a soak of the target's daemons.
pub fn run(args: &ArgMatches, target: &SoakTarget) -> ExitCode {
    let number = |name| {
        *args
            .get_one::<u64>(name)
            .expect("the argument is required or has a default")
    };
    let instances = *args
        .get_one::<u32>("instances")
        .expect("the argument has a default");
    let generate = match args.get_flag("changes") {
        true => SoakPlan::of_changes,
        false => SoakPlan::from_seed,
    };
    let plan = generate(number("seed"), number("seconds"), instances as usize);
    let with_flag = |plan: SoakPlan, name, extend: fn(SoakPlan) -> SoakPlan| {
        if args.get_flag(name) {
            extend(plan)
        } else {
            plan
        }
    };
    let plan = with_flag(plan, "crashes", SoakPlan::with_crashes);
    let plan = with_flag(plan, "signals", SoakPlan::with_signals);
    let copied_percent = *args
        .get_one::<u8>("copied-percent")
        .expect("the argument has a default");
    let plan = match args.get_flag("mixed") {
        true => plan.with_mixed_work(copied_percent),
        false => plan,
    };
    let plan = with_flag(plan, "restarts", SoakPlan::with_restarts);
    let plan = with_flag(plan, "other-writers", SoakPlan::with_other_writers);
    print!("{plan}");
    if args.get_flag("print") {
        return ExitCode::SUCCESS;
    }
    let default_folder = || std::env::temp_dir().join(format!("soak-{}", plan.seed));
    let folder = args.get_one::<PathBuf>("folder").cloned();
    let folder = folder.unwrap_or_else(default_folder);
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("error: can't create {}: {error}", folder.display());
        return ExitCode::FAILURE;
    }
    end_daemons_on_panic();
    let signals = match Signals::new([Signal::Int, Signal::Term]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("error: can't receive signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = run_on(THREADS, async |ex| {
        ex.spawn(end_daemons_on_signal(signals)).detach();
        soak(ex, target, &plan, &folder).await
    });
    print!("{report}");
    if report.breaches.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("logs: {}", folder.display());
    ExitCode::FAILURE
}

/// Ends the daemons if the soak panics; otherwise those that its tasks hold go on without it.
fn end_daemons_on_panic() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        processes::kill_all();
        process::exit(EXIT_PANICKED);
    }));
}

async fn end_daemons_on_signal(mut signals: Signals) {
    if signals.next().await.is_some() {
        eprintln!("interrupted");
        processes::kill_all();
        process::exit(EXIT_INTERRUPTED);
    }
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
            self.unconfirmed_tables,
            self.lag.as_millis(),
            self.breaches.len()
        )?;
        for breach in &self.breaches {
            writeln!(f, "{breach}")?;
        }
        Ok(())
    }
}
