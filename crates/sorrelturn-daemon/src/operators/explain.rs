//! What happened to a request, gathered over its hops.

use crate::{
    fleet::control_client as control,
    node::{Node, lock},
};
use sorrelturn_protocol::RequestId;
use sorrelturn_telemetry::EventRecord;
use std::sync::Arc;

/// How many hops an explanation follows.
const EXPLAIN_DEPTH: u8 = 16;

/// What happened to a request, here and at the daemons that it was forwarded to.
pub(crate) async fn explain(node: &Arc<Node>, request: RequestId) -> Vec<EventRecord> {
    explain_from(node, request, EXPLAIN_DEPTH).await
}

pub(crate) async fn explain_from(
    node: &Arc<Node>,
    request: RequestId,
    hops_left: u8,
) -> Vec<EventRecord> {
    let mut records = node.events.request_events(request);
    let mut next: Vec<String> = records
        .iter()
        .filter_map(|record| record.field("to"))
        .filter(|instance| *instance != node.settings.instance)
        .map(str::to_owned)
        .collect();
    next.sort();
    next.dedup();
    if hops_left == 0 {
        return records;
    }
    for instance in next {
        let Some(record) = lock(&node.membership).get(&instance).cloned() else {
            continue;
        };
        let further = control::call(node, &record, |client, cx| async move {
            client.explain(cx, request.to_string(), hops_left - 1).await
        });
        if let Ok(further) = further.await {
            let unseen = further
                .into_iter()
                .filter(|record| !records.contains(record))
                .collect::<Vec<_>>();
            records.extend(unseen);
        }
    }
    records.sort_by_key(|record| record.at_ms);
    records
}
