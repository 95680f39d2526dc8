//! What daemons tell one another about backend servers that crashed. See `docs/design/quarantine.md`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Names what a request asks for: the same whoever carries it, at whichever VM, under whichever request id.
///
/// The leading 64 bits of a hash; at a million different requests, two of them share one with a chance of 1 in 37
/// million.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The names of one request.
///
/// What makes a backend server crash may lie in the path, with a query that differs each time, or in the query of a path
/// that everybody asks for. Each name is judged by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestNames {
    /// By method, host, path, caller and body.
    pub path: RequestFingerprint,
    /// By the query as well, where there is one.
    pub with_query: Option<RequestFingerprint>,
}

impl RequestNames {
    /// Each of them.
    pub fn each(self) -> impl Iterator<Item = RequestFingerprint> {
        [Some(self.path), self.with_query].into_iter().flatten()
    }
}

/// Names one crash of one backend server; drawn at random by the daemon beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// A backend server crashed while it ran these requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Which crash.
    pub id: CrashId,
    /// How long ago, in milliseconds; steady clocks differ, so each daemon tells it anew.
    pub age_ms: u64,
    /// What was at work and has no answer.
    pub running: Vec<RequestFingerprint>,
}

/// A request ran to its end somewhere, and so isn't the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// One of its names.
    pub request: RequestFingerprint,
    /// How long ago that was noticed, in milliseconds.
    pub age_ms: u64,
}

/// What a daemon knows of requests that may crash backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that are not the cause.
    pub cleared: Vec<Cleared>,
}

impl CrashNews {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }
}
