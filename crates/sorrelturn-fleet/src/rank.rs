//! Who watches the platform for a failure domain. See `docs/design/spread.md`.
//!
//! Every daemon ranks the members of its failure domain by the same hash and so finds the same
//! watchers without a lease. Where views differ for a while there are too many or too few, which
//! costs some reads or some seconds and never correctness.

use sorrelturn_protocol::MemberRecord;

/// How many daemons of a failure domain watch the platform.
pub const WATCHER_COUNT: usize = 2;
/// How many daemons stand by: each asks those before it whether they are alive.
pub const STANDBY_WATCHER_COUNT: usize = 3;

/// The members of a failure domain, the first in rank first.
pub fn ranked<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    failure_domain: &str,
) -> Vec<&'a MemberRecord> {
    let mut ranked: Vec<(u64, &MemberRecord)> = members
        .filter(|record| record.failure_domain == failure_domain)
        .map(|record| (weight(record), record))
        .collect();
    ranked.sort_by_key(|(weight, record)| (std::cmp::Reverse(*weight), &record.instance));
    ranked.into_iter().map(|(_, record)| record).collect()
}

/// The members that this one must ask whether they are alive; `None` if it needn't stand by.
pub fn predecessors<'a, 'b>(
    ranked: &'b [&'a MemberRecord],
    own_instance: &str,
) -> Option<&'b [&'a MemberRecord]> {
    let position = ranked
        .iter()
        .position(|record| record.instance == own_instance)?;
    (position < WATCHER_COUNT + STANDBY_WATCHER_COUNT).then(|| &ranked[..position])
}

fn weight(record: &MemberRecord) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.failure_domain.as_bytes());
    hasher.update(&record.incarnation.0.to_be_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_be_bytes(weight)
}

/// The names of the members that look after an instance that has gone: those that follow it in the
/// order of names, the first again after the last. All daemons pick the same ones, as far as they
/// know the same members, and each instance has others.
pub fn successors<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own: &'a MemberRecord,
    gone: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut names: Vec<&str> = members
        .map(|record| record.instance.as_str())
        .chain([own.instance.as_str()])
        .filter(|name| *name != gone)
        .collect();
    names.sort_unstable_by_key(|name| (*name < gone, *name));
    names.dedup();
    names.truncate(count);
    names
}
