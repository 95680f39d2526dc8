//! Control messages between daemons.

use crate::{Evacuations, MembershipDigest};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CrashUpdate, MemberRecord, MemberState};

/// The bundle version in force at a daemon, and how long ago the daemon knew it to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The version.
    pub version: u64,
    /// Milliseconds since the daemon last confirmed that no higher version exists. In a response, this proves it to
    /// whoever asked, counted from the request; a request may have been delayed and proves nothing.
    pub knowledge_age_ms: Option<u32>,
}

/// The request of a periodic exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The sender's own record.
    pub from: MemberRecord,
    /// The sender's bundle version in force.
    pub version: u64,
    /// Checksum of the sender's membership records.
    pub members: u64,
    /// Checksum of the sender's information about crashes.
    pub crashes: u64,
    /// The evacuated failure domains that the sender knows.
    pub evacuations: Evacuations,
}

/// The reply to an [`ExchangeRequest`]; if all checksums are equal, the exchange ends here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// What the receiver knows of the bundle.
    pub known: KnownVersion,
    /// All buckets' checksums, if the membership checksums differ.
    pub members: Option<MembershipDigest>,
    /// The receiver's information about crashes, if its checksum differs.
    pub crashes: Option<CrashUpdate>,
    /// The evacuated failure domains that the receiver knows.
    pub evacuations: Evacuations,
}

impl MembershipDigest {
    /// One checksum over all buckets.
    pub fn checksum(&self) -> u64 {
        self.buckets
            .iter()
            .enumerate()
            .fold(0, |total: u64, (bucket, checksum)| {
                total ^ checksum.rotate_left(bucket as u32)
            })
    }
}

/// A daemon's report to the watchers of its failure domain, on a change and periodically.
///
/// Kept small: a watcher receives one from each member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The reporting instance.
    pub instance: String,
    /// Whether the daemon accepts new calls.
    pub state: MemberState,
    /// The bundle version in force.
    pub version: u64,
    /// Why that version is outdated, if known.
    pub trouble: Option<String>,
}
