//! The entry: turns a caller's request into a root call and forwards it.

use crate::{
    config::in_force::InForce,
    node::{ActiveRequest, Node},
    operators::export,
    request::answer::Reply,
    request::body::{self, Body},
    request::fingerprint,
    request::forward::{self, Call},
    request::headers,
    request::owner,
    request::payload::Payload,
    request::tokens,
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, header::AUTHORIZATION,
};
use serde::Deserialize;
use sorrelturn_bundle::{CallerEntry, KindEntry};
use sorrelturn_protocol::{
    CallContext, ExecutionToken, Precedence, Refusal, RepeatShare, RequestFingerprints, RequestId,
    SpanId, Verdict,
    headers::{IDEMPOTENCY_KEY, TOKEN, TRACEPARENT},
};
use sorrelturn_telemetry::{Field, TraceContext, events};
use std::{net::IpAddr, sync::Arc, time::Duration};

/// The path at which callers request tokens.
const TOKENS_PATH: &str = "/.sorrelturn/tokens";

struct RootRequest {
    in_force: Arc<InForce>,
    kind: Arc<KindEntry>,
    caller: Arc<CallerEntry>,
    context: CallContext,
}

/// The JSON body of a request for a token.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenRequest {
    method: String,
    path: String,
}

pub(crate) async fn serve(
    node: &Arc<Node>,
    caller_ip: IpAddr,
    req: Request<Incoming>,
) -> Response<Body> {
    let active_request = ActiveRequest::new(node);
    let request_id = RequestId::random(&mut fastrand::Rng::new());
    let started = node.now();
    let may_be_repeat = may_be_repeat(node, &req);
    let reply = match (req.method(), req.uri().path()) {
        (&Method::POST, TOKENS_PATH) => issue_token(node, caller_ip, request_id, req).await,
        _ => serve_call(node, caller_ip, request_id, req).await,
    };
    let (importance, reply) = match reply {
        Ok((root, reply)) => (root.kind.importance().name(), reply),
        Err(reply) if may_be_repeat => ("none", with_unknown_outcome(reply)),
        Err(reply) => ("none", reply),
    };
    export::record_request(
        node,
        importance,
        reply.context.verdict,
        node.now() - started,
    );
    reply.into_response(request_id, active_request)
}

/// Whether the at-most-once request may have run already; only the owner of its token knows.
fn may_be_repeat(node: &Node, req: &Request<Incoming>) -> bool {
    let has_token_or_key = [TOKEN, IDEMPOTENCY_KEY]
        .iter()
        .any(|name| req.headers().contains_key(*name));
    let in_force = node.in_force.load();
    let is_repeatable = in_force
        .as_ref()
        .and_then(|in_force| {
            let bundle = &in_force.bundle;
            bundle.match_kind(req.method().as_str(), req.uri().path())
        })
        .is_some_and(|kind| !kind.at_most_once());
    has_token_or_key && !is_repeatable
}

/// Replaces "not run" where earlier copies of the request may exist: the caller could retry with another token or key,
/// and both copies would run.
fn with_unknown_outcome(mut reply: Reply) -> Reply {
    reply.context.verdict = reply.context.verdict.combine(Verdict::MayHaveRun);
    reply
}

async fn serve_call(
    node: &Arc<Node>,
    caller_ip: IpAddr,
    request_id: RequestId,
    req: Request<Incoming>,
) -> Result<(RootRequest, Reply), Reply> {
    let (method, path) = (req.method().as_str(), req.uri().path());
    let root = authorize(node, caller_ip, request_id, method, path, req.headers())?;
    let token = headers::text(req.headers(), TOKEN).map(str::parse::<ExecutionToken>);
    let key = headers::text(req.headers(), IDEMPOTENCY_KEY).map(str::to_owned);
    shed_early(node, &root, token.is_some())?;
    let (mut parts, incoming) = req.into_parts();
    let payload = Payload::read(&node.timers, incoming).await?;
    let deadline = node.now() + Duration::from_millis(root.kind.kind.deadline_ms.into());
    headers::strip_for_peer(&mut parts.headers);
    let target = target(&parts.uri);
    let caller = root.context.caller;
    let fingerprints =
        fingerprint::fingerprints_of(&parts.method, &target, &parts.headers, caller, &payload);
    let mut call = Call {
        in_force: Arc::clone(&root.in_force),
        kind: Arc::clone(&root.kind),
        context: CallContext {
            names: fingerprints,
            ..root.context.clone()
        },
        deadline,
        method: parts.method,
        target,
        headers: parts.headers,
        payload,
    };
    let reply = match (root.kind.at_most_once(), token, key) {
        (false, _, _) => forward::call(node, &mut call).await,
        (true, Some(Ok(token)), _) => {
            call.context.token = Some(token);
            forward::call(node, &mut call).await
        }
        (true, Some(Err(_)), _) => Reply::not_run(Refusal::TokenRejected),
        (true, None, Some(key)) => with_unknown_outcome(call_with_key(node, call, &key).await?),
        (true, None, None) => Reply::not_run(Refusal::TokenRequired),
    };
    Ok((root, reply))
}

/// Makes an at-most-once call with an idempotency key, which the store binds to a token.
///
/// If the token was refused before it ran, the key gets a new one, so that the caller can retry with the key. A delayed
/// copy could retry as well, so a refusal never says "not run".
async fn call_with_key(node: &Arc<Node>, mut call: Call, key: &str) -> Result<Reply, Reply> {
    let bound = tokens::bind(node, &call, key).await?;
    call.context.token = Some(bound.token);
    let reply = forward::call(node, &mut call).await;
    if reply.context.refusal != Some(Refusal::Tombstone) {
        return Ok(reply);
    }
    call.context.token = None;
    let bound = tokens::rebind(node, &call, key, bound.version).await?;
    call.context.token = Some(bound.token);
    Ok(forward::call(node, &mut call).await)
}

fn authorize(
    node: &Arc<Node>,
    caller_ip: IpAddr,
    request_id: RequestId,
    method: &str,
    path: &str,
    req_headers: &HeaderMap,
) -> Result<RootRequest, Reply> {
    let retry_after = || owner::retry_after(node);
    let in_force = node
        .in_force
        .load_full()
        .ok_or_else(|| Reply::not_run(Refusal::NoBundle).with_retry_after(retry_after()))?;
    if node.is_leaving() {
        return Err(Reply::not_run(Refusal::Leaving).with_retry_after(retry_after()));
    }
    let bundle = &in_force.bundle;
    let bearer = headers::text(req_headers, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "));
    let caller = bundle
        .match_caller(bearer, caller_ip)
        .ok_or_else(|| Reply::not_run(Refusal::UnknownCaller))?;
    let kind = bundle
        .match_kind(method, path)
        .filter(|kind| kind.kind.exposed)
        .ok_or_else(|| Reply::not_run(Refusal::UnknownKind))?;
    let allowed = &caller.caller.kinds;
    if !allowed.is_empty() && !allowed.contains(&kind.name) {
        return Err(Reply::not_run(Refusal::NotAllowed));
    }
    if !in_force.take_caller_rate(caller, node.now()) {
        return Err(Reply::not_run(Refusal::CallerRate).with_retry_after(retry_after()));
    }
    let trace = headers::text(req_headers, TRACEPARENT)
        .and_then(|value| value.parse::<TraceContext>().ok());
    let context = CallContext {
        request: request_id,
        trace: trace.map_or(request_id.0, |trace| trace.trace),
        parent: trace.map_or(SpanId::default(), |trace| trace.parent),
        kind: kind.name.clone(),
        service: kind.service.clone(),
        importance: kind.importance(),
        depth: 0,
        deadline_ms: kind.kind.deadline_ms,
        attempts: kind.kind.attempts,
        token: None,
        caller: caller.id,
        level: 0,
        refused_fraction: 0,
        repeat_share: RepeatShare::default(),
        names: RequestFingerprints::default(),
        work_times_reported: node.contention.work_times_reported(),
        root_precedence: Precedence::default(),
    };
    Ok(RootRequest {
        kind: Arc::clone(kind),
        caller: Arc::clone(caller),
        context,
        in_force: Arc::clone(&in_force),
    })
}

/// Refuses what a service further down the call tree would shed, except requests with a token, whose owner may already
/// have the outcome.
fn shed_early(node: &Node, root: &RootRequest, has_token: bool) -> Result<(), Reply> {
    let state = root.in_force.kind_state(&root.kind);
    let threshold = state.threshold.current(node.now());
    let priority = root.context.priority();
    if has_token || priority >= threshold {
        return Ok(());
    }
    node.events.record(
        &events::REFUSED,
        Some(root.context.request),
        vec![
            Field::new("kind", &root.kind.name),
            Field::new("caller", &root.caller.name),
            Field::new("reason", Refusal::Overload),
            Field::new("importance", root.context.importance),
            Field::new("priority", priority.0),
            Field::new("threshold", threshold.0),
        ],
    );
    Err(Reply::not_run(Refusal::Overload).with_retry_after(owner::retry_after(node)))
}

/// The path and query only: the kind of the request decides the host.
pub(crate) fn target(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|target| target.as_str().parse().ok())
        .unwrap_or_default()
}

async fn issue_token(
    node: &Arc<Node>,
    caller_ip: IpAddr,
    request_id: RequestId,
    req: Request<Incoming>,
) -> Result<(RootRequest, Reply), Reply> {
    let (parts, incoming) = req.into_parts();
    let malformed = || Reply::not_run(Refusal::Malformed);
    let Payload::Buffered(body) = Payload::read(&node.timers, incoming).await? else {
        return Err(malformed());
    };
    let token_request: TokenRequest = serde_json::from_slice(&body).map_err(|_| malformed())?;
    let path = token_request.path.split('?').next().unwrap_or_default();
    let root = authorize(
        node,
        caller_ip,
        request_id,
        &token_request.method,
        path,
        &parts.headers,
    )?;
    shed_early(node, &root, false)?;
    let deadline = node.now() + Duration::from_millis(root.kind.kind.deadline_ms.into());
    let call = Call {
        in_force: Arc::clone(&root.in_force),
        kind: Arc::clone(&root.kind),
        context: root.context.clone(),
        deadline,
        method: Method::POST,
        target: Uri::default(),
        headers: HeaderMap::new(),
        payload: Payload::Buffered(Bytes::new()),
    };
    let token = tokens::obtain(node, &call).await?;
    let ttl_s = node.settings.once.ttl_s;
    let text = serde_json::json!({ "token": token.to_string(), "usable_s": ttl_s });
    let mut res = Response::new(body::full(format!("{text}\n")));
    *res.status_mut() = StatusCode::CREATED;
    tokens::set_header(res.headers_mut(), &token);
    Ok((root, Reply::answered(Verdict::NotRun, res)))
}
