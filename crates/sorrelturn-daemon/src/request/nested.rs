//! Nested calls: calls that this daemon's backend server makes while it processes a request.

use crate::{
    config::in_force::InForce,
    node::{ActiveRequest, Node, lock},
    request::answer::Reply,
    request::body::Body,
    request::entry,
    request::fingerprint,
    request::forward::{self, Call},
    request::headers,
    request::owner,
    request::parents::Parent,
    request::payload::Payload,
    request::tokens,
};
use hyper::{Request, Response, body::Incoming};
use smol::future::FutureExt;
use sorrelturn_bundle::KindEntry;
use sorrelturn_once::CallKey;
use sorrelturn_protocol::{
    CallContext, CallerId, ExecutionToken, Precedence, Refusal, RepeatShare, RequestFingerprints,
    RequestId, SpanId, Verdict,
    headers::{IDEMPOTENCY_KEY, PARENT, TRACEPARENT},
};
use sorrelturn_telemetry::TraceContext;
use std::{sync::Arc, time::Duration};

pub(crate) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let active_request = ActiveRequest::new(node);
    let parent = find_parent(node, &req);
    let request_id = parent.as_ref().map_or_else(
        || RequestId::random(&mut fastrand::Rng::new()),
        |parent| parent.context.request,
    );
    let reply = match &parent {
        Some(parent) => {
            let parent_ended = async {
                parent.ended().await;
                Reply::refused(Refusal::Deadline, Verdict::MayHaveRun)
            };
            handle_call(node, Some(parent), request_id, req)
                .or(parent_ended)
                .await
        }
        None => handle_call(node, None, request_id, req).await,
    };
    reply.into_response(request_id, active_request)
}

fn find_parent(node: &Node, req: &Request<Incoming>) -> Option<Arc<Parent>> {
    let trace = headers::text(req.headers(), TRACEPARENT)
        .and_then(|value| value.parse::<TraceContext>().ok());
    let span = headers::text(req.headers(), PARENT)
        .and_then(|value| u64::from_str_radix(value, 16).ok())
        .map(SpanId)
        .or(trace.map(|trace| trace.parent));
    node.parents.find(span, trace.map(|trace| trace.trace))
}

async fn handle_call(
    node: &Arc<Node>,
    parent: Option<&Arc<Parent>>,
    request_id: RequestId,
    req: Request<Incoming>,
) -> Reply {
    let Some(in_force) = node.in_force.load_full() else {
        return Reply::not_run(Refusal::NoBundle).with_retry_after(owner::retry_after(node));
    };
    let kind = in_force
        .bundle
        .match_kind(req.method().as_str(), req.uri().path())
        .cloned();
    let Some(kind) = kind else {
        return Reply::not_run(Refusal::UnknownKind);
    };
    let attempts = match parent {
        Some(parent) => lock(&parent.attempts).take(kind.min_executions),
        None => Some(kind.kind.attempts),
    };
    let Some(attempts) = attempts else {
        // An earlier call with the same token may have run; only its owner knows.
        let verdict = if kind.at_most_once() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        return Reply::refused(Refusal::AttemptsSpent, verdict)
            .with_retry_after(owner::retry_after(node));
    };
    let context = nested_context(node, parent.map(Arc::as_ref), request_id, &kind, attempts);
    let reply = forward_call(node, parent, &in_force, kind, context, req).await;
    if let Some(parent) = parent {
        lock(&parent.attempts).give_back(reply.context.attempts_left);
        if has_failed(&reply) {
            parent.record_failure();
        }
    }
    reply
}

/// Inherits from the parent; the deadline is at most the parent's. Without a known parent, this is a root call without a caller.
fn nested_context(
    node: &Node,
    parent: Option<&Parent>,
    request_id: RequestId,
    kind: &KindEntry,
    attempts: u32,
) -> CallContext {
    let own_deadline = node.now() + Duration::from_millis(kind.kind.deadline_ms.into());
    let deadline = parent.map_or(own_deadline, |parent| parent.deadline.min(own_deadline));
    let time_left = deadline.saturating_sub(node.now());
    CallContext {
        request: request_id,
        trace: parent.map_or(request_id.0, |parent| parent.context.trace),
        parent: parent.map_or(SpanId::default(), |parent| parent.span),
        kind: kind.name.clone(),
        service: kind.service.clone(),
        importance: parent.map_or(kind.importance(), |parent| parent.context.importance),
        depth: parent.map_or(0, |parent| parent.context.depth.saturating_add(1)),
        deadline_ms: time_left.as_millis() as u32,
        attempts,
        token: None,
        caller: parent.map_or(CallerId::default(), |parent| parent.context.caller),
        level: 0,
        refused_fraction: 0,
        repeat_share: parent
            .map_or_else(RepeatShare::default, |parent| parent.context.repeat_share),
        names: RequestFingerprints::default(),
        work_times_reported: node.contention.work_times_reported(),
        root_precedence: Precedence::default(),
    }
}

async fn forward_call(
    node: &Arc<Node>,
    parent: Option<&Arc<Parent>>,
    in_force: &Arc<InForce>,
    kind: Arc<KindEntry>,
    context: CallContext,
    req: Request<Incoming>,
) -> Reply {
    let attempts = context.attempts;
    let deadline = node.now() + Duration::from_millis(context.deadline_ms.into());
    let key = call_key(&req);
    let (mut parts, incoming) = req.into_parts();
    let payload = match Payload::read(&node.timers, incoming).await {
        Ok(payload) => payload,
        Err(refused) => return refused,
    };
    headers::strip_for_peer(&mut parts.headers);
    let target = entry::target(&parts.uri);
    let caller = context.caller;
    let fingerprints =
        fingerprint::fingerprints_of(&parts.method, &target, &parts.headers, caller, &payload);
    let mut call = Call {
        in_force: Arc::clone(in_force),
        kind,
        context: CallContext {
            names: fingerprints,
            ..context
        },
        deadline,
        method: parts.method,
        target,
        headers: parts.headers,
        payload,
    };
    if call.kind.at_most_once() {
        match token_for_call(node, parent, &call, &key).await {
            Ok(token) => call.context.token = Some(token),
            Err(mut refused) => {
                refused.context.attempts_left = attempts;
                return refused;
            }
        }
    }
    let reply = forward::call(node, &mut call).await;
    if let (Some(parent), Some(token)) = (parent, call.context.token)
        && reply.context.verdict == Verdict::NotRun
    {
        lock(&parent.tokens).remove_refused(&key, &token);
    }
    reply
}

/// A call with the key and parent of an earlier one gets the token of that one.
async fn token_for_call(
    node: &Arc<Node>,
    parent: Option<&Arc<Parent>>,
    call: &Call,
    key: &CallKey,
) -> Result<ExecutionToken, Reply> {
    let existing = parent.and_then(|parent| lock(&parent.tokens).get(key));
    if let Some(token) = existing {
        return Ok(token);
    }
    let fresh = tokens::obtain(node, call).await?;
    Ok(match parent {
        Some(parent) => lock(&parent.tokens).get_or_insert(key.clone(), fresh),
        None => fresh,
    })
}

fn call_key(req: &Request<Incoming>) -> CallKey {
    let idempotency_key = headers::text(req.headers(), IDEMPOTENCY_KEY);
    CallKey(
        idempotency_key.map_or_else(|| format!("{} {}", req.method(), req.uri()), str::to_owned),
    )
}

fn has_failed(reply: &Reply) -> bool {
    reply
        .res
        .as_ref()
        .is_none_or(|res| res.status().is_server_error())
}
