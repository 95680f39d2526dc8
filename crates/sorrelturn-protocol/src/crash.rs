//! Messages between daemons about crashed backend servers. See `docs/design/quarantine.md`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The leading 64 bits of a hash of a request's content, independent of its request id and VM.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The fingerprints of one request.
///
/// Each is assessed on its own: a crash may be caused by the path, whatever the query, or by one query of a common
/// path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFingerprints {
    /// Covers method, host, path, caller and body.
    pub path: RequestFingerprint,
    /// Covers the query too, if there is one.
    pub with_query: Option<RequestFingerprint>,
}

impl RequestFingerprints {
    /// Iterates over the fingerprints.
    pub fn iter(self) -> impl Iterator<Item = RequestFingerprint> {
        [Some(self.path), self.with_query].into_iter().flatten()
    }
}

/// The id of one crash of one backend server; chosen at random by the daemon on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// Reports that a backend server crashed while it ran the listed requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub id: CrashId,
    /// Milliseconds since the crash, recomputed at each hop because monotonic clocks differ between VMs.
    pub age_ms: u64,
    /// The requests in progress at the crash.
    pub running: Vec<RequestFingerprint>,
}

/// A request that completed on some backend server and is therefore not the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// One fingerprint of the request.
    pub request: RequestFingerprint,
    /// Milliseconds since the completion was observed.
    pub age_ms: u64,
}

/// Crashes and cleared requests, exchanged to find requests that crash backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The reported crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that caused no crash.
    pub cleared: Vec<ClearedRequest>,
}

impl CrashUpdate {
    /// Whether it has no content.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }
}
