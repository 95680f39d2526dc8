//! `sorrelturn-bench experiment`

use super::CommandEntry;
use crate::experiment::{Experiment, Mechanism, Outcome, plot, simulate_experiment, table};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// The name of the experiment as its file describes it.
const UNCHANGED: &str = "as it is";

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "experiment",
    signature,
    run,
};

fn signature() -> Command {
    let mechanisms = Mechanism::ALL.map(|(word, _)| word);
    Command::new("experiment")
        .about("Simulates load and faults on call graphs in virtual time, with the product's decisions")
        .after_help(
            "Examples:\n  sorrelturn-bench experiment experiments/wide-rejection.jsonc --seeds 8\n  \
             sorrelturn-bench experiment experiments/lost-instance.jsonc --without entry-admission \
             --plot lost.svg\n\nExit codes:\n  0  the tables are printed\n  1  a file can't be read \
             or is invalid",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("The experiment file; docs/EXPERIMENTS.md lists the fields")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("Another experiment for comparison, simulated with the same seeds")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("without")
                .long("without")
                .value_name("MECHANISM")
                .help("Repeats the simulation with a mechanism disabled; `all`: with each in turn")
                .action(ArgAction::Append)
                .value_parser([mechanisms.as_slice(), &["all"]].concat()),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("NUMBER")
                .help("Number of random seeds for each simulation")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("between")
                .long("between")
                .value_name("SECONDS")
                .help("Shows an interval in addition to the whole time, such as 13-21")
                .action(ArgAction::Append)
                .value_parser(parse_interval),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Writes a chart of the outcomes of each kind by second, as SVG")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn parse_interval(text: &str) -> Result<(usize, usize), String> {
    let parts = text.split_once('-');
    let seconds = parts.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    match seconds {
        Some((from, to)) if from < to => Ok((from, to)),
        _ => Err("write two whole seconds, the smaller first, such as 13-21".to_owned()),
    }
}

fn run(args: &ArgMatches) -> ExitCode {
    match simulate(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn simulate(args: &ArgMatches) -> Result<(), String> {
    let seeds = *args.get_one::<u64>("seeds").expect("clap fills it in");
    let variants = variants(args)?;
    let outcomes: Vec<(String, Outcome)> = variants
        .into_iter()
        .map(|(name, experiment)| {
            eprintln!("simulating: {name}");
            let outcome = simulate_seeds(&experiment, seeds);
            (name, outcome)
        })
        .collect();
    let shown: Vec<(&str, &Outcome)> = outcomes
        .iter()
        .map(|(name, outcome)| (name.as_str(), outcome))
        .collect();
    let intervals: Vec<(usize, usize)> = args
        .get_many("between")
        .map(|intervals| intervals.copied().collect())
        .unwrap_or_default();
    print!("{}", table(&shown, &intervals));
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        std::fs::write(path, plot(&shown))
            .map_err(|error| format!("{} can't be written: {error}", path.display()))?;
    }
    Ok(())
}

/// The file, the one to compare with, and the file without each given mechanism.
fn variants(args: &ArgMatches) -> Result<Vec<(String, Experiment)>, String> {
    let read = |path: &Path| Experiment::read(path).map_err(|error| error.to_string());
    let path = args.get_one::<PathBuf>("file").expect("clap requires it");
    let experiment = read(path)?;
    println!("{}\n", experiment.about);
    let mut variants = vec![(UNCHANGED.to_owned(), experiment.clone())];
    if let Some(against) = args.get_one::<PathBuf>("against") {
        variants.push((against.display().to_string(), read(against)?));
    }
    let mechanism_names: Vec<&String> = args
        .get_many("without")
        .map(Iterator::collect)
        .unwrap_or_default();
    for (word, mechanism) in Mechanism::ALL {
        if mechanism_names
            .iter()
            .any(|name| *name == word || *name == "all")
        {
            let mut variant = experiment.clone();
            variant.without.push(mechanism);
            variants.push((format!("without {word}"), variant));
        }
    }
    Ok(variants)
}

/// Simulates all seeds in parallel. The sum doesn't depend on the order in which they finish.
fn simulate_seeds(experiment: &Experiment, seeds: u64) -> Outcome {
    let next = AtomicU64::new(0);
    let outcomes = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    let outcome = simulate_experiment(experiment, seed);
                    eprintln!("  seed {seed} of {seeds}: worth {:.3}", outcome.worth());
                    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                    outcomes.push((seed, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    outcomes.sort_unstable_by_key(|(seed, _)| *seed);
    let mut sum = Outcome::default();
    for (_, outcome) in &outcomes {
        sum.add(outcome);
    }
    sum
}
