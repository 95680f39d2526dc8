//! The messages between quota clients and allocators.

use crate::{Now, ShardSet};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::time::Duration;

/// A reading of an allocator's clock.
///
/// A lease counts from the reading, which precedes its message: a delay can't extend the lease, and the allocator needs
/// only its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockReading {
    /// The allocator's incarnation.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The time by the allocator's clock.
    pub at: Now,
}

/// A lease of a quota client's shares to an allocator.
///
/// A share is an equal fraction of every quota, one per member of the fleet, leased separately for each shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The allocator's clock reading from which the lease counts.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The shards whose shares are leased.
    pub shards: ShardSet,
    /// The quota client's lease duration, counted from the clock reading.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// A request for grants, a lease renewal, or both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The quota client's incarnation.
    pub from: Incarnation,
    /// Absent if the quota client can't lease any shares, for instance without a clock reading.
    #[serde(rename = "loan")]
    pub lease: Option<Lease>,
    /// The members known to the quota client, among which the quotas are divided.
    pub members: u32,
    /// Absent if the request only renews the lease.
    pub workspace: Option<CallerId>,
    /// The number requested.
    #[serde(rename = "wanted")]
    pub requested: u32,
}

/// The result of an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AcquireOutcome {
    /// At least one, at most the requested number.
    Granted(u32),
    /// The quota is used up; capacity is probably available after this time.
    UsedUp(Duration),
    /// The allocator knows no quota for the workspace, or the request names none.
    #[serde(rename = "Nothing")]
    NoQuota,
}

/// The reply to an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireReply {
    /// The clock reading for the next lease.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The result.
    pub outcome: AcquireOutcome,
}
