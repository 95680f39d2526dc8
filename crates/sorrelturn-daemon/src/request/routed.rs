//! The entry for requests whose kind is told by host and path prefix: those of callers on this VM
//! and those of the own backend server.

use crate::{
    backend::state::Routed,
    config::in_force::{InForce, KindState},
    fleet::quota,
    net::serve::has_ambiguous_length,
    node::{Carried, Node, lock},
    operators::export,
    request::answer::Reply,
    request::body::{self, Body},
    request::entry::target,
    request::fingerprint,
    request::forward::{self, Call},
    request::headers,
    request::identity::{self, Identified},
    request::owner,
    request::payload::Payload,
};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{HOST, HeaderName, HeaderValue, RETRY_AFTER},
};
use smol::future::FutureExt;
use sorrelturn_bundle::{KindEntry, WorkspaceEntry};
use sorrelturn_policy::{Now, bucket_for_at_most_once, bucket_for_retry, refuses};
use sorrelturn_protocol::{CallContext, CallerId, Refusal, RequestId, SpanId, Verdict};
use sorrelturn_telemetry::{Field, events, metrics};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// When the connection of a request was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrives {
    /// While the daemon takes callers' requests.
    BeforeEnd,
    /// While connections of callers end, since the daemon stops: only calls of the own backend server are
    /// taken. Callers were told by the readiness and by the end of their open connections.
    WhileEnding,
}

/// A request before it is forwarded.
struct Asked {
    in_force: Arc<InForce>,
    kind: Arc<KindEntry>,
    /// In whose name it comes, where a credential stands behind it.
    workspace: Option<Arc<WorkspaceEntry>>,
    request: RequestId,
    /// The level of load that was learnt from all who answer requests of this kind, with all that
    /// they call.
    level: u16,
    /// Whether it is a call of the own backend server.
    is_call: bool,
    /// What the caller says that it will still wait.
    left_ms: Option<u32>,
    deadline: Now,
}

/// Answers one request.
pub(crate) async fn serve(
    node: &Arc<Node>,
    req: Request<Incoming>,
    arrives: Arrives,
) -> Response<Body> {
    let Some(routed) = &node.routed else {
        return crate::net::serve::status(StatusCode::NOT_FOUND);
    };
    let carried = Carried::new(node);
    let arrived = node.now();
    let id = req.headers().get(&routed.dialect.headers.request_id);
    let id = id.cloned();
    let request = request_id(id.as_ref());
    let asked = ask(node, routed, &req, request, arrived, arrives).await;
    let (importance, kind, reply) = match asked {
        Ok(asked) => {
            let (importance, kind) = (asked.kind.importance(), Arc::clone(&asked.kind));
            let reply = carry(node, routed, asked, req).await;
            (importance.name(), Some(kind), reply)
        }
        Err(reply) => ("none", None, reply),
    };
    if let Some(refusal) = reply.context.refusal {
        export::count(
            node,
            &metrics::ENTRY_REFUSALS,
            &[("reason", refusal.name())],
        );
    }
    // Whoever sends unknown credentials gets no line each; one a second tells of them.
    if reply.context.refusal != Some(Refusal::UnknownCaller) {
        note(node, request, kind.as_deref(), arrived, &reply);
    }
    export::request_done(
        node,
        importance,
        reply.context.verdict,
        node.now() - arrived,
    );
    into_response(routed, id, reply, carried)
}

/// The id for events: what the caller sent where it is a number in hexadecimal, else its hash.
fn request_id(id: Option<&HeaderValue>) -> RequestId {
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    text.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(text.as_bytes());
        let mut number = [0; 16];
        number.copy_from_slice(&hash.as_bytes()[..16]);
        RequestId(u128::from_be_bytes(number))
    })
}

/// Finds what the request asks for.
async fn ask(
    node: &Arc<Node>,
    routed: &Routed,
    req: &Request<Incoming>,
    request: RequestId,
    arrived: Now,
    arrives: Arrives,
) -> Result<Asked, Reply> {
    let headers = req.headers();
    if has_ambiguous_length(req) || !headers.contains_key(&routed.dialect.headers.request_id) {
        return Err(Reply::not_run(Refusal::Malformed));
    }
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(req.uri().host()).unwrap_or_default();
    let place = (host, req.uri().path());
    let identified = identity::identify(node, routed, headers, place, arrived).await?;
    let Identified {
        in_force,
        route,
        workspace,
    } = identified;
    let kind = route
        .kind_at(fastrand::f64())
        .map(Arc::clone)
        .ok_or_else(|| Reply::not_run(Refusal::UnknownKind))?;
    let body_bytes = req.body().size_hint().lower();
    if body_bytes > in_force.bundle.limits().body_bytes {
        return Err(Reply::not_run(Refusal::TooLarge));
    }
    let left_ms = headers::text(headers, routed.dialect.headers.time_left_ms.as_str())
        .and_then(|text| text.trim().parse::<u32>().ok());
    let wait_ms = left_ms.unwrap_or(u32::MAX).min(kind.kind.deadline_ms);
    let state = in_force.kind_state(&kind);
    let asked = Asked {
        level: state.threshold.current(node.now()).0,
        in_force,
        kind,
        request,
        is_call: workspace.is_none() && state.is_call.load(Ordering::Relaxed),
        left_ms,
        deadline: arrived + Duration::from_millis(wait_ms.into()),
        workspace,
    };
    admit(node, routed, &asked, &state, arrives)?;
    // Only what runs counts against a quota, so it is taken last: else a workspace that presses would pay for what is
    // refused for lack of room as well, and get next to nothing.
    if let Some(workspace) = &asked.workspace {
        quota::take(node, workspace, request).await?;
    }
    Ok(asked)
}

/// Refuses here what would be refused deeper after work was done for it. A call of the own backend
/// server holds such work already and is let through.
fn admit(
    node: &Node,
    routed: &Routed,
    asked: &Asked,
    state: &KindState,
    arrives: Arrives,
) -> Result<(), Reply> {
    if asked.is_call {
        let groups = node.parents.may_call_until(asked.deadline);
        lock(&routed.graph).record_call(&asked.kind.name, &groups);
        return Ok(());
    }
    if arrives == Arrives::WhileEnding {
        return Err(Reply::not_run(Refusal::Leaving).come_back(owner::come_back(node)));
    }
    let was_tried = asked
        .left_ms
        .is_some_and(|left_ms| lock(&state.retry_detector).observe(left_ms));
    let (rank_of_kind, ranks) = asked.in_force.root_rank(asked.kind.importance());
    // A workspace that matters more goes before what its requests' kinds say among the others.
    let rank = rank_of_kind + asked.in_force.rank_above_lowest(asked.workspace.as_deref());
    let mut bucket = asked.request.shedding_bucket();
    if asked.in_force.is_once_among_repeatable(&asked.kind) {
        bucket = bucket_for_at_most_once(bucket);
    }
    if was_tried {
        bucket = bucket_for_retry(bucket, rank);
    }
    if !refuses(asked.level, rank, ranks, bucket) {
        return Ok(());
    }
    node.events.record(
        &events::REFUSED,
        Some(asked.request),
        vec![
            Field::new("kind", &asked.kind.name),
            Field::new("reason", Refusal::Overload.name()),
            Field::new("level", asked.level),
            Field::new("rank", rank),
            Field::new("bucket", bucket),
            Field::new("was_tried", was_tried),
        ],
    );
    let come_back =
        lock(&state.refusal_streak).record_refusal(node.now(), &mut fastrand::Rng::new());
    Err(Reply::not_run(Refusal::Overload).come_back(come_back))
}

async fn carry(node: &Arc<Node>, routed: &Routed, asked: Asked, req: Request<Incoming>) -> Reply {
    let (mut parts, incoming) = req.into_parts();
    let read = Payload::read(&node.timers, incoming);
    let ends = async { Err(owner::refused_at_the_end(node).await) };
    let payload = match read.or(ends).await {
        Ok(payload) => payload,
        Err(refused) => return refused,
    };
    prepare_headers(node, routed, asked.workspace.as_deref(), &mut parts.headers);
    let target = target(&parts.uri);
    let caller = asked
        .workspace
        .as_ref()
        .map_or(CallerId::default(), |workspace| workspace.id);
    let names = fingerprint::names_of(&parts.method, &target, &parts.headers, caller, &payload);
    let worked_on = node.parents.sums();
    let (level, for_repeat) = match asked.is_call {
        true => (worked_on.mean_level(), worked_on.repeated_fraction()),
        false => (asked.level, 0.0),
    };
    let context = CallContext {
        request: asked.request,
        trace: asked.request.0,
        parent: SpanId::default(),
        kind: asked.kind.name.clone(),
        service: asked.kind.service.clone(),
        importance: asked.kind.importance(),
        depth: 0,
        deadline_ms: asked.kind.kind.deadline_ms,
        attempts: asked.kind.kind.attempts,
        token: None,
        caller,
        level,
        repeated: for_repeat > 0.5,
        names,
    };
    let mut call = Call {
        in_force: asked.in_force,
        kind: asked.kind,
        context,
        deadline: asked.deadline,
        method: parts.method,
        target,
        headers: parts.headers,
        payload,
        for_repeat,
    };
    let reply = forward::call(node, &mut call).await;
    // Where this daemon ends, another instance may do better: its backend server's failure may be retried.
    let ends_here = reply.context.refusal == Some(Refusal::Leaving);
    if asked.is_call && has_failed(&reply) && !ends_here {
        routed.call_failed.set(node.now());
    }
    reply
}

fn has_failed(reply: &Reply) -> bool {
    let res = reply.res.as_ref();
    res.is_none_or(|res| res.status().is_server_error())
}

/// What a request keeps on its way, and where it began.
fn prepare_headers(
    node: &Node,
    routed: &Routed,
    workspace: Option<&WorkspaceEntry>,
    headers: &mut HeaderMap,
) {
    headers::strip_hop_by_hop(headers);
    headers::strip_internal(headers);
    let names = &routed.dialect.headers;
    // The owner tells what is left by then; the context carries it there.
    headers.remove(&names.time_left_ms);
    // A credential goes no further, and in whose name a request comes is not for its caller to say.
    headers.remove(&names.credential);
    headers.remove(&names.workspace);
    if let Some(name) = workspace.and_then(|workspace| HeaderValue::from_str(&workspace.name).ok())
    {
        headers.insert(names.workspace.clone(), name);
    }
    if let Ok(service) = HeaderValue::from_str(&node.settings.service) {
        headers.insert(names.caller_service.clone(), service);
    }
}

/// One line for each request that began here.
fn note(node: &Node, request: RequestId, kind: Option<&KindEntry>, arrived: Now, reply: &Reply) {
    let refusal = reply.context.refusal.map_or("none", Refusal::name);
    let answered = reply.res.as_ref().map(|res| res.status().as_u16());
    let mut fields = vec![
        Field::new("kind", kind.map_or("none", |kind| &kind.name)),
        Field::new("service", kind.map_or("none", |kind| &kind.service)),
        Field::new("status", answered.unwrap_or(0)),
        Field::new("verdict", reply.context.verdict),
        Field::new("refusal", refusal),
        Field::new("took_ms", (node.now() - arrived).as_millis()),
    ];
    if reply.context.retry_after_ms > 0 {
        fields.push(Field::new("retry_after_ms", reply.context.retry_after_ms));
    }
    node.events
        .record(&events::REQUEST_DONE, Some(request), fields);
}

/// The answer to whoever asked. A refusal is a promise only if nothing ran.
fn into_response(
    routed: &Routed,
    id: Option<HeaderValue>,
    reply: Reply,
    carried: Carried,
) -> Response<Body> {
    let context = reply.context;
    let res = match reply.res {
        Some(res) => {
            let mut res = *res;
            headers::strip_hop_by_hop(res.headers_mut());
            res
        }
        None => {
            let refusal = context.refusal.unwrap_or(Refusal::BackendBroke);
            let mut res = Response::new(body::full(format!("{refusal}\n")));
            *res.status_mut() = refusal_status(refusal, context.verdict);
            if context.retry_after_ms > 0 {
                insert_retry_after(res.headers_mut(), context.retry_after_ms);
            }
            insert_id(res.headers_mut(), &routed.dialect.headers.request_id, id);
            res
        }
    };
    res.map(|body| body::watched(body, move |_| drop(carried)))
}

fn refusal_status(refusal: Refusal, verdict: Verdict) -> StatusCode {
    match (refusal, verdict) {
        (Refusal::Malformed, _) => StatusCode::BAD_REQUEST,
        (Refusal::UnknownCaller, _) => StatusCode::UNAUTHORIZED,
        (Refusal::QuotaUsedUp, _) => StatusCode::TOO_MANY_REQUESTS,
        (Refusal::UnknownKind, _) => StatusCode::NOT_FOUND,
        (Refusal::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Refusal::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn insert_retry_after(headers: &mut HeaderMap, after_ms: u32) {
    let seconds = format!("{}.{:03}", after_ms / 1000, after_ms % 1000);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        headers.insert(RETRY_AFTER, seconds);
    }
}

fn insert_id(headers: &mut HeaderMap, name: &HeaderName, id: Option<HeaderValue>) {
    if let Some(id) = id {
        headers.insert(name.clone(), id);
    }
}
