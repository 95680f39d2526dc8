//! The headers that callers, daemons and backend servers use in routed mode. See
//! `docs/design/running-on-the-platform.md`.

use hyper::header::HeaderName;
use sorrelturn_bundle::RouteTable;

/// The header names of a request and its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The caller's id of one attempt, which backend servers return.
    pub request_id: HeaderName,
    /// The time in milliseconds until the sender stops waiting for a response.
    pub time_left_ms: HeaderName,
    /// To a backend server: the id of the only one that may run the request.
    pub expected_backend: HeaderName,
    /// To a backend server: the service of the VM whose daemon first received the request.
    pub caller_service: HeaderName,
    /// From a backend server: the request was not run.
    pub not_run: HeaderName,
    /// From a backend server: its id.
    pub backend_id: HeaderName,
    /// From a backend server: running requests, queued requests, slots, separated by commas.
    pub load: HeaderName,
    /// From a backend server's health check: the milliseconds for which it is still cold.
    pub cold_ms: HeaderName,
    /// From a backend server: the requests per second that it accepts from all daemons together, as a decimal number. It
    /// holds while responses name it.
    pub rate_limit: HeaderName,
    /// From a backend server: `1` if it is leaving.
    pub leaving: HeaderName,
    /// From a caller: its credential, which isn't forwarded.
    pub credential: HeaderName,
    /// To a backend server: the name of the caller's workspace.
    pub workspace: HeaderName,
}

/// The header names and the route table format of routed mode.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The header names.
    pub headers: HeaderNames,
    /// Parses the operators' route table from the platform's store; the error says why none of it can be used.
    pub read_routes: fn(&str) -> Result<RouteTable, String>,
}

impl Dialect {
    /// The project's own header names and JSON route tables.
    pub fn own() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: HeaderNames {
                request_id: name("request-id"),
                time_left_ms: name("time-left-ms"),
                expected_backend: name("expected-backend"),
                caller_service: name("caller-service"),
                not_run: name("not-run"),
                backend_id: name("backend-id"),
                load: name("backend-load"),
                cold_ms: name("cold-ms"),
                rate_limit: name("rate-limit"),
                leaving: name("leaving"),
                credential: name("credential"),
                workspace: name("workspace"),
            },
            read_routes: RouteTable::parse,
        }
    }
}
