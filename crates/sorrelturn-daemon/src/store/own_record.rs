//! The own member record in the platform's store: what the next run of this daemon, and daemons that
//! start while this one is silent, know of it.

use crate::node::Node;
use sorrelturn_platform::{Expected, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};

/// Writes the own record as it is now.
///
/// Returns whether the store has the newest one; if not, a line in the log says why.
pub(crate) async fn write(node: &Node) -> bool {
    let record = node.own_record.load_full();
    let key = keys::member(&record.instance);
    let written = match serde_json::to_string(&*record) {
        Ok(value) => {
            let put = node.platform.put(&key, &value, Expected::Anything).await;
            put.map(drop).map_err(|error| error.to_string())
        }
        Err(error) => Err(error.to_string()),
    };
    if let Err(error) = written {
        note_unsaved(node, &record, error);
        return false;
    }
    node.own_record.load().sequence == record.sequence
}

/// Says in the log that the store doesn't have this record, and why.
pub(crate) fn note_unsaved(node: &Node, record: &MemberRecord, error: String) {
    let fields = vec![
        Field::new("sequence", record.sequence),
        Field::new("state", format!("{:?}", record.state).to_lowercase()),
        Field::new("error", error),
    ];
    node.note(&events::RECORD_UNSAVED, fields);
}
