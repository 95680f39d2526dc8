//! Background writes of token outcomes to the platform's store.
//! See `docs/design/at-most-once.md`.

use crate::node::{Node, lock};
use smol::Timer;
use sorrelturn_once::{OutcomeSegment, SEGMENT_DURATION};
use sorrelturn_platform::{Expected, PlatformError, keys};
use sorrelturn_protocol::Incarnation;
use sorrelturn_telemetry::{Field, events};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum rate of write rounds in the whole fleet, which leaves capacity of the store for bindings of idempotency
/// keys to tokens.
const MAX_FLEET_WRITE_ROUNDS_PER_SECOND: usize = 50;
const MAX_CLOSING_ATTEMPTS: u32 = 5;
/// Attempts per segment and round. A lost response costs two, since the stored version is then unknown.
const MAX_SEGMENT_ATTEMPTS: u32 = 3;

/// Store versions of the outcome segments by segment number. The lock on them serializes all writes.
#[derive(Default)]
pub(crate) struct SegmentVersions(BTreeMap<u64, u64>);

/// Periodically writes new outcomes and deletes expired segments.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        Timer::after(write_delay(&node)).await;
        let expired = {
            let mut ledger = lock(&node.ledger);
            ledger.evict_expired(node.now());
            ledger.remove_expired_segments(node.now())
        };
        let mut versions = node.segment_versions.lock().await;
        save(&node, &mut versions).await;
        for number in expired {
            versions.0.remove(&number);
            let _ = node
                .platform
                .delete(&keys::outcomes(node.incarnation, number))
                .await;
        }
    }
}

/// Writes the closing record before a planned stop. With it, a token without a recorded outcome counts as not run.
pub(crate) async fn close(node: &Node) {
    lock(&node.ledger).close();
    for _ in 0..MAX_CLOSING_ATTEMPTS {
        // The lock waits until another task has written the segments that it took from the ledger.
        let mut versions = node.segment_versions.lock().await;
        if save(node, &mut versions).await && write_closing_record(node).await {
            return;
        }
        drop(versions);
        Timer::after(MIN_WRITE_INTERVAL / 4).await;
    }
}

async fn write_closing_record(node: &Node) -> bool {
    let Some(closing) = lock(&node.ledger).closing_record() else {
        return false;
    };
    let value = serde_json::to_string(&closing).unwrap_or_default();
    let key = keys::closing_record(node.incarnation);
    let written = node.platform.put(&key, &value, Expected::Anything).await;
    written.is_ok()
}

fn write_delay(node: &Node) -> Duration {
    let members = lock(&node.membership).present().count();
    let fleet_interval = Duration::from_secs((members / MAX_FLEET_WRITE_ROUNDS_PER_SECOND) as u64);
    let delay = MIN_WRITE_INTERVAL.max(fleet_interval);
    delay.mul_f64(0.75 + fastrand::f64() / 2.0)
}

/// Writes all unsaved segments. Returns whether every write succeeded.
async fn save(node: &Node, versions: &mut SegmentVersions) -> bool {
    let unsaved = lock(&node.ledger).take_unsaved();
    let mut all_saved = true;
    for segment in unsaved {
        if let Err(error) = write(node, versions, &segment).await {
            lock(&node.ledger).mark_unsaved(segment.number);
            node.record_event(&events::OUTCOMES_UNSAVED, vec![Field::new("error", error)]);
            all_saved = false;
        }
    }
    all_saved
}

/// Writes a segment with a compare-and-swap on the last written version.
///
/// A write whose response was lost may take effect seconds later and must not replace a segment with an older one.
async fn write(
    node: &Node,
    versions: &mut SegmentVersions,
    segment: &OutcomeSegment,
) -> Result<(), PlatformError> {
    let value = serde_json::to_string(segment).unwrap_or_default();
    let key = keys::outcomes(node.incarnation, segment.number);
    let mut attempts = 0;
    loop {
        let known = versions.0.get(&segment.number).copied();
        let expected = known.map_or(Expected::Absent, Expected::Version);
        attempts += 1;
        match node.platform.put(&key, &value, expected).await {
            Ok(version) => {
                versions.0.insert(segment.number, version);
                return Ok(());
            }
            Err(PlatformError::Conflict(version)) if attempts < MAX_SEGMENT_ATTEMPTS => {
                versions.0.insert(segment.number, version);
            }
            Err(PlatformError::AnswerLost(_)) if attempts < MAX_SEGMENT_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}

/// Deletes the outcomes of an earlier incarnation of this instance after its tokens have expired.
pub(crate) async fn delete_earlier_incarnation(node: Arc<Node>, earlier: Incarnation) {
    let ttl = Duration::from_secs(node.settings.once.ttl_s);
    Timer::after(ttl + SEGMENT_DURATION).await;
    // Without the closing record, a token without an outcome no longer counts as not run. The segments follow after a
    // delay for readers that have just read the closing record.
    if node
        .platform
        .delete(&keys::closing_record(earlier))
        .await
        .is_err()
    {
        return;
    }
    Timer::after(SEGMENT_DURATION).await;
    let Ok(remaining) = node.platform.list(&keys::outcomes_prefix(earlier)).await else {
        return;
    };
    for object in remaining.objects {
        let _ = node.platform.delete(&object.key).await;
    }
}
