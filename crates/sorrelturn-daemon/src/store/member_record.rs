//! Member records in the platform's store, which the next incarnation of this daemon and other starting daemons read.

use crate::node::Node;
use smol::{Timer, future::FutureExt};
use sorrelturn_platform::{Expected, Object, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::time::Duration;

/// Parses a member record. Logs and skips an object that is unreadable or stored under the key of another instance.
pub(crate) fn parse(node: &Node, object: &Object) -> Option<MemberRecord> {
    let record = serde_json::from_str::<MemberRecord>(&object.value)
        .map_err(|error| error.to_string())
        .and_then(
            |record| match keys::member(&record.instance) == object.key {
                true => Ok(record),
                false => Err(format!(
                    "the record belongs to instance {:?}",
                    record.instance
                )),
            },
        );
    record
        .map_err(|error| {
            let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
            node.record_event(&events::RECORD_UNREADABLE, fields);
        })
        .ok()
}

/// Writes a member record.
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

/// Creates the own record, which saves a call if the store has none. Otherwise behaves as [`write_own`].
pub(crate) async fn create_own(node: &Node) -> bool {
    let record = node.own_record.load_full();
    if put(node, &record, Expected::Absent).await.is_err() {
        return write_own(node).await;
    }
    node.own_record.load().sequence == record.sequence
}

/// Writes the current own record and logs a failure.
///
/// Returns whether the store has the latest record.
pub(crate) async fn write_own(node: &Node) -> bool {
    let record = node.own_record.load_full();
    if let Err(error) = put(node, &record, Expected::Anything).await {
        log_unsaved(node, &record, error);
        return false;
    }
    node.own_record.load().sequence == record.sequence
}

/// Waits for a write of the own record for at most `timeout` and logs if it doesn't finish in time.
///
/// Returns whether the store has the record.
pub(crate) async fn write_within(
    node: &Node,
    timeout: Duration,
    write: impl Future<Output = bool>,
) -> bool {
    let timed_out = async {
        Timer::after(timeout).await;
        let error = format!("no response within {timeout:?}");
        log_unsaved(node, &node.own_record.load(), error);
        false
    };
    write.or(timed_out).await
}

/// Logs why the current state of a record couldn't be saved.
pub(crate) fn log_unsaved(node: &Node, record: &MemberRecord, error: String) {
    let fields = vec![
        Field::new("member", &record.instance),
        Field::new("sequence", record.sequence),
        Field::new("state", format!("{:?}", record.state).to_lowercase()),
        Field::new("error", error),
    ];
    node.record_event(&events::RECORD_UNSAVED, fields);
}
