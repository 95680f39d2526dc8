//! `sorrelctl fleet status`

use super::{CommandEntry, bundle_status::domains};
use crate::{
    Failure, Output,
    remote::{platform, platform_arg},
};
use clap::{ArgMatches, Command};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["fleet", "status"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("status")
        .about(
            "Shows the number of daemons in each failure domain, from the reports of the watchers",
        )
        .after_help("Example:\n  sorrelctl fleet status --platform 127.0.0.1:7400")
        .arg(platform_arg())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let domains = smol::block_on(domains(&platform(args)))?;
    let rows: Vec<Vec<String>> = domains
        .iter()
        .map(|domain| {
            let reporting: usize = domain.in_force.values().sum();
            vec![
                domain.failure_domain.clone(),
                reporting.to_string(),
                domain.leaving.to_string(),
                domain.silent.to_string(),
                domain.written_by.clone(),
            ]
        })
        .collect();
    let heads = [
        "FAILURE DOMAIN",
        "REPORTING",
        "LEAVING",
        "SILENT",
        "WATCHER",
    ];
    Ok(Output::table(&heads, &rows, &domains))
}
