//! `sorrelturn-bench backend`

use super::CommandEntry;
use crate::{FakeBackend, serve_backend};
use clap::{Arg, ArgMatches, Command, value_parser};
use smol::{Executor, net::TcpListener};
use std::{net::SocketAddr, process::ExitCode, sync::Arc};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "backend",
    signature,
    run,
};

fn signature() -> Command {
    Command::new("backend")
        .about("Runs a fake backend server and prints its address")
        .after_help("Example:\n  sorrelturn-bench backend --listen 127.0.0.1:8080")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("The address to listen on")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn run(args: &ArgMatches) -> ExitCode {
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
            eprintln!(
                "error: can't listen on {addr}: {error}\n  help: choose an address that is not in use"
            );
            ExitCode::FAILURE
        }
    }
}
