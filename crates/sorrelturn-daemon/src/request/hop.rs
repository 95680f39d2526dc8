//! The execution of one call at its owner: the exchange with the backend server and the handling of
//! its result.

use crate::{
    backend::crash::{self, BackendRequestGuard},
    backend::link::BackendResponse,
    backend::signals::{self, SentRequest},
    backend::state::{self, ResponseKind, Routed},
    backend::work_times,
    clock::unix_ns,
    config::in_force::InForce,
    fleet::{gossip, suspects},
    net::pool::{Lease, SendError},
    net::refused::{KeyedRequest, RequestKey},
    node::{ActiveRequest, LastTime, Node, lock},
    operators::export,
    request::admission::Slot,
    request::answer::Reply,
    request::body::{self, Body},
    request::fair_shares,
    request::headers,
    request::owner::refund_attempts,
    request::parents::{Parent, ParentGuard},
    request::repeats::{self, ExpectedCalls},
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Incoming},
    header::{HOST, HeaderValue},
};
use smol::future::FutureExt;
use sorrelturn_bundle::KindEntry;
use sorrelturn_policy::{LeavingCause, Now, Outcome};
use sorrelturn_protocol::{
    AnswerContext, CallContext, Priority, Refusal, RepeatShare, SpanId, Verdict,
    headers::{DEADLINE_MS, IMPORTANCE, PARENT, REQUEST_ID, TRACEPARENT},
};
use sorrelturn_telemetry::{EventKind, Field, Span, SpanKind, TraceContext, events, metrics};
use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Longer responses, and those of unknown length, release their slot after the head, since their duration depends on
/// the client's reading speed. See `docs/design/streaming.md`.
const MAX_SLOT_HOLDING_BYTES: u64 = 64 << 10;

/// Lets a backend server that stops at the deadline report it. Without it, about half of these responses would arrive
/// just after they were given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// One execution of a call at its owner.
pub(crate) struct Hop {
    pub(crate) node: Arc<Node>,
    pub(crate) in_force: Arc<InForce>,
    pub(crate) kind: Arc<KindEntry>,
    pub(crate) context: CallContext,
    pub(crate) span: SpanId,
    pub(crate) deadline: Now,
    pub(crate) started_unix_ns: u64,
    pub(crate) started_at: Now,
    /// When it was last written to a connection to the backend server.
    pub(crate) written_at: LastTime,
    pub(crate) _active_request: ActiveRequest,
    /// In routed mode only.
    pub(crate) caller_request_id: Option<HeaderValue>,
}

impl Hop {
    pub(crate) async fn run_without_token(self, req: Request<Body>) -> Reply {
        let attempts = self.context.attempts;
        if self.node.is_leaving() {
            return refund_attempts(self.refusal_reply(Refusal::Leaving), attempts);
        }
        if self.depends_on_missing_service() {
            return refund_attempts(self.refusal_reply(Refusal::NoInstanceBelow), attempts);
        }
        let expected_calls = match self.expect_calls_of_repeat() {
            Ok(expected_calls) => expected_calls,
            Err(refusal) => return refund_attempts(self.refusal_reply(refusal), attempts),
        };
        let node = Arc::clone(&self.node);
        let reply = match self.acquire_slot().await {
            Ok(slot) => pin!(self.forward(slot, req)).await,
            Err(refusal) => refund_attempts(self.refusal_reply(refusal), attempts),
        };
        if reply.context.verdict == Verdict::NotRun {
            expected_calls.forget(node.now());
        }
        reply
    }

    /// Whether a service that the call needs, directly or indirectly, has no instance. Such a call is refused before it
    /// runs, so that it can be retried. Always false outside routed mode.
    fn depends_on_missing_service(&self) -> bool {
        let Some(routed) = &self.node.routed else {
            return false;
        };
        let routes = self.node.instances.load();
        let now = self.node.now();
        let graph = lock(&routed.graph);
        graph.required_calls(&self.kind.name).any(|call| {
            let kind = self.in_force.bundle.kind(call);
            let state = self.in_force.kind_state_by_name(call);
            kind.is_some_and(|kind| routes.live_of_service(&kind.service).is_empty())
                || state.is_some_and(|state| state.had_no_instance_below_recently(now))
        })
    }

    /// Reserves retries for the calls of a repeated request, or refuses it before it runs. Others need none: if only some
    /// of the requests that may have made a call are repeats, the daemons further up have reserved them.
    fn expect_calls_of_repeat(&self) -> Result<ExpectedCalls, Refusal> {
        match &self.node.routed {
            Some(routed) if self.context.repeat_share == RepeatShare::CERTAIN => {
                repeats::let_in(self.node.now(), routed, &self.in_force, &self.kind.name)
            }
            _ => Ok(ExpectedCalls::default()),
        }
    }

    fn is_quarantined(&self) -> bool {
        let suspects = &self.node.suspected_requests;
        let remaining = suspects.remaining_quarantine(self.node.now(), self.context.names);
        remaining.is_some()
    }

    pub(crate) async fn acquire_slot(&self) -> Result<Slot, Refusal> {
        let priority = fair_shares::queue_priority(&self.node, &self.context);
        let is_nested = self.context.depth > 0;
        let admission = &self.node.admission;
        let mut slot = admission
            .acquire_slot(priority, is_nested, self.deadline, self.context.level)
            .await?;
        let graph = self.node.routed.as_ref().map(|routed| &routed.graph);
        if graph.is_some_and(|graph| lock(graph).is_leaf(&self.kind.name)) {
            slot.set_leaf_kind(&self.kind.name);
        }
        Ok(slot)
    }

    /// Waits only for the head of the response.
    pub(crate) async fn forward(self, slot: Slot, req: Request<Body>) -> Reply {
        let guard = ParentGuard::register(
            &self.node.parents,
            self.context.clone(),
            self.span,
            self.deadline,
            self.kind.min_executions,
        );
        let req = match &self.node.routed {
            None => Some(self.with_context_headers(req)),
            Some(routed) => self.with_routed_headers(routed, req),
        };
        let Some(req) = req else {
            slot.release(Outcome::Cancelled);
            let attempts = self.context.attempts;
            return refund_attempts(self.refusal_reply(Refusal::Leaving), attempts);
        };
        let node = Arc::clone(&self.node);
        let in_progress = BackendRequestGuard::new(&node, self.context.names);
        let copy_request = |req: &Request<Body>| self.copy_request(req);
        let take_retry = || self.take_retry_for_resend();
        let prepare = |req: &mut Request<Body>| self.prepare_to_write(req);
        let sent = self.sent_request(&req);
        let key = self.request_key();
        let request = KeyedRequest { req, key };
        let send = node.backend.send(
            &node.ex,
            &node.timers,
            request,
            copy_request,
            take_retry,
            prepare,
        );
        let exchange = async { Some(send.await) };
        let timeout = async {
            let deadline = node.timers.at(self.deadline + DEADLINE_GRACE);
            deadline.or(node.shutdown.answers_due()).await;
            None
        };
        match exchange.or(timeout).await {
            Some(Ok(response)) => {
                node.record_backend_reachability(true);
                self.handle_response(slot, guard, response, &sent, in_progress)
            }
            Some(Err(SendError::Full)) => {
                in_progress.mark_finished();
                slot.release(Outcome::Cancelled);
                let attempts = self.context.attempts;
                refund_attempts(self.refusal_reply(Refusal::Overload), attempts)
            }
            Some(Err(SendError::Refused(refusal))) => {
                in_progress.mark_finished();
                slot.release(Outcome::Cancelled);
                let attempts = self.context.attempts;
                refund_attempts(self.refusal_reply(refusal), attempts)
            }
            Some(Err(SendError::NotSent)) => {
                in_progress.mark_finished();
                node.record_backend_reachability(false);
                slot.release(Outcome::Failed);
                let attempts = self.context.attempts;
                refund_attempts(self.refusal_reply(Refusal::BackendUnreachable), attempts)
            }
            Some(Err(SendError::Interrupted)) => {
                in_progress.mark_finished();
                slot.release(Outcome::Failed);
                let refusal = match crash::check_for_crash(&node, self.context.names).await {
                    true => Refusal::BackendCrashed,
                    false => Refusal::BackendBroke,
                };
                self.failure_reply(&guard, refusal)
            }
            Some(Err(SendError::Malformed(error))) => {
                in_progress.mark_finished();
                slot.release(Outcome::Failed);
                let fields = vec![
                    Field::new("kind", &self.kind.name),
                    Field::new("error", error),
                ];
                self.record_event(&events::RESPONSE_MALFORMED, fields);
                self.failure_reply(&guard, Refusal::BackendBroke)
            }
            Some(Err(SendError::NeverArrived | SendError::AnswerLost)) => {
                slot.release(Outcome::Failed);
                self.failure_reply(&guard, Refusal::BackendBroke)
            }
            None => {
                if let Some(routed) = &node.routed {
                    work_times::record_timeout(routed, node.now(), &self.kind.name, &sent);
                }
                slot.release(Outcome::Overloaded);
                self.failure_reply(&guard, Refusal::Deadline)
            }
        }
    }

    /// Returns what identifies the request in its response; `None` outside routed mode.
    fn request_key(&self) -> Option<RequestKey> {
        let id = self.caller_request_id.as_ref()?;
        Some(RequestKey::of(id.as_bytes()))
    }

    /// Returns a connection to the pool after a refusal. In routed mode, one without an id ends its connection: a late copy
    /// of it could be taken for the refusal of any later request.
    fn give_back_after_refusal(&self, lease: Lease, headers: &HeaderMap) {
        let Some(routed) = &self.node.routed else {
            return lease.give_back();
        };
        let has_id = headers.contains_key(&routed.dialect.headers.request_id);
        if let Some(key) = self.request_key().filter(|_| has_id) {
            lease.give_back_after_refusal(key);
        }
    }

    fn sent_request(&self, req: &Request<Body>) -> SentRequest {
        let routed = self.node.routed.as_ref();
        let backend = routed.and_then(|routed| {
            let name = &routed.dialect.headers.expected_backend;
            req.headers().get(name).cloned()
        });
        let now = self.node.now();
        SentRequest {
            at: now,
            backend,
            work_time: routed.and_then(|routed| work_times::reported(routed, now)),
        }
    }

    /// Copies a repeatable request without a body, to send it again if a connection doesn't respond; else `None`.
    fn copy_request(&self, req: &Request<Body>) -> Option<Request<Body>> {
        if self.kind.at_most_once() || !req.body().is_end_stream() {
            return None;
        }
        let mut copy = Request::new(body::full(Bytes::new()));
        copy.method_mut().clone_from(req.method());
        copy.uri_mut().clone_from(req.uri());
        copy.headers_mut().clone_from(req.headers());
        Some(copy)
    }

    /// Takes one retry from the budget, since both copies may run. Returns false without budget, under quarantine, or
    /// if no backend server accepts requests now: one that announced its shutdown relies on receiving none.
    fn take_retry_for_resend(&self) -> bool {
        let routed = self.node.routed.as_ref();
        let accepts_no_requests = routed.is_some_and(|routed| routed.serving_id().is_none());
        if accepts_no_requests || self.is_quarantined() {
            return false;
        }
        let admission = &self.node.admission;
        if !admission.with_gate(|gate, now| gate.admit_resend(now)) {
            return false;
        }
        let state = self.in_force.kind_state(&self.kind);
        let is_taken = lock(&state.retries).try_retry(self.node.now());
        if is_taken {
            self.record_event(
                &events::SENT_AGAIN,
                vec![Field::new("kind", &self.kind.name)],
            );
            let labels = [("kind", self.kind.name.as_str())];
            export::count(&self.node, &metrics::RETRIES, &labels);
        }
        is_taken
    }

    /// Returns `None` if no backend server accepts requests now.
    fn with_routed_headers(
        &self,
        routed: &Routed,
        mut req: Request<Body>,
    ) -> Option<Request<Body>> {
        let name = routed.dialect.headers.expected_backend.clone();
        req.headers_mut().insert(name, routed.serving_id()?);
        Some(req)
    }

    /// Decides after the last wait before the first byte: what was checked before a connection was available may have
    /// changed. Sets the time that is left by then.
    fn prepare_to_write(&self, req: &mut Request<Body>) -> Result<(), Refusal> {
        if self.is_quarantined() {
            return Err(Refusal::Quarantined);
        }
        if self.node.evacuation.includes_own_domain() {
            return Err(Refusal::Evacuated);
        }
        if !self.backend_still_accepts(req) {
            return Err(Refusal::Leaving);
        }
        self.set_time_left(req);
        self.written_at.set(self.node.now());
        Ok(())
    }

    /// Returns whether the backend server that the request is meant for accepts requests.
    fn backend_still_accepts(&self, req: &Request<Body>) -> bool {
        let Some(routed) = &self.node.routed else {
            return lock(&self.node.leaving).cause() != Some(LeavingCause::Backend);
        };
        let expected = req.headers().get(&routed.dialect.headers.expected_backend);
        expected.is_some() && expected == routed.serving_id().as_ref()
    }

    /// Tells the backend server how much time is left for the request.
    fn set_time_left(&self, req: &mut Request<Body>) {
        let time_left = self.deadline.saturating_sub(self.node.now()).as_millis() as u64;
        let headers = req.headers_mut();
        if let Some(routed) = &self.node.routed {
            headers.insert(
                routed.dialect.headers.time_left_ms.clone(),
                time_left.into(),
            );
            return;
        }
        headers::set(headers, DEADLINE_MS, &time_left.to_string());
        let service = self.in_force.bundle.service(&self.kind.service);
        let name = service.and_then(|service| service.deadline_header.as_deref());
        if let Some(Ok(name)) = name.map(str::parse::<hyper::header::HeaderName>) {
            headers.insert(name, time_left.into());
        }
    }

    /// Describes the call's context to a backend server outside routed mode.
    fn with_context_headers(&self, mut req: Request<Body>) -> Request<Body> {
        let trace = TraceContext {
            trace: self.context.trace,
            parent: self.span,
            sampled: self.node.spans.is_enabled(),
        };
        let headers = req.headers_mut();
        headers::set(headers, HOST.as_str(), &self.kind.service);
        headers::set(headers, REQUEST_ID, &self.context.request.to_string());
        headers::set(headers, PARENT, &self.span.to_string());
        headers::set(headers, IMPORTANCE, self.context.importance.name());
        headers::set(headers, TRACEPARENT, &trace.to_string());
        req
    }

    fn handle_response(
        self,
        slot: Slot,
        guard: ParentGuard,
        response: BackendResponse,
        sent: &SentRequest,
        in_progress: BackendRequestGuard,
    ) -> Reply {
        let BackendResponse {
            mut res,
            lease,
            sent_twice,
        } = response;
        if let Some(keep_alive) = headers::text(res.headers(), "keep-alive") {
            self.node.backend.set_keep_alive(keep_alive);
        }
        // Only daemons set internal headers: a backend server must not send a verdict to a caller.
        headers::strip_internal(res.headers_mut());
        let status = res.status().as_u16();
        let service = self.in_force.bundle.service(&self.kind.service);
        let response_kind = self.node.routed.as_ref().map(|routed| {
            let response_kind = routed.classify_response(
                self.caller_request_id.as_ref(),
                res.status(),
                res.headers(),
            );
            if response_kind == ResponseKind::NotRun {
                state::record_answering_backend(&self.node, routed, res.headers());
            }
            if response_kind != ResponseKind::Mismatched {
                signals::record_answer(&self.node, routed, sent, res.headers());
            }
            response_kind
        });
        if let Some(routed) = &self.node.routed {
            // The reported load is meant only for the backend server's own daemon.
            res.headers_mut().remove(&routed.dialect.headers.load);
        }
        if response_kind == Some(ResponseKind::Mismatched) {
            in_progress.mark_finished();
            slot.release(Outcome::Failed);
            return self.failure_reply(&guard, Refusal::BackendBroke);
        }
        let is_refused_status =
            service.is_some_and(|service| service.refused_statuses.contains(&status));
        let is_refused = is_refused_status || response_kind == Some(ResponseKind::NotRun);
        let is_draining = service
            .and_then(|service| service.drain_header.as_deref())
            .is_some_and(|name| res.headers().contains_key(name));
        if is_draining {
            gossip::leave(&self.node, LeavingCause::Backend);
        }
        if is_refused {
            in_progress.mark_finished();
            if res.body().is_end_stream() {
                self.give_back_after_refusal(lease, res.headers());
            }
            slot.release(Outcome::Overloaded);
            if sent_twice {
                // The other copy may have run.
                return self.failure_reply(&guard, Refusal::BackendBroke);
            }
            let attempts = self.context.attempts;
            return refund_attempts(self.refusal_reply(Refusal::BackendRefused), attempts);
        }
        let is_server_error = res.status().is_server_error();
        // Errors may come at once, and the duration of a request that was sent twice is that of its connections.
        let is_error = is_server_error || res.status().is_client_error();
        if let Some(routed) = &self.node.routed
            && !is_error
            && !sent_twice
            && self.node.contention.work_times_reported()
        {
            work_times::record_answered(routed, self.node.now(), &self.kind.name, sent);
        }
        let parent = guard.parent();
        let context = AnswerContext {
            verdict: Verdict::Ran,
            attempts_left: lock(&parent.attempts).close(),
            already_retried: is_server_error && self.has_failed_nested_call(parent),
            threshold: self.record_end_and_threshold_of_calls(),
            ..AnswerContext::default()
        };
        self.record_event(
            &events::HOP_SERVED,
            vec![
                Field::new("kind", &self.kind.name),
                Field::new("depth", self.context.depth),
                Field::new("status", status),
                Field::new("took_ms", (self.node.now() - self.started_at).as_millis()),
                Field::new("written_ms_ago", self.written_ms_ago()),
            ],
        );
        self.record_span(is_server_error, status);
        // The duration of a request that was sent twice is mostly that of an unresponsive connection.
        let outcome = if sent_twice {
            Outcome::Cancelled
        } else {
            Outcome::Answered
        };
        let res = self.stream(slot, outcome, guard, res, (lease, in_progress));
        let res = Some(Box::new(res));
        Reply { context, res }
    }

    /// The failure of a nested call was already retried there. In routed mode, calls don't name their parent, so any
    /// that failed since the request started counts.
    fn has_failed_nested_call(&self, parent: &Parent) -> bool {
        match &self.node.routed {
            None => parent.nested_call_failed.load(Ordering::Relaxed),
            Some(routed) => routed.last_nested_call_failure.is_after(self.started_at),
        }
    }

    /// Returns the highest known threshold of the kinds that this kind calls. In routed mode, also records the
    /// request's end in the call graph, and an event if the learned calls changed.
    fn record_end_and_threshold_of_calls(&self) -> Priority {
        let now = self.node.now();
        let Some(routed) = &self.node.routed else {
            return self.in_force.threshold_below(&self.kind, now);
        };
        let mut graph = lock(&routed.graph);
        if let Some(calls) = graph.record_end(&self.kind.name, now - self.started_at) {
            let fields = vec![
                Field::new("kind", &self.kind.name),
                Field::new("calls", calls.join(",")),
            ];
            self.node.events.record(&events::CALLS_LEARNT, None, fields);
        }
        let calls = graph.calls(&self.kind.name);
        threshold_of_calls(&self.node, &self.in_force, calls, now)
    }

    /// The end of the body releases the connection, the parent's registration and, if the body is small, the slot.
    fn stream(
        self,
        slot: Slot,
        outcome: Outcome,
        guard: ParentGuard,
        res: Response<Incoming>,
        (lease, in_progress): (Lease, BackendRequestGuard),
    ) -> Response<Body> {
        let holds_slot = res
            .body()
            .size_hint()
            .exact()
            .is_some_and(|len| len <= MAX_SLOT_HOLDING_BYTES);
        let slot = if holds_slot {
            Some(slot)
        } else {
            slot.release(outcome);
            None
        };
        let timers = self.node.timers.clone();
        let deadline = self.deadline;
        let hop = self;
        res.map(|incoming| {
            body::response_with_stall_timeout(&timers, incoming, deadline, move |is_complete| {
                if is_complete {
                    lease.give_back();
                    in_progress.mark_finished();
                    suspects::record_completed(&hop.node, hop.context.names);
                }
                if let Some(slot) = slot {
                    slot.release(if is_complete {
                        outcome
                    } else {
                        Outcome::Cancelled
                    });
                }
                drop((guard, hop));
            })
        })
    }

    /// The reply to a call that may have begun before the exchange with the backend server failed.
    fn failure_reply(&self, guard: &ParentGuard, refusal: Refusal) -> Reply {
        let parent = guard.parent();
        let mut reply = self.refusal_reply(refusal);
        reply.context.verdict = Verdict::MayHaveRun;
        reply.context.attempts_left = lock(&parent.attempts).close();
        reply.context.already_retried = parent.nested_call_failed.load(Ordering::Relaxed);
        self.record_span(true, refusal.status());
        reply
    }

    pub(crate) fn refusal_reply(&self, refusal: Refusal) -> Reply {
        let (load, threshold) = self
            .node
            .admission
            .with_gate(|gate, now| (gate.load_percent(now), gate.threshold(now)));
        self.record_event(
            &events::REFUSED,
            vec![
                Field::new("kind", &self.kind.name),
                Field::new("reason", refusal.name()),
                Field::new("importance", self.context.importance),
                Field::new("priority", self.context.priority().0),
                Field::new("threshold", threshold.0),
                Field::new("load_percent", load),
                Field::new("fingerprint", self.context.names.path),
                Field::new("written_ms_ago", self.written_ms_ago()),
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

    /// Returns how long ago the request was last written to the backend server, or `never`.
    fn written_ms_ago(&self) -> String {
        match self.written_at.elapsed_since(self.node.now()) {
            Duration::MAX => "never".to_owned(),
            elapsed => elapsed.as_millis().to_string(),
        }
    }

    pub(crate) fn record_event(&self, kind: &'static EventKind, fields: Vec<Field>) {
        self.node
            .events
            .record(kind, Some(self.context.request), fields);
    }

    fn record_span(&self, failed: bool, status: u16) {
        if !self.node.spans.is_enabled() {
            return;
        }
        self.node.spans.add(Span {
            trace: self.context.trace,
            id: self.span,
            parent: Some(self.context.parent),
            name: self.kind.name.clone(),
            kind: SpanKind::Server,
            start_ns: self.started_unix_ns,
            end_ns: unix_ns(),
            failed,
            attributes: vec![Field::new("http.response.status_code", status)],
        });
    }
}

/// Returns the highest threshold of the kinds that a kind calls, in routed mode.
pub(crate) fn threshold_of_calls(
    node: &Node,
    in_force: &InForce,
    calls: &[String],
    now: Now,
) -> Priority {
    let threshold = in_force.max_threshold(calls.iter().map(String::as_str), now);
    let instances = node.instances.load();
    let kinds = calls.iter().filter_map(|call| in_force.bundle.kind(call));
    let limit_level = kinds
        .map(|kind| instances.limit_level(&kind.service, now))
        .max();
    threshold.max(Priority(limit_level.unwrap_or(0)))
}
