//! The load driver and the fake backend server.

use clap::{Arg, ArgMatches, Command, value_parser};
use smol::{Executor, net::TcpListener};
use sorrelturn_bench::{FakeBackend, serve_backend};
use std::{net::SocketAddr, process::ExitCode, sync::Arc};

fn signature() -> Command {
    Command::new("sorrelturn-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives load at the real daemons and prints what came of it.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("backend")
                .about("A fake backend server; prints its address")
                .arg(
                    Arg::new("listen")
                        .long("listen")
                        .value_name("ADDRESS")
                        .help("Where to listen")
                        .default_value("127.0.0.1:0")
                        .value_parser(value_parser!(SocketAddr)),
                ),
        )
}

fn main() -> ExitCode {
    env_logger::init();
    let args = signature().get_matches();
    match args.subcommand() {
        Some(("backend", args)) => backend(args),
        _ => unreachable!("clap requires a command"),
    }
}

fn backend(args: &ArgMatches) -> ExitCode {
    let addr = args
        .get_one::<SocketAddr>("listen")
        .expect("clap fills in the default");
    let ex = Arc::new(Executor::new());
    let result = smol::block_on(ex.run(async {
        let listener = TcpListener::bind(addr).await?;
        println!("{}", listener.local_addr()?);
        serve_backend(Arc::clone(&ex), listener, FakeBackend::default()).await;
        Ok::<_, std::io::Error>(())
    }));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: can't listen on {addr}: {error}\n  help: give a free address");
            ExitCode::FAILURE
        }
    }
}
