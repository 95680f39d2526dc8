//! Member records in the platform's store, which the next incarnation of this daemon and other starting daemons read.

use crate::{
    clock::unix_ms,
    node::{Node, lock},
};
use smol::{Timer, future::FutureExt};
use sorrelturn_platform::{Expected, Object, PlatformError, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::time::Duration;

/// The maximum number of writes of the own record if others write it at the same time.
const MAX_WRITES: u32 = 4;
/// The maximum number of skipped records of one list that are logged.
const MAX_LOGGED_RECORDS: usize = 20;

/// Parses the records among some objects under [`keys::MEMBERS`]. Skips those that no daemon can have written under their
/// key, and logs the first ones.
pub(crate) fn parse_all(node: &Node, objects: &[Object]) -> Vec<MemberRecord> {
    let mut records = Vec::new();
    let mut skipped = 0;
    for object in objects {
        match parse(object) {
            Ok(record) => records.push(record),
            Err(error) if skipped < MAX_LOGGED_RECORDS => {
                skipped += 1;
                let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
                node.record_event(&events::RECORD_UNREADABLE, fields);
            }
            Err(_) => {}
        }
    }
    records
}

fn parse(object: &Object) -> Result<MemberRecord, String> {
    let record = serde_json::from_str::<MemberRecord>(&object.value);
    let record = record.map_err(|error| error.to_string())?;
    if keys::member(&record.instance) != object.key {
        return Err(format!(
            "the record belongs to instance {:?}",
            record.instance
        ));
    }
    if record.instance.contains('/') {
        return Err("the name of the instance has a slash".to_owned());
    }
    if !record.is_plausible(unix_ms()) {
        return Err(format!(
            "the start {} is in the far future",
            record.started_ms
        ));
    }
    Ok(record)
}

/// Writes a member record. Returns the version that the store gives it.
pub(crate) async fn put(
    node: &Node,
    record: &MemberRecord,
    expected: Expected,
) -> Result<u64, PlatformError> {
    let value = serde_json::to_string(record).map_err(|_| PlatformError::Unreadable)?;
    let key = keys::member(&record.instance);
    node.platform.put(&key, &value, expected).await
}

/// Writes the current own record and logs a failure.
///
/// Each write names the version that it replaces: one whose answer was lost may take effect seconds later, and must not
/// replace what was written after it.
///
/// Returns whether the store has the latest record.
pub(crate) async fn write_own(node: &Node) -> bool {
    for _ in 0..MAX_WRITES {
        let record = node.own_record.load_full();
        let error = match try_write_own(node, &record).await {
            Ok(()) => return node.own_record.load().sequence == record.sequence,
            Err(PlatformError::Conflict(version)) => {
                *lock(&node.stored_record) = Some(Expected::Version(version));
                continue;
            }
            Err(error) => error,
        };
        *lock(&node.stored_record) = None;
        log_unsaved(node, &record, error.to_string());
        return false;
    }
    false
}

async fn try_write_own(node: &Node, record: &MemberRecord) -> Result<(), PlatformError> {
    let stored = *lock(&node.stored_record);
    let expected = match stored {
        Some(expected) => expected,
        None => stored_version(node, record).await?,
    };
    let version = put(node, record, expected).await?;
    let mut stored = lock(&node.stored_record);
    // A later write may have ended before this one's answer arrived.
    if !matches!(*stored, Some(Expected::Version(newer)) if newer > version) {
        *stored = Some(Expected::Version(version));
    }
    Ok(())
}

/// Reads the version of the own record in the store.
async fn stored_version(node: &Node, record: &MemberRecord) -> Result<Expected, PlatformError> {
    let stored = node.platform.get(&keys::member(&record.instance)).await?;
    Ok(stored.map_or(Expected::Absent, |object| Expected::Version(object.version)))
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
