//! Control messages between daemons.

use crate::MembershipDigest;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CrashUpdate, MemberRecord, MemberState};

/// The request of a periodic exchange between two daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The sender's own record.
    pub from: MemberRecord,
    /// The sender's bundle version in force.
    pub version: u64,
    /// The checksum of the sender's membership records.
    pub members: u64,
    /// The checksum of the sender's information about crashes of backend servers.
    pub crashes: u64,
}

/// The reply to an [`ExchangeRequest`]. If all checksums are equal, the exchange ends here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The receiver's bundle version in force.
    pub version: u64,
    /// The staleness of the receiver's configuration: the age of its last confirmation that no higher bundle version
    /// exists, in milliseconds.
    pub knowledge_age_ms: Option<u32>,
    /// The checksums of all buckets, if the membership checksums differ.
    pub members: Option<MembershipDigest>,
    /// The receiver's information about crashes, if the checksums differ.
    pub crashes: Option<CrashUpdate>,
}

impl MembershipDigest {
    /// Returns one checksum over all buckets.
    pub fn checksum(&self) -> u64 {
        self.buckets
            .iter()
            .enumerate()
            .fold(0, |total: u64, (bucket, checksum)| {
                total ^ checksum.rotate_left(bucket as u32)
            })
    }
}

/// The report that a daemon sends to the watchers of its failure domain, on a change and periodically.
///
/// A watcher receives one from each member of its failure domain, so it is kept small.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The reporting instance.
    pub instance: String,
    /// Whether the daemon accepts new calls.
    pub state: MemberState,
    /// The daemon's bundle version in force.
    pub version: u64,
    /// The reason why its bundle version is outdated, if known.
    pub trouble: Option<String>,
}
