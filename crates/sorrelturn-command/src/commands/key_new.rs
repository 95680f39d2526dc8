//! `sorrelctl key new`

use super::CommandEntry;
use crate::{Failure, Output, exit};
use clap::{Arg, ArgMatches, Command, value_parser};
use sorrelturn_bundle::OperatorKey;
use std::{fs, path::PathBuf};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["key", "new"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("new")
        .about("Generates an operator's key for signing bundles")
        .after_help("Example:\n  sorrelctl key new anna --file anna.key")
        .arg(
            Arg::new("operator")
                .value_name("NAME")
                .help("The operator's name in the daemons' settings")
                .required(true),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .help("The file for the secret key; an existing file is not overwritten")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let operator = args
        .get_one::<String>("operator")
        .expect("clap requires the name");
    let file = args
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let key = OperatorKey::generate(operator).map_err(|error| {
        let help = "check the system's random number source";
        Failure::new(exit::FINDINGS, error.to_string(), help)
    })?;
    write_secret(file, &key.secret_hex())?;
    let json = serde_json::json!({ "operator": operator, "public_key": key.public_hex() });
    let text = format!(
        "the secret key is in {}; add this to the daemons' settings:\n\n  \"operators\": {{ \
         \"{operator}\": \"{}\" }}",
        file.display(),
        key.public_hex()
    );
    Ok(Output::new(text, &json))
}

/// Writes a secret to a new file that only its owner can read. Fails if the file exists.
pub(super) fn write_secret(file: &PathBuf, text: &str) -> Result<(), Failure> {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};
    let file_name = file.display().to_string();
    let mut output_file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)
        .map_err(|error| Failure::file(&file_name, &error))?;
    output_file
        .write_all(text.as_bytes())
        .map_err(|error| Failure::file(&file_name, &error))
}
