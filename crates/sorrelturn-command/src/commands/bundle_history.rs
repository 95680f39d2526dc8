//! `sorrelctl bundle history`

use super::CommandEntry;
use crate::{
    Failure, Output, history,
    remote::{platform, platform_arg},
};
use clap::{ArgMatches, Command};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "history"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("history")
        .about("Lists the accepted versions, the newest first")
        .after_help("Example:\n  sorrelctl bundle history --platform 127.0.0.1:7400")
        .arg(platform_arg())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let manifests = smol::block_on(history(&platform(args)))?;
    let rows: Vec<Vec<String>> = manifests
        .iter()
        .map(|manifest| {
            vec![
                manifest.version.to_string(),
                (manifest.published_ms / 1000).to_string(),
                manifest.sections.len().to_string(),
                manifest.note.clone(),
            ]
        })
        .collect();
    let heads = ["VERSION", "PUBLISHED (UNIX S)", "SECTIONS", "NOTE"];
    Ok(Output::table(&heads, &rows, &manifests))
}
