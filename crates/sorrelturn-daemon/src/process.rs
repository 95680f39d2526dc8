//! The daemon process: reads its settings, runs, checks them again on SIGHUP and stops on SIGTERM or SIGINT.

use crate::{Clock, Daemon, Dialect, Settings, operators::log_sink};
use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use smol::{
    Executor, channel,
    future::{self, FutureExt},
    stream::StreamExt,
};
use std::{
    panic,
    path::PathBuf,
    process::{self, ExitCode},
    sync::Arc,
    thread,
    time::Duration,
};

/// The settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The daemon failed to start.
const EXIT_START_FAILED: u8 = 3;
/// The daemon stopped, but requests were still in progress.
const EXIT_REQUESTS_CUT_OFF: u8 = 4;
/// The environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_ENV_VAR: &str = "SORRELTURN_SETTINGS";
/// The timeout for writing the last log lines.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

fn cli_command(name: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about("The overload control daemon for a backend server.")
        .after_help(format!(
            "Examples:\n  {name} --settings /etc/sorrelturn/sorrelturnd.jsonc\n  \
             {name} --settings settings/sorrelturnd.jsonc --check-settings\n\n\
             Exit codes:\n  0  stopped cleanly\n  2  invalid settings\n  \
             3  failed to start\n  4  stopped with requests still in progress\n\n\
             Logging: set RUST_LOG, for example RUST_LOG=sorrelturn=info"
        ))
        .arg(
            Arg::new("settings")
                .long("settings")
                .env(SETTINGS_ENV_VAR)
                .value_name("FILE")
                .help("The settings file, in JSON with comments; see docs/SETTINGS.md")
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

/// Runs the daemon as the program `name`. It uses `dialect` if its settings name a route table.
pub fn main(name: &'static str, dialect: Dialect) -> ExitCode {
    log_sink::start();
    abort_on_panic();
    let code = run(&cli_command(name).get_matches(), dialect);
    log_sink::flush_within(LAST_FLUSH_TIMEOUT);
    code
}

/// Ends the process if a task panics, as the release profile does: executors of other builds drop the panic of a task that
/// nobody waits for.
fn abort_on_panic() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        process::abort();
    }));
}

fn run(args: &ArgMatches, dialect: Dialect) -> ExitCode {
    let file = args
        .get_one::<PathBuf>("settings")
        .expect("clap requires the settings");
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.get_flag("check-settings") {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    run_daemon(file, settings, dialect)
}

fn read_settings(file: &PathBuf) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| {
        format!(
            "error: can't read {name}: {error}\n  help: pass the path of a readable settings file"
        )
    })?;
    Settings::parse(&name, &text).map_err(|findings| {
        let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
        findings.join("\n\n")
    })
}

fn run_daemon(file: &PathBuf, settings: Settings, dialect: Dialect) -> ExitCode {
    let ex = Arc::new(Executor::new());
    let (stop_threads, stopped) = channel::bounded::<()>(1);
    // The main thread runs tasks too: if it only waited, it would drive the reactor and wake another thread for each
    // event.
    let threads: Vec<_> = (1..settings.threads)
        .map(|_| {
            let (ex, stopped) = (Arc::clone(&ex), stopped.clone());
            thread::spawn(move || {
                let _ = smol::block_on(ex.run(stopped.recv()));
            })
        })
        .collect();
    let daemon_run = run_until_stop_signal(file, settings, dialect, Arc::clone(&ex));
    let code = smol::block_on(ex.run(daemon_run));
    drop(stop_threads);
    for thread in threads {
        let _ = thread.join();
    }
    code
}

async fn run_until_stop_signal(
    file: &PathBuf,
    settings: Settings,
    dialect: Dialect,
    ex: Arc<Executor<'static>>,
) -> ExitCode {
    let signals = spawn_signal_listener(&ex);
    let daemon = match Daemon::listen(settings, dialect, ex, Clock::system()) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("error: {error}\n  help: correct the settings and restart");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let run = async {
        daemon.join().await;
        println!(
            "{}",
            serde_json::to_string(&daemon.addresses).unwrap_or_default()
        );
        future::pending().await
    };
    // Requests are served while the start waits for the store, so a signal to stop must not wait for it.
    let stopped = async {
        while let Ok(Signal::Hup) = signals.recv().await {
            daemon.settings_changed(read_settings(file));
        }
    };
    run.or(stopped).await;
    if daemon.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REQUESTS_CUT_OFF)
    }
}

/// Spawns a task that forwards the signals of the process to a channel. The main thread polls for signals on every
/// wake-up, and polling a channel needs no system call.
fn spawn_signal_listener(ex: &Arc<Executor<'static>>) -> channel::Receiver<Signal> {
    let (tx, rx) = channel::unbounded();
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let forward_signals = async move {
        let listen_error = match signals {
            Ok(mut signals) => loop {
                match signals.next().await {
                    Some(Ok(signal)) if tx.send(signal).await.is_ok() => {}
                    Some(Err(error)) => break error,
                    _ => return,
                }
            },
            Err(error) => error,
        };
        log::error!(target: "sorrelturn", "can't receive signals: {listen_error}");
    };
    ex.spawn(forward_signals).detach();
    rx
}
