//! The entry in routed mode, for requests from callers on this VM and from this daemon's backend server.

use crate::{
    backend::state::Routed,
    config::in_force::{InForce, KindState},
    fleet::quota,
    net::serve::has_ambiguous_length,
    node::{ActiveRequest, BufferedBytes, MemoryDemand, Node, lock},
    operators::export,
    request::answer::Reply,
    request::body::{self, Body},
    request::entry::target,
    request::entry_queue::{self, Admission},
    request::fair_shares,
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
use sorrelturn_bundle::{KindEntry, RouteEntry, WorkspaceEntry};
use sorrelturn_policy::{
    EntryRequest, LevelInForce, Now, SHARE_STEPS, bucket_for_at_most_once, bucket_for_retry,
    refused_fraction, refuses,
};
use sorrelturn_protocol::{
    CallContext, CallerId, Precedence, Refusal, RepeatShare, RequestId, SpanId, Verdict,
};
use sorrelturn_telemetry::{Field, events, metrics};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The minimum time until a caller returns that was refused for lack of memory.
const MIN_RETRY_AFTER_WITHOUT_MEMORY: Duration = Duration::from_millis(500);

/// The demand of a workspace relative to its fair share, in steps of 1/256, up to which its requests may wait for room. If
/// a service has half of the room for the demand of equal workspaces, each is at twice its share.
const MAX_SHARE_USED_TO_WAIT: u16 = 2 * SHARE_STEPS;

/// When the connection of a request was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// Before the shutdown: normal admission.
    Accepting,
    /// During the shutdown: only nested calls of this daemon's backend server are admitted.
    Draining,
}

/// A request whose route and caller are known, before it is forwarded.
struct ResolvedRequest {
    in_force: Arc<InForce>,
    kind: Arc<KindEntry>,
    workspace: Option<Arc<WorkspaceEntry>>,
    request_id: RequestId,
    /// The shedding level, learned from the replies to requests of this kind. It covers everything that they call.
    level: u16,
    /// Whether this is a call of this daemon's backend server.
    is_nested_call: bool,
    /// The probability that a repeated request makes this call.
    repeat_share: RepeatShare,
    /// The remaining time that the caller sent.
    remaining_ms: Option<u32>,
    deadline: Now,
}

pub(crate) async fn serve(
    node: &Arc<Node>,
    req: Request<Incoming>,
    phase: ConnectionPhase,
) -> Response<Body> {
    let Some(routed) = &node.routed else {
        return crate::net::serve::status(StatusCode::NOT_FOUND);
    };
    let active_request = ActiveRequest::new(node);
    let arrived_at = node.now();
    let caller_request_id = req.headers().get(&routed.dialect.headers.request_id);
    let caller_request_id = caller_request_id.cloned();
    let request_id = parse_or_hash_id(caller_request_id.as_ref());
    let resolved = resolve(node, routed, &req, request_id, arrived_at, phase).await;
    let (importance, kind, version, reply) = match resolved {
        Ok(resolved) => {
            let (importance, kind) = (resolved.kind.importance(), Arc::clone(&resolved.kind));
            let version = resolved.in_force.bundle.version;
            let reply = forward_request(node, routed, resolved, req).await;
            (importance.name(), Some(kind), version, reply)
        }
        Err(reply) => ("none", None, node.bundle_version(), reply),
    };
    if let Some(refusal) = reply.context.refusal {
        export::count(
            node,
            &metrics::ENTRY_REFUSALS,
            &[("reason", refusal.name())],
        );
    }
    // Unknown credentials are recorded at most once per second, not once per request.
    if reply.context.refusal != Some(Refusal::UnknownCaller) {
        record_request_done(
            node,
            request_id,
            kind.as_deref(),
            version,
            arrived_at,
            &reply,
        );
    }
    export::record_request(
        node,
        importance,
        reply.context.verdict,
        node.now() - arrived_at,
    );
    into_response(routed, caller_request_id, reply, active_request)
}

/// Returns the id for events: the caller's id if it is a hexadecimal number, else its hash.
fn parse_or_hash_id(id: Option<&HeaderValue>) -> RequestId {
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    text.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(text.as_bytes());
        let mut number = [0; 16];
        number.copy_from_slice(&hash.as_bytes()[..16]);
        RequestId(u128::from_be_bytes(number))
    })
}

async fn resolve(
    node: &Arc<Node>,
    routed: &Routed,
    req: &Request<Incoming>,
    request_id: RequestId,
    arrived_at: Now,
    phase: ConnectionPhase,
) -> Result<ResolvedRequest, Reply> {
    let headers = req.headers();
    if has_ambiguous_length(req) || !headers.contains_key(&routed.dialect.headers.request_id) {
        return Err(Reply::not_run(Refusal::Malformed));
    }
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(req.uri().host()).unwrap_or_default();
    let host_and_path = (host, req.uri().path());
    let identified = loop {
        let identified =
            identity::identify(node, routed, headers, host_and_path, arrived_at).await?;
        if req.body().size_hint().lower() <= identified.in_force.bundle.limits().body_bytes {
            break identified;
        }
        identity::check_refusal(node, &identified.in_force, Refusal::TooLarge).await?;
    };
    let kind = draw_kind(&identified.route)?;
    let mut resolved = resolve_kind(
        node, routed, headers, identified, kind, request_id, arrived_at,
    );
    let state = resolved.in_force.kind_state(&resolved.kind);
    if let Some(shedding) = admit(node, routed, &mut resolved, &state, phase)? {
        let has_waited = shed(node, &mut resolved, &state, &shedding, arrived_at).await?;
        if has_waited {
            // Its route may be gone or lead to another service, or its credential may be revoked.
            let identified =
                identity::identify(node, routed, headers, host_and_path, arrived_at).await?;
            if identified.in_force.bundle.version != resolved.in_force.bundle.version {
                let kind = kind_after_wait(&identified.route, &resolved.kind)?;
                resolved = resolve_kind(
                    node, routed, headers, identified, kind, request_id, arrived_at,
                );
            }
        }
    }
    // The quota comes last, so that requests refused by load shedding don't count against it.
    if let Some(workspace) = &resolved.workspace {
        quota::consume(node, workspace, request_id).await?;
    }
    Ok(resolved)
}

/// Draws the kind of a request by the weights of its route.
fn draw_kind(route: &RouteEntry) -> Result<Arc<KindEntry>, Reply> {
    let kind = route.kind_at(fastrand::f64()).cloned();
    kind.ok_or_else(|| Reply::not_run(Refusal::UnknownKind))
}

/// Returns the kind of a request whose route may have changed while it waited. It stays with the service that it waited
/// for if the route still leads there, since a share that lacks room must not move to another.
fn kind_after_wait(route: &RouteEntry, before: &KindEntry) -> Result<Arc<KindEntry>, Reply> {
    let same_service = route.kinds().find(|kind| kind.service == before.service);
    match same_service {
        Some(kind) => Ok(Arc::clone(kind)),
        None => draw_kind(route),
    }
}

fn resolve_kind(
    node: &Node,
    routed: &Routed,
    headers: &HeaderMap,
    identified: Identified,
    kind: Arc<KindEntry>,
    request_id: RequestId,
    arrived_at: Now,
) -> ResolvedRequest {
    let Identified {
        in_force,
        workspace,
        ..
    } = identified;
    let remaining_ms = headers::text(headers, routed.dialect.headers.time_left_ms.as_str())
        .and_then(|text| text.trim().parse::<u32>().ok());
    let deadline_ms = remaining_ms.unwrap_or(u32::MAX).min(kind.kind.deadline_ms);
    let state = in_force.kind_state(&kind);
    ResolvedRequest {
        level: current_level(node, &kind, &state, node.now()),
        in_force,
        kind,
        request_id,
        repeat_share: RepeatShare::default(),
        is_nested_call: workspace.is_none() && state.is_call.load(Ordering::Relaxed),
        remaining_ms,
        deadline: arrived_at + Duration::from_millis(deadline_ms.into()),
        workspace,
    }
}

/// Returns the shedding level for a kind: the learned one, or that of the limits which backend servers name.
fn current_level(node: &Node, kind: &KindEntry, state: &KindState, now: Now) -> u16 {
    let limit_level = node.instances.load().limit_level(&kind.service, now);
    state.threshold.current(now).0.max(limit_level)
}

/// What the shedding level says about a root request, with the inputs.
struct Shedding {
    is_refused: bool,
    is_retry: bool,
    rank: usize,
    rank_count: usize,
    bucket: u8,
    /// The demand of the request's workspace relative to its fair share, in steps of 1/256, if the bucket follows from it.
    share_used: Option<u16>,
}

impl ResolvedRequest {
    /// Returns whether a call ends with its parent, not at the full time that calls of its kind have.
    fn inherits_deadline(&self) -> bool {
        self.remaining_ms
            .is_some_and(|remaining_ms| remaining_ms < self.kind.kind.deadline_ms)
    }
}

impl Shedding {
    /// Returns whether the request's workspace is far above its fair share. Room that others wait for isn't kept for it.
    fn is_far_over_share(&self) -> bool {
        self.share_used
            .is_some_and(|used| used > MAX_SHARE_USED_TO_WAIT)
    }
}

/// Refuses requests during the shutdown, and attributes nested calls to the requests that may have made them. Returns what
/// the shedding level says about the others; `None` for nested calls, which belong to requests in progress and are always
/// admitted.
fn admit(
    node: &Node,
    routed: &Routed,
    resolved: &mut ResolvedRequest,
    state: &KindState,
    phase: ConnectionPhase,
) -> Result<Option<Shedding>, Reply> {
    let demand = match resolved.is_nested_call {
        true => MemoryDemand::NestedCall,
        false => MemoryDemand::RootRequest,
    };
    if node.lacks_memory_for(demand) {
        let retry_after = owner::retry_after(node).max(MIN_RETRY_AFTER_WITHOUT_MEMORY);
        return Err(Reply::not_run(Refusal::OutOfMemory).with_retry_after(retry_after));
    }
    if resolved.is_nested_call {
        let candidates = node.parents.candidate_parents(resolved.deadline);
        let repeat_share = lock(&routed.graph).record_call(&resolved.kind.name, &candidates);
        resolved.repeat_share = RepeatShare::of_call(repeat_share);
        return Ok(None);
    }
    if phase == ConnectionPhase::Draining {
        return Err(Reply::not_run(Refusal::Leaving).with_retry_after(owner::retry_after(node)));
    }
    let is_retry = resolved
        .remaining_ms
        .is_some_and(|remaining_ms| lock(&state.retry_detector).observe(remaining_ms));
    let (rank, rank_count) = root_rank(resolved);
    let (bucket, share_used) = shedding_bucket(node, resolved, state, is_retry);
    Ok(Some(Shedding {
        is_refused: refuses(resolved.level, rank, rank_count, bucket),
        is_retry,
        rank,
        rank_count,
        bucket,
        share_used,
    }))
}

/// Refuses a root request that a service further down the call tree would shed, unless it may wait here for room.
/// Returns whether it has waited.
async fn shed(
    node: &Arc<Node>,
    resolved: &mut ResolvedRequest,
    state: &Arc<KindState>,
    shedding: &Shedding,
    arrived_at: Now,
) -> Result<bool, Reply> {
    let queues = node.contention.queues_at_entry(&resolved.in_force);
    let admission = if queues && !node.shutdown.has_begun() {
        wait_for_room(node, resolved, state, shedding, arrived_at).await
    } else if shedding.is_refused {
        Admission::Refused
    } else {
        Admission::LetIn
    };
    match admission {
        Admission::LetIn => Ok(false),
        Admission::LetInAfterWait => {
            resolved.level = current_level(node, &resolved.kind, state, node.now());
            Ok(true)
        }
        Admission::Refused => Err(refuse_overload(node, resolved, state, shedding)),
        Admission::Stopped => {
            Err(Reply::not_run(Refusal::Leaving).with_retry_after(owner::retry_after(node)))
        }
    }
}

async fn wait_for_room(
    node: &Arc<Node>,
    resolved: &ResolvedRequest,
    state: &Arc<KindState>,
    shedding: &Shedding,
    arrived_at: Now,
) -> Admission {
    let deadline = resolved.deadline;
    let target = resolved.kind.target;
    let request = EntryRequest {
        id: 0,
        rank: shedding.rank,
        is_refused: shedding.is_refused,
        is_retry: shedding.is_retry,
        may_wait: !shedding.is_far_over_share(),
        arrived_at,
        target: target.unwrap_or_else(|| deadline.saturating_sub(arrived_at)),
        deadline,
    };
    let level = LevelInForce {
        level: resolved.level,
        rank_count: shedding.rank_count,
        lowest_bucket: first_attempt_bucket(resolved, 0),
    };
    let arrival = entry_queue::Arrival {
        request_id: resolved.request_id,
        kind: &resolved.kind.name,
        level,
        request,
    };
    let (kind, kind_state) = (Arc::clone(&resolved.kind), Arc::clone(state));
    let level_now = move |node: &Node, now| current_level(node, &kind, &kind_state, now);
    entry_queue::admit(node, state, arrival, level_now).await
}

fn refuse_overload(
    node: &Node,
    resolved: &ResolvedRequest,
    state: &KindState,
    shedding: &Shedding,
) -> Reply {
    let mut fields = vec![
        Field::new("kind", &resolved.kind.name),
        Field::new("reason", Refusal::Overload.name()),
        Field::new("level", resolved.level),
        Field::new("rank", shedding.rank),
        Field::new("bucket", shedding.bucket),
        Field::new("was_tried", shedding.is_retry),
        Field::new("left_ms", resolved.remaining_ms.unwrap_or(0)),
    ];
    if let Some(share_used) = shedding.share_used {
        fields.push(Field::new("share_used", share_used));
    }
    if let Some(workspace) = &resolved.workspace {
        fair_shares::count_refusal(node, workspace, shedding.share_used);
    }
    node.events
        .record(&events::REFUSED, Some(resolved.request_id), fields);
    let retry_after =
        lock(&state.refusal_streak).record_refusal(node.now(), &mut fastrand::Rng::new());
    Reply::not_run(Refusal::Overload).with_retry_after(retry_after)
}

/// Returns the rank of a root request, and how many ranks there are. A workspace of higher importance raises the rank of
/// its requests.
fn root_rank(resolved: &ResolvedRequest) -> (usize, usize) {
    let in_force = &resolved.in_force;
    let (kind_rank, rank_count) = in_force.root_rank(resolved.kind.importance());
    let rank = kind_rank + in_force.rank_above_lowest(resolved.workspace.as_deref());
    (rank, rank_count)
}

/// Returns the bucket of a root request within its rank, and the demand of its workspace relative to the fair share that
/// the bucket follows from, if any.
fn shedding_bucket(
    node: &Node,
    resolved: &ResolvedRequest,
    state: &KindState,
    is_retry: bool,
) -> (u8, Option<u16>) {
    let mut bucket = first_attempt_bucket(resolved, resolved.request_id.shedding_bucket());
    if is_retry {
        let (rank, _) = root_rank(resolved);
        bucket = bucket_for_retry(bucket, rank);
    }
    let Some(fraction) = fraction_to_share(node, resolved) else {
        return (bucket, None);
    };
    let workspace = resolved.workspace.as_ref().map(|workspace| workspace.id);
    let (now, workspace) = (node.now(), workspace.unwrap_or_default());
    let shares = lock(&state.shares);
    let bucket = shares.bucket(now, workspace, fraction, bucket);
    (bucket, shares.share_used(now, workspace))
}

/// Returns the shedding bucket of a first attempt, given its bucket among all requests.
fn first_attempt_bucket(resolved: &ResolvedRequest, bucket: u8) -> u8 {
    let in_force = &resolved.in_force;
    match in_force.is_at_most_once_among_repeatable(&resolved.kind) {
        true => bucket_for_at_most_once(bucket),
        false => bucket,
    }
}

/// Returns the fraction of a root request's rank that is refused, if workspaces are refused by their fair shares.
fn fraction_to_share(node: &Node, resolved: &ResolvedRequest) -> Option<f64> {
    let shares_fairly = node.contention.shares_fairly(&resolved.in_force);
    if resolved.is_nested_call || resolved.workspace.is_none() || !shares_fairly {
        return None;
    }
    let (rank, rank_count) = root_rank(resolved);
    Some(refused_fraction(resolved.level, rank, rank_count))
}

async fn forward_request(
    node: &Arc<Node>,
    routed: &Routed,
    resolved: ResolvedRequest,
    req: Request<Incoming>,
) -> Reply {
    let let_in_at = node.now();
    let (mut parts, incoming) = req.into_parts();
    let read = Payload::read(&node.timers, incoming);
    let shutdown = async { Err(owner::refuse_at_shutdown(node).await) };
    let timeout = async {
        node.timers.at(resolved.deadline).await;
        Err(Reply::not_run(Refusal::Deadline).with_retry_after(owner::retry_after(node)))
    };
    let payload = match read.or(shutdown).or(timeout).await {
        Ok(payload) => payload,
        Err(refused) => return refused,
    };
    let _buffered = BufferedBytes::count(node, payload.buffered_len());
    prepare_headers(
        node,
        routed,
        resolved.workspace.as_deref(),
        &mut parts.headers,
    );
    let target = target(&parts.uri);
    let caller = resolved
        .workspace
        .as_ref()
        .map_or(CallerId::default(), |workspace| workspace.id);
    let fingerprints =
        fingerprint::fingerprints_of(&parts.method, &target, &parts.headers, caller, &payload);
    let level = match resolved.is_nested_call {
        true => node.parents.totals().mean_level(),
        false => resolved.level,
    };
    let refused_fraction = fraction_to_share(node, &resolved).map_or(0, fair_shares::to_steps);
    let context = CallContext {
        request: resolved.request_id,
        trace: resolved.request_id.0,
        parent: SpanId::default(),
        kind: resolved.kind.name.clone(),
        service: resolved.kind.service.clone(),
        importance: resolved.kind.importance(),
        depth: 0,
        deadline_ms: resolved.kind.kind.deadline_ms,
        attempts: resolved.kind.kind.attempts,
        token: None,
        caller,
        level,
        refused_fraction,
        repeat_share: resolved.repeat_share,
        names: fingerprints,
        work_times_reported: node.contention.work_times_reported(),
        root_precedence: root_precedence(node, &resolved),
    };
    let mut call = Call {
        in_force: resolved.in_force,
        kind: resolved.kind,
        context,
        deadline: resolved.deadline,
        method: parts.method,
        target,
        headers: parts.headers,
        payload,
    };
    let reply = forward::call(node, &mut call).await;
    let learns_duration = !resolved.is_nested_call && !has_failed(&reply);
    if learns_duration && node.contention.queues_at_entry(&call.in_force) {
        let state = call.in_force.kind_state(&call.kind);
        state.waiting.record_duration(node.now() - let_in_at);
    }
    // A refusal because of a shutdown isn't recorded: another instance may succeed, so the failure of the parent may be
    // retried.
    let is_shutdown = reply.context.refusal == Some(Refusal::Leaving);
    if resolved.is_nested_call && has_failed(&reply) && !is_shutdown {
        routed.last_nested_call_failure.set(node.now());
    }
    reply
}

/// Returns the precedence of the root request, if retries are ordered by it. A call has that of the requests in
/// progress that it may belong to.
fn root_precedence(node: &Node, resolved: &ResolvedRequest) -> Precedence {
    if !node.contention.orders_retries(&resolved.in_force) {
        return Precedence::default();
    }
    if resolved.is_nested_call {
        return match resolved.inherits_deadline() {
            true => node.parents.precedence_of_call(resolved.deadline),
            false => Precedence::default(),
        };
    }
    let workspace = resolved.workspace.as_deref();
    let importance = workspace.and_then(|workspace| workspace.importance);
    let importance = importance.unwrap_or_else(|| resolved.kind.importance());
    Precedence::new(importance, resolved.kind.at_most_once())
}

fn has_failed(reply: &Reply) -> bool {
    let res = reply.res.as_ref();
    res.is_none_or(|res| res.status().is_server_error())
}

fn prepare_headers(
    node: &Node,
    routed: &Routed,
    workspace: Option<&WorkspaceEntry>,
    headers: &mut HeaderMap,
) {
    headers::strip_hop_by_hop(headers);
    headers::strip_internal(headers);
    let header_names = &routed.dialect.headers;
    // The owner sets the remaining time anew, from the deadline in the context.
    headers.remove(&header_names.time_left_ms);
    // Credentials aren't forwarded, and callers must not set the workspace themselves.
    headers.remove(&header_names.credential);
    headers.remove(&header_names.workspace);
    if let Some(name) = workspace.and_then(|workspace| HeaderValue::from_str(&workspace.name).ok())
    {
        headers.insert(header_names.workspace.clone(), name);
    }
    if let Ok(service) = HeaderValue::from_str(&node.settings.service) {
        headers.insert(header_names.caller_service.clone(), service);
    }
}

fn record_request_done(
    node: &Node,
    request_id: RequestId,
    kind: Option<&KindEntry>,
    version: u64,
    arrived_at: Now,
    reply: &Reply,
) {
    let refusal = reply.context.refusal.map_or("none", Refusal::name);
    let status = reply.res.as_ref().map(|res| res.status().as_u16());
    let mut fields = vec![
        Field::new("kind", kind.map_or("none", |kind| &kind.name)),
        Field::new("service", kind.map_or("none", |kind| &kind.service)),
        Field::new("version", version),
        Field::new("status", status.unwrap_or(0)),
        Field::new("verdict", reply.context.verdict),
        Field::new("refusal", refusal),
        Field::new("took_ms", (node.now() - arrived_at).as_millis()),
    ];
    if reply.context.refusal.is_some_and(depends_on_table) {
        fields.extend(node.route_staleness.age_field(node.now()));
    }
    if reply.context.retry_after_ms > 0 {
        fields.push(Field::new("retry_after_ms", reply.context.retry_after_ms));
    }
    node.events
        .record(&events::REQUEST_DONE, Some(request_id), fields);
}

/// Whether another version of the route table might have admitted a request that was refused.
fn depends_on_table(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::UnknownKind
            | Refusal::UnknownCaller
            | Refusal::TooLarge
            | Refusal::UnusableEntry
            | Refusal::StaleKnowledge
    )
}

/// The status of a refusal depends on whether the request may have run.
fn into_response(
    routed: &Routed,
    caller_request_id: Option<HeaderValue>,
    reply: Reply,
    active_request: ActiveRequest,
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
            insert_id(
                res.headers_mut(),
                &routed.dialect.headers.request_id,
                caller_request_id,
            );
            res
        }
    };
    res.map(|body| body::with_end_callback(body, move |_| drop(active_request)))
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
