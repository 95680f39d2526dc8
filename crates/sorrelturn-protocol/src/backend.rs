//! What backend servers say about themselves.

use serde::{Deserialize, Serialize};

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is about to end.
    Gone,
}

/// What a backend server says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The name of the backend server; a restart may keep it.
    pub id: String,
    /// When this run started, in milliseconds since the Unix epoch by its own clock: with the id, it names the run.
    /// Absent where backend servers don't tell it; then each run has an id of its own.
    #[serde(default)]
    pub born: Option<u64>,
    /// Whether it takes work.
    pub state: BackendState,
    /// Rises with each announcement of a run; a lower one was sent earlier and came late.
    pub sequence: u64,
}
