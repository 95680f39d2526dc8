//! State that is persisted in the platform's store.

pub(crate) mod member_record;
pub(crate) mod outcomes;
pub(crate) mod quarantine;

use crate::node::Node;
use sorrelturn_platform::Changes;
use sorrelturn_telemetry::{Field, events};

/// Logs the number of unreadable entries in the result of a list or a watch. The other entries remain valid.
pub(crate) fn log_unreadable_entries(node: &Node, prefix: &str, changes: &Changes) {
    if changes.left_out > 0 {
        let fields = vec![
            Field::new("key", prefix),
            Field::new("left_out", changes.left_out),
        ];
        node.record_event(&events::RECORD_UNREADABLE, fields);
    }
}
