//! `sorrelctl bundle sign`

use super::{CommandEntry, file_arg, key_args, note, note_arg, read_bundle, read_key};
use crate::{Failure, Output, Publication};
use clap::{Arg, ArgMatches, Command, value_parser};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "sign"],
    signature,
    run,
};

fn signature() -> Command {
    let command = Command::new("sign")
        .about("Signs a bundle offline; publish it with `bundle publish --signed`")
        .after_help(
            "Example:\n  sorrelctl bundle sign bundles/protokols-riga.jsonc --next-version 1 \
             --operator anna --key anna.key --output json > signed.json",
        )
        .arg(file_arg("bundle", "The bundle, in JSON with comments"))
        .arg(
            Arg::new("next-version")
                .long("next-version")
                .value_name("NUMBER")
                .help("The version of the bundle: one above the accepted version")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(note_arg());
    key_args(command)
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let source = read_bundle(args)?;
    let key = read_key(args)?;
    let version = *args
        .get_one::<u64>("next-version")
        .expect("clap requires the version");
    let publication = Publication::sign(&source, version, note(args), &key)?;
    let text = format!(
        "signed as version {version} by {}; use --output json to get the signed bundle",
        key.operator()
    );
    Ok(Output::new(text, &publication))
}
