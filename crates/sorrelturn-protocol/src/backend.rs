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
    /// The run of the backend server.
    pub id: String,
    /// Whether it takes work.
    pub state: BackendState,
    /// Rises with each announcement of a run; a lower one was sent earlier and came late.
    pub sequence: u64,
}
