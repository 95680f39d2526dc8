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

/// A point in time: the time since the process started, including time during which its VM was suspended.
pub type Now = std::time::Duration;

/// How long leases and grants are valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// The minimum duration of a lease, counted from the clock reading that it carries.
    pub lease: std::time::Duration,
    /// How long an unused grant stays valid.
    pub grant: std::time::Duration,
}

/// Leases grow with the fleet, which limits the renewals per second that an accountant answers.
const MIN_LEASE_PER_MEMBER: std::time::Duration = std::time::Duration::from_millis(3);

impl Terms {
    /// Returns the lease duration in a fleet of `members` daemons.
    pub fn lease_duration(&self, members: u32) -> std::time::Duration {
        self.lease.max(MIN_LEASE_PER_MEMBER * members)
    }
}

/// The quota of a workspace, summed over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may run at once on top of the rate.
    pub burst: f64,
}
