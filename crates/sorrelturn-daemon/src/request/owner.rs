//! The owner's side of a call: what is refused before anything else, and which way the rest goes.

use crate::{
    backend::state::Routed,
    clock::unix_ns,
    node::{Carried, Node, lock},
    request::answer::Reply,
    request::body::Body,
    request::headers,
    request::hop::Hop,
    request::tokens,
};
use hyper::Request;
use sorrelturn_bundle::{Execution, Kind, KindEntry};
use sorrelturn_once::{BeginResult, Fingerprint};
use sorrelturn_policy::RetryAfter;
use sorrelturn_protocol::{CallContext, Refusal, SpanId, Verdict};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Runs a call at this daemon's backend server, or refuses it.
pub(crate) async fn serve(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let asked = node
        .routed
        .as_ref()
        .map(|routed| (routed, context.kind.clone()));
    let mut reply = if req.uri().path() == tokens::ISSUE_PATH {
        unused(tokens::issue(node), context.attempts)
    } else {
        admit(node, context, req).await
    };
    let answer = &mut reply.context;
    if let Some((routed, kind)) = asked {
        answer.is_call = is_call(node, routed, &kind);
    }
    // Read before the version, which may only rise meanwhile.
    answer.knowledge_age_ms = node.knowledge_age_ms();
    answer.bundle_version = node.bundle_version();
    answer.incarnation = node.incarnation;
    answer.leaving = node.is_leaving();
    node.room.with_gate(|gate, now| {
        answer.load = gate.load_percent(now);
        answer.threshold = answer.threshold.max(gate.threshold(now));
    });
    if let Some(refusal) = answer.refusal
        && answer.retry_after_ms == 0
        && !matches!(refusal, Refusal::TokenRejected | Refusal::UnknownKind)
    {
        answer.retry_after_ms = come_back(node).as_millis() as u32;
    }
    reply
}

/// A request that can't be passed on any more because this run of the daemon is over.
pub(crate) async fn refused_at_the_end(node: &Node) -> Reply {
    node.ending.over().await;
    Reply::not_run(Refusal::Leaving).come_back(come_back(node))
}

/// When a refused caller should come back, from how long the pressure here has lasted.
pub(crate) fn come_back(node: &Node) -> Duration {
    let lasting = node.room.with_gate(|gate, now| gate.pressure_duration(now));
    RetryAfter::compute(lasting, &mut fastrand::Rng::new())
}

async fn admit(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let share = context.attempts;
    if context.service != node.settings.service {
        return unused(refuse_token(node, &context, Refusal::OtherService), share);
    }
    let Some(in_force) = node.in_force.load_full() else {
        return unused(refuse_token(node, &context, Refusal::NoBundle), share);
    };
    let known = in_force.bundle.kind(&context.kind).cloned();
    let Some(kind) = known.or_else(|| kind_of_another_version(node, &context)) else {
        return unused(refuse_token(node, &context, Refusal::UnknownKind), share);
    };
    let mut context = context;
    let mut asked = None;
    if let Some(routed) = &node.routed {
        let names = &routed.dialect.headers;
        asked = req.headers().get(&names.request_id).cloned();
        let from = headers::text(req.headers(), names.caller_service.as_str());
        lock(&routed.origins).record(&context.kind, from.unwrap_or_default());
        context.depth = u8::from(is_call(node, routed, &context.kind));
    }
    let deadline = node.now() + Duration::from_millis(context.deadline_ms.into());
    let deadline = node.ending.bound(deadline);
    let hop = Hop {
        span: SpanId::random(&mut fastrand::Rng::new()),
        _carried: Carried::new(node),
        node: Arc::clone(node),
        in_force,
        kind,
        context,
        deadline,
        started_ns: unix_ns(),
        started: node.now(),
        asked,
    };
    match hop.context.token {
        Some(token) => hop.once(token, req).await,
        None => hop.plain(req).await,
    }
}

/// Whether requests of a kind are calls of backend servers.
fn is_call(node: &Node, routed: &Routed, kind: &str) -> bool {
    let routes = node.routes.load();
    let share_of = |service: &str| routes.share_of(service);
    lock(&routed.origins).are_calls(kind, routes.service_count(), share_of)
}

/// A route that isn't in force here may be in force where the request began, which decides that;
/// all that is needed of it comes with the call.
fn kind_of_another_version(node: &Node, context: &CallContext) -> Option<Arc<KindEntry>> {
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

/// Hands the whole share of a call that cost no execution back.
pub(crate) fn unused(mut reply: Reply, share: u32) -> Reply {
    reply.context.attempts_left = share;
    reply
}

/// A refusal before anything else: the token, if there is one, is spent first.
fn refuse_token(node: &Node, context: &CallContext, refusal: Refusal) -> Reply {
    if let Some(token) = context.token {
        let mut ledger = lock(&node.ledger);
        let fingerprint = fingerprint(context, "");
        match ledger.begin(node.now(), &token, fingerprint) {
            BeginResult::Run => ledger.refuse(&token),
            BeginResult::Closed | BeginResult::Refused => {}
            _ => return Reply::refused(Refusal::OutcomeUnknown, Verdict::MayHaveRun),
        }
    }
    Reply::not_run(refusal)
}

/// What a token is bound to: the caller, the kind and the target.
pub(crate) fn fingerprint(context: &CallContext, target: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&context.caller.0.to_be_bytes());
    hasher.update(context.kind.as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    let mut print = [0; 8];
    hasher.finalize_xof().fill(&mut print);
    Fingerprint(u64::from_be_bytes(print))
}
