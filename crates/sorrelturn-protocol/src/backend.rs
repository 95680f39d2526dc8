//! Announcements in which backend servers report their state.

use serde::{Deserialize, Serialize};

/// Whether a backend server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It finishes requests in progress and accepts no new ones.
    Draining,
    /// It is about to exit.
    Gone,
}

/// The state of a backend server, as it announces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The id of the backend server; it may stay the same over restarts.
    pub id: String,
    /// The start time of the backend server, in milliseconds since the Unix epoch by its own clock. Together with `id`
    /// it identifies an incarnation. If absent, each incarnation must have its own `id`.
    #[serde(default)]
    pub born: Option<u64>,
    /// Whether the backend server accepts requests.
    pub state: BackendState,
    /// Increases with each announcement of an incarnation; an announcement with a lower number is stale.
    pub sequence: u64,
}
