//! The reports of backend servers: heartbeats and deregistrations. They are untrusted: anyone who
//! reaches the port can send them.

use serde::Deserialize;
use serde_json::value::RawValue;
use sorrelturn_protocol::BackendState;
use std::time::Duration;

/// A heartbeat. A report that lacks a field without a default, or has a field of another type, is
/// rejected; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub struct Heartbeat {
    /// The service that the backend server belongs to.
    pub service: String,
    /// Whether the backend server accepts requests.
    pub state: BackendState,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<u64>,
    /// For how much longer the backend server is cold, in milliseconds. A value that is no number
    /// is ignored.
    #[serde(default)]
    pub cold_ms: Option<Box<RawValue>>,
}

impl Heartbeat {
    /// For how much longer the backend server is cold, if the heartbeat says it.
    pub fn cold_remaining(&self) -> Option<Duration> {
        let cold_ms: f64 = serde_json::from_str(self.cold_ms.as_ref()?.get()).ok()?;
        Duration::try_from_secs_f64(cold_ms / 1_000.0).ok()
    }
}

/// The body that a backend server may send before it ends.
#[derive(Debug, Default, Deserialize)]
pub struct Deregistration {
    /// The start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<u64>,
}

/// Parses a heartbeat; the error says what is malformed.
pub fn read_heartbeat(bytes: &[u8]) -> Result<Heartbeat, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}

/// Parses the body of a deregistration, which may be empty; the error says what is malformed.
pub fn read_deregistration(bytes: &[u8]) -> Result<Deregistration, String> {
    if bytes.is_empty() {
        return Ok(Deregistration::default());
    }
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
