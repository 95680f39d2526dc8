//! How long the own backend server takes for a request now. See `docs/design/instance-speed.md`.

use crate::{
    backend::signals::SentRequest,
    backend::state::{self, Routed},
    node::{Node, lock},
};
use hyper::HeaderMap;
use sorrelturn_policy::{AnsweredRequest, Now};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// Applies the work time in a response of the own backend server.
pub(crate) fn record_report(node: &Node, routed: &Routed, headers: &HeaderMap) {
    let Some(percent) = state::reported_work_time(routed, headers) else {
        return;
    };
    lock(&routed.work_times).report(node.now(), percent);
    node.record_work_times_reported();
}

/// Returns the work time that the backend server reported lately, in percent of the usual.
pub(crate) fn reported(routed: &Routed, now: Now) -> Option<u32> {
    lock(&routed.work_times).reported(now)
}

/// Records a request that the backend server answered. Requests to an earlier incarnation tell nothing of this one.
pub(crate) fn record_answered(routed: &Routed, now: Now, kind: &str, sent: &SentRequest) {
    if !was_sent_to_current(routed, sent) {
        return;
    }
    let request = answered_request(now, kind, sent);
    lock(&routed.work_times).finished(now, &request);
}

/// Records a request that the backend server didn't answer in time.
pub(crate) fn record_timeout(routed: &Routed, now: Now, kind: &str, sent: &SentRequest) {
    if !was_sent_to_current(routed, sent) {
        return;
    }
    let request = answered_request(now, kind, sent);
    lock(&routed.work_times).timed_out(now, &request);
}

/// Returns how long a request that arrived now would take; `None` unless the backend server reports work times.
pub(crate) fn expected(node: &Node, routed: &Routed) -> Option<Duration> {
    let (now, in_flight, queued, limit) = node.admission.with_gate(|gate, now| {
        let limit = gate.steady_limit(now);
        (now, gate.in_flight(), gate.queued(), limit)
    });
    lock(&routed.work_times).expected(now, in_flight, queued, limit)
}

/// Returns the expected time in milliseconds as daemons tell one another: at least 1, 0 if it is unknown.
pub(crate) fn expected_ms(node: &Node) -> u32 {
    let routed = node.routed.as_ref();
    let expected = routed.and_then(|routed| expected(node, routed));
    expected.map_or(0, |expected| {
        expected.as_millis().clamp(1, u32::MAX.into()) as u32
    })
}

/// Forgets what was learnt, for a new incarnation of the backend server.
pub(crate) fn reset(routed: &Routed) {
    lock(&routed.work_times).reset();
}

fn was_sent_to_current(routed: &Routed, sent: &SentRequest) -> bool {
    sent.backend.is_some() && sent.backend == routed.serving_id()
}

fn answered_request(now: Now, kind: &str, sent: &SentRequest) -> AnsweredRequest {
    let mut hasher = DefaultHasher::new();
    kind.hash(&mut hasher);
    AnsweredRequest {
        kind: hasher.finish(),
        duration: now.saturating_sub(sent.at),
        percent_when_sent: sent.work_time,
    }
}
