//! The membership record of a daemon.

use crate::{Announcement, BackendState, Incarnation, LeftBackend, RequestRate};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// How far the start in a record may be ahead of the reader's clock. Clocks of VMs may be off by decades, for example after
/// a reset to 1970. The limit moves with the clock, so that any accepted record can be outranked a moment later.
const MAX_START_LEAD: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Whether a daemon accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It accepts new calls.
    Live,
    /// It finishes calls in progress and accepts no new ones.
    Leaving,
    /// It has stopped. The record is retained for a while to detect stale updates.
    Gone,
}

/// The record of one daemon, which publishes it; peers relay it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance's name; stays the same over restarts.
    pub instance: String,
    /// The service of the backend server on this VM.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// Start of the process in milliseconds since the Unix epoch; orders incarnations.
    pub started_ms: u64,
    /// Increases with each state change within an incarnation.
    pub sequence: u32,
    /// Whether the daemon accepts new calls.
    pub state: MemberState,
    /// Where peers forward calls.
    pub peer_addr: SocketAddr,
    /// Where peers send control messages.
    pub control_addr: SocketAddr,
    /// The backend server's last acknowledged announcement, from which the next incarnation resumes. Absent if backend
    /// servers don't announce themselves.
    #[serde(default)]
    pub backend: Option<Announcement>,
    /// The limit that the backend server names in its responses, from which the next incarnation resumes.
    #[serde(default)]
    pub rate_limit: Option<RequestRate>,
    /// The last backend servers whose leaves were acknowledged, since reports from before may still arrive. A few at the
    /// most, so that records stay small.
    #[serde(default)]
    pub left: Vec<LeftBackend>,
}

impl MemberRecord {
    /// Whether this is newer than `other`, a record of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.recency_key() > other.recency_key()
    }

    /// Whether a daemon may have written this record, by the reader's clock in milliseconds since the Unix epoch. A record
    /// that is further ahead could never be outranked.
    pub fn is_plausible(&self, unix_ms: u64) -> bool {
        self.started_ms <= unix_ms.saturating_add(MAX_START_LEAD.as_millis() as u64)
    }

    /// Makes this record newer than before.
    pub fn advance(&mut self) {
        match self.sequence.checked_add(1) {
            Some(sequence) => self.sequence = sequence,
            None => {
                self.started_ms = self.started_ms.saturating_add(1);
                self.sequence = 0;
            }
        }
    }

    /// Makes this record newer than `other`, a record of the same instance.
    pub fn outrank(&mut self, other: &Self) {
        if other.incarnation == self.incarnation {
            self.started_ms = other.started_ms;
            self.sequence = other.sequence;
            self.advance();
        } else {
            self.started_ms = other.started_ms.saturating_add(1);
        }
    }

    /// Whether this record says that its backend server is leaving, which `next`, a record of the next incarnation of the
    /// same daemon, doesn't know.
    pub fn has_leave_unknown_to(&self, next: &Self) -> bool {
        let Some(backend) = &self.backend else {
            return false;
        };
        let is_leaving = backend.state != BackendState::Ready;
        let is_known = next.backend.as_ref().is_some_and(|known| {
            !known.is_of_same_incarnation(backend) || known.state != BackendState::Ready
        });
        is_leaving && !is_known
    }

    fn recency_key(&self) -> (u64, Incarnation, u32, MemberState) {
        (self.started_ms, self.incarnation, self.sequence, self.state)
    }
}
