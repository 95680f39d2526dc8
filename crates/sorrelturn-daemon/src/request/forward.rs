//! The forwarder's side of a call: chooses an instance, sends the call and decides on retries.

use crate::{
    clock::unix_ns,
    config::fetch,
    config::in_force::{InForce, KindState},
    config::route_staleness,
    fleet::instance_table::KnownInstance,
    fleet::next_incarnation,
    node::{Node, lock},
    operators::export,
    request::answer::Reply,
    request::body::Body,
    request::exchange::{Failure, exchange, instance_report},
    request::fair_shares,
    request::owner,
    request::payload::Payload,
    request::tokens,
};
use hyper::{HeaderMap, Method, Request, Uri};
use sorrelturn_bundle::KindEntry;
use sorrelturn_fleet::Source;
use sorrelturn_policy::{
    Attempt, CRASHES_TO_QUARANTINE, InstanceReport, Now, Step, choose, first_attempt_share,
    next_step, step_after_backend_refusal,
};
use sorrelturn_protocol::{
    AnswerContext, CallContext, ContentionReport, Incarnation, Priority, Refusal, RepeatShare,
    RequestId, SpanId, Verdict,
};
use sorrelturn_telemetry::{Field, Span, SpanKind, events, metrics};
use std::{borrow::Cow, sync::Arc, time::Duration};

/// The minimum time before the deadline for a retry to be worthwhile.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(5);
/// The expected duration of a call whose kind has no latency target.
const DEFAULT_EXPECTED_DURATION: Duration = Duration::from_secs(1);
/// The shortest pause of an instance as a fraction of the one that it asked for. Pauses are longer or shorter at random,
/// or all callers would return at once.
const MIN_PAUSE_JITTER: f64 = 0.75;
/// How often a token is sent to its owner again after an interrupted exchange.
const MAX_OUTCOME_QUERIES: u32 = 2;

pub(crate) struct Call {
    pub(crate) in_force: Arc<InForce>,
    pub(crate) kind: Arc<KindEntry>,
    /// `attempts` is the number of executions that the call may use, `parent` the span that makes it.
    pub(crate) context: CallContext,
    pub(crate) deadline: Now,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
}

/// The progress of one call over all its attempts.
struct CallProgress {
    /// The executions that the whole call may use.
    total_attempts: u32,
    attempts_left: u32,
    verdict: Verdict,
    tried: Vec<Incarnation>,
    reroutes: u32,
    /// Attempts that a backend server refused.
    backend_refusals: u32,
    /// The instance of the last such refusal; the next attempt goes to another one.
    last_refused_by: Option<Incarnation>,
    outcome_queries: u32,
    /// Backend servers that crashed while they ran the call.
    crashes: usize,
}

/// Forwards a call, with retries.
pub(crate) async fn call(node: &Arc<Node>, call: &mut Call) -> Reply {
    if stops_before_answer(node, call) {
        let refused = Reply::not_run(Refusal::Leaving).with_retry_after(owner::retry_after(node));
        return owner::refund_attempts(refused, call.context.attempts);
    }
    if let Some(remaining_quarantine) = remaining_quarantine(node, call) {
        let refused = Reply::not_run(Refusal::Quarantined).with_retry_after(remaining_quarantine);
        return owner::refund_attempts(refused, call.context.attempts);
    }
    let kind_state = call.in_force.kind_state(&call.kind);
    let span = SpanId::random(&mut fastrand::Rng::new());
    let total_attempts = call.context.attempts;
    let parent_span = std::mem::replace(&mut call.context.parent, span);
    let start_unix_ns = unix_ns();
    let mut progress = CallProgress {
        total_attempts,
        attempts_left: total_attempts,
        verdict: Verdict::NotRun,
        tried: Vec::new(),
        reroutes: 0,
        backend_refusals: 0,
        last_refused_by: None,
        outcome_queries: 0,
        crashes: 0,
    };
    let repeat_share = call.context.repeat_share.probability();
    lock(&kind_state.retries).record_call_of_repeat(node.now(), repeat_share);
    let mut reply = loop {
        let Some(reply) = send_attempt(node, call, &mut progress, &kind_state).await else {
            break no_instance_reply(node, call).await;
        };
        progress.verdict = progress.verdict.combine(reply.context.verdict);
        if !should_retry(node, call, &mut progress, &kind_state, &reply) {
            break reply;
        }
    };
    reply.context.verdict = reply.context.verdict.combine(progress.verdict);
    reply.context.attempts_left = progress.attempts_left;
    call.context.attempts = progress.attempts_left;
    let span = std::mem::replace(&mut call.context.parent, parent_span);
    if node.spans.is_enabled() {
        node.spans
            .add(call_span(call, span, parent_span, start_unix_ns, &reply));
    }
    reply
}

/// Whether this daemon will probably stop before the reply: such a call is refused while it has not run, not cancelled
/// halfway. Calls with a token are exempt, since only the owner knows whether the token has run.
fn stops_before_answer(node: &Node, call: &Call) -> bool {
    let expected_duration = call.kind.target.unwrap_or(DEFAULT_EXPECTED_DURATION);
    let expected_end = call.deadline.min(node.now() + expected_duration);
    call.context.token.is_none() && node.shutdown.cap_deadline(expected_end) < expected_end
}

/// The remaining quarantine of a request that crashes backend servers. Calls with a token are exempt, since only the
/// owner knows whether the token has run.
fn remaining_quarantine(node: &Node, call: &Call) -> Option<Duration> {
    if call.context.token.is_some() {
        return None;
    }
    let remaining = node
        .suspected_requests
        .remaining_quarantine(node.now(), call.context.names)?;
    node.events.record(
        &events::REFUSED,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("reason", Refusal::Quarantined.name()),
            Field::new("fingerprint", call.context.names.path),
            Field::new("held_for_ms", remaining.as_millis()),
        ],
    );
    Some(remaining)
}

/// Returns `None` if no instance is left or the body is used up.
async fn send_attempt(
    node: &Arc<Node>,
    call: &mut Call,
    progress: &mut CallProgress,
    kind_state: &KindState,
) -> Option<Reply> {
    let route = pick_route(node, call, progress)?;
    let req = build_request(node, call, progress)?;
    let attempts = call.context.attempts;
    let sent_at = node.now();
    let in_flight = InFlightCall::start(node, &route, call, kind_state);
    let result = exchange(node, &route, call, req).await;
    if matches!(result, Err(Failure::DeadlineExceeded)) {
        kind_state.threshold.observe_no_response(node.now());
    }
    let was_unresponsive = matches!(result, Err(Failure::NeverArrived | Failure::AnswerLost));
    if in_flight.finish(instance_report(&result)) {
        route.link.drop_idle();
        node.record_event(
            &events::EJECTED,
            vec![Field::new("member", &route.record.instance)],
        );
    }
    let reply = match result {
        Ok(reply) => reply,
        Err(failure) => failure.reply(&call.context),
    };
    apply_answer_context(node, call, &route, kind_state, sent_at, &reply.context);
    if call.context.depth == 0 && is_success(&reply) {
        call.in_force.caller_succeeded(call.context.caller);
    }
    // After an interrupted exchange, the reply may be the outcome of an earlier attempt that used the executions.
    if progress.outcome_queries == 0 {
        progress.attempts_left += reply.context.attempts_left.min(attempts);
    }
    if was_unresponsive {
        // The instance refuses this attempt id from now on, but accepts another one.
        call.context.parent = SpanId::random(&mut fastrand::Rng::new());
    } else if is_routed_backend_refusal(node, &reply) {
        // The daemon had a free slot, so the instance may accept a later attempt.
        progress.backend_refusals += 1;
        progress.last_refused_by = Some(route.record.incarnation);
    } else if call.context.token.is_none() {
        progress.tried.push(route.record.incarnation);
    }
    node.events.record(
        &events::HOP_FORWARDED,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("depth", call.context.depth),
            Field::new("repeat_percent", call.context.repeat_share.percent()),
            Field::new("to", &route.record.instance),
            Field::new("verdict", reply.context.verdict),
            Field::new(
                "refusal",
                reply.context.refusal.map_or("none", Refusal::name),
            ),
            Field::new("attempts", attempts),
            Field::new("attempts_back", reply.context.attempts_left),
        ],
    );
    Some(reply)
}

/// Counts a call as in flight at its instance. Dropping it before `finish` reports the call as cancelled.
struct InFlightCall<'a> {
    node: &'a Node,
    route: &'a KnownInstance,
    kind_state: &'a KindState,
    request: RequestId,
    /// Halfway between the start of the attempt and the deadline.
    halfway_at: Now,
    is_finished: bool,
}

impl<'a> InFlightCall<'a> {
    fn start(
        node: &'a Node,
        route: &'a KnownInstance,
        call: &Call,
        kind_state: &'a KindState,
    ) -> Self {
        route.stats.started();
        let now = node.now();
        Self {
            node,
            route,
            kind_state,
            request: call.context.request,
            halfway_at: now + call.deadline.saturating_sub(now) / 2,
            is_finished: false,
        }
    }

    /// Returns whether the result ejects the instance.
    fn finish(mut self, report: InstanceReport) -> bool {
        self.is_finished = true;
        self.route.stats.finished(self.node.now(), report)
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let now = self.node.now();
        self.route.stats.finished(now, InstanceReport::Cancelled);
        if now >= self.halfway_at {
            // A caller that cancels this late has probably reached its own timeout.
            self.kind_state.threshold.observe_no_response(now);
        }
        self.node.events.record(
            &events::CANCELLED,
            Some(self.request),
            vec![Field::new("to", &self.route.record.instance)],
        );
    }
}

/// A call with a token goes only to its owner, any other to the better of two instances.
fn pick_route(node: &Node, call: &Call, progress: &CallProgress) -> Option<Arc<KnownInstance>> {
    let routes = node.instances.load();
    if let Some(token) = call.context.token {
        return routes.by_incarnation(token.owner).cloned();
    }
    let instances = routes.live_of_service(&call.kind.service);
    let stats = instances.iter().map(|route| &*route.stats);
    let mut rng = fastrand::Rng::new();
    let now = node.now();
    let mut excluded = Cow::Borrowed(&progress.tried);
    if let Some(incarnation) = progress.last_refused_by {
        excluded.to_mut().push(incarnation);
    }
    choose(stats, now, &excluded, &mut rng).map(|index| Arc::clone(&instances[index]))
}

/// In routed mode, a backend server's refusal despite a free slot uses up retry budget. Always false outside it.
fn is_routed_backend_refusal(node: &Node, reply: &Reply) -> bool {
    node.routed.is_some() && reply.context.refusal == Some(Refusal::BackendRefused)
}

fn build_request(
    node: &Node,
    call: &mut Call,
    progress: &mut CallProgress,
) -> Option<Request<Body>> {
    let body = call.payload.take()?;
    let deadline = node.shutdown.cap_deadline(call.deadline);
    let remaining = deadline.saturating_sub(node.now());
    call.context.deadline_ms = remaining.as_millis().min(u128::from(u32::MAX)) as u32;
    call.context.attempts = execution_budget(call, progress);
    progress.attempts_left = progress.attempts_left.saturating_sub(call.context.attempts);
    let mut req = Request::new(body);
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.target.clone();
    *req.headers_mut() = call.headers.clone();
    Some(req)
}

/// A token runs only once however often it is sent, so each attempt may use all executions.
fn execution_budget(call: &Call, progress: &CallProgress) -> u32 {
    match call.context.token {
        Some(_) => progress.total_attempts,
        None => first_attempt_share(progress.attempts_left, call.kind.min_executions),
    }
}

/// Applies the metadata of a reply. One of another incarnation than the one addressed only triggers a query for the new
/// one.
fn apply_answer_context(
    node: &Arc<Node>,
    call: &Call,
    route: &Arc<KnownInstance>,
    kind_state: &KindState,
    sent_at: Now,
    answer: &AnswerContext,
) {
    if answer.incarnation != route.record.incarnation {
        if answer.incarnation != Incarnation::default() {
            next_incarnation::query_new_incarnation(node, route);
        }
        return;
    }
    if let Some(report) = &answer.contention {
        apply_contention_report(node, route, report);
        fair_shares::record_share(node.now(), kind_state, &call.context, report.share_used);
    }
    if answer.refusal == Some(Refusal::NoInstanceBelow) {
        kind_state.record_no_instance_below(node.now());
    }
    if answer.refuses_repeats {
        kind_state.record_repeats_refused(node.now());
    }
    if answer.refusal.is_none_or(Refusal::indicates_service_load) {
        let level = level_of_answer(node, &call.kind.service, answer);
        kind_state.threshold.observe(node.now(), level);
    }
    route
        .stats
        .record_limit_level(node.now(), answer.limit_level);
    if answer.pause_ms > 0 {
        let jitter = MIN_PAUSE_JITTER + fastrand::f64() * (1.0 - MIN_PAUSE_JITTER) * 2.0;
        let pause = Duration::from_millis(answer.pause_ms.into()).mul_f64(jitter);
        route.stats.pause(node.now(), pause);
    }
    call.in_force.record_kind_answer(kind_state, answer.is_call);
    fetch::fetch_if_newer(
        node,
        answer.bundle_version,
        Source::Peer(route.record.instance.clone()),
    );
    route_staleness::confirm_from_peer(
        node,
        sent_at,
        answer.bundle_version,
        answer.knowledge_age_ms,
    );
}

fn apply_contention_report(node: &Node, route: &KnownInstance, report: &ContentionReport) {
    route.stats.record_expected(node.now(), report.expected_ms);
    if report.work_times_reported {
        node.record_work_times_reported();
    }
    if node.contention.pools_room() {
        route.stats.record_room(node.now(), report.room);
    }
}

/// Returns the level by which an answer tells to refuse root requests: with pooled room, that of the whole service.
fn level_of_answer(node: &Node, service: &str, answer: &AnswerContext) -> Priority {
    let report = answer.contention.as_ref();
    // An owner that doesn't know its room, or whose mechanism is off, still announces its level.
    let report = report.filter(|report| report.room.capacity > 0 && node.contention.pools_room());
    report.map_or(answer.threshold, |report| {
        let instances = node.instances.load();
        instances.level_of_answer(service, node.now(), answer.threshold, report)
    })
}

fn should_retry(
    node: &Node,
    call: &mut Call,
    progress: &mut CallProgress,
    kind_state: &KindState,
    reply: &Reply,
) -> bool {
    let deadline = node.shutdown.cap_deadline(call.deadline);
    let remaining = deadline.saturating_sub(node.now());
    let has_time_left = remaining >= MIN_TIME_FOR_RETRY;
    if call.context.token.is_some() {
        return should_query_owner_again(progress, reply)
            && has_time_left
            && call.payload.can_be_sent();
    }
    if is_success(reply) || !call.payload.can_be_sent() {
        return false;
    }
    let attempt = Attempt {
        verdict: reply.context.verdict,
        refusal: reply.context.refusal,
        already_retried: reply.context.already_retried,
        repeatable: !call.kind.at_most_once(),
        reroutes: progress.reroutes,
        attempts_left: progress.attempts_left,
        attempts_needed: call.kind.min_executions,
        has_time_left,
    };
    progress.crashes += usize::from(reply.context.refusal == Some(Refusal::BackendCrashed));
    // Two attempts may crash backend servers before the first crash report has reached all daemons.
    let crashes_backends =
        progress.crashes >= CRASHES_TO_QUARANTINE || remaining_quarantine(node, call).is_some();
    let is_backend_refusal = !crashes_backends && is_routed_backend_refusal(node, reply);
    let step = if crashes_backends {
        Step::Answer
    } else if is_backend_refusal {
        step_after_backend_refusal(progress.backend_refusals, has_time_left)
    } else {
        next_step(&attempt)
    };
    let is_repeat = step == Step::Retry || (step == Step::Reroute && is_backend_refusal);
    let is_affordable = !is_repeat
        || (!kind_state.repeats_refused_recently(node.now())
            && take_retry_budget(node, call, kind_state));
    let event_kind = match step {
        Step::Reroute if is_affordable => &events::REROUTED,
        Step::Retry if is_affordable => &events::RETRIED,
        _ => &events::NOT_RETRIED,
    };
    node.events.record(
        event_kind,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("depth", call.context.depth),
            Field::new("verdict", reply.context.verdict),
            Field::new("already_retried", reply.context.already_retried),
            Field::new("attempts_left", progress.attempts_left),
            Field::new("paid", is_repeat && is_affordable),
        ],
    );
    match step {
        Step::Reroute if is_affordable => progress.reroutes += 1,
        Step::Retry if is_affordable => {
            export::count(node, &metrics::RETRIES, &[("kind", &call.kind.name)]);
        }
        _ => return false,
    }
    if is_repeat {
        call.context.repeat_share = RepeatShare::CERTAIN;
    }
    true
}

/// Takes one retry from the budget of the kind and, at the entry, of the caller; false if either is used up.
fn take_retry_budget(node: &Node, call: &Call, kind_state: &KindState) -> bool {
    let is_root = call.context.depth == 0;
    let is_within_caller_budget = !is_root || call.in_force.take_caller_retry(call.context.caller);
    if !is_within_caller_budget {
        return false;
    }
    let mut retries = lock(&kind_state.retries);
    if node.contention.orders_retries(&call.in_force) {
        retries.try_retry_of(node.now(), call.context.root_precedence)
    } else {
        retries.try_retry(node.now())
    }
}

/// A repeat returns the outcome of the first execution, since the owner runs a token only once.
fn should_query_owner_again(progress: &mut CallProgress, reply: &Reply) -> bool {
    let is_interrupted = reply.context.refusal == Some(Refusal::PeerBroke);
    progress.outcome_queries += u32::from(is_interrupted);
    is_interrupted && progress.outcome_queries <= MAX_OUTCOME_QUERIES
}

/// Whether the backend server answered with a status other than 5xx.
fn is_success(reply: &Reply) -> bool {
    reply
        .res
        .as_ref()
        .is_some_and(|res| !res.status().is_server_error())
}

async fn no_instance_reply(node: &Arc<Node>, call: &Call) -> Reply {
    match call.context.token {
        Some(token) => tokens::reply_for_lost_owner(node, &token).await,
        None => Reply::not_run(Refusal::NoInstance).with_retry_after(owner::retry_after(node)),
    }
}

fn call_span(
    call: &Call,
    span: SpanId,
    parent_span: SpanId,
    start_unix_ns: u64,
    reply: &Reply,
) -> Span {
    let is_root = call.context.depth == 0;
    Span {
        trace: call.context.trace,
        id: span,
        parent: (parent_span != SpanId::default()).then_some(parent_span),
        name: call.kind.name.clone(),
        kind: if is_root {
            SpanKind::Server
        } else {
            SpanKind::Client
        },
        start_ns: start_unix_ns,
        end_ns: unix_ns(),
        failed: !is_success(reply),
        attributes: vec![
            Field::new("sorrelturn.request", call.context.request),
            Field::new("sorrelturn.verdict", reply.context.verdict),
            Field::new("sorrelturn.importance", call.context.importance),
        ],
    }
}
