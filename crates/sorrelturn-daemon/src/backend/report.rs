//! What backend servers write about themselves, read without trust: whoever reaches the port can write there.

use serde::Deserialize;
use sorrelturn_protocol::BackendState;

/// What a backend server sends. A report without one of these fields, or with another type in it, is somebody else's
/// and names no backend server. What is written is read but not all of it is of use here.
#[derive(Debug, Deserialize)]
pub struct Heartbeat {
    /// The service that it belongs to.
    pub service: String,
    /// Whether it takes work.
    pub state: BackendState,
    /// Rises with each announcement of a run.
    pub sequence: u64,
    /// How many requests it works on at once.
    pub slots: u32,
    /// When this run started, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<u64>,
}

/// What a backend server may send when it is about to end.
#[derive(Debug, Default, Deserialize)]
pub struct Deregistration {
    /// When this run started, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<u64>,
}

/// Reads a heartbeat; the error says what can't be read.
pub fn read_heartbeat(bytes: &[u8]) -> Result<Heartbeat, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}

/// Reads what comes with a deregistration, which may be nothing; the error says what can't be read.
pub fn read_deregistration(bytes: &[u8]) -> Result<Deregistration, String> {
    if bytes.is_empty() {
        return Ok(Deregistration::default());
    }
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
