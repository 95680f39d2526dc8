//! All commands, one file each.

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

/// One command.
pub struct CommandEntry {
    /// Its words, as they are typed.
    pub name: &'static [&'static str],
    /// Its arguments and help.
    pub signature: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> Result<Output, Failure>,
}

/// All commands, in the order of the help.
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
    ("bundle", "Check, publish and follow bundles"),
    ("key", "Make keys"),
    ("fleet", "Look at the whole fleet"),
];

/// The whole command line.
pub fn root() -> Command {
    let mut root = Command::new("sorrelctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a sorrelturn fleet.")
        .after_help(
            "Exit codes:\n  0  done\n  1  findings in a file or an answer\n  2  wrong usage\n  \
             3  the platform or a daemon doesn't answer\n  4  somebody else was first",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORM")
                .help("How to print the result")
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
    let shown = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Failure::file(&shown, &error))?;
    Ok((shown, text))
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
                .help("The name under which daemons know the key")
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
        let help = "give the file that `sorrelctl key new` wrote";
        Failure::new(crate::exit::FINDINGS, error.to_string(), help)
    })
}

fn note_arg() -> Arg {
    Arg::new("note")
        .long("note")
        .value_name("TEXT")
        .help("What the history says about it")
        .default_value("")
}

fn note(args: &ArgMatches) -> &str {
    args.get_one::<String>("note").map_or("", String::as_str)
}
