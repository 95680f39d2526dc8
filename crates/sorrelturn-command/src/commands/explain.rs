//! `sorrelctl explain`

use super::CommandEntry;
use crate::{
    Failure, Output, exit,
    remote::{address, call_daemon, daemon_arg},
};
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use sorrelturn_telemetry::EventRecord;
use std::path::PathBuf;

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
             127.0.0.1:7005\n  sorrelctl explain 9c41d07be2a35f68 --logs a.log b.log\n\n\
             Ask the daemon that took the request; it asks the others. Or name the logs that were \
             collected from the daemons.",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("The id that the answer or the caller names")
                .required(true),
        )
        .arg(daemon_arg().required(false).required_unless_present("logs"))
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .help("Logs of daemons, which are read in the place of asking one")
                .num_args(1..)
                .conflicts_with("daemon")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let request = args
        .get_one::<String>("request")
        .expect("clap requires the request");
    if let Some(files) = args.get_many::<PathBuf>("logs") {
        return from_logs(request, files);
    }
    let path = format!("/explain/{request}");
    let addr = address(args, "daemon");
    let records = smol::block_on(call_daemon::<Vec<EventRecord>>(
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
    Ok(told(&records))
}

/// What the logs of daemons say of a request. An id is found by its end, since logs write it with
/// leading zeros.
fn from_logs<'a>(
    request: &str,
    files: impl Iterator<Item = &'a PathBuf>,
) -> Result<Output, Failure> {
    let mut records = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let message = format!("can't read {}: {error}", file.display());
            Failure::new(exit::USAGE, message, "name a log of a daemon")
        })?;
        let of_request = |record: &EventRecord| {
            let id = record.request.as_deref();
            id.is_some_and(|id| id.ends_with(request))
        };
        let found = text.lines().filter_map(EventRecord::from_log_line);
        records.extend(found.filter(of_request));
    }
    if records.is_empty() {
        return Err(Failure::new(
            exit::FINDINGS,
            format!("the logs know nothing of request {request}"),
            "log with RUST_LOG=sorrelturn=debug, and name the log of the daemon that took it",
        ));
    }
    records.sort_by_key(|record| record.at_ms);
    Ok(told(&records))
}

fn told(records: &[EventRecord]) -> Output {
    let lines: Vec<String> = records.iter().map(in_words).collect();
    Output::new(lines.join("\n"), &records)
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
