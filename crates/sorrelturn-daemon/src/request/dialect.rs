//! The headers that callers, daemons and backend servers use in routed mode. See
//! `docs/design/running-on-the-platform.md`.

use hyper::header::HeaderName;
use sorrelturn_bundle::RouteTable;

/// The names of the headers that describe a request and its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The caller's id of one attempt. Backend servers return it with the response.
    pub request_id: HeaderName,
    /// The time in milliseconds until the sender stops waiting for a response.
    pub time_left_ms: HeaderName,
    /// To a backend server: the id of the only backend server that may run the request.
    pub expected_backend: HeaderName,
    /// To a backend server: the service of the VM whose daemon first received the request.
    pub caller_service: HeaderName,
    /// From a backend server: the request was not run.
    pub not_run: HeaderName,
    /// From a backend server: its id.
    pub backend_id: HeaderName,
    /// From a backend server: the numbers of running requests, queued requests and slots, separated
    /// by commas.
    pub load: HeaderName,
    /// From a caller: its credential, which the entry does not forward.
    pub credential: HeaderName,
    /// To a backend server: the name of the workspace that the caller's credential belongs to.
    pub workspace: HeaderName,
}

/// The header names and the route table format of routed mode.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The names of headers.
    pub headers: HeaderNames,
    /// Parses the text of a route table that operators put into the platform's store. The error is a
    /// message.
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
                credential: name("credential"),
                workspace: name("workspace"),
            },
            read_routes: |text| serde_json::from_str(text).map_err(|error| error.to_string()),
        }
    }
}
