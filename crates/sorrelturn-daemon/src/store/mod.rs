//! What outlives a process in the platform's store.

pub(crate) mod member_record;
pub(crate) mod outcomes;
pub(crate) mod quarantine;

use crate::node::Node;
use sorrelturn_platform::Changes;
use sorrelturn_telemetry::{Field, events};

/// Says in the log how many entries of a list or a watch couldn't be read at all; all others hold.
pub(crate) fn note_left_out(node: &Node, prefix: &str, changes: &Changes) {
    if changes.left_out > 0 {
        let fields = vec![
            Field::new("key", prefix),
            Field::new("left_out", changes.left_out),
        ];
        node.record_event(&events::RECORD_UNREADABLE, fields);
    }
}
