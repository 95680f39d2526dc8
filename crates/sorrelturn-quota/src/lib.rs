#![doc = include_str!("../README.md")]

mod accountant;
mod bound;
mod entry;
mod messages;
mod shard;

pub use accountant::Accountant;
pub use bound::Bound;
pub use entry::{Entry, Target};
pub use messages::{Draw, Drawn, Loan, Outcome, Stamp};
pub use shard::{SHARDS, Shard, ShardSet, preferred};

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

/// How much of a workspace may run, summed over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of that at once.
    pub burst: f64,
}
