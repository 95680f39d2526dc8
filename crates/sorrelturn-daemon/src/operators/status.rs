//! The status report of a daemon.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::MemberRecord;

/// The status of a daemon, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The daemon's own member record.
    pub record: MemberRecord,
    /// The version of the bundle in force.
    pub bundle_version: u64,
    /// Calls in progress at the backend server.
    pub in_flight: u32,
    /// Calls queued for a slot.
    pub waiting: usize,
    /// The concurrency limit, without the variation while two limits are compared.
    pub limit: u32,
    /// Known members that aren't gone.
    pub members: usize,
    /// Bytes of control messages sent and received since the start.
    pub control_bytes: u64,
    /// Calls to the platform since the start.
    pub platform_calls: u64,
    /// Whether the daemon watches the platform for its failure domain.
    pub watcher: bool,
}
