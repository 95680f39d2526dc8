#![doc = include_str!("../README.md")]

mod allocator;
mod bound;
mod client;
mod messages;
mod shard;

pub use allocator::QuotaAllocator;
pub use bound::Bound;
pub use client::{AcquireTarget, QuotaClient, RENEW_AFTER_FRACTION};
pub use messages::{AcquireReply, AcquireRequest, ClockReading, Lease, Outcome};
pub use shard::{SHARD_COUNT, Shard, ShardSet, preferred_allocator};

/// A point in time: the time since the process started, including time during which its VM was suspended.
pub type Now = std::time::Duration;

/// How long leases and grants are valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValidityConfig {
    /// The minimum duration of a lease, counted from the clock reading that it carries.
    pub min_lease_duration: std::time::Duration,
    /// How long an unused grant stays valid.
    pub grant_validity: std::time::Duration,
}

/// Leases grow with the fleet, which limits the renewals per second that an allocator answers.
const MIN_LEASE_DURATION_PER_MEMBER: std::time::Duration = std::time::Duration::from_millis(3);

impl ValidityConfig {
    /// Returns the lease duration in a fleet of `members` daemons.
    pub fn lease_duration(&self, members: u32) -> std::time::Duration {
        self.min_lease_duration
            .max(MIN_LEASE_DURATION_PER_MEMBER * members)
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
