//! What a backend server says of itself in its responses. See `docs/design/announced-limits.md`.

use crate::{
    backend::state::{self, Routed, Source},
    backend::work_times,
    node::{LastTime, Node},
};
use hyper::{HeaderMap, header::HeaderValue};
use smol::Timer;
use sorrelturn_policy::{NamedLimit, Now};
use sorrelturn_protocol::RequestRate;
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The minimum interval between log entries about changes of the limit.
const RATE_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum interval at which the own record is published because of the limit, which may differ in each response.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Limits that differ by less than this fraction aren't published again.
const PUBLISHED_CHANGE: f64 = 0.25;
/// The value of the header that says that the backend server is leaving.
const LEAVING: &str = "1";

/// A request for the backend server, as its response needs it.
pub(crate) struct SentRequest {
    pub(crate) at: Now,
    /// The id of the backend server that was to run it.
    pub(crate) backend: Option<HeaderValue>,
    /// The work time that the backend server had reported, in percent.
    pub(crate) work_time: Option<u32>,
}

/// Applies the response to a request.
pub(crate) fn record_answer(
    node: &Arc<Node>,
    routed: &Routed,
    sent: &SentRequest,
    headers: &HeaderMap,
) {
    let names = &routed.dialect.headers;
    let responder = headers.get(&names.backend_id).or(sent.backend.as_ref());
    let Some(responder) = responder.and_then(|id| id.to_str().ok()) else {
        return;
    };
    if !routed.is_current(responder) {
        // The backend server was replaced in the meantime.
        return;
    }
    record_limit(node, routed, sent.at, named_limit(routed, headers));
    work_times::record_report(node, routed, headers);
    if is_leaving(routed, headers) {
        state::record_leaving_answer(node, routed, responder, Source::Response);
    }
}

/// Applies the response to a health check, which may lack what responses to requests say.
pub(crate) fn record_probe(node: &Arc<Node>, routed: &Routed, headers: &HeaderMap) {
    let named = named_limit(routed, headers);
    if named != NamedLimit::Absent {
        record_limit(node, routed, node.now(), named);
    }
    let id = headers.get(&routed.dialect.headers.backend_id);
    let Some(id) = id.and_then(|id| id.to_str().ok()) else {
        return;
    };
    if routed.current().is_some_and(|current| current.id == id) {
        work_times::record_report(node, routed, headers);
    }
    if is_leaving(routed, headers) {
        state::record_leaving_answer(node, routed, id, Source::HealthCheck);
    }
}

/// Returns the id of a backend server whose response doesn't say that it is leaving.
pub(crate) fn id_unless_leaving<'a>(routed: &Routed, headers: &'a HeaderMap) -> Option<&'a str> {
    let id = headers.get(&routed.dialect.headers.backend_id)?;
    id.to_str().ok().filter(|_| !is_leaving(routed, headers))
}

/// Forgets the limit if it was named by another backend server than the one that accepts requests now.
pub(crate) fn backend_started(node: &Arc<Node>, routed: &Routed, id: &str) {
    node.admission
        .with_gate(|gate, _| gate.announced_limit().backend_started(id));
    if limit_to_publish(node).is_some() {
        spawn_publisher(node, routed);
    }
}

/// Applies the limit that the backend server named to an earlier incarnation of this daemon.
pub(crate) fn restore_limit(node: &Arc<Node>, routed: &Routed, id: &str, rate: RequestRate) {
    let has_changed = node
        .admission
        .with_gate(|gate, now| gate.announced_limit().restore(now, id, rate));
    if has_changed {
        log_rate_limit(node, &routed.last_rate_limit_event, Some(rate), true);
        spawn_publisher(node, routed);
    }
}

/// Returns how long each daemon should avoid this instance after a refusal because of the limit.
pub(crate) fn pause_of_callers(node: &Node) -> Duration {
    let members = node.instances.load().member_count();
    let pause = node
        .admission
        .with_gate(|gate, _| gate.announced_limit().pause(members));
    pause.unwrap_or_default()
}

fn record_limit(node: &Arc<Node>, routed: &Routed, sent_at: Now, named: NamedLimit) {
    let change = node.admission.with_gate(|gate, now| {
        let limit = gate.announced_limit();
        let was_limited = limit.rate().is_some();
        let has_changed = limit.record_answer(now, sent_at, named);
        has_changed.then(|| (was_limited, limit.rate()))
    });
    if let Some((was_limited, rate)) = change {
        let is_new_state = was_limited != rate.is_some();
        log_rate_limit(node, &routed.last_rate_limit_event, rate, is_new_state);
        spawn_publisher(node, routed);
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

/// Returns whether a response says that the backend server is leaving.
pub(crate) fn is_leaving(routed: &Routed, headers: &HeaderMap) -> bool {
    let values = headers.get_all(&routed.dialect.headers.leaving);
    values
        .iter()
        .any(|value| value.as_bytes() == LEAVING.as_bytes())
}

/// Publishes the limit in the background, unless a task does so already.
fn spawn_publisher(node: &Arc<Node>, routed: &Routed) {
    if routed.is_publishing_rate_limit.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let publish = async move {
        if let Some(routed) = &node.routed {
            publish_limit(&node, routed).await;
        }
    };
    ex.spawn(publish).detach();
}

/// Publishes the limit until the published one is close to the one in force.
async fn publish_limit(node: &Arc<Node>, routed: &Routed) {
    while let Some(rate) = limit_to_publish(node) {
        state::publish_rate_limit(node, routed, rate).await;
        Timer::after(PUBLISH_INTERVAL).await;
    }
    routed
        .is_publishing_rate_limit
        .store(false, Ordering::Release);
    // A change since the last check found this task still running.
    if limit_to_publish(node).is_some() {
        spawn_publisher(node, routed);
    }
}

/// Returns the limit in force, which may be none, if the published one differs from it noticeably.
fn limit_to_publish(node: &Node) -> Option<Option<RequestRate>> {
    let rate = node
        .admission
        .with_gate(|gate, _| gate.announced_limit().rate());
    let published = node.own_record.load().rate_limit;
    let differs = match (published, rate) {
        (Some(published), Some(rate)) => {
            let difference = (rate.per_second() - published.per_second()).abs();
            difference > published.per_second() * PUBLISHED_CHANGE
        }
        (published, rate) => published.is_some() != rate.is_some(),
    };
    differs.then_some(rate)
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
