//! `sorrelctl drain`

use super::CommandEntry;
use crate::{
    Failure, Output,
    remote::{address, call_daemon, daemon_arg},
};
use clap::{ArgMatches, Command};
use hyper::Method;
use sorrelturn_daemon::StatusReport;

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["drain"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("drain")
        .about("Makes a daemon refuse new calls; calls in progress continue")
        .after_help("Example:\n  sorrelctl drain --daemon 127.0.0.1:7005")
        .arg(daemon_arg())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let addr = address(args, "daemon");
    let drain = call_daemon::<StatusReport>(addr, Method::POST, "/drain", Vec::new());
    let report = smol::block_on(drain)?;
    let text = format!(
        "{} refuses new calls; {} calls are in flight",
        report.record.instance, report.in_flight
    );
    Ok(Output::new(text, &report))
}
