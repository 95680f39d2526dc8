//! The command-line tool for operators.

use clap::ArgMatches;
use sorrelturn_command::{COMMANDS, CommandEntry, Failure, Output, root};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args = root().get_matches();
    let as_json = args
        .get_one::<String>("output")
        .is_some_and(|format| format == "json");
    match find_command(&args).map(|(entry, args)| (entry.run)(args)) {
        Some(Ok(output)) => print_output(&output, as_json),
        Some(Err(failure)) => report_failure(&failure),
        None => unreachable!("every subcommand is in COMMANDS"),
    }
}

fn find_command(args: &ArgMatches) -> Option<(&'static CommandEntry, &ArgMatches)> {
    let (group_or_name, args) = args.subcommand()?;
    let second = args.subcommand();
    COMMANDS
        .iter()
        .find_map(|entry| match (entry.name, second) {
            ([name], None) if *name == group_or_name => Some((entry, args)),
            ([group, name], Some((second, args))) if *group == group_or_name && *name == second => {
                Some((entry, args))
            }
            _ => None,
        })
}

fn print_output(output: &Output, as_json: bool) -> ExitCode {
    if as_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&output.json).unwrap_or_default()
        );
    } else {
        println!("{}", output.text);
    }
    ExitCode::SUCCESS
}

fn report_failure(failure: &Failure) -> ExitCode {
    eprintln!("{failure}");
    ExitCode::from(failure.exit)
}
