//! The choice of the daemons that watch the platform for a failure domain. See `docs/design/spread.md`.
//!
//! Every daemon ranks its failure domain by the same hash and finds the same watchers without a lease. While views
//! differ there may be too many or too few, which costs additional reads or a delay of seconds but never correctness.

use sorrelturn_protocol::MemberRecord;

/// Daemons per failure domain that watch the platform.
pub const WATCHER_COUNT: usize = 2;
/// Standby daemons; each checks whether the daemons ranked before it are alive.
pub const STANDBY_WATCHER_COUNT: usize = 3;

/// The members of a failure domain in rank order.
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

/// The position of this instance among the members of its failure domain in rank order, or after all of them if it
/// isn't one of them.
pub fn rank_of(ranked: &[&MemberRecord], own_instance: &str) -> usize {
    let position = ranked
        .iter()
        .position(|record| record.instance == own_instance);
    position.unwrap_or(ranked.len())
}

/// The members whose liveness this instance checks; `None` if it is neither watcher nor standby.
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

/// The members that search for the next incarnation of a gone instance: those that follow it in the cyclic order of
/// names. Daemons with the same members choose the same ones, and the load is distributed because each instance has
/// different ones.
pub fn searchers_for<'a>(
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
