#![doc = include_str!("../README.md")]

mod accountant;
mod bound;
mod entry;
mod messages;
mod shard;

pub use accountant::Accountant;
pub use bound::Bound;
pub use entry::{Entry, RENEW_AFTER_FRACTION, Target};
pub use messages::{AcquireReply, AcquireRequest, ClockReading, Lease, Outcome};
pub use shard::{SHARDS, Shard, ShardSet, preferred_accountant};

/// A point in time: what has passed since the process started, the time included that its VM was suspended.
pub type Now = std::time::Duration;

/// How long what is lent and granted holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// A share is lent for so long from the stamp that proves the lease.
    pub lease: std::time::Duration,
    /// A grant that wasn't used for so long is void.
    pub grant: std::time::Duration,
}

/// So much of a lease there is for each member at least: an accountant then answers some 800 renewals a second, 3 % of a
/// core, however large the fleet is.
const MIN_LEASE_PER_MEMBER: std::time::Duration = std::time::Duration::from_millis(3);

impl Terms {
    /// For how long a share is lent in a fleet of so many members.
    pub fn lease_duration(&self, members: u32) -> std::time::Duration {
        self.lease.max(MIN_LEASE_PER_MEMBER * members)
    }
}

/// How much of a workspace may run, summed over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of that at once.
    pub burst: f64,
}
