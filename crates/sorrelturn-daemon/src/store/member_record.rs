//! Member records in the platform's store: what the next run of this daemon, and daemons that start
//! while this one is silent, know of it.

use crate::node::Node;
use smol::{Timer, future::FutureExt};
use sorrelturn_platform::{Expected, Object, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::time::Duration;

/// Reads a member's record. What somebody else wrote under these keys, or what can't be read, names no member: a line
/// in the log says so, and the other records hold.
pub(crate) fn read(node: &Node, object: &Object) -> Option<MemberRecord> {
    let record = serde_json::from_str::<MemberRecord>(&object.value)
        .map_err(|error| error.to_string())
        .and_then(
            |record| match keys::member(&record.instance) == object.key {
                true => Ok(record),
                false => Err(format!("it is of instance {:?}", record.instance)),
            },
        );
    record
        .map_err(|error| {
            let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
            node.record_event(&events::RECORD_UNREADABLE, fields);
        })
        .ok()
}

/// Writes a member's record.
pub(crate) async fn put(
    node: &Node,
    record: &MemberRecord,
    expected: Expected,
) -> Result<(), String> {
    let value = serde_json::to_string(record).map_err(|error| error.to_string())?;
    let key = keys::member(&record.instance);
    let written = node.platform.put(&key, &value, expected).await;
    written.map(drop).map_err(|error| error.to_string())
}

/// Writes the own record where the store was seen to have none, which saves a call; if there is one by
/// now, as [`write_own`] does.
pub(crate) async fn create_own(node: &Node) -> bool {
    let record = node.own_record.load_full();
    if put(node, &record, Expected::Absent).await.is_err() {
        return write_own(node).await;
    }
    node.own_record.load().sequence == record.sequence
}

/// Writes the own record as it is now.
///
/// Returns whether the store has the newest one; if not, a line in the log says why.
pub(crate) async fn write_own(node: &Node) -> bool {
    let record = node.own_record.load_full();
    if let Err(error) = put(node, &record, Expected::Anything).await {
        note_unsaved(node, &record, error);
        return false;
    }
    node.own_record.load().sequence == record.sequence
}

/// Waits for a write of the own record, and no longer than `limit`; if that is over, a line in the log
/// says so. Returns whether the store has the record.
pub(crate) async fn within(
    node: &Node,
    limit: Duration,
    write: impl Future<Output = bool>,
) -> bool {
    let too_late = async {
        Timer::after(limit).await;
        let error = format!("no answer within {limit:?}");
        note_unsaved(node, &node.own_record.load(), error);
        false
    };
    write.or(too_late).await
}

/// Says in the log that the store doesn't have this state of a record, and why.
pub(crate) fn note_unsaved(node: &Node, record: &MemberRecord, error: String) {
    let fields = vec![
        Field::new("member", &record.instance),
        Field::new("sequence", record.sequence),
        Field::new("state", format!("{:?}", record.state).to_lowercase()),
        Field::new("error", error),
    ];
    node.record_event(&events::RECORD_UNSAVED, fields);
}
