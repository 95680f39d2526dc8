//! The daemon as a process: reads its settings, runs, and stops on SIGTERM or SIGINT.

use crate::{Daemon, Dialect, Settings, operators::log_sink};
use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use smol::{Executor, channel, stream::StreamExt};
use std::{path::PathBuf, process::ExitCode, sync::Arc, thread};

/// The settings can't be used.
const EXIT_SETTINGS: u8 = 2;
/// The daemon could not start.
const EXIT_START: u8 = 3;
/// The planned stop had to cut something off.
const EXIT_CUT: u8 = 4;
/// Names the settings file where the command line doesn't.
const SETTINGS_VARIABLE: &str = "SORRELTURN_SETTINGS";

fn signature(name: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about("The overload control daemon beside a backend server.")
        .after_help(format!(
            "Examples:\n  {name} --settings /etc/sorrelturn/sorrelturnd.jsonc\n  \
             {name} --settings settings/sorrelturnd.jsonc --check-settings\n\n\
             Exit codes:\n  0  stopped as planned\n  2  the settings can't be used\n  \
             3  could not start\n  4  stopped, but requests were cut off\n\n\
             Log: set RUST_LOG, as in RUST_LOG=sorrelturn=info"
        ))
        .arg(
            Arg::new("settings")
                .long("settings")
                .env(SETTINGS_VARIABLE)
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

/// Runs the program `name`, which speaks `dialect` where its settings name a route table.
pub fn main(name: &'static str, dialect: Dialect) -> ExitCode {
    log_sink::start();
    let code = run(&signature(name).get_matches(), dialect);
    log_sink::flush();
    code
}

fn run(args: &ArgMatches, dialect: Dialect) -> ExitCode {
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
    run_daemon(file, settings, dialect)
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

fn run_daemon(file: &PathBuf, settings: Settings, dialect: Dialect) -> ExitCode {
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
    let running = until_signal(file, settings, dialect, Arc::clone(&ex));
    let code = smol::block_on(ex.run(running));
    drop(stop_threads);
    for thread in threads {
        let _ = thread.join();
    }
    code
}

async fn until_signal(
    file: &PathBuf,
    settings: Settings,
    dialect: Dialect,
    ex: Arc<Executor<'static>>,
) -> ExitCode {
    let signals = signals(&ex);
    let daemon = match Daemon::start(settings, dialect, ex).await {
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
    while let Ok(Signal::Hup) = signals.recv().await {
        daemon.settings_changed(read(file));
    }
    if daemon.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    }
}

/// The signals of the process, as they come. The main thread looks for them whenever it wakes, and a look at the
/// signals themselves would be a system call; a task of their own looks only when there are some.
fn signals(ex: &Arc<Executor<'static>>) -> channel::Receiver<Signal> {
    let (tx, rx) = channel::unbounded();
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let pass_on = async move {
        let failed = match signals {
            Ok(mut signals) => loop {
                match signals.next().await {
                    Some(Ok(signal)) if tx.send(signal).await.is_ok() => {}
                    Some(Err(error)) => break error,
                    _ => return,
                }
            },
            Err(error) => error,
        };
        log::error!(target: "sorrelturn", "can't wait for signals: {failed}");
    };
    ex.spawn(pass_on).detach();
    rx
}
