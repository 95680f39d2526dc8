//! `sorrelctl bundle publish`

use super::{CommandEntry, key_args, note, note_arg, read_bundle, read_file, read_key};
use crate::{
    Failure, Output, Publication, exit, publish, read_head,
    remote::{call_daemon, platform, platform_arg},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use sorrelturn_daemon::StatusReport;
use std::{net::SocketAddr, path::PathBuf};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "publish"],
    signature,
    run,
};

fn signature() -> Command {
    let command = Command::new("publish")
        .about("Checks, signs and publishes a bundle; an accepted version can only be replaced by a higher one")
        .after_help(
            "Examples:\n  sorrelctl bundle publish bundles/protokols-riga.jsonc --operator anna \
             --key anna.key --platform 127.0.0.1:7400\n  sorrelctl bundle publish --signed \
             signed.json --platform 127.0.0.1:7400",
        )
        .arg(
            Arg::new("bundle")
                .value_name("FILE")
                .help("The bundle, in JSON with comments")
                .required_unless_present("signed")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("signed")
                .long("signed")
                .value_name("FILE")
                .help("A file from `bundle sign`, instead of a bundle and a key")
                .conflicts_with_all(["bundle", "key", "operator"])
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("tell")
                .long("tell")
                .value_name("ADDRESS")
                .help("The admin address of a daemon to send the accepted bundle to directly; may be repeated")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(note_arg())
        .arg(platform_arg());
    key_args(command)
        .mut_arg("key", |arg| arg.required(false).requires("operator"))
        .mut_arg("operator", |arg| arg.required(false))
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    smol::block_on(run_async(args))
}

async fn run_async(args: &ArgMatches) -> Result<Output, Failure> {
    let platform = platform(args);
    let head = read_head(&platform).await?;
    let next_version = head.as_ref().map_or(1, |head| head.manifest.version + 1);
    let publication = publication(args, next_version)?;
    let accepted = publish(&platform, head.as_ref(), &publication).await?;
    let body = serde_json::to_vec(&publication).unwrap_or_default();
    for addr in args.get_many::<SocketAddr>("tell").into_iter().flatten() {
        let upload = call_daemon::<StatusReport>(*addr, Method::PUT, "/bundle", body.clone());
        if let Err(failure) = upload.await {
            eprintln!(
                "warning: version {} was accepted, but {failure}",
                accepted.version
            );
        }
    }
    let text = format!(
        "accepted as version {}; {} sections were new",
        accepted.version, accepted.new_sections
    );
    Ok(Output::new(text, &accepted))
}

fn publication(args: &ArgMatches, next_version: u64) -> Result<Publication, Failure> {
    if args.contains_id("signed") {
        let (file, text) = read_file(args, "signed")?;
        return serde_json::from_str(&text).map_err(|error| {
            let help = "use a file that `bundle sign --output json` wrote";
            Failure::new(exit::FINDINGS, format!("{file}: {error}"), help)
        });
    }
    if !args.contains_id("key") || !args.contains_id("operator") {
        return Err(Failure::new(
            exit::USAGE,
            "the bundle must be signed",
            "give --operator and --key, or a signed file with --signed",
        ));
    }
    let source = read_bundle(args)?;
    Publication::sign(&source, next_version, note(args), &read_key(args)?)
}
