//! The bundle as operators write it. Every field is described in `docs/BUNDLE.md`.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::Importance;
use std::collections::BTreeMap;

/// A whole bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSource {
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The callers by name.
    pub callers: BTreeMap<String, Caller>,
}

/// One service and the kinds of requests that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// How many requests one instance works on at once.
    pub slots: u32,
    /// How many connections one instance takes.
    pub connections: u32,
    /// How many requests may wait for a slot; as many as there are slots where it is absent.
    #[serde(default)]
    pub queue: Option<u32>,
    /// The longest time that a request waits for a slot, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u32,
    /// Statuses by which the backend server says that it refused a request before it ran.
    #[serde(default)]
    pub refused_statuses: Vec<u16>,
    /// The header by which the backend server says, in an answer, that it drains.
    #[serde(default)]
    pub drain_header: Option<String>,
    /// The header in which the backend server wants the milliseconds left; ours where absent.
    #[serde(default)]
    pub deadline_header: Option<String>,
    /// The time over which a fresh instance is brought to full load, in milliseconds.
    #[serde(default = "default_cold_start_ms")]
    pub cold_start_ms: u32,
    /// The kinds of requests by name.
    pub kinds: BTreeMap<String, Kind>,
}

fn default_queue_wait_ms() -> u32 {
    100
}

fn default_cold_start_ms() -> u32 {
    5_000
}

impl Service {
    /// How many requests may wait for a slot.
    pub fn queue_len(&self) -> u32 {
        self.queue.unwrap_or(self.slots).max(1)
    }
}

/// Whether a kind of request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// A second run harms nobody, so a lost answer may be asked for again.
    Repeatable,
    /// It runs at most once, under an execution token.
    AtMostOnce,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The HTTP method.
    pub method: String,
    /// The path pattern, as in `/transcripts/{id}`.
    pub path: String,
    /// How much a root request of this kind matters.
    pub importance: Importance,
    /// Whether it may run more than once.
    pub execution: Execution,
    /// The time a root request of this kind has, in milliseconds.
    pub deadline_ms: u32,
    /// How many executions a root request of this kind may cost over all hops.
    pub attempts: u32,
    /// Whether callers may ask for it; otherwise only backend servers do.
    #[serde(default)]
    pub exposed: bool,
    /// The kinds that it calls, and how often.
    #[serde(default)]
    pub calls: BTreeMap<String, u32>,
}

/// One caller or group of callers. At least one way to recognise it must be given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The BLAKE3 hash, in hexadecimal, of the bearer token that it sends.
    #[serde(default)]
    pub token_blake3: Option<String>,
    /// Address prefixes that it calls from, as in `10.1.0.0/16`.
    #[serde(default)]
    pub networks: Vec<String>,
    /// How many requests a second it may send to one entry daemon.
    pub rate_per_second: f64,
    /// How many retries the entry makes for it, for each of its requests that succeeds.
    pub retry_fraction: f64,
    /// The kinds that it may use; all exposed ones where the list is empty.
    #[serde(default)]
    pub kinds: Vec<String>,
}
