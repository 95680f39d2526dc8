//! `sorrelctl bundle check`

use super::{CommandEntry, file_arg, read_bundle};
use crate::{Failure, Output};
use clap::{ArgMatches, Command};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "check"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("check")
        .about("Checks a bundle locally")
        .after_help("Example:\n  sorrelctl bundle check bundles/protokols-riga.jsonc")
        .arg(file_arg("bundle", "The bundle, in JSON with comments"))
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let source = read_bundle(args)?;
    let kinds: usize = source
        .services
        .values()
        .map(|service| service.kinds.len())
        .sum();
    let json = serde_json::json!({
        "services": source.services.len(),
        "kinds": kinds,
        "callers": source.callers.len(),
    });
    let text = format!(
        "ok: {} services, {kinds} kinds of requests, {} callers",
        source.services.len(),
        source.callers.len()
    );
    Ok(Output::new(text, &json))
}
