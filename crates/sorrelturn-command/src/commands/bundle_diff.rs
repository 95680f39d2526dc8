//! `sorrelctl bundle diff`

use super::{CommandEntry, file_arg, read_bundle};
use crate::{
    Failure, Output, read_head,
    remote::{platform, platform_arg},
};
use clap::{ArgMatches, Command};
use sorrelturn_bundle::{ContentHash, split};
use std::collections::{BTreeMap, BTreeSet};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "diff"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("diff")
        .about("Shows which sections of a bundle differ from the accepted version")
        .after_help(
            "Example:\n  sorrelctl bundle diff bundles/protokols-riga.jsonc --platform \
             127.0.0.1:7400",
        )
        .arg(file_arg("bundle", "The bundle, in JSON with comments"))
        .arg(platform_arg())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let source = read_bundle(args)?;
    let head = smol::block_on(read_head(&platform(args)))?;
    let accepted = head.map(|head| head.manifest.sections).unwrap_or_default();
    let local: BTreeMap<String, ContentHash> = split(&source)
        .into_iter()
        .map(|section| (section.name, ContentHash::of(&section.bytes)))
        .collect();
    let names: BTreeSet<&String> = accepted.keys().chain(local.keys()).collect();
    let rows: Vec<Vec<String>> = names
        .into_iter()
        .filter_map(|name| {
            let change = match (accepted.get(name), local.get(name)) {
                (None, Some(_)) => "added",
                (Some(_), None) => "removed",
                (old, new) if old != new => "changed",
                _ => return None,
            };
            Some(vec![name.clone(), change.to_owned()])
        })
        .collect();
    if rows.is_empty() {
        return Ok(Output::new("no differences", &rows));
    }
    Ok(Output::table(&["SECTION", "CHANGE"], &rows, &rows))
}
