//! `sorrelctl bundle status`

use super::CommandEntry;
use crate::{
    Failure, Output, read_head,
    remote::{platform, platform_arg},
};
use clap::{ArgMatches, Command};
use sorrelturn_fleet::DomainStatus;
use sorrelturn_platform::{Platform, keys};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "status"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("status")
        .about("Shows how many daemons of each failure domain have the accepted version in force")
        .after_help("Example:\n  sorrelctl bundle status --platform 127.0.0.1:7400")
        .arg(platform_arg())
}

/// Reads the status objects that the watchers write, one for each failure domain.
pub(super) async fn domains(platform: &Platform) -> Result<Vec<DomainStatus>, Failure> {
    let changes = platform.list(keys::STATUS).await?;
    Ok(changes
        .objects
        .iter()
        .filter_map(|object| serde_json::from_str(&object.value).ok())
        .collect())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    smol::block_on(async {
        let platform = platform(args);
        let head = read_head(&platform).await?;
        let version = head.map_or(0, |head| head.manifest.version);
        let domains = domains(&platform).await?;
        let rows: Vec<Vec<String>> = domains
            .iter()
            .map(|domain| status_row(domain, version))
            .collect();
        let heads = [
            "FAILURE DOMAIN",
            "IN FORCE",
            "BEHIND",
            "SILENT",
            "WHO IS BEHIND",
        ];
        let mut output = Output::table(&heads, &rows, &domains);
        output.text = format!("accepted: version {version}\n\n{}", output.text);
        Ok(output)
    })
}

fn status_row(domain: &DomainStatus, version: u64) -> Vec<String> {
    let up_to_date = domain.in_force.get(&version).copied().unwrap_or(0);
    let reporting: usize = domain.in_force.values().sum();
    let names: Vec<String> = domain
        .behind
        .iter()
        .map(|member| {
            let reason = member.trouble.as_deref().unwrap_or("");
            format!("{} at {} {reason}", member.instance, member.version)
        })
        .collect();
    vec![
        domain.failure_domain.clone(),
        up_to_date.to_string(),
        (reporting - up_to_date).to_string(),
        domain.silent.to_string(),
        names.join(", "),
    ]
}
