//! The bench's commands, one file each.

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

/// One command.
pub struct CommandEntry {
    /// Its word, as it is typed.
    pub name: &'static str,
    /// Its arguments and help.
    pub signature: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> ExitCode,
}

/// All commands, in the order of the help.
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

/// The whole command line.
pub fn root() -> Command {
    Command::new("sorrelturn-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives load at the real daemons and prints what came of it.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(COMMANDS.iter().map(|entry| (entry.signature)()))
}
