//! The members of the fleet as one daemon knows them. See `docs/design/membership.md`.
//!
//! Each daemon alone writes its own record, so records never conflict: the newer one holds.

use crate::Now;
use sorrelturn_protocol::{MemberRecord, MemberState};
use std::collections::{BTreeMap, HashMap};

/// Records are compared in this many groups, so that an exchange sends only what differs.
const BUCKETS: usize = 64;
/// A record of a daemon that has gone is kept this long, so that stale news of it is recognised.
const GONE_KEPT: Now = Now::from_secs(600);

/// Compares what two daemons know without sending it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MembershipDigest {
    /// One sum over the records of each group; equal sums mean equal records.
    pub buckets: Vec<u64>,
}

impl MembershipDigest {
    /// The groups in which two digests differ.
    pub fn differing(&self, other: &Self) -> Vec<u8> {
        self.buckets
            .iter()
            .zip(&other.buckets)
            .enumerate()
            .filter(|(_, (left, right))| left != right)
            .map(|(bucket, _)| bucket as u8)
            .collect()
    }
}

/// The group of an instance.
pub fn bucket_of(instance: &str) -> u8 {
    let hash = blake3::hash(instance.as_bytes());
    hash.as_bytes()[0] % BUCKETS as u8
}

#[derive(Clone, Debug)]
struct Known {
    record: MemberRecord,
    sum: u64,
    since: Now,
}

/// All members by instance.
#[derive(Clone, Debug)]
pub struct Membership {
    members: BTreeMap<String, Known>,
    by_service: HashMap<String, Vec<String>>,
    sums: Vec<u64>,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            by_service: HashMap::new(),
            sums: vec![0; BUCKETS],
        }
    }
}

impl Membership {
    /// Takes a record; returns whether it was news.
    pub fn merge(&mut self, now: Now, record: MemberRecord) -> bool {
        let instance = record.instance.clone();
        if let Some(known) = self.members.get(&instance) {
            if !record.supersedes(&known.record) {
                return false;
            }
            self.remove(&instance);
        }
        let sum = sum(&record);
        self.sums[usize::from(bucket_of(&instance))] ^= sum;
        self.by_service
            .entry(record.service.clone())
            .or_default()
            .push(instance.clone());
        let known = Known {
            record,
            sum,
            since: now,
        };
        self.members.insert(instance, known);
        true
    }

    /// Drops the records of daemons that have gone long ago.
    pub fn forget_gone(&mut self, now: Now) {
        let old: Vec<String> = self
            .members
            .iter()
            .filter(|(_, known)| known.record.state == MemberState::Gone)
            .filter(|(_, known)| now >= known.since + GONE_KEPT)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in old {
            self.remove(&instance);
        }
    }

    /// The record of an instance.
    pub fn get(&self, instance: &str) -> Option<&MemberRecord> {
        self.members.get(instance).map(|known| &known.record)
    }

    /// All records, of those that have gone as well.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|known| &known.record)
    }

    /// The members that haven't gone.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|record| record.state != MemberState::Gone)
    }

    /// The members of a service that take calls.
    pub fn live_of(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|instance| self.get(instance))
            .filter(|record| record.state == MemberState::Live)
    }

    /// The services that have members.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// The digest of all records.
    pub fn digest(&self) -> MembershipDigest {
        MembershipDigest {
            buckets: self.sums.clone(),
        }
    }

    /// The records of some groups.
    pub fn in_buckets(&self, buckets: &[u8]) -> Vec<MemberRecord> {
        self.all()
            .filter(|record| buckets.contains(&bucket_of(&record.instance)))
            .cloned()
            .collect()
    }

    fn remove(&mut self, instance: &str) {
        let Some(known) = self.members.remove(instance) else {
            return;
        };
        self.sums[usize::from(bucket_of(instance))] ^= known.sum;
        if let Some(instances) = self.by_service.get_mut(&known.record.service) {
            instances.retain(|other| other != instance);
        }
    }
}

/// The sum stands for the whole record: any change of it changes the digest.
fn sum(record: &MemberRecord) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.instance.as_bytes());
    hasher.update(&record.incarnation.0.to_be_bytes());
    hasher.update(&record.started_ms.to_be_bytes());
    hasher.update(&record.sequence.to_be_bytes());
    hasher.update(&[record.state as u8]);
    let mut sum = [0; 8];
    hasher.finalize_xof().fill(&mut sum);
    u64::from_be_bytes(sum)
}
