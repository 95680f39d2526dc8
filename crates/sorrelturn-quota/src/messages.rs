//! The messages between daemons and allocators.

use crate::{Now, ShardSet};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::time::Duration;

/// A reading of an allocator's clock.
///
/// A message that carries it was sent later than the reading, however late it arrives. The allocator can therefore
/// count a lease from the reading by its own clock alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockReading {
    /// The incarnation of the allocator.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The time by the allocator's clock.
    pub at: Now,
}

/// A lease of a daemon's quota shares to an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The allocator's own clock reading, from which the lease is counted.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The shards whose shares are leased.
    pub shards: ShardSet,
    /// The lease duration after the clock reading, by the lessor's settings.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// A daemon's request to an allocator for grants, for a lease renewal, or for both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The incarnation of the requesting daemon.
    pub from: Incarnation,
    /// The lease of its shares; absent if it can't lease any, for instance without a clock reading.
    #[serde(rename = "loan")]
    pub lease: Option<Lease>,
    /// The number of members among which the requesting daemon divides the quotas.
    pub members: u32,
    /// The workspace whose grants are requested; absent if the request only renews the lease.
    pub workspace: Option<CallerId>,
    /// The number of grants requested.
    #[serde(rename = "wanted")]
    pub requested: u32,
}

/// The result of an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The number of requests that may run: at least one, at most the requested number.
    Granted(u32),
    /// The quota is used up; capacity is probably available after this time.
    UsedUp(Duration),
    /// The allocator doesn't know a quota for the workspace, or the request names none.
    Nothing,
}

/// An allocator's reply to an [`AcquireRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireReply {
    /// The clock reading for the next lease.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The result of the request.
    pub outcome: Outcome,
}
