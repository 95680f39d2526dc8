#![doc = include_str!("../README.md")]

mod allocator;
mod bound;
mod client;
mod messages;
mod shard;

pub use allocator::QuotaAllocator;
pub use bound::Bound;
pub use client::{AcquireTarget, QuotaClient, RENEW_AFTER_FRACTION};
pub use messages::{AcquireOutcome, AcquireReply, AcquireRequest, ClockReading, Lease};
pub use shard::{SHARD_COUNT, Shard, ShardSet, preferred_allocator};

/// The time since the process started, including time for which its VM was suspended.
pub type Now = std::time::Duration;

/// The validity periods of leases and grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValidityConfig {
    /// The minimum duration, counted from the lease's clock reading. Large fleets use longer leases.
    pub min_lease_duration: std::time::Duration,
    /// How long an unused grant stays valid.
    pub grant_validity: std::time::Duration,
}

/// Per member of the fleet; limits the renewals per second at an allocator. An allocator answers
/// some 800 renewals per second at most, whatever the size of the fleet.
const MIN_LEASE_DURATION_PER_MEMBER: std::time::Duration = std::time::Duration::from_millis(3);

impl ValidityConfig {
    /// The lease duration in a fleet of `members` daemons.
    pub fn lease_duration(&self, members: u32) -> std::time::Duration {
        self.min_lease_duration
            .max(MIN_LEASE_DURATION_PER_MEMBER * members)
    }
}

/// A workspace's quota over all daemons, or a token bucket that enforces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests admitted beyond the rate; a token bucket's capacity.
    pub burst: f64,
}
