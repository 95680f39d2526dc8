//! The owner's side of a call: early refusals, and the choice between execution with and without a token.

use crate::{
    backend::signals,
    backend::state::Routed,
    backend::work_times,
    clock::unix_ns,
    node::{ActiveRequest, LastTime, MemoryDemand, Node, lock},
    request::answer::Reply,
    request::body::Body,
    request::fair_shares,
    request::headers,
    request::hop::{self, Hop},
    request::repeats,
    request::tokens,
};
use hyper::Request;
use sorrelturn_bundle::{Execution, Kind, KindEntry};
use sorrelturn_once::{BeginResult, Fingerprint};
use sorrelturn_policy::RetryAfter;
use sorrelturn_protocol::{CallContext, ContentionReport, Priority, Refusal, SpanId, Verdict};
use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};

pub(crate) async fn serve(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let routed_kind = node
        .routed
        .as_ref()
        .map(|routed| (routed, context.kind.clone()));
    if context.work_times_reported {
        node.record_work_times_reported();
    }
    let share_used = fair_shares::observe_demand(node, &context);
    let mut reply = if req.uri().path() == tokens::ISSUE_PATH {
        refund_attempts(tokens::issue(node), context.attempts)
    } else {
        // Pinned in place: awaiting a large future directly would copy it first, at each of these levels.
        pin!(admit(node, context, req)).await
    };
    let answer = &mut reply.context;
    let mut level_below = answer.threshold;
    if let Some((routed, kind)) = routed_kind {
        answer.is_call = is_nested_kind(node, routed, &kind);
        answer.refuses_repeats = repeats::are_refused(node, routed, &kind);
        if answer.refusal.is_some() && node.contention.pools_room() {
            level_below = threshold_of_calls(node, routed, &kind);
        }
    }
    // Read before the version: otherwise the age of a newer version could be reported with an older one.
    answer.knowledge_age_ms = node.knowledge_age_ms();
    answer.bundle_version = node.bundle_version();
    answer.incarnation = node.incarnation;
    answer.leaving = node.is_leaving();
    answer.contention = contention_report(node, level_below, share_used);
    node.admission.with_gate(|gate, now| {
        answer.load = gate.load_percent(now);
        answer.threshold = answer.threshold.max(gate.threshold(now));
        answer.limit_level = gate.announced_limit().level(now);
    });
    if answer.refusal == Some(Refusal::BackendLimit) {
        answer.pause_ms = signals::pause_of_callers(node).as_millis() as u32;
    }
    if let Some(refusal) = answer.refusal
        && answer.retry_after_ms == 0
        && !matches!(refusal, Refusal::TokenRejected | Refusal::UnknownKind)
    {
        answer.retry_after_ms = retry_after(node).as_millis() as u32;
    }
    reply
}

/// Returns what the forwarding daemon needs for its mechanisms for contention; `None` if none is on. `level_below` is the
/// level of the services that the kind calls.
fn contention_report(
    node: &Node,
    level_below: Priority,
    share_used: u16,
) -> Option<ContentionReport> {
    let work_times_reported = node.contention.work_times_reported();
    let pools_room = node.contention.pools_room();
    if !(work_times_reported || pools_room || share_used > 0) {
        return None;
    }
    let mut report = ContentionReport {
        work_times_reported,
        expected_ms: work_times::expected_ms(node),
        share_used,
        ..ContentionReport::default()
    };
    if pools_room {
        add_room(node, &mut report, level_below);
    }
    Some(report)
}

/// Adds the load and the capacity of the own backend server, and the level that follows from neither.
fn add_room(node: &Node, report: &mut ContentionReport, level_below: Priority) {
    node.admission.with_gate(|gate, now| {
        report.room = gate.room(now);
        report.level_without_room = level_below.max(gate.level_without_room(now));
    });
}

/// Returns the level of the services that a kind calls. Answers that ran carry it; a refusal without it would make the
/// forwarding daemon believe that they have room.
fn threshold_of_calls(node: &Node, routed: &Routed, kind: &str) -> Priority {
    let in_force = node.in_force.load();
    in_force.as_deref().map_or(Priority::LOWEST, |in_force| {
        let graph = lock(&routed.graph);
        hop::threshold_of_calls(node, in_force, graph.calls(kind), node.now())
    })
}

/// Waits for the shutdown, then refuses a request that can't be forwarded any more.
pub(crate) async fn refuse_at_shutdown(node: &Node) -> Reply {
    node.shutdown.answers_due().await;
    Reply::not_run(Refusal::Leaving).with_retry_after(retry_after(node))
}

/// Depends on how long this daemon has been overloaded.
pub(crate) fn retry_after(node: &Node) -> Duration {
    let overload_duration = node
        .admission
        .with_gate(|gate, now| gate.overload_duration(now));
    RetryAfter::compute(overload_duration, &mut fastrand::Rng::new())
}

async fn admit(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let attempts = context.attempts;
    if context.service != node.settings.service {
        return refund_attempts(refuse_call(node, &context, Refusal::OtherService), attempts);
    }
    if node.routed.is_some() && node.lacks_memory_for(MemoryDemand::NestedCall) {
        return refund_attempts(refuse_call(node, &context, Refusal::OutOfMemory), attempts);
    }
    if node.evacuation.includes_own_domain() {
        return refund_attempts(refuse_call(node, &context, Refusal::Evacuated), attempts);
    }
    let Some(in_force) = node.in_force.load_full() else {
        return refund_attempts(refuse_call(node, &context, Refusal::NoBundle), attempts);
    };
    let local_kind = in_force.bundle.kind(&context.kind).cloned();
    let Some(kind) = local_kind.or_else(|| kind_from_context(node, &context)) else {
        return refund_attempts(refuse_call(node, &context, Refusal::UnknownKind), attempts);
    };
    let mut context = context;
    let mut caller_request_id = None;
    if let Some(routed) = &node.routed {
        let header_names = &routed.dialect.headers;
        caller_request_id = req.headers().get(&header_names.request_id).cloned();
        let caller_service = headers::text(req.headers(), header_names.caller_service.as_str());
        lock(&routed.origins).record(&context.kind, caller_service.unwrap_or_default());
        context.depth = u8::from(is_nested_kind(node, routed, &context.kind));
    }
    let deadline = node.now() + Duration::from_millis(context.deadline_ms.into());
    let deadline = node.shutdown.cap_deadline(deadline);
    let hop = Hop {
        span: SpanId::random(&mut fastrand::Rng::new()),
        _active_request: ActiveRequest::new(node),
        node: Arc::clone(node),
        in_force,
        kind,
        context,
        deadline,
        started_unix_ns: unix_ns(),
        started_at: node.now(),
        written_at: LastTime::default(),
        caller_request_id,
    };
    match hop.context.token {
        Some(token) => pin!(hop.run_with_token(token, req)).await,
        None => pin!(hop.run_without_token(req)).await,
    }
}

/// Judges by the services that the requests come from.
fn is_nested_kind(node: &Node, routed: &Routed, kind: &str) -> bool {
    let routes = node.instances.load();
    let share_of = |service: &str| routes.instance_fraction(service);
    lock(&routed.origins).are_calls(kind, routes.service_count(), share_of)
}

/// Builds an entry for a kind that this daemon's route table lacks, since the daemon of the entry decides which routes
/// are in force. The context lacks the execution mode, so the strictest one is assumed.
fn kind_from_context(node: &Node, context: &CallContext) -> Option<Arc<KindEntry>> {
    node.routed.as_ref()?;
    let kind = Kind {
        method: String::new(),
        path: String::new(),
        importance: context.importance,
        execution: Execution::AtMostOnce,
        deadline_ms: context.deadline_ms,
        attempts: context.attempts,
        exposed: true,
        calls: BTreeMap::new(),
    };
    let name = context.kind.clone();
    Some(Arc::new(KindEntry::for_route(
        name,
        &node.settings.service,
        kind,
        None,
    )))
}

/// The call did not run, so its caller gets all executions back.
pub(crate) fn refund_attempts(mut reply: Reply, attempts: u32) -> Reply {
    reply.context.attempts_left = attempts;
    reply
}

/// Uses up the token first, so that it can't run later. If it may have run or can't be checked, the reply says that
/// the outcome is unknown.
fn refuse_call(node: &Node, context: &CallContext, refusal: Refusal) -> Reply {
    if let Some(token) = context.token {
        let mut ledger = lock(&node.ledger);
        let fingerprint = token_fingerprint(context, "");
        match ledger.begin(node.now(), &token, fingerprint) {
            BeginResult::MayRun => ledger.refuse(&token),
            BeginResult::Closed | BeginResult::Refused => {}
            _ => return Reply::refused(Refusal::OutcomeUnknown, Verdict::MayHaveRun),
        }
    }
    Reply::not_run(refusal)
}

/// Hashes the caller, the kind and the target.
pub(crate) fn token_fingerprint(context: &CallContext, target: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&context.caller.0.to_be_bytes());
    hasher.update(context.kind.as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_be_bytes(bytes))
}
