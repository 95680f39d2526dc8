//! Messages between daemons about crashed backend servers. See `docs/design/quarantine.md`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies the content of a request, independent of its request id and of the VM that handles it.
///
/// The value holds the leading 64 bits of a hash.
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
/// The cause of a crash may be the path, whatever the query, or one particular query of a common path. Each
/// fingerprint is therefore assessed on its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFingerprints {
    /// The fingerprint of method, host, path, caller and body.
    pub path: RequestFingerprint,
    /// The fingerprint that also covers the query, if there is one.
    pub with_query: Option<RequestFingerprint>,
}

impl RequestFingerprints {
    /// Iterates over the fingerprints.
    pub fn iter(self) -> impl Iterator<Item = RequestFingerprint> {
        [Some(self.path), self.with_query].into_iter().flatten()
    }
}

/// Identifies one crash of one backend server. The daemon on the same VM chooses the id at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// Reports that a backend server crashed while it ran the listed requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub id: CrashId,
    /// The age of the crash in milliseconds. It is recomputed at each hop because monotonic clocks differ between VMs.
    pub age_ms: u64,
    /// The requests in progress at the time of the crash.
    pub running: Vec<RequestFingerprint>,
}

/// A request that completed on some backend server and is therefore not the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// One fingerprint of the request.
    pub request: RequestFingerprint,
    /// The time since the completion was observed, in milliseconds.
    pub age_ms: u64,
}

/// Crashes and cleared requests, which daemons exchange to find requests that crash backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The reported crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that are not the cause of a crash.
    pub cleared: Vec<ClearedRequest>,
}

impl CrashUpdate {
    /// Returns whether the update has no content.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }
}
