//! The messages between quota clients and allocators.

use crate::{Now, ShardSet};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::time::Duration;

/// A reading of an allocator's clock.
///
/// A lease counts from the reading, which precedes the message that carries it. A delayed message therefore can't
/// extend a lease, and the allocator needs only its own clock to determine the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockReading {
    /// The incarnation of the allocator.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The time by the allocator's clock.
    pub at: Now,
}

/// A lease of a quota client's shares to an allocator.
///
/// A share is an equal fraction of every quota: each member of the fleet has one. It is leased separately for each
/// shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The allocator's own clock reading, from which the lease is counted.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The shards whose shares are leased.
    pub shards: ShardSet,
    /// The lease duration that the quota client uses, counted from the clock reading.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// A quota client's request to an allocator for grants, for a lease renewal, or for both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The incarnation of the quota client's daemon.
    pub from: Incarnation,
    /// The lease of the quota client's shares; absent if it can't lease any, for instance without a clock reading.
    #[serde(rename = "loan")]
    pub lease: Option<Lease>,
    /// The number of members that the quota client knows, among which the quotas are divided.
    pub members: u32,
    /// The workspace whose grants are requested; absent if the request only renews the lease.
    pub workspace: Option<CallerId>,
    /// The number of grants requested.
    #[serde(rename = "wanted")]
    pub requested: u32,
}

/// The result of an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AcquireOutcome {
    /// The number of grants: at least one, at most the requested number.
    Granted(u32),
    /// The quota is used up; capacity is probably available after this time.
    UsedUp(Duration),
    /// The allocator knows no quota for the workspace, or the request names no workspace.
    #[serde(rename = "Nothing")]
    NoQuota,
}

/// An allocator's reply to an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireReply {
    /// The clock reading for the next lease.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The result of the request.
    pub outcome: AcquireOutcome,
}
