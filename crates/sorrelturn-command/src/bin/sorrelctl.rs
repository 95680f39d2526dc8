//! The operators' command.

use clap::ArgMatches;
use sorrelturn_command::{COMMANDS, CommandEntry, Failure, Output, root};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args = root().get_matches();
    let as_json = args
        .get_one::<String>("output")
        .is_some_and(|form| form == "json");
    match find(&args).map(|(entry, args)| (entry.run)(args)) {
        Some(Ok(output)) => print(&output, as_json),
        Some(Err(failure)) => fail(&failure),
        None => unreachable!("every command of the signature is in the list"),
    }
}

fn find(args: &ArgMatches) -> Option<(&'static CommandEntry, &ArgMatches)> {
    let (first, args) = args.subcommand()?;
    let second = args.subcommand();
    COMMANDS
        .iter()
        .find_map(|entry| match (entry.name, second) {
            ([name], None) if *name == first => Some((entry, args)),
            ([group, name], Some((second, args))) if *group == first && *name == second => {
                Some((entry, args))
            }
            _ => None,
        })
}

fn print(output: &Output, as_json: bool) -> ExitCode {
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

fn fail(failure: &Failure) -> ExitCode {
    eprintln!("{failure}");
    ExitCode::from(failure.exit)
}
