//! Collects the events of a request from the daemons that it passed.

use crate::{
    fleet::control_client as control,
    node::{Node, lock},
};
use sorrelturn_protocol::RequestId;
use sorrelturn_telemetry::EventRecord;
use std::sync::Arc;

/// The maximum number of forwarding hops that an explanation follows.
const MAX_EXPLAIN_HOPS: u8 = 16;

/// Returns the events of a request from this daemon and those that it was forwarded to, sorted by time.
pub(crate) async fn explain(node: &Arc<Node>, request: RequestId) -> Vec<EventRecord> {
    explain_from(node, request, MAX_EXPLAIN_HOPS).await
}

pub(crate) async fn explain_from(
    node: &Arc<Node>,
    request: RequestId,
    hops_left: u8,
) -> Vec<EventRecord> {
    let mut records = node.events.request_events(request);
    let mut next_instances: Vec<String> = records
        .iter()
        .filter_map(|record| record.field("to"))
        .filter(|instance| *instance != node.settings.instance)
        .map(str::to_owned)
        .collect();
    next_instances.sort();
    next_instances.dedup();
    if hops_left == 0 {
        return records;
    }
    for instance in next_instances {
        let Some(record) = lock(&node.membership).get(&instance).cloned() else {
            continue;
        };
        let remote_records = control::call(node, &record, |client, cx| async move {
            client.explain(cx, request.to_string(), hops_left - 1).await
        });
        if let Ok(remote_records) = remote_records.await {
            let new_records = remote_records
                .into_iter()
                .filter(|record| !records.contains(record))
                .collect::<Vec<_>>();
            records.extend(new_records);
        }
    }
    records.sort_by_key(|record| record.at_ms);
    records
}
