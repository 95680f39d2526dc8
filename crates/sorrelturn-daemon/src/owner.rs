//! The owner's side of a call: admission, at-most-once, and the exchange with the backend server.

use crate::{
    answer::Reply,
    body::{self, Body},
    clock::unix_ns,
    export, gossip, headers,
    in_force::InForce,
    node::{Carried, Node, lock},
    parents::ParentGuard,
    pool::{Lease, SendError},
    room::Slot,
    tokens,
};
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::HOST,
};
use smol::future::FutureExt;
use sorrelturn_bundle::KindEntry;
use sorrelturn_once::{Begin, Fingerprint};
use sorrelturn_policy::{LeavingCause, Now, Outcome, RetryAfter};
use sorrelturn_protocol::{
    AnswerContext, CallContext, Refusal, SpanId, Verdict,
    headers::{DEADLINE_MS, IMPORTANCE, PARENT, REQUEST_ID, TRACEPARENT},
};
use sorrelturn_telemetry::{Field, Span, SpanKind, TraceContext, events, metrics};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// An answer up to this size counts as one piece of work: its slot is held to the last byte.
/// A larger one waits for its reader most of the time, so its slot is free after the head; only
/// the connection is held. See `docs/design/streaming.md`.
const ONE_PIECE_BYTES: u64 = 64 << 10;

/// One call at its owner.
pub(crate) struct Hop {
    pub(crate) node: Arc<Node>,
    in_force: Arc<InForce>,
    kind: Arc<KindEntry>,
    pub(crate) context: CallContext,
    span: SpanId,
    deadline: Now,
    started_ns: u64,
    _carried: Carried,
}

/// Runs a call at this daemon's backend server, or refuses it.
pub(crate) async fn serve(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let mut reply = if req.uri().path() == tokens::ISSUE_PATH {
        unused(tokens::issue(node), context.attempts)
    } else {
        admit(node, context, req).await
    };
    let answer = &mut reply.context;
    answer.bundle_version = node
        .in_force
        .load()
        .as_ref()
        .map_or(0, |in_force| in_force.bundle.version);
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

/// When a refused caller should come back, from how long the pressure here has lasted.
pub(crate) fn come_back(node: &Node) -> Duration {
    let lasting = node.room.with_gate(|gate, now| gate.pressure_lasting(now));
    RetryAfter::compute(lasting, &mut fastrand::Rng::new())
}

async fn admit(node: &Arc<Node>, context: CallContext, req: Request<Body>) -> Reply {
    let share = context.attempts;
    let Some(in_force) = node.in_force.load_full() else {
        return unused(refuse_token(node, &context, Refusal::NoBundle), share);
    };
    let Some(kind) = in_force.bundle.kind(&context.kind).cloned() else {
        return unused(refuse_token(node, &context, Refusal::UnknownKind), share);
    };
    let deadline = node.now() + Duration::from_millis(context.deadline_ms.into());
    let hop = Hop {
        span: SpanId::random(&mut fastrand::Rng::new()),
        _carried: Carried::new(node),
        node: Arc::clone(node),
        in_force,
        kind,
        context,
        deadline,
        started_ns: unix_ns(),
    };
    match hop.context.token {
        Some(token) => hop.once(token, req).await,
        None => hop.plain(req).await,
    }
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
            Begin::Run => ledger.refuse(&token),
            Begin::Closed | Begin::Refused => {}
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

impl Hop {
    /// A call that may be repeated.
    async fn plain(self, req: Request<Body>) -> Reply {
        let share = self.context.attempts;
        if self.node.is_leaving() {
            return unused(self.refused(Refusal::Leaving), share);
        }
        match self.enter().await {
            Ok(slot) => self.forward(slot, req).await,
            Err(refusal) => unused(self.refused(refusal), share),
        }
    }

    pub(crate) async fn enter(&self) -> Result<Slot, Refusal> {
        let priority = self.context.priority();
        let holds_work = self.context.depth > 0;
        self.node
            .room
            .enter(priority, holds_work, self.deadline)
            .await
    }

    /// Sends the call to the backend server. From here on it may have run.
    pub(crate) async fn forward(self, slot: Slot, req: Request<Body>) -> Reply {
        let guard = ParentGuard::register(
            &self.node.parents,
            self.context.clone(),
            self.span,
            self.deadline,
            self.kind.need,
        );
        let req = self.backend_request(req);
        let node = Arc::clone(&self.node);
        let exchange = async { Some(node.backend.send(&node.ex, req).await) };
        let too_late = async {
            node.timers.at(self.deadline).await;
            None
        };
        match exchange.or(too_late).await {
            Some(Ok((res, lease))) => {
                node.backend_reached(true);
                self.answered(slot, guard, res, lease)
            }
            Some(Err(SendError::Full)) => {
                slot.release(Outcome::Cancelled);
                let share = self.context.attempts;
                unused(self.refused(Refusal::Overload), share)
            }
            Some(Err(SendError::NotSent)) => {
                node.backend_reached(false);
                slot.release(Outcome::Broke);
                let share = self.context.attempts;
                unused(self.refused(Refusal::BackendUnreachable), share)
            }
            Some(Err(SendError::Broke)) => {
                slot.release(Outcome::Broke);
                self.failed(&guard, Refusal::BackendBroke)
            }
            None => {
                slot.release(Outcome::Overloaded);
                self.failed(&guard, Refusal::Deadline)
            }
        }
    }

    fn backend_request(&self, mut req: Request<Body>) -> Request<Body> {
        let left = self.deadline.saturating_sub(self.node.now()).as_millis();
        let trace = TraceContext {
            trace: self.context.trace,
            parent: self.span,
            sampled: self.node.spans.is_on(),
        };
        let service = self.in_force.bundle.service(&self.kind.service);
        let deadline_header = service.and_then(|service| service.deadline_header.as_deref());
        let headers = req.headers_mut();
        headers::set(headers, HOST.as_str(), &self.kind.service);
        headers::set(headers, REQUEST_ID, &self.context.request.to_string());
        headers::set(headers, PARENT, &self.span.to_string());
        headers::set(headers, IMPORTANCE, self.context.importance.name());
        headers::set(headers, DEADLINE_MS, &left.to_string());
        headers::set(headers, TRACEPARENT, &trace.to_string());
        if let Some(Ok(name)) = deadline_header.map(str::parse::<hyper::header::HeaderName>) {
            headers.insert(name, (left as u64).into());
        }
        req
    }

    /// The head of an answer is here.
    fn answered(
        self,
        slot: Slot,
        guard: ParentGuard,
        mut res: Response<Incoming>,
        lease: Lease,
    ) -> Reply {
        // Our own headers are ours to say: a backend server can't tell a caller a verdict.
        headers::strip_internal(res.headers_mut());
        let status = res.status().as_u16();
        let service = self.in_force.bundle.service(&self.kind.service);
        let refused = service.is_some_and(|service| service.refused_statuses.contains(&status));
        let drains = service
            .and_then(|service| service.drain_header.as_deref())
            .is_some_and(|name| res.headers().contains_key(name));
        if drains {
            gossip::leave(&self.node, LeavingCause::Backend);
        }
        if refused {
            if res.body().is_end_stream() {
                lease.give_back();
            }
            slot.release(Outcome::Overloaded);
            let share = self.context.attempts;
            return unused(self.refused(Refusal::BackendRefused), share);
        }
        let failed = res.status().is_server_error();
        let parent = guard.parent();
        let context = AnswerContext {
            verdict: Verdict::Ran,
            attempts_left: lock(&parent.attempts).close(),
            already_retried: failed && parent.failed_below.load(Ordering::Relaxed),
            threshold: self.in_force.threshold_below(&self.kind, self.node.now()),
            ..AnswerContext::default()
        };
        self.note(
            &events::HOP_SERVED,
            vec![
                Field::new("kind", &self.kind.name),
                Field::new("depth", self.context.depth),
                Field::new("status", status),
                Field::new("took_ms", (unix_ns() - self.started_ns) / 1_000_000),
            ],
        );
        self.span(failed, status);
        let res = Some(Box::new(self.stream(slot, guard, res, lease)));
        Reply { context, res }
    }

    /// Passes the body on while it comes; slot, connection and registration end with it.
    fn stream(
        self,
        slot: Slot,
        guard: ParentGuard,
        res: Response<Incoming>,
        lease: Lease,
    ) -> Response<Body> {
        let one_piece = res
            .body()
            .size_hint()
            .exact()
            .is_some_and(|len| len <= ONE_PIECE_BYTES);
        let slot = if one_piece {
            Some(slot)
        } else {
            slot.release(Outcome::Answered);
            None
        };
        let timers = self.node.timers.clone();
        let hop = self;
        res.map(|incoming| {
            body::guarded(&timers, incoming, move |whole| {
                if whole {
                    lease.give_back();
                }
                if let Some(slot) = slot {
                    slot.release(if whole {
                        Outcome::Answered
                    } else {
                        Outcome::Cancelled
                    });
                }
                drop((guard, hop));
            })
        })
    }

    /// The exchange with the backend server failed after it may have begun.
    fn failed(&self, guard: &ParentGuard, refusal: Refusal) -> Reply {
        let parent = guard.parent();
        let mut reply = self.refused(refusal);
        reply.context.verdict = Verdict::MayHaveRun;
        reply.context.attempts_left = lock(&parent.attempts).close();
        reply.context.already_retried = parent.failed_below.load(Ordering::Relaxed);
        self.span(true, refusal.status());
        reply
    }

    pub(crate) fn refused(&self, refusal: Refusal) -> Reply {
        let (load, threshold) = self
            .node
            .room
            .with_gate(|gate, now| (gate.load_percent(now), gate.threshold(now)));
        self.note(
            &events::REFUSED,
            vec![
                Field::new("kind", &self.kind.name),
                Field::new("reason", refusal),
                Field::new("importance", self.context.importance),
                Field::new("priority", self.context.priority().0),
                Field::new("threshold", threshold.0),
                Field::new("load_percent", load),
            ],
        );
        export::count(
            &self.node,
            &metrics::REFUSALS,
            &[
                ("importance", self.context.importance.name()),
                ("reason", refusal.name()),
            ],
        );
        Reply::not_run(refusal)
    }

    pub(crate) fn note(&self, kind: &sorrelturn_telemetry::EventKind, fields: Vec<Field>) {
        self.node
            .events
            .note(kind, Some(self.context.request), fields);
    }

    fn span(&self, failed: bool, status: u16) {
        if !self.node.spans.is_on() {
            return;
        }
        self.node.spans.add(Span {
            trace: self.context.trace,
            id: self.span,
            parent: Some(self.context.parent),
            name: self.kind.name.clone(),
            kind: SpanKind::Server,
            start_ns: self.started_ns,
            end_ns: unix_ns(),
            failed,
            attributes: vec![Field::new("http.response.status_code", status)],
        });
    }
}
