//! The status report of a daemon.

use serde::{Deserialize, Serialize};
use sorrelturn_policy::RoomSum;
use sorrelturn_protocol::MemberRecord;
use std::collections::BTreeMap;

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
    /// The room of the services whose instances have told this daemon of theirs, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rooms: BTreeMap<String, RoomStatus>,
}

/// The room of a service as one daemon knows it. See `docs/design/service-room.md`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomStatus {
    /// The slots that would be in use if nothing were refused, in percent of those that should be in use at most.
    pub used_percent: u64,
    /// The level that follows, in steps of 1/256; absent while too few instances have reported.
    pub level: Option<u16>,
    /// Instances whose reports count.
    pub reports: u64,
    /// Instances that accept calls.
    pub instances: u64,
}

impl RoomStatus {
    /// Returns `None` if no instance has reported.
    pub(crate) fn of(sum: &RoomSum) -> Option<Self> {
        Some(Self {
            used_percent: sum.used_percent()?,
            level: sum.level(),
            reports: sum.reports,
            instances: sum.instances,
        })
    }
}
