//! Records of this instance that others have. See `docs/design/membership.md`.
//!
//! A record of a later incarnation replaces that of this daemon at all peers. If no such incarnation runs, because another
//! client of the store wrote the record, this daemon wins its record back.

use crate::{
    backend::state, clock::unix_ms, fleet::control_client, fleet::gossip, node::Node,
    store::member_record,
};
use sorrelturn_protocol::MemberRecord;
use std::sync::{Arc, atomic::Ordering};

/// Restores what an earlier incarnation published of the backend server, from records that others sent because they were
/// new to them.
pub(crate) fn restore_backend(node: &Arc<Node>, records: &[MemberRecord]) {
    for record in own_records(node, records) {
        if record.incarnation != node.incarnation && record.is_plausible(unix_ms()) {
            state::restore(node, record);
        }
    }
}

/// Publishes the own record again if it has been replaced among these records of others.
pub(crate) fn reclaim(node: &Arc<Node>, records: &[MemberRecord]) {
    for record in own_records(node, records) {
        if node.merge_own_record(record) {
            publish_again(node);
        } else if node.is_outranked_by(record) {
            spawn_verification(node, record);
        }
    }
}

fn own_records<'a>(
    node: &'a Node,
    records: &'a [MemberRecord],
) -> impl Iterator<Item = &'a MemberRecord> {
    let own = &node.settings.instance;
    records.iter().filter(move |record| record.instance == *own)
}

/// Pushes the own record, and writes it to the store, from which starting daemons read it.
fn publish_again(node: &Arc<Node>) {
    gossip::push_own_record(node);
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { member_record::write_own(&node).await })
        .detach();
}

/// Checks whether the other incarnation of a record answers, one at a time, and outranks the record if not.
fn spawn_verification(node: &Arc<Node>, record: &MemberRecord) {
    if node.is_verifying_incarnation.swap(true, Ordering::Relaxed) {
        return;
    }
    let (node, record) = (Arc::clone(node), record.clone());
    let ex = Arc::clone(&node.ex);
    let verification = async move {
        if !control_client::is_alive(&node, &record).await && node.is_outranked_by(&record) {
            node.outrank(&record);
            publish_again(&node);
        }
        node.is_verifying_incarnation
            .store(false, Ordering::Relaxed);
    };
    ex.spawn(verification).detach();
}
