//! What a daemon tells operators about itself.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::MemberRecord;

/// What a daemon says about itself to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Its own record.
    pub record: MemberRecord,
    /// The version of the bundle in force.
    pub bundle_version: u64,
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// The concurrency limit now.
    pub limit: u32,
    /// Members that haven't gone, as known here.
    pub members: usize,
    /// Bytes of control messages, both ways, since the start.
    pub control_bytes: u64,
    /// Calls to the platform since the start.
    pub platform_calls: u64,
    /// Whether it watches the platform for its failure domain.
    pub watcher: bool,
}
