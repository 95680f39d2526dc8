//! One call at its owner: the exchange with the backend server, and what follows from it.

use crate::{
    backend::crash::{self, BackendRequestGuard},
    backend::link::BackendResponse,
    backend::state::{self, ResponseKind, Routed},
    clock::unix_ns,
    config::in_force::InForce,
    fleet::{gossip, suspects},
    net::pool::{Lease, SendError},
    node::{Carried, Node, lock},
    operators::export,
    request::answer::Reply,
    request::body::{self, Body},
    request::headers,
    request::owner::unused,
    request::parents::{Parent, ParentGuard},
    request::room::Slot,
};
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::{HOST, HeaderValue},
};
use smol::future::FutureExt;
use sorrelturn_bundle::KindEntry;
use sorrelturn_policy::{LeavingCause, Now, Outcome};
use sorrelturn_protocol::{
    AnswerContext, CallContext, Priority, Refusal, SpanId, Verdict,
    headers::{DEADLINE_MS, IMPORTANCE, PARENT, REQUEST_ID, TRACEPARENT},
};
use sorrelturn_telemetry::{EventKind, Field, Span, SpanKind, TraceContext, events, metrics};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// An answer up to this size counts as one piece of work: its slot is held to the last byte.
/// A larger one waits for its reader most of the time, so its slot is free after the head; only
/// the connection is held. See `docs/design/streaming.md`.
const ONE_PIECE_BYTES: u64 = 64 << 10;

/// A backend server that stops at the deadline that it was told says so in this time; without it, half of such
/// answers were given up in the moment in which they came.
const LAST_WORD: Duration = Duration::from_millis(50);

/// One call at its owner.
pub(crate) struct Hop {
    pub(crate) node: Arc<Node>,
    pub(crate) in_force: Arc<InForce>,
    pub(crate) kind: Arc<KindEntry>,
    pub(crate) context: CallContext,
    pub(crate) span: SpanId,
    pub(crate) deadline: Now,
    pub(crate) started_ns: u64,
    pub(crate) started: Now,
    pub(crate) _carried: Carried,
    /// The id by which the sender named this attempt, where routes tell kinds.
    pub(crate) asked: Option<HeaderValue>,
}

impl Hop {
    /// A call that may be repeated.
    pub(crate) async fn plain(self, req: Request<Body>) -> Reply {
        let share = self.context.attempts;
        if self.node.is_leaving() {
            return unused(self.refused(Refusal::Leaving), share);
        }
        if self.lacks_service() {
            return unused(self.refused(Refusal::NoInstanceBelow), share);
        }
        match self.enter().await {
            Ok(slot) => self.forward(slot, req).await,
            Err(refusal) => unused(self.refused(refusal), share),
        }
    }

    /// Whether a service without any instance is needed for it, here or further down. What would be run in
    /// vain can still be refused as not run, so that its caller may come back.
    fn lacks_service(&self) -> bool {
        let Some(routed) = &self.node.routed else {
            return false;
        };
        let routes = self.node.routes.load();
        let now = self.node.now();
        let graph = lock(&routed.graph);
        graph.required_calls(&self.kind.name).any(|call| {
            let kind = self.in_force.bundle.kind(call);
            let state = self.in_force.kind_state_by_name(call);
            kind.is_some_and(|kind| routes.of_service(&kind.service).is_empty())
                || state.is_some_and(|state| state.had_no_instance_below_recently(now))
        })
    }

    /// Whether it is kept from backend servers, since it crashes them.
    fn is_held(&self) -> bool {
        let suspects = &self.node.suspects;
        let held_for = suspects.held_for(self.node.now(), self.context.names);
        held_for.is_some()
    }

    pub(crate) async fn enter(&self) -> Result<Slot, Refusal> {
        let priority = self.context.priority();
        let holds_work = self.context.depth > 0;
        let room = &self.node.room;
        let mut slot = room
            .enter(priority, holds_work, self.deadline, self.context.level)
            .await?;
        // What it waited for may have told of it meanwhile.
        if self.is_held() {
            slot.release(Outcome::Cancelled);
            return Err(Refusal::Quarantined);
        }
        let graph = self.node.routed.as_ref().map(|routed| &routed.graph);
        if graph.is_some_and(|graph| lock(graph).is_leaf(&self.kind.name)) {
            slot.is_of_leaf(&self.kind.name);
        }
        Ok(slot)
    }

    /// Sends the call to the backend server. From here on it may have run.
    pub(crate) async fn forward(self, slot: Slot, req: Request<Body>) -> Reply {
        let guard = ParentGuard::register(
            &self.node.parents,
            self.context.clone(),
            self.span,
            self.deadline,
            self.kind.min_executions,
        );
        let req = match &self.node.routed {
            None => Some(self.backend_request(req)),
            Some(routed) => self.routed_request(routed, req),
        };
        let Some(req) = req else {
            slot.release(Outcome::Cancelled);
            let share = self.context.attempts;
            return unused(self.refused(Refusal::Leaving), share);
        };
        let node = Arc::clone(&self.node);
        let at_work = BackendRequestGuard::new(&node, self.context.names);
        let again = |req: &Request<Body>| self.copy(req);
        let pays = || self.pays_second_sending();
        let sent = node.backend.send(&node.ex, &node.timers, req, again, pays);
        let exchange = async { Some(sent.await) };
        let too_late = async {
            let deadline = node.timers.at(self.deadline + LAST_WORD);
            deadline.or(node.ending.over()).await;
            None
        };
        match exchange.or(too_late).await {
            Some(Ok(answered)) => {
                node.backend_reached(true);
                self.answered(slot, guard, answered, at_work)
            }
            Some(Err(SendError::Full)) => {
                at_work.mark_finished();
                slot.release(Outcome::Cancelled);
                let share = self.context.attempts;
                unused(self.refused(Refusal::Overload), share)
            }
            Some(Err(SendError::NotSent)) => {
                at_work.mark_finished();
                node.backend_reached(false);
                slot.release(Outcome::Failed);
                let share = self.context.attempts;
                unused(self.refused(Refusal::BackendUnreachable), share)
            }
            Some(Err(SendError::Interrupted)) => {
                at_work.mark_finished();
                slot.release(Outcome::Failed);
                let refusal = match crash::check_for_crash(&node, self.context.names).await {
                    true => Refusal::BackendCrashed,
                    false => Refusal::BackendBroke,
                };
                self.failed(&guard, refusal)
            }
            Some(Err(SendError::NeverArrived | SendError::AnswerLost)) => {
                slot.release(Outcome::Failed);
                self.failed(&guard, Refusal::BackendBroke)
            }
            None => {
                slot.release(Outcome::Overloaded);
                self.failed(&guard, Refusal::Deadline)
            }
        }
    }

    /// A copy of a request that may run twice, for a connection that turns out to be silent.
    fn copy(&self, req: &Request<Body>) -> Option<Request<Body>> {
        if self.kind.at_most_once() || !req.body().is_end_stream() {
            return None;
        }
        let mut copy = Request::new(body::full(Bytes::new()));
        copy.method_mut().clone_from(req.method());
        copy.uri_mut().clone_from(req.uri());
        copy.headers_mut().clone_from(req.headers());
        Some(copy)
    }

    /// A second sending may run as a retry does, and is paid for as one. A backend server that has announced that it
    /// leaves gets none: its acknowledgement says that nothing new reaches it, and the first may be overdue by seconds.
    fn pays_second_sending(&self) -> bool {
        let routed = self.node.routed.as_ref();
        let takes_none = routed.is_some_and(|routed| routed.serving_id().is_none());
        if takes_none || self.is_held() {
            return false;
        }
        let state = self.in_force.kind_state(&self.kind);
        let paid = lock(&state.retries).take(self.node.now());
        if paid {
            self.note(
                &events::SENT_AGAIN,
                vec![Field::new("kind", &self.kind.name)],
            );
            let labels = [("kind", self.kind.name.as_str())];
            export::count(&self.node, &metrics::RETRIES, &labels);
        }
        paid
    }

    /// The request for the backend server that takes work now; `None` if there is none.
    fn routed_request(&self, routed: &Routed, mut req: Request<Body>) -> Option<Request<Body>> {
        let names = &routed.dialect.headers;
        let left = self.deadline.saturating_sub(self.node.now()).as_millis();
        let headers = req.headers_mut();
        headers.insert(names.expected_backend.clone(), routed.serving_id()?);
        headers.insert(names.time_left_ms.clone(), (left as u64).into());
        Some(req)
    }

    fn backend_request(&self, mut req: Request<Body>) -> Request<Body> {
        let left = self.deadline.saturating_sub(self.node.now()).as_millis();
        let trace = TraceContext {
            trace: self.context.trace,
            parent: self.span,
            sampled: self.node.spans.is_enabled(),
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
        answered: BackendResponse,
        at_work: BackendRequestGuard,
    ) -> Reply {
        let BackendResponse {
            mut res,
            lease,
            sent_twice,
        } = answered;
        if let Some(keep_alive) = headers::text(res.headers(), "keep-alive") {
            self.node.backend.set_keep_alive(keep_alive);
        }
        // Our own headers are ours to say: a backend server can't tell a caller a verdict.
        headers::strip_internal(res.headers_mut());
        let status = res.status().as_u16();
        let service = self.in_force.bundle.service(&self.kind.service);
        let word = self.node.routed.as_ref().map(|routed| {
            let word = routed.classify_response(self.asked.as_ref(), res.status(), res.headers());
            if word == ResponseKind::NotRun {
                state::record_answering_backend(&self.node, routed, res.headers());
            }
            word
        });
        if let Some(routed) = &self.node.routed {
            // What a backend server says of its load is for its own daemon only.
            res.headers_mut().remove(&routed.dialect.headers.load);
        }
        if word == Some(ResponseKind::Mismatched) {
            at_work.mark_finished();
            slot.release(Outcome::Failed);
            return self.failed(&guard, Refusal::BackendBroke);
        }
        let by_status = service.is_some_and(|service| service.refused_statuses.contains(&status));
        let refused = by_status || word == Some(ResponseKind::NotRun);
        let drains = service
            .and_then(|service| service.drain_header.as_deref())
            .is_some_and(|name| res.headers().contains_key(name));
        if drains {
            gossip::leave(&self.node, LeavingCause::Backend);
        }
        if refused {
            at_work.mark_finished();
            if res.body().is_end_stream() {
                lease.give_back();
            }
            slot.release(Outcome::Overloaded);
            if sent_twice {
                // The other sending may have run.
                return self.failed(&guard, Refusal::BackendBroke);
            }
            let share = self.context.attempts;
            return unused(self.refused(Refusal::BackendRefused), share);
        }
        let failed = res.status().is_server_error();
        let parent = guard.parent();
        let context = AnswerContext {
            verdict: Verdict::Ran,
            attempts_left: lock(&parent.attempts).close(),
            already_retried: failed && self.a_call_failed(parent),
            threshold: self.threshold_below(),
            ..AnswerContext::default()
        };
        self.note(
            &events::HOP_SERVED,
            vec![
                Field::new("kind", &self.kind.name),
                Field::new("depth", self.context.depth),
                Field::new("status", status),
                Field::new("took_ms", (self.node.now() - self.started).as_millis()),
            ],
        );
        self.span(failed, status);
        // Most of the time of a request that was sent twice is that of a silent connection.
        let outcome = if sent_twice {
            Outcome::Cancelled
        } else {
            Outcome::Answered
        };
        let res = self.stream(slot, outcome, guard, res, (lease, at_work));
        let res = Some(Box::new(res));
        Reply { context, res }
    }

    /// Whether a call below failed, so that this failure was retried there already. Where calls name
    /// no parent, any that failed meanwhile counts.
    fn a_call_failed(&self, parent: &Parent) -> bool {
        match &self.node.routed {
            None => parent.failed_below.load(Ordering::Relaxed),
            Some(routed) => routed.call_failed.is_after(self.started),
        }
    }

    /// The threshold over everything that this kind calls, as far as it is known here.
    fn threshold_below(&self) -> Priority {
        let now = self.node.now();
        let Some(routed) = &self.node.routed else {
            return self.in_force.threshold_below(&self.kind, now);
        };
        let mut graph = lock(&routed.graph);
        if let Some(calls) = graph.record_end(&self.kind.name, now - self.started) {
            let fields = vec![
                Field::new("kind", &self.kind.name),
                Field::new("calls", calls.join(",")),
            ];
            self.node.events.record(&events::CALLS_LEARNT, None, fields);
        }
        let calls = graph.calls(&self.kind.name);
        self.in_force
            .max_threshold(calls.iter().map(String::as_str), now)
    }

    /// Passes the body on while it comes; slot, connection and registration end with it.
    fn stream(
        self,
        slot: Slot,
        outcome: Outcome,
        guard: ParentGuard,
        res: Response<Incoming>,
        (lease, at_work): (Lease, BackendRequestGuard),
    ) -> Response<Body> {
        let one_piece = res
            .body()
            .size_hint()
            .exact()
            .is_some_and(|len| len <= ONE_PIECE_BYTES);
        let slot = if one_piece {
            Some(slot)
        } else {
            slot.release(outcome);
            None
        };
        let timers = self.node.timers.clone();
        let deadline = self.deadline;
        let hop = self;
        res.map(|incoming| {
            body::guarded_answer(&timers, incoming, deadline, move |whole| {
                if whole {
                    lease.give_back();
                    at_work.mark_finished();
                    suspects::ran_whole(&hop.node, hop.context.names);
                }
                if let Some(slot) = slot {
                    slot.release(if whole { outcome } else { Outcome::Cancelled });
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
                Field::new("reason", refusal.name()),
                Field::new("importance", self.context.importance),
                Field::new("priority", self.context.priority().0),
                Field::new("threshold", threshold.0),
                Field::new("load_percent", load),
                Field::new("fingerprint", self.context.names.path),
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

    pub(crate) fn note(&self, kind: &'static EventKind, fields: Vec<Field>) {
        self.node
            .events
            .record(kind, Some(self.context.request), fields);
    }

    fn span(&self, failed: bool, status: u16) {
        if !self.node.spans.is_enabled() {
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
