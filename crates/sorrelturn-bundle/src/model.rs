//! The source form of a bundle, as operators write it. `docs/BUNDLE.md` describes every field.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::Importance;
use std::collections::BTreeMap;

/// The contents of a bundle file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSource {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Callers by name.
    pub callers: BTreeMap<String, Caller>,
}

/// A service and the kinds of requests that it handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of requests that one instance processes concurrently.
    pub slots: u32,
    /// Maximum number of connections to one instance.
    pub connections: u32,
    /// Maximum number of requests queued for a slot. Defaults to the number of slots.
    #[serde(default)]
    pub queue: Option<u32>,
    /// Maximum time that a request is queued for a slot, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u32,
    /// HTTP statuses with which the backend server rejects a request before executing it.
    #[serde(default)]
    pub refused_statuses: Vec<u16>,
    /// Response header with which the backend server announces that it is draining.
    #[serde(default)]
    pub drain_header: Option<String>,
    /// Request header that carries the remaining time in milliseconds. Defaults to Sorrelturn's own header.
    #[serde(default)]
    pub deadline_header: Option<String>,
    /// Time over which the load on a new instance is ramped up, in milliseconds.
    #[serde(default = "default_cold_start_ms")]
    pub cold_start_ms: u32,
    /// Request kinds by name.
    pub kinds: BTreeMap<String, Kind>,
}

fn default_queue_wait_ms() -> u32 {
    100
}

fn default_cold_start_ms() -> u32 {
    5_000
}

impl Service {
    /// Returns the maximum number of queued requests, which is at least 1.
    pub fn queue_len(&self) -> u32 {
        self.queue.unwrap_or(self.slots).max(1)
    }
}

/// How often a request of a kind may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// Executing a request again is safe, so it may be retried after a lost response.
    Repeatable,
    /// A request is executed at most once, under an execution token.
    AtMostOnce,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The HTTP method.
    pub method: String,
    /// The path pattern, as in `/transcripts/{id}`.
    pub path: String,
    /// The importance of a root request of this kind.
    pub importance: Importance,
    /// Whether a request may be executed more than once.
    pub execution: Execution,
    /// The time limit of a root request of this kind, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum number of executions that a root request may cause over all hops, retries included.
    pub attempts: u32,
    /// Whether callers may send it. Otherwise only backend servers may.
    #[serde(default)]
    pub exposed: bool,
    /// The kinds that it calls, with the number of calls to each.
    #[serde(default)]
    pub calls: BTreeMap<String, u32>,
}

/// A caller or group of callers, identified by a bearer token or by its networks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The BLAKE3 hash of its bearer token, in hexadecimal.
    #[serde(default)]
    pub token_blake3: Option<String>,
    /// Source networks in CIDR notation, such as `10.1.0.0/16`.
    #[serde(default)]
    pub networks: Vec<String>,
    /// Maximum rate to one entry daemon, in requests per second.
    pub rate_per_second: f64,
    /// Retries that the entry daemon may make per successful request of the caller, from 0 to 1.
    pub retry_fraction: f64,
    /// The kinds that it may send. An empty list allows all exposed kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
}
