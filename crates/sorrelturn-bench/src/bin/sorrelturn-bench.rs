//! The command line of the benchmarks, which include a load generator and a fake backend server.

use sorrelturn_bench::{COMMANDS, root};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args = root().get_matches();
    let (name, args) = args.subcommand().expect("clap requires a command");
    let entry = COMMANDS
        .iter()
        .find(|entry| entry.name == name)
        .expect("every subcommand comes from COMMANDS");
    (entry.run)(args)
}
