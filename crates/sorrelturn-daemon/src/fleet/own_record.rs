//! Records of this instance that others have. See `docs/design/membership.md`.

use crate::{backend::state, fleet::gossip, node::Node, store::member_record};
use sorrelturn_protocol::MemberRecord;
use std::sync::Arc;

/// Restores what an earlier incarnation published of the backend server, from records that others sent because they were
/// new to them.
pub(crate) fn restore_backend(node: &Arc<Node>, records: &[MemberRecord]) {
    for record in own_records(node, records) {
        if record.incarnation != node.incarnation {
            state::restore(node, record);
        }
    }
}

/// Publishes the own record again if it has been replaced among these records of others.
pub(crate) fn reclaim(node: &Arc<Node>, records: &[MemberRecord]) {
    for record in own_records(node, records) {
        if node.merge_own_record(record) {
            publish_again(node);
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
