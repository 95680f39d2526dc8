//! Requests to the platform and to the admin API of a daemon.

use crate::{Failure, exit};
use bytes::Bytes;
use clap::{Arg, ArgMatches, value_parser};
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use sorrelturn_platform::{Platform, http::exchange};
use std::{net::SocketAddr, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .help("The address of the platform's object API")
        .env("SORRELTURN_PLATFORM")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

pub(crate) fn daemon_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("ADDRESS")
        .help("The admin address of a daemon")
        .env("SORRELTURN_DAEMON")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

pub(crate) fn platform(args: &ArgMatches) -> Platform {
    Platform::new(address(args, "platform"), REQUEST_TIMEOUT)
}

pub(crate) fn address(args: &ArgMatches, name: &str) -> SocketAddr {
    *args
        .get_one::<SocketAddr>(name)
        .expect("clap requires the address")
}

pub(crate) async fn call_daemon<T: DeserializeOwned>(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<T, Failure> {
    let mut req = Request::new(Bytes::from(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(|_| {
        let help = "use a request ID from the header sorrelturn-request-id";
        Failure::new(exit::USAGE, format!("{path} is not a valid path"), help)
    })?;
    let res = exchange(addr, req, REQUEST_TIMEOUT)
        .await
        .map_err(|error| {
            let help = "check the address given with --daemon";
            Failure::new(exit::UNAVAILABLE, format!("daemon {addr}: {error}"), help)
        })?;
    if !res.status().is_success() {
        let text = String::from_utf8_lossy(res.body()).trim().to_owned();
        let help = "see the daemon's log";
        let message = format!("daemon {addr} responded with {}: {text}", res.status());
        return Err(Failure::new(exit::FINDINGS, message, help));
    }
    serde_json::from_slice(res.body()).map_err(|error| {
        let help = "use sorrelctl and sorrelturnd of the same version";
        Failure::new(
            exit::FINDINGS,
            format!("can't parse the response of daemon {addr}: {error}"),
            help,
        )
    })
}
