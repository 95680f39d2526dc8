//! The membership table, one daemon's view of the fleet. See `docs/design/membership.md`.
//!
//! Each daemon writes its own record; a watcher may mark another daemon's record as gone. Of two records of an
//! instance, the newer one wins, see [`MemberRecord::supersedes`].

use crate::Now;
use sorrelturn_protocol::{MemberRecord, MemberState};
use std::collections::{BTreeMap, HashMap};

/// Records are compared bucket by bucket, so that an exchange sends only differing buckets.
const BUCKET_COUNT: usize = 64;
/// How long records in state `Gone` are retained to detect stale updates.
const GONE_RETENTION: Now = Now::from_secs(600);

/// Checksums by which two daemons find differing records.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MembershipDigest {
    /// One per bucket; equal checksums mean equal records.
    pub buckets: Vec<u64>,
}

impl MembershipDigest {
    /// The buckets in which two digests differ.
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

/// An instance's bucket.
pub fn bucket_of(instance: &str) -> u8 {
    let hash = blake3::hash(instance.as_bytes());
    hash.as_bytes()[0] % BUCKET_COUNT as u8
}

#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    checksum: u64,
    merged_at: Now,
}

/// The membership records of all instances.
#[derive(Clone, Debug)]
pub struct Membership {
    members: BTreeMap<String, KnownMember>,
    by_service: HashMap<String, Vec<String>>,
    checksums: Vec<u64>,
    /// Records of earlier incarnations by instance, at most one of each, whose leave the current one doesn't know.
    unknown_leaves: BTreeMap<String, MemberRecord>,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            by_service: HashMap::new(),
            checksums: vec![0; BUCKET_COUNT],
            unknown_leaves: BTreeMap::new(),
        }
    }
}

impl Membership {
    /// Merges a record; returns whether it changed the membership.
    pub fn merge(&mut self, now: Now, record: MemberRecord) -> bool {
        let instance = record.instance.clone();
        if let Some(known) = self.members.get(&instance) {
            if !record.supersedes(&known.record) {
                return false;
            }
            let earlier = self.unknown_leaves.remove(&instance);
            let earlier = match known.record.incarnation == record.incarnation {
                true => earlier,
                false if known.record.has_leave_unknown_to(&record) => Some(known.record.clone()),
                false => earlier,
            };
            let unknown = earlier.filter(|earlier| earlier.has_leave_unknown_to(&record));
            self.unknown_leaves
                .extend(unknown.map(|earlier| (instance.clone(), earlier)));
            self.remove(&instance);
        }
        let checksum = checksum(&record);
        self.checksums[usize::from(bucket_of(&instance))] ^= checksum;
        self.by_service
            .entry(record.service.clone())
            .or_default()
            .push(instance.clone());
        let known = KnownMember {
            record,
            checksum,
            merged_at: now,
        };
        self.members.insert(instance, known);
        true
    }

    /// Removes records in state `Gone` after the retention time.
    pub fn forget_gone(&mut self, now: Now) {
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, known)| known.record.state == MemberState::Gone)
            .filter(|(_, known)| now >= known.merged_at + GONE_RETENTION)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in expired {
            self.remove(&instance);
            self.unknown_leaves.remove(&instance);
        }
    }

    /// The record of an instance.
    pub fn get(&self, instance: &str) -> Option<&MemberRecord> {
        self.members.get(instance).map(|known| &known.record)
    }

    /// The record of an earlier incarnation of an instance that says that its backend server is leaving, as long as the
    /// record of the current incarnation says neither that nor names another backend server.
    pub fn unknown_leave(&self, instance: &str) -> Option<&MemberRecord> {
        self.unknown_leaves.get(instance)
    }

    /// All records, including those in state `Gone`.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|known| &known.record)
    }

    /// The members not in state `Gone`.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|record| record.state != MemberState::Gone)
    }

    /// The members of a service that accept calls.
    pub fn live_of(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|instance| self.get(instance))
            .filter(|record| record.state == MemberState::Live)
    }

    /// The services that have or had members.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// The digest of all records.
    pub fn digest(&self) -> MembershipDigest {
        MembershipDigest {
            buckets: self.checksums.clone(),
        }
    }

    /// The records in the given buckets.
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
        self.checksums[usize::from(bucket_of(instance))] ^= known.checksum;
        if let Some(instances) = self.by_service.get_mut(&known.record.service) {
            instances.retain(|other| other != instance);
        }
    }
}

/// Covers the fields that order records, so any newer record has another checksum.
fn checksum(record: &MemberRecord) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.instance.as_bytes());
    hasher.update(&record.incarnation.0.to_be_bytes());
    hasher.update(&record.started_ms.to_be_bytes());
    hasher.update(&record.sequence.to_be_bytes());
    hasher.update(&[record.state as u8]);
    let mut checksum = [0; 8];
    hasher.finalize_xof().fill(&mut checksum);
    u64::from_be_bytes(checksum)
}
