//! What a backend server says of itself in its responses. See `docs/design/announced-limits.md`.

use crate::{
    backend::state::Routed,
    node::{LastTime, Node},
};
use hyper::HeaderMap;
use sorrelturn_policy::{NamedLimit, Now};
use sorrelturn_protocol::RequestRate;
use sorrelturn_telemetry::{Field, events};
use std::time::Duration;

/// The minimum interval between log entries about changes of the limit.
const RATE_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the response to a request that was sent at `sent_at`.
pub(crate) fn record_answer(node: &Node, routed: &Routed, sent_at: Now, headers: &HeaderMap) {
    let named = named_limit(routed, headers);
    let change = node.admission.with_gate(|gate, now| {
        let limit = gate.announced_limit();
        let was_limited = limit.rate().is_some();
        let has_changed = limit.record_answer(now, sent_at, named);
        has_changed.then(|| (was_limited, limit.rate()))
    });
    if let Some((was_limited, rate)) = change {
        let is_new_state = was_limited != rate.is_some();
        log_rate_limit(node, &routed.last_rate_limit_event, rate, is_new_state);
    }
}

/// Returns the lowest of the limits that a response names.
fn named_limit(routed: &Routed, headers: &HeaderMap) -> NamedLimit {
    let mut named = NamedLimit::Absent;
    for value in headers.get_all(&routed.dialect.headers.rate_limit) {
        let rate = value.to_str().ok().and_then(RequestRate::parse);
        named = match (named, rate) {
            (NamedLimit::Rate(lowest), Some(rate)) => NamedLimit::Rate(lowest.min(rate)),
            (_, Some(rate)) => NamedLimit::Rate(rate),
            (NamedLimit::Absent, None) => NamedLimit::Unreadable,
            (named, None) => named,
        };
    }
    named
}

/// Logs a limit that begins or ends, and other changes at most once per [`RATE_LIMIT_LOG_INTERVAL`].
fn log_rate_limit(node: &Node, last: &LastTime, rate: Option<RequestRate>, is_new_state: bool) {
    let now = node.now();
    if !is_new_state && last.elapsed_since(now) < RATE_LIMIT_LOG_INTERVAL {
        return;
    }
    last.set(now);
    let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    node.record_event(
        &events::BACKEND_RATE_LIMIT,
        vec![Field::new("per_second", rate)],
    );
}
