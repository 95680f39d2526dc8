//! Requests that are held, in the platform's store: all daemons may be killed at once, and then nobody remembers what
//! crashed backend servers. See `docs/design/quarantine.md`.

use crate::{clock::unix_ms, fleet::suspects, node::Node, store};
use serde::{Deserialize, Serialize};
use smol::Timer;
use sorrelturn_platform::{Expected, Object, keys};
use sorrelturn_protocol::{CrashId, CrashReport, CrashUpdate};
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// After a call that failed, the next one follows so much later, and then after twice as long each time: the store's
/// outages last for seconds to minutes.
const AGAIN_AFTER: Duration = Duration::from_secs(1);
const AGAIN_AFTER_MOST: Duration = Duration::from_secs(30);
/// A record is removed by whoever reads it at so great an age: twice what is learnt counts for, since the times of
/// day of two VMs differ.
const REMOVED_AFTER: Duration = Duration::from_secs(1_200);

/// What one crash proved: the crashes that had the same requests at work.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// When it was written, in milliseconds since the Unix epoch. No other clock outlives all daemons.
    written_ms: u64,
    crashes: Vec<CrashReport>,
}

/// Writes down the proof against requests that are held, until the store has it.
pub(crate) async fn save(node: Arc<Node>, by: CrashId, proof: Vec<CrashReport>) {
    let record = Record {
        written_ms: unix_ms(),
        crashes: proof,
    };
    let key = keys::quarantine(by);
    let value = serde_json::to_string(&record).unwrap_or_default();
    let mut pause = AGAIN_AFTER;
    while let Err(error) = node.platform.put(&key, &value, Expected::Anything).await {
        let fields = vec![Field::new("key", &key), Field::new("error", error)];
        node.record_event(&events::QUARANTINE_UNSAVED, fields);
        Timer::after(pause).await;
        pause = (pause * 2).min(AGAIN_AFTER_MOST);
    }
}

/// Reads what earlier runs of the fleet wrote down, as soon as the store answers.
pub(crate) async fn read(node: Arc<Node>) {
    let mut pause = AGAIN_AFTER;
    let objects = loop {
        match node.platform.list(keys::QUARANTINE).await {
            Ok(changes) => {
                store::note_left_out(&node, keys::QUARANTINE, &changes);
                break changes.objects;
            }
            // The watch of the store says in the log that it is away.
            Err(_) => Timer::after(pause).await,
        };
        pause = (pause * 2).min(AGAIN_AFTER_MOST);
    };
    let mut news = CrashUpdate::default();
    for object in &objects {
        let Some(record) = read_one(&node, object) else {
            continue;
        };
        // A clock that was set back makes nothing younger than new.
        let age_ms = unix_ms().saturating_sub(record.written_ms);
        if u128::from(age_ms) >= REMOVED_AFTER.as_millis() {
            remove(&node, object).await;
        }
        news.crashes
            .extend(record.crashes.into_iter().map(|crash| CrashReport {
                age_ms: crash.age_ms.saturating_add(age_ms),
                ..crash
            }));
    }
    suspects::heard(&node, &news);
}

fn read_one(node: &Node, object: &Object) -> Option<Record> {
    let record = serde_json::from_str::<Record>(&object.value);
    record
        .map_err(|error| {
            let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
            node.record_event(&events::RECORD_UNREADABLE, fields);
        })
        .ok()
}

async fn remove(node: &Node, object: &Object) {
    if let Err(error) = node.platform.delete(&object.key).await {
        // Whoever reads it next removes it.
        let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
        node.record_event(&events::QUARANTINE_UNSAVED, fields);
    }
}
