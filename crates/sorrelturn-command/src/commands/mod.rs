//! The commands, one file each.

mod bundle_check;
mod bundle_diff;
mod bundle_history;
mod bundle_publish;
mod bundle_rollback;
mod bundle_sign;
mod bundle_status;
mod completions;
mod drain;
mod explain;
mod fleet_status;
mod key_fleet;
mod key_new;
mod workspaces;

use crate::{Failure, Output};
use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser};
use std::{fs, path::PathBuf};

/// A command of `sorrelctl`.
pub struct CommandEntry {
    /// The group, if any, and the name, as typed on the command line.
    pub name: &'static [&'static str],
    /// Builds its arguments and help.
    pub signature: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> Result<Output, Failure>,
}

/// All commands, in the order in which the help lists them.
pub static COMMANDS: &[CommandEntry] = &[
    bundle_check::ENTRY,
    bundle_sign::ENTRY,
    bundle_publish::ENTRY,
    bundle_status::ENTRY,
    bundle_diff::ENTRY,
    bundle_history::ENTRY,
    bundle_rollback::ENTRY,
    key_new::ENTRY,
    key_fleet::ENTRY,
    fleet_status::ENTRY,
    drain::ENTRY,
    workspaces::ENTRY,
    explain::ENTRY,
    completions::ENTRY,
];

const GROUPS: &[(&str, &str)] = &[
    (
        "bundle",
        "Check, sign and publish bundles, and show their status",
    ),
    ("key", "Generate keys"),
    ("fleet", "Inspect the whole fleet"),
];

/// Builds the command line with all commands.
pub fn root() -> Command {
    let mut root = Command::new("sorrelctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a sorrelturn fleet.")
        .after_help(
            "Exit codes:\n  0  success\n  1  a file or a response is invalid\n  2  invalid usage\n  \
             3  the platform or a daemon is unreachable\n  4  a concurrent publication was accepted first",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORM")
                .help("The output format")
                .global(true)
                .default_value("table")
                .value_parser(PossibleValuesParser::new(["table", "json"])),
        );
    for (group, about) in GROUPS {
        let mut parent = Command::new(*group)
            .about(*about)
            .subcommand_required(true)
            .arg_required_else_help(true);
        for entry in COMMANDS {
            if entry.name.len() == 2 && entry.name[0] == *group {
                parent = parent.subcommand((entry.signature)());
            }
        }
        root = root.subcommand(parent);
    }
    for entry in COMMANDS.iter().filter(|entry| entry.name.len() == 1) {
        root = root.subcommand((entry.signature)());
    }
    root
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .help(help)
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
}

fn read_file(args: &ArgMatches, name: &str) -> Result<(String, String), Failure> {
    let path = args
        .get_one::<PathBuf>(name)
        .expect("clap requires the file");
    let file_name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Failure::file(&file_name, &error))?;
    Ok((file_name, text))
}

fn read_bundle(args: &ArgMatches) -> Result<sorrelturn_bundle::BundleSource, Failure> {
    let (file, text) = read_file(args, "bundle")?;
    let source =
        sorrelturn_bundle::parse(&file, &text).map_err(|finding| Failure::findings(&[finding]))?;
    let map = sorrelturn_bundle::SourceMap::new(&file, &text);
    let findings = sorrelturn_bundle::check(&source, &map);
    if findings.is_empty() {
        Ok(source)
    } else {
        Err(Failure::findings(&findings))
    }
}

fn key_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("The operator's name in the daemons' settings")
                .env("SORRELTURN_OPERATOR")
                .required(true),
        )
        .arg(file_arg("key", "The operator's secret key").long("key"))
}

fn read_key(args: &ArgMatches) -> Result<sorrelturn_bundle::OperatorKey, Failure> {
    let operator = args
        .get_one::<String>("operator")
        .expect("clap requires the operator");
    let (_, text) = read_file(args, "key")?;
    sorrelturn_bundle::OperatorKey::from_hex(operator, &text).map_err(|error| {
        let help = "use a file that `sorrelctl key new` wrote";
        Failure::new(crate::exit::FINDINGS, error.to_string(), help)
    })
}

fn note_arg() -> Arg {
    Arg::new("note")
        .long("note")
        .value_name("TEXT")
        .help("A note for the version history")
        .default_value("")
}

fn note(args: &ArgMatches) -> &str {
    args.get_one::<String>("note").map_or("", String::as_str)
}
