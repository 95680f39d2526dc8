//! The commands of `sorrelturn-bench`, one file each.

mod backend;
mod demo;
mod exchanges;
mod experiment;
mod fleet;
mod instructions;
mod latency;
mod overload;
mod returns;
pub mod soak;

use clap::{ArgMatches, Command};
use std::process::ExitCode;

/// A subcommand.
pub struct CommandEntry {
    /// The name on the command line.
    pub name: &'static str,
    /// Builds the arguments and help text.
    pub signature: fn() -> Command,
    /// Runs the command.
    pub run: fn(&ArgMatches) -> ExitCode,
}

/// All commands, in the order in which the help lists them.
pub static COMMANDS: &[CommandEntry] = &[
    demo::ENTRY,
    latency::ENTRY,
    overload::ENTRY,
    fleet::ENTRY,
    exchanges::ENTRY,
    instructions::ENTRY,
    backend::ENTRY,
    returns::ENTRY,
    experiment::ENTRY,
];

/// The command line with all commands.
pub fn root() -> Command {
    Command::new("sorrelturn-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Generates load for real daemons and prints the results.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(COMMANDS.iter().map(|entry| (entry.signature)()))
}
