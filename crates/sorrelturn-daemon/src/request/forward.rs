//! The forwarder's side of a call: which instance, and what follows from its answer.

use crate::{
    clock::unix_ns,
    config::fetch,
    config::in_force::{InForce, KindState},
    config::knowledge,
    fleet::next_run,
    fleet::routes::Route,
    node::{Node, lock},
    operators::export,
    request::answer::Reply,
    request::body::Body,
    request::exchange::{Failure, exchange, report},
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
    AnswerContext, CallContext, Incarnation, Refusal, RequestId, SpanId, Verdict,
};
use sorrelturn_telemetry::{Field, Span, SpanKind, events, metrics};
use std::{borrow::Cow, sync::Arc, time::Duration};

/// Without this much time left, another try could not bring an answer.
const LEAST_TIME_FOR_ANOTHER_TRY: Duration = Duration::from_millis(5);
/// How long a call probably takes where the bundle names no target: most end within a second.
const TIME_WITHOUT_TARGET: Duration = Duration::from_secs(1);
/// How often an owner is asked again for the outcome of a token when an exchange broke off.
const TOKEN_ASKS: u32 = 2;

/// A call that is to be forwarded.
pub(crate) struct Call {
    pub(crate) in_force: Arc<InForce>,
    pub(crate) kind: Arc<KindEntry>,
    /// Its `attempts` are the share of this call, its `parent` the span that makes it.
    pub(crate) context: CallContext,
    pub(crate) deadline: Now,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
    /// The part of those that may make this call that may have run before.
    pub(crate) for_repeat: f64,
}

/// What the tries of one call have come to so far.
struct Progress {
    /// The share of the whole call.
    share: u32,
    attempts_left: u32,
    verdict: Verdict,
    tried: Vec<Incarnation>,
    reroutes: u32,
    /// How often a backend server turned it away, and the instance of the last one that did: never the same
    /// twice in a row, which may not know yet who is beside it.
    turned_away: u32,
    turned_away_by: Option<Incarnation>,
    token_asks: u32,
    /// How many backend servers crashed while they ran it.
    crashes: usize,
}

/// Forwards a call until there is a final answer.
pub(crate) async fn call(node: &Arc<Node>, call: &mut Call) -> Reply {
    if ends_before(node, call) {
        let refused = Reply::not_run(Refusal::Leaving).come_back(owner::retry_after(node));
        return owner::refund_attempts(refused, call.context.attempts);
    }
    if let Some(held_for) = held_for(node, call) {
        let refused = Reply::not_run(Refusal::Quarantined).come_back(held_for);
        return owner::refund_attempts(refused, call.context.attempts);
    }
    let kind_state = call.in_force.kind_state(&call.kind);
    let span = SpanId::random(&mut fastrand::Rng::new());
    let share = call.context.attempts;
    let caused_by = std::mem::replace(&mut call.context.parent, span);
    let start_ns = unix_ns();
    let mut progress = Progress {
        share,
        attempts_left: share,
        verdict: Verdict::NotRun,
        tried: Vec::new(),
        reroutes: 0,
        turned_away: 0,
        turned_away_by: None,
        token_asks: 0,
        crashes: 0,
    };
    lock(&kind_state.retries).record_call_of_repeat(node.now(), call.for_repeat);
    let mut reply = loop {
        let Some(reply) = one_try(node, call, &mut progress, &kind_state).await else {
            break without_instance(node, call).await;
        };
        progress.verdict = progress.verdict.combine(reply.context.verdict);
        if !goes_on(node, call, &mut progress, &kind_state, &reply) {
            break reply;
        }
    };
    reply.context.verdict = reply.context.verdict.combine(progress.verdict);
    reply.context.attempts_left = progress.attempts_left;
    call.context.attempts = progress.attempts_left;
    let span = std::mem::replace(&mut call.context.parent, caused_by);
    if node.spans.is_enabled() {
        node.spans
            .add(client_span(call, span, caused_by, start_ns, &reply));
    }
    reply
}

/// Whether this daemon stops before the call would probably have its answer. Then it is refused while
/// that is true, instead of being cut while it runs. What it probably takes is its target at most, since that is
/// what its operators aim at. Only its owner knows what became of a token.
fn ends_before(node: &Node, call: &Call) -> bool {
    let probably = call.kind.target.unwrap_or(TIME_WITHOUT_TARGET);
    let answered = call.deadline.min(node.now() + probably);
    call.context.token.is_none() && node.shutdown.cap_deadline(answered) < answered
}

/// For how long a request is kept from backend servers since it crashes them, if it is. Only its owner knows what
/// became of a token.
fn held_for(node: &Node, call: &Call) -> Option<Duration> {
    if call.context.token.is_some() {
        return None;
    }
    let held_for = node.suspects.held_for(node.now(), call.context.names)?;
    node.events.record(
        &events::REFUSED,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("reason", Refusal::Quarantined.name()),
            Field::new("fingerprint", call.context.names.path),
            Field::new("held_for_ms", held_for.as_millis()),
        ],
    );
    Some(held_for)
}

/// Asks one instance. `None` if there is none left to ask.
async fn one_try(
    node: &Arc<Node>,
    call: &mut Call,
    progress: &mut Progress,
    kind_state: &KindState,
) -> Option<Reply> {
    let route = pick(node, call, progress)?;
    let req = request(node, call, progress)?;
    let share = call.context.attempts;
    let sent = node.now();
    let on_its_way = OnItsWay::start(node, &route, call, kind_state);
    let result = exchange(node, &route, call, req).await;
    if matches!(result, Err(Failure::TooLate)) {
        kind_state.threshold.observe_no_response(node.now());
    }
    let was_silent = matches!(result, Err(Failure::NeverCame | Failure::AnswerLost));
    if on_its_way.finish(report(&result)) {
        route.link.forget();
        node.record_event(
            &events::EJECTED,
            vec![Field::new("member", &route.record.instance)],
        );
    }
    let reply = match result {
        Ok(reply) => reply,
        Err(failure) => failure.reply(&call.context),
    };
    learn(node, call, &route, kind_state, sent, &reply.context);
    if call.context.depth == 0 && is_good(&reply) {
        call.in_force.caller_succeeded(call.context.caller);
    }
    // An ask after a broken one may bring the outcome of an execution that spent the share.
    if progress.token_asks == 0 {
        progress.attempts_left += reply.context.attempts_left.min(share);
    }
    if was_silent {
        // The instance is there and may be asked again, by another attempt than the one that it refuses now.
        call.context.parent = SpanId::random(&mut fastrand::Rng::new());
    } else if reached_and_turned_away(node, &reply) {
        // Its daemon had a slot, so it may well take the call the next time.
        progress.turned_away += 1;
        progress.turned_away_by = Some(route.record.incarnation);
    } else if call.context.token.is_none() {
        progress.tried.push(route.record.incarnation);
    }
    node.events.record(
        &events::HOP_FORWARDED,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("depth", call.context.depth),
            Field::new("to", &route.record.instance),
            Field::new("verdict", reply.context.verdict),
            Field::new(
                "refusal",
                reply.context.refusal.map_or("none", Refusal::name),
            ),
            Field::new("attempts", share),
            Field::new("attempts_back", reply.context.attempts_left),
        ],
    );
    Some(reply)
}

/// Counts a call at its instance; if it is dropped halfway, the call was cancelled.
struct OnItsWay<'a> {
    node: &'a Node,
    route: &'a Route,
    kind_state: &'a KindState,
    request: RequestId,
    /// When half of the call's time is over.
    half_time: Now,
    over: bool,
}

impl<'a> OnItsWay<'a> {
    fn start(node: &'a Node, route: &'a Route, call: &Call, kind_state: &'a KindState) -> Self {
        route.stats.started();
        let now = node.now();
        Self {
            node,
            route,
            kind_state,
            request: call.context.request,
            half_time: now + call.deadline.saturating_sub(now) / 2,
            over: false,
        }
    }

    /// Returns whether the instance is ejected by it.
    fn finish(mut self, report: InstanceReport) -> bool {
        self.over = true;
        self.route.stats.finished(self.node.now(), report)
    }
}

impl Drop for OnItsWay<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let now = self.node.now();
        self.route.stats.finished(now, InstanceReport::Cancelled);
        if now >= self.half_time {
            // Whoever asked has waited for long: its own time is over.
            self.kind_state.threshold.observe_no_response(now);
        }
        self.node.events.record(
            &events::CANCELLED,
            Some(self.request),
            vec![Field::new("to", &self.route.record.instance)],
        );
    }
}

/// A token goes to its owner and nowhere else; any other call to the better of two instances.
fn pick(node: &Node, call: &Call, progress: &Progress) -> Option<Arc<Route>> {
    let routes = node.routes.load();
    if let Some(token) = call.context.token {
        return routes.of_incarnation(token.owner).cloned();
    }
    let instances = routes.of_service(&call.kind.service);
    let stats = instances.iter().map(|route| &route.stats);
    let mut rng = fastrand::Rng::new();
    let now = node.now();
    let mut left_out = Cow::Borrowed(&progress.tried);
    if let Some(by) = progress.turned_away_by {
        left_out.to_mut().push(by);
    }
    choose(stats, now, &left_out, &mut rng).map(|at| Arc::clone(&instances[at]))
}

/// Whether the backend server turned the call away though its daemon had a slot for it, where that counts as having
/// reached it, as a retry does: where routes tell kinds.
fn reached_and_turned_away(node: &Node, reply: &Reply) -> bool {
    node.routed.is_some() && reply.context.refusal == Some(Refusal::BackendRefused)
}

fn request(node: &Node, call: &mut Call, progress: &mut Progress) -> Option<Request<Body>> {
    let body = call.payload.take()?;
    let deadline = node.shutdown.cap_deadline(call.deadline);
    let left = deadline.saturating_sub(node.now());
    call.context.deadline_ms = left.as_millis().min(u128::from(u32::MAX)) as u32;
    call.context.attempts = share_of_try(call, progress);
    progress.attempts_left = progress.attempts_left.saturating_sub(call.context.attempts);
    let mut req = Request::new(body);
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.target.clone();
    *req.headers_mut() = call.headers.clone();
    Some(req)
}

/// A token runs once, whichever ask brings it to its owner, so each ask can carry the whole share.
fn share_of_try(call: &Call, progress: &Progress) -> u32 {
    match call.context.token {
        Some(_) => progress.share,
        None => first_attempt_share(progress.attempts_left, call.kind.min_executions),
    }
}

/// Takes what an answer tells besides the answer.
fn learn(
    node: &Arc<Node>,
    call: &Call,
    route: &Arc<Route>,
    kind_state: &KindState,
    sent: Now,
    answer: &AnswerContext,
) {
    if answer.incarnation != route.record.incarnation {
        if answer.incarnation != Incarnation::default() {
            next_run::met(node, route);
        }
        return;
    }
    if answer.refusal == Some(Refusal::NoInstanceBelow) {
        kind_state.lacks_below(node.now());
    }
    if answer.refusal.is_none_or(Refusal::indicates_service_load) {
        kind_state.threshold.observe(node.now(), answer.threshold);
    }
    call.in_force.heard_of_kind(kind_state, answer.is_call);
    fetch::heard_version(
        node,
        answer.bundle_version,
        Source::Peer(route.record.instance.clone()),
    );
    knowledge::told(node, sent, answer.bundle_version, answer.knowledge_age_ms);
}

/// Decides whether another try follows.
fn goes_on(
    node: &Node,
    call: &mut Call,
    progress: &mut Progress,
    kind_state: &KindState,
    reply: &Reply,
) -> bool {
    let deadline = node.shutdown.cap_deadline(call.deadline);
    let left = deadline.saturating_sub(node.now());
    let time_left = left >= LEAST_TIME_FOR_ANOTHER_TRY;
    if call.context.token.is_some() {
        return asks_owner_again(progress, reply) && time_left && call.payload.can_be_sent_again();
    }
    if is_good(reply) || !call.payload.can_be_sent_again() {
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
        has_time_left: time_left,
    };
    progress.crashes += usize::from(reply.context.refusal == Some(Refusal::BackendCrashed));
    // Two of its tries may crash backend servers before the fleet has heard of the first.
    let crashes_them = progress.crashes >= CRASHES_TO_QUARANTINE || held_for(node, call).is_some();
    let reached = !crashes_them && reached_and_turned_away(node, reply);
    let step = if crashes_them {
        Step::Answer
    } else if reached {
        step_after_backend_refusal(progress.turned_away, time_left)
    } else {
        next_step(&attempt)
    };
    let paid = (step != Step::Retry && !reached) || pays_retry(node, call, kind_state);
    let kind = match step {
        Step::Reroute if paid => &events::REROUTED,
        Step::Retry if paid => &events::RETRIED,
        _ => &events::NOT_RETRIED,
    };
    node.events.record(
        kind,
        Some(call.context.request),
        vec![
            Field::new("kind", &call.kind.name),
            Field::new("depth", call.context.depth),
            Field::new("verdict", reply.context.verdict),
            Field::new("already_retried", reply.context.already_retried),
            Field::new("attempts_left", progress.attempts_left),
            Field::new("paid", paid),
        ],
    );
    match step {
        Step::Reroute if paid => progress.reroutes += 1,
        Step::Retry if paid => {
            call.context.repeated = true;
            export::count(node, &metrics::RETRIES, &[("kind", &call.kind.name)]);
        }
        _ => return false,
    }
    true
}

/// What was sent allows a retry here, and at the entry the caller's successes pay for it as well.
fn pays_retry(node: &Node, call: &Call, kind_state: &KindState) -> bool {
    let is_root = call.context.depth == 0;
    let caller_pays = !is_root || call.in_force.caller_pays_retry(call.context.caller);
    caller_pays && lock(&kind_state.retries).take(node.now())
}

/// The same token at the same owner runs nothing twice: it brings the outcome.
fn asks_owner_again(progress: &mut Progress, reply: &Reply) -> bool {
    let broke = reply.context.refusal == Some(Refusal::PeerBroke);
    progress.token_asks += u32::from(broke);
    broke && progress.token_asks <= TOKEN_ASKS
}

/// An answer of the backend server that isn't a failure of the server's.
fn is_good(reply: &Reply) -> bool {
    reply
        .res
        .as_ref()
        .is_some_and(|res| !res.status().is_server_error())
}

async fn without_instance(node: &Arc<Node>, call: &Call) -> Reply {
    match call.context.token {
        Some(token) => tokens::of_lost_owner(node, &token).await,
        None => Reply::not_run(Refusal::NoInstance).come_back(owner::retry_after(node)),
    }
}

fn client_span(call: &Call, span: SpanId, caused_by: SpanId, start_ns: u64, reply: &Reply) -> Span {
    let is_root = call.context.depth == 0;
    Span {
        trace: call.context.trace,
        id: span,
        parent: (caused_by != SpanId::default()).then_some(caused_by),
        name: call.kind.name.clone(),
        kind: if is_root {
            SpanKind::Server
        } else {
            SpanKind::Client
        },
        start_ns,
        end_ns: unix_ns(),
        failed: !is_good(reply),
        attributes: vec![
            Field::new("sorrelturn.request", call.context.request),
            Field::new("sorrelturn.verdict", reply.context.verdict),
            Field::new("sorrelturn.importance", call.context.importance),
        ],
    }
}
