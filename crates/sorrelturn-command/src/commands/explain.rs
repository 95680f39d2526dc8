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
        .about("Shows what happened to a request at every daemon that it passed")
        .after_help(
            "Example:\n  sorrelctl explain 00000000000000000000000000000abc --daemon \
             127.0.0.1:7005\n  sorrelctl explain 9c41d07be2a35f68 --logs a.log b.log\n\n\
             Name the daemon that received the request; it queries the others. Or give the log files of the \
             daemons.",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("The request ID, from the response or the caller")
                .required(true),
        )
        .arg(daemon_arg().required(false).required_unless_present("logs"))
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .help("Log files of daemons to read instead of querying a daemon")
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
        return explain_from_logs(request, files);
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
            format!("daemon {addr} has no events of request {request}"),
            "query the daemon that received the request, within a few minutes of it",
        ));
    }
    Ok(format_records(&records))
}

/// Explains a request from logs of daemons. Matches the end of the ID, since logs pad it with zeros.
fn explain_from_logs<'a>(
    request: &str,
    files: impl Iterator<Item = &'a PathBuf>,
) -> Result<Output, Failure> {
    let mut records = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let message = format!("can't read {}: {error}", file.display());
            Failure::new(exit::USAGE, message, "name a log file of a daemon")
        })?;
        let is_of_request = |record: &EventRecord| {
            let id = record.request.as_deref();
            id.is_some_and(|id| id.ends_with(request))
        };
        let log_records = text.lines().filter_map(EventRecord::from_log_line);
        records.extend(log_records.filter(is_of_request));
    }
    if records.is_empty() {
        return Err(Failure::new(
            exit::FINDINGS,
            format!("the logs have no events of request {request}"),
            "log with RUST_LOG=sorrelturn=debug, and include the log of the daemon that received the request",
        ));
    }
    records.sort_by_key(|record| record.at_ms);
    Ok(format_records(&records))
}

fn format_records(records: &[EventRecord]) -> Output {
    let lines: Vec<String> = records.iter().map(format_record).collect();
    Output::new(lines.join("\n"), &records)
}

fn format_record(record: &EventRecord) -> String {
    let fields: Vec<String> = record
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
        fields.join(", ")
    )
}
