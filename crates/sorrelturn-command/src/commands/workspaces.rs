//! `sorrelctl workspaces`

use super::CommandEntry;
use crate::{Failure, Output, remote::call_daemon};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use sorrelturn_daemon::{WorkspaceUsage, WorkspacesReport};
use std::{collections::BTreeMap, net::SocketAddr};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["workspaces"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("workspaces")
        .about("Shows the quotas of workspaces, and how many requests the given daemons admitted and refused")
        .after_help(
            "Examples:\n  sorrelctl workspaces --daemon 127.0.0.1:7005\n  \
             sorrelctl workspaces --daemon 127.0.0.1:7005 --daemon 127.0.0.1:7015 --output json",
        )
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("ADDRESS")
                .help("The admin address of a daemon; may be repeated")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let mut reports = Vec::new();
    for addr in args.get_many::<SocketAddr>("daemon").into_iter().flatten() {
        let report_request =
            call_daemon::<WorkspacesReport>(*addr, Method::GET, "/workspaces", Vec::new());
        reports.push(smol::block_on(report_request)?);
    }
    let mut rows: Vec<Vec<String>> = reports.iter().map(daemon_row).collect();
    rows.extend(
        sum_by_workspace(&reports)
            .iter()
            .map(|(name, usage)| workspace_row(name, usage)),
    );
    let heads = [
        "WORKSPACE OR DAEMON",
        "LIMIT/S",
        "BURST",
        "LET IN",
        "OVER QUOTA",
        "UNDECIDED",
        "NO ROOM",
        "SHARE USED",
        "KNOWLEDGE",
    ];
    Ok(Output::table(&heads, &rows, &reports))
}

/// Formats a daemon: the fraction of its quota shares that it leases, and the staleness of its route table.
fn daemon_row(report: &WorkspacesReport) -> Vec<String> {
    let age = report.knowledge_age_ms;
    let age = age.map_or_else(|| "never read".to_owned(), |ms| format!("{ms} ms old"));
    let leased = format!("leases {:.0} %", report.part_lent * 100.0);
    let empty_cell = String::new;
    vec![
        report.instance.clone(),
        empty_cell(),
        empty_cell(),
        leased,
        empty_cell(),
        empty_cell(),
        empty_cell(),
        empty_cell(),
        age,
    ]
}

fn workspace_row(name: &str, usage: &WorkspaceUsage) -> Vec<String> {
    let limit =
        |limit: Option<f64>| limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    let share_used = usage.share_used;
    let share_used = share_used.map_or_else(String::new, |used| format!("{used:.2}"));
    vec![
        name.to_owned(),
        limit(usage.rate_per_second),
        limit(usage.burst),
        usage.let_in.to_string(),
        usage.over_quota.to_string(),
        usage.undecided.to_string(),
        usage.refused_for_load.to_string(),
        share_used,
        String::new(),
    ]
}

/// Sums the usage of each workspace over all reports.
fn sum_by_workspace(reports: &[WorkspacesReport]) -> BTreeMap<&str, WorkspaceUsage> {
    let mut sums: BTreeMap<&str, WorkspaceUsage> = BTreeMap::new();
    for (name, usage) in reports.iter().flat_map(|report| &report.workspaces) {
        let sum = sums.entry(name).or_default();
        sum.rate_per_second = usage.rate_per_second;
        sum.burst = usage.burst;
        sum.let_in += usage.let_in;
        sum.over_quota += usage.over_quota;
        sum.undecided += usage.undecided;
        sum.refused_for_load += usage.refused_for_load;
        sum.share_used = higher(sum.share_used, usage.share_used);
    }
    sums
}

fn higher(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    a.into_iter().chain(b).reduce(f64::max)
}
