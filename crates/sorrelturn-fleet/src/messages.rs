//! Control messages between daemons.

use crate::MembershipDigest;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CrashUpdate, MemberRecord, MemberState};

/// One daemon's side of a periodic exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's own record.
    pub from: MemberRecord,
    /// The version of its bundle in force.
    pub version: u64,
    /// What it knows of the members, as one sum over all groups.
    pub members: u64,
    /// What it knows of crashes of backend servers, as one sum.
    pub crashes: u64,
}

/// The other side. Equal sums end the exchange here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DigestReply {
    /// The version of the bundle in force there.
    pub version: u64,
    /// How old the knowledge is that no higher version exists, in milliseconds.
    pub knowledge_age_ms: Option<u32>,
    /// The groups' sums, if the sum over all of them differs.
    pub members: Option<MembershipDigest>,
    /// What is known there of crashes, if their sum differs.
    pub crashes: Option<CrashUpdate>,
}

impl MembershipDigest {
    /// One sum over all groups.
    pub fn total(&self) -> u64 {
        self.buckets
            .iter()
            .enumerate()
            .fold(0, |total: u64, (bucket, sum)| {
                total ^ sum.rotate_left(bucket as u32)
            })
    }
}

/// What a daemon tells the watchers of its failure domain, on a change and now and then.
///
/// A watcher gets one from each member of its failure domain, so it is kept short.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Its instance.
    pub instance: String,
    /// Whether it takes new calls.
    pub state: MemberState,
    /// The version of its bundle in force.
    pub version: u64,
    /// Why it is behind, if it knows.
    pub trouble: Option<String>,
}
