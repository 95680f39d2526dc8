//! What the fleet knows of one daemon.

use crate::{Announcement, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a daemon takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It takes new calls.
    Live,
    /// It finishes what it has and takes no new calls.
    Leaving,
    /// It has stopped; kept for a while so that stale news of it is recognised.
    Gone,
}

/// One daemon, as it describes itself and as peers pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance's name; stays the same over restarts.
    pub instance: String,
    /// The service that its backend server belongs to.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// When the process started, in milliseconds since the Unix epoch; orders incarnations.
    pub started_ms: u64,
    /// Rises with each change of state within an incarnation.
    pub sequence: u32,
    /// Whether it takes new calls.
    pub state: MemberState,
    /// Where peers forward calls.
    pub peer_addr: SocketAddr,
    /// Where peers send control messages.
    pub control_addr: SocketAddr,
    /// The backend server beside it, where backend servers announce themselves: what the daemon
    /// acknowledged, for its next run to know.
    #[serde(default)]
    pub backend: Option<Announcement>,
}

impl MemberRecord {
    /// Whether this record is newer than `other` of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.age_key() > other.age_key()
    }

    fn age_key(&self) -> (u64, Incarnation, u32, MemberState) {
        (self.started_ms, self.incarnation, self.sequence, self.state)
    }
}
