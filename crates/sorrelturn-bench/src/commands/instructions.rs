//! `sorrelturn-bench instructions`

use super::CommandEntry;
use crate::decisions::{DECISIONS, Decision};
use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use std::process::ExitCode;

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "instructions",
    signature,
    run,
};

/// Two runs with different numbers of rounds, so that the startup cost cancels out.
const FEW_ROUNDS: u64 = 1_000;
const MANY_ROUNDS: u64 = 3_000;
/// The text before the count in callgrind's output.
const CALLGRIND_COUNT_LABEL: &str = "Collected : ";

fn signature() -> Command {
    Command::new("instructions")
        .about("Counts the instructions of each decision with callgrind, and checks them against bounds")
        .after_help(
            "Example:\n  sorrelturn-bench instructions\n\nExit codes:\n  0  within the bounds\n  \
             1  over a bound, or valgrind is not installed",
        )
        .arg(
            Arg::new("decision")
                .long("decision")
                .value_name("NAME")
                .help("Only run this decision, to be counted by a tool around this process")
                .requires("rounds")
                .value_parser(PossibleValuesParser::new(
                    DECISIONS.iter().map(|decision| decision.name),
                )),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("COUNT")
                .help("Number of rounds of the decision")
                .requires("decision")
                .value_parser(value_parser!(u64)),
        )
}

fn run(args: &ArgMatches) -> ExitCode {
    let name = args.get_one::<String>("decision");
    let rounds = args.get_one::<u64>("rounds");
    if let (Some(name), Some(rounds)) = (name, rounds) {
        for decision in DECISIONS.iter().filter(|decision| decision.name == name) {
            (decision.run)(*rounds);
        }
        return ExitCode::SUCCESS;
    }
    println!("{:<18} {:>12} {:>8}", "decision", "instructions", "most");
    let mut code = ExitCode::SUCCESS;
    for decision in DECISIONS {
        let instructions = match instructions_per_round(decision) {
            Ok(instructions) => instructions,
            Err(error) => {
                eprintln!(
                    "error: {error}\n  help: install valgrind, for example with apt-get install valgrind"
                );
                return ExitCode::FAILURE;
            }
        };
        println!(
            "{:<18} {instructions:>12} {:>8}",
            decision.name, decision.max_instructions
        );
        if instructions > decision.max_instructions {
            eprintln!("error: {} exceeds its bound", decision.name);
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// The number of instructions of one round.
fn instructions_per_round(decision: &Decision) -> Result<u64, String> {
    let few = collected_instructions(decision.name, FEW_ROUNDS)?;
    let many = collected_instructions(decision.name, MANY_ROUNDS)?;
    Ok((many - few) / (MANY_ROUNDS - FEW_ROUNDS))
}

fn collected_instructions(name: &str, rounds: u64) -> Result<u64, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let output = std::process::Command::new("valgrind")
        .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
        .arg(own)
        .args(["instructions", "--decision", name])
        .args(["--rounds", &rounds.to_string()])
        .output()
        .map_err(|error| format!("valgrind can't be started: {error}"))?;
    let text = String::from_utf8_lossy(&output.stderr);
    text.lines()
        .find_map(|line| line.split(CALLGRIND_COUNT_LABEL).nth(1))
        .and_then(|count| count.trim().parse().ok())
        .ok_or_else(|| format!("valgrind reported no count: {text}"))
}
