//! `sorrelctl bundle rollback`

use super::{CommandEntry, key_args, read_key};
use crate::{
    Failure, Output, Publication, exit, history, publish, read_head,
    remote::{platform, platform_arg},
};
use clap::{Arg, ArgMatches, Command, value_parser};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["bundle", "rollback"],
    signature,
    run,
};

fn signature() -> Command {
    let command = Command::new("rollback")
        .about("Publishes the content of an earlier version as a new, higher version")
        .after_help(
            "Example:\n  sorrelctl bundle rollback 41 --operator anna --key anna.key --platform \
             127.0.0.1:7400",
        )
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .help("The version to restore")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(platform_arg());
    key_args(command)
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    smol::block_on(run_async(args))
}

async fn run_async(args: &ArgMatches) -> Result<Output, Failure> {
    let target_version = *args
        .get_one::<u64>("version")
        .expect("clap requires the version");
    let key = read_key(args)?;
    let platform = platform(args);
    let head = read_head(&platform).await?;
    let manifests = history(&platform).await?;
    let earlier = manifests
        .iter()
        .find(|manifest| manifest.version == target_version)
        .ok_or_else(|| {
            Failure::new(
                exit::FINDINGS,
                format!("there is no version {target_version}"),
                "`sorrelctl bundle history` lists the versions",
            )
        })?;
    let next_version = head.as_ref().map_or(1, |head| head.manifest.version + 1);
    let note = format!("rollback to version {target_version}");
    let publication = Publication::sign_rollback(earlier, next_version, &note, &key)?;
    let accepted = publish(&platform, head.as_ref(), &publication).await?;
    let text = format!(
        "the content of version {target_version} was accepted as version {}",
        accepted.version
    );
    Ok(Output::new(text, &accepted))
}
