//! Outcomes of tokens on their way into the platform's store, off the path of requests.
//! See `docs/design/at-most-once.md`.

use crate::node::{Node, lock};
use smol::Timer;
use sorrelturn_once::{OutcomeSegment, SEGMENT_DURATION};
use sorrelturn_platform::{Expected, PlatformError, keys};
use sorrelturn_protocol::Incarnation;
use sorrelturn_telemetry::{Field, events};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// The shortest time between two rounds of writes.
const LEAST_PAUSE: Duration = Duration::from_secs(1);
/// The rounds that the whole fleet makes in a second at the most. A round writes the one or two
/// segments that are new; the store takes several hundred writes, and bindings of callers' keys
/// come first.
const FLEET_ROUNDS_PER_SECOND: usize = 50;
/// How often a closing record is tried.
const CLOSING_TRIES: u32 = 5;
/// How often a segment is tried in one round: a lost answer costs two, since the version is unknown.
const SEGMENT_TRIES: u32 = 3;

/// The versions of the segments in the store. Whoever holds it is the only one who writes.
#[derive(Default)]
pub(crate) struct SegmentVersions(BTreeMap<u64, u64>);

/// Writes new outcomes now and then, and deletes those that nobody can ask for any more.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        Timer::after(pause(&node)).await;
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

/// Writes the closing record of a planned stop; from then on an unlisted token is not run.
pub(crate) async fn close(node: &Node) {
    lock(&node.ledger).close();
    for _ in 0..CLOSING_TRIES {
        // Nobody else may have taken a segment that is not written yet.
        let mut versions = node.segment_versions.lock().await;
        if save(node, &mut versions).await && write_closing(node).await {
            return;
        }
        drop(versions);
        Timer::after(LEAST_PAUSE / 4).await;
    }
}

async fn write_closing(node: &Node) -> bool {
    let Some(closing) = lock(&node.ledger).closing_record() else {
        return false;
    };
    let value = serde_json::to_string(&closing).unwrap_or_default();
    let key = keys::closing_record(node.incarnation);
    let written = node.platform.put(&key, &value, Expected::Anything).await;
    written.is_ok()
}

fn pause(node: &Node) -> Duration {
    let members = lock(&node.membership).present().count();
    let share = Duration::from_secs((members / FLEET_ROUNDS_PER_SECOND) as u64);
    let pause = LEAST_PAUSE.max(share);
    pause.mul_f64(0.75 + fastrand::f64() / 2.0)
}

/// Returns whether nothing is unsaved any more.
async fn save(node: &Node, versions: &mut SegmentVersions) -> bool {
    let unsaved = lock(&node.ledger).take_unsaved();
    let mut saved = true;
    for segment in unsaved {
        if let Err(error) = write(node, versions, &segment).await {
            lock(&node.ledger).mark_unsaved(segment.number);
            node.record_event(&events::OUTCOMES_UNSAVED, vec![Field::new("error", error)]);
            saved = false;
        }
    }
    saved
}

/// Writes a segment over the version that was written last, and no other: a write whose answer was
/// lost may take effect seconds later, and must not put fewer outcomes in the place of more.
async fn write(
    node: &Node,
    versions: &mut SegmentVersions,
    segment: &OutcomeSegment,
) -> Result<(), PlatformError> {
    let value = serde_json::to_string(segment).unwrap_or_default();
    let key = keys::outcomes(node.incarnation, segment.number);
    let mut tries = 0;
    loop {
        let known = versions.0.get(&segment.number).copied();
        let expected = known.map_or(Expected::Absent, Expected::Version);
        tries += 1;
        match node.platform.put(&key, &value, expected).await {
            Ok(version) => {
                versions.0.insert(segment.number, version);
                return Ok(());
            }
            Err(PlatformError::Conflict(version)) if tries < SEGMENT_TRIES => {
                versions.0.insert(segment.number, version);
            }
            Err(PlatformError::AnswerLost(_)) if tries < SEGMENT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

/// Deletes what an earlier run of this instance recorded, once none of its tokens can be asked for.
pub(crate) async fn delete_earlier_run(node: Arc<Node>, earlier: Incarnation) {
    let ttl = Duration::from_secs(node.settings.once.ttl_s);
    Timer::after(ttl + SEGMENT_DURATION).await;
    // Without the closing record nothing is called not run, whatever segments are left; whoever has
    // just read it still finds them.
    if node
        .platform
        .delete(&keys::closing_record(earlier))
        .await
        .is_err()
    {
        return;
    }
    Timer::after(SEGMENT_DURATION).await;
    let Ok(left) = node.platform.list(&keys::outcomes_prefix(earlier)).await else {
        return;
    };
    for object in left.objects {
        let _ = node.platform.delete(&object.key).await;
    }
}
