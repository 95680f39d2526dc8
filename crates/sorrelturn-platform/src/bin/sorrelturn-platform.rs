//! Runs the stand-in of the platform's object API as a process.

use clap::{Arg, Command, value_parser};
use smol::{Executor, net::TcpListener};
use sorrelturn_platform::{StandIn, serve};
use std::{net::SocketAddr, process::ExitCode, sync::Arc};

fn signature() -> Command {
    Command::new("sorrelturn-platform")
        .version(env!("CARGO_PKG_VERSION"))
        .about("In-memory stand-in for the platform's object API, for tests and the demo.")
        .after_help("Example:\n  sorrelturn-platform --listen 127.0.0.1:7400")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("Address to listen on; port 0 picks a free port. The address is printed on standard output")
                .default_value("127.0.0.1:7400")
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn main() -> ExitCode {
    env_logger::init();
    let args = signature().get_matches();
    let addr = args
        .get_one::<SocketAddr>("listen")
        .expect("clap sets the default");
    let ex = Arc::new(Executor::new());
    let result = smol::block_on(ex.run(async {
        let listener = TcpListener::bind(addr).await?;
        println!("{}", listener.local_addr()?);
        serve(Arc::clone(&ex), listener, StandIn::default()).await;
        Ok::<_, std::io::Error>(())
    }));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: can't listen on {addr}: {error}\nhelp: choose an unused address");
            ExitCode::FAILURE
        }
    }
}
