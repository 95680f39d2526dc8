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

/// A backend server's announced state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The backend server's id; may stay the same over restarts.
    pub id: String,
    /// Start time by the backend server's clock, in milliseconds since the Unix epoch; identifies an incarnation
    /// together with `id`. If absent, each incarnation must have its own `id`.
    #[serde(default)]
    pub born: Option<u64>,
    /// Whether the backend server accepts requests.
    pub state: BackendState,
    /// Increases with each announcement of an incarnation; lower numbers are stale.
    pub sequence: u64,
}

impl Announcement {
    /// Returns whether both are of the same incarnation. If only one of them states its start, as those known by an answer
    /// alone don't, the same id counts as the same incarnation.
    pub fn is_of_same_incarnation(&self, other: &Self) -> bool {
        let have_start_times = self.born.is_some() && other.born.is_some();
        self.id == other.id && (!have_start_times || self.born == other.born)
    }
}

/// A backend server whose leave was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeftBackend {
    /// The backend server's id.
    pub id: String,
    /// The latest start time that the incarnation that left may have, in milliseconds since the Unix epoch: its own, or the
    /// time of the leave by the clock of the VM if it stated none. Absent if neither is known.
    #[serde(default)]
    pub started_by: Option<u64>,
}
