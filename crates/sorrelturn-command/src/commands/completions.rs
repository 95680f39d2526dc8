//! `sorrelctl completions`

use super::{CommandEntry, root};
use crate::{Failure, Output};
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["completions"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .after_help("Example:\n  sorrelctl completions bash > sorrelctl.bash")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("The shell to generate completions for")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let shell = *args
        .get_one::<Shell>("shell")
        .expect("clap requires the shell");
    let mut script = Vec::new();
    generate(shell, &mut root(), "sorrelctl", &mut script);
    let text = String::from_utf8_lossy(&script).into_owned();
    Ok(Output::new(text.clone(), &text))
}
