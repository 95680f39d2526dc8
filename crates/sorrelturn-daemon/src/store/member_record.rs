//! Member records in the platform's store, which the next incarnation of this daemon and other starting daemons read.

use crate::{fleet::join, node::Node};
use smol::{Timer, future::FutureExt};
use sorrelturn_platform::{Expected, Object, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

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

/// Writes the current own record and logs a failure. One that the store lacks is created, which saves a call.
///
/// Returns whether the store has the latest record.
pub(crate) async fn write_own(node: &Arc<Node>) -> bool {
    let mut record = node.own_record.load_full();
    let is_absent = node.counts.is_record_absent.swap(false, Ordering::Relaxed);
    let is_created = is_absent && put(node, &record, Expected::Absent).await.is_ok();
    if is_absent && !is_created {
        // The list at the start was too old to hold it.
        join::restore_own_record(node).await;
        record = node.own_record.load_full();
    }
    if !is_created && let Err(error) = put(node, &record, Expected::Anything).await {
        log_unsaved(node, &record, error);
        return false;
    }
    node.counts.is_record_written.store(true, Ordering::Relaxed);
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
