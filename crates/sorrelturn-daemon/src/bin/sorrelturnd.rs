//! The daemon as a process: reads its settings, runs, and stops on SIGTERM or SIGINT.

use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use smol::{Executor, channel, stream::StreamExt};
use sorrelturn_daemon::{Daemon, Settings};
use std::{path::PathBuf, process::ExitCode, sync::Arc, thread};

/// The settings can't be used.
const EXIT_SETTINGS: u8 = 2;
/// The daemon could not start.
const EXIT_START: u8 = 3;
/// The planned stop had to cut something off.
const EXIT_CUT: u8 = 4;

fn signature() -> Command {
    Command::new("sorrelturnd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The overload control daemon beside a backend server.")
        .after_help(
            "Examples:\n  sorrelturnd --settings /etc/sorrelturn/sorrelturnd.jsonc\n  \
             sorrelturnd --settings settings/sorrelturnd.jsonc --check-settings\n\n\
             Exit codes:\n  0  stopped as planned\n  2  the settings can't be used\n  \
             3  could not start\n  4  stopped, but requests were cut off\n\n\
             Log: set RUST_LOG, as in RUST_LOG=sorrelturn=info",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings, in JSON with comments; docs/SETTINGS.md describes them")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("sorrelturn=info"))
        .init();
    run(&signature().get_matches())
}

fn run(args: &ArgMatches) -> ExitCode {
    let file = args
        .get_one::<PathBuf>("settings")
        .expect("clap requires the settings");
    let settings = match read(file) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.get_flag("check-settings") {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    run_daemon(settings)
}

fn read(file: &PathBuf) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("error: can't read {name}: {error}\n  help: name a file"))?;
    Settings::parse(&name, &text).map_err(|findings| {
        let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
        findings.join("\n\n")
    })
}

fn run_daemon(settings: Settings) -> ExitCode {
    let ex = Arc::new(Executor::new());
    let (stop_threads, stopped) = channel::bounded::<()>(1);
    // The main thread is one of them: a thread that only waits would take the reactor and wake
    // another one for each event.
    let threads: Vec<_> = (1..settings.threads)
        .map(|_| {
            let (ex, stopped) = (Arc::clone(&ex), stopped.clone());
            thread::spawn(move || {
                let _ = smol::block_on(ex.run(stopped.recv()));
            })
        })
        .collect();
    let code = smol::block_on(ex.run(until_signal(settings, Arc::clone(&ex))));
    drop(stop_threads);
    for thread in threads {
        let _ = thread.join();
    }
    code
}

async fn until_signal(settings: Settings, ex: Arc<Executor<'static>>) -> ExitCode {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let daemon = match Daemon::start(settings, ex).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("error: {error}\n  help: correct the settings and start again");
            return ExitCode::from(EXIT_START);
        }
    };
    println!(
        "{}",
        serde_json::to_string(&daemon.addresses).unwrap_or_default()
    );
    match signals {
        Ok(mut signals) => {
            let _ = signals.next().await;
        }
        Err(error) => log::error!(target: "sorrelturn", "can't wait for signals: {error}"),
    }
    if daemon.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    }
}
