//! `sorrelctl explain`

use super::CommandEntry;
use crate::{
    Failure, Output, exit,
    remote::{address, ask_daemon, daemon_arg},
};
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use sorrelturn_telemetry::EventRecord;

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["explain"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("explain")
        .about("Tells in words what happened to a request over all its hops")
        .after_help(
            "Example:\n  sorrelctl explain 00000000000000000000000000000abc --daemon \
             127.0.0.1:7005\n\nAsk the daemon that took the request; it asks the others.",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("The header sorrelturn-request-id of the answer")
                .required(true),
        )
        .arg(daemon_arg())
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let request = args
        .get_one::<String>("request")
        .expect("clap requires the request");
    let path = format!("/explain/{request}");
    let addr = address(args, "daemon");
    let records = smol::block_on(ask_daemon::<Vec<EventRecord>>(
        addr,
        Method::GET,
        &path,
        Vec::new(),
    ))?;
    if records.is_empty() {
        return Err(Failure::new(
            exit::FINDINGS,
            format!("daemon {addr} knows nothing of request {request}"),
            "ask the daemon that took the request, within some minutes",
        ));
    }
    let lines: Vec<String> = records.iter().map(in_words).collect();
    Ok(Output::new(lines.join("\n"), &records))
}

fn in_words(record: &EventRecord) -> String {
    let inputs: Vec<String> = record
        .fields
        .iter()
        .map(|field| format!("{} {}", field.name.replace('_', " "), field.value))
        .collect();
    format!(
        "{} (S{:03}) at {}: {}\n    {}",
        record.at_ms,
        record.number,
        record.instance,
        record.text,
        inputs.join(", ")
    )
}
