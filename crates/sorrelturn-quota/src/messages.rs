//! What a daemon and an accountant say to one another.

use crate::{Now, ShardSet};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::time::Duration;

/// A reading of an accountant's clock. Whoever shows it proves that it was sent after that, however late it
/// arrives, so a lease can be counted from it by the accountant's clock alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockReading {
    /// The run of the accountant.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// Its clock.
    pub at: Now,
}

/// The shares that a daemon lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The accountant's own stamp, from which the lease is counted.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// The shards whose shares are lent.
    pub shards: ShardSet,
    /// For how long after the stamp, as far as the lender is concerned.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// A daemon asks an accountant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Which daemon asks, in which run.
    pub from: Incarnation,
    /// The shares that it lends; absent where it has no stamp yet.
    #[serde(rename = "loan")]
    pub lease: Option<Lease>,
    /// Among how many members it believes the quotas to be divided.
    pub members: u32,
    /// The workspace that it asks for; absent where it only renews its loan.
    pub workspace: Option<CallerId>,
    /// How many requests it wants to let in.
    #[serde(rename = "wanted")]
    pub requested: u32,
}

/// What became of what was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// So many requests may run. Only as many as were wanted, and at least one.
    Granted(u32),
    /// The quota is used up; there is probably room after this time.
    UsedUp(Duration),
    /// The accountant doesn't know such a workspace, or was asked for none.
    Nothing,
}

/// An accountant's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcquireReply {
    /// To lend shares with the next time.
    #[serde(rename = "stamp")]
    pub clock_reading: ClockReading,
    /// What was granted.
    pub outcome: Outcome,
}
