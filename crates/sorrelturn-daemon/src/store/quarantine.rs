//! Persisted evidence for quarantined requests, which survives a restart of all daemons.
//! See `docs/design/quarantine.md`.

use crate::{clock::unix_ms, fleet::suspects, node::Node, store};
use serde::{Deserialize, Serialize};
use smol::Timer;
use sorrelturn_platform::{Expected, Object, keys};
use sorrelturn_protocol::{CrashId, CrashReport, CrashUpdate};
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// Delay after the first failed call to the store; doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Age at which a record is removed when it is loaded. Longer than crash reports are valid, to tolerate clock
/// differences between VMs.
const RECORD_RETENTION: Duration = Duration::from_secs(1_200);

/// Evidence saved for one crash: all crashes during which the same requests were in progress.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Time of the write in milliseconds since the Unix epoch.
    written_ms: u64,
    crashes: Vec<CrashReport>,
}

/// Saves the evidence against quarantined requests, with retries until the store accepts it.
pub(crate) async fn save(node: Arc<Node>, crash: CrashId, evidence: Vec<CrashReport>) {
    let record = Record {
        written_ms: unix_ms(),
        crashes: evidence,
    };
    let key = keys::quarantine(crash);
    let value = serde_json::to_string(&record).unwrap_or_default();
    let mut delay = INITIAL_RETRY_DELAY;
    while let Err(error) = node.platform.put(&key, &value, Expected::Anything).await {
        let fields = vec![Field::new("key", &key), Field::new("error", error)];
        node.record_event(&events::QUARANTINE_UNSAVED, fields);
        Timer::after(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Loads the evidence saved by all daemons, with retries until the store responds.
pub(crate) async fn load(node: Arc<Node>) {
    let mut delay = INITIAL_RETRY_DELAY;
    let objects = loop {
        match node.platform.list(keys::QUARANTINE).await {
            Ok(changes) => {
                store::log_unreadable_entries(&node, keys::QUARANTINE, &changes);
                break changes.objects;
            }
            // Not logged here: the watchers log an outage of the store.
            Err(_) => Timer::after(delay).await,
        };
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    };
    let mut update = CrashUpdate::default();
    for object in &objects {
        let Some(record) = parse_record(&node, object) else {
            continue;
        };
        // The age is zero if the clock was set back.
        let age_ms = unix_ms().saturating_sub(record.written_ms);
        if u128::from(age_ms) >= RECORD_RETENTION.as_millis() {
            remove(&node, object).await;
        }
        update
            .crashes
            .extend(record.crashes.into_iter().map(|crash| CrashReport {
                age_ms: crash.age_ms.saturating_add(age_ms),
                ..crash
            }));
    }
    suspects::receive_update(&node, &update);
}

fn parse_record(node: &Node, object: &Object) -> Option<Record> {
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
        // The next reader tries again.
        let fields = vec![Field::new("key", &object.key), Field::new("error", error)];
        node.record_event(&events::QUARANTINE_UNSAVED, fields);
    }
}
