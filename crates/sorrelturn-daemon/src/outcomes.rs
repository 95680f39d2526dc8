//! Outcomes of tokens on their way into the platform's store, off the path of requests.

use crate::node::{Node, lock};
use smol::Timer;
use sorrelturn_platform::{Expected, keys};
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// The shortest time between two writes.
const LEAST_PAUSE: Duration = Duration::from_secs(1);
/// The writes of outcomes that the whole fleet makes in a second at the most; the store takes
/// several hundred, and bindings of callers' keys come first.
const FLEET_WRITES_PER_SECOND: usize = 100;
/// How often a closing record is tried.
const CLOSING_TRIES: u32 = 5;

/// Writes new outcomes now and then.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        Timer::after(pause(&node)).await;
        lock(&node.ledger).forget(node.now());
        save(&node).await;
    }
}

/// Writes the closing record of a planned stop; from then on an unlisted token is not run.
pub(crate) async fn close(node: &Node) {
    lock(&node.ledger).close();
    for _ in 0..CLOSING_TRIES {
        if save(node).await {
            return;
        }
        Timer::after(LEAST_PAUSE / 4).await;
    }
}

fn pause(node: &Node) -> Duration {
    let members = lock(&node.membership).present().count();
    let share = Duration::from_secs((members / FLEET_WRITES_PER_SECOND) as u64);
    let pause = LEAST_PAUSE.max(share);
    pause.mul_f64(0.75 + fastrand::f64() / 2.0)
}

/// Returns whether nothing is unsaved any more.
async fn save(node: &Node) -> bool {
    let Some(record) = lock(&node.ledger).take_unsaved() else {
        return true;
    };
    let value = serde_json::to_string(&record).unwrap_or_default();
    let key = keys::outcomes(node.incarnation);
    match node.platform.put(&key, &value, Expected::Anything).await {
        Ok(_) => true,
        Err(error) => {
            lock(&node.ledger).save_failed();
            node.note(&events::OUTCOMES_UNSAVED, vec![Field::new("error", error)]);
            false
        }
    }
}
