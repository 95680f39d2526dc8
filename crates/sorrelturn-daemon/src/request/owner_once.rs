//! The owner's side of a call with a token, which runs at most once. See `docs/design/at-most-once.md`.

use crate::{
    node::{Node, lock},
    request::answer::Reply,
    request::body::{self, Body},
    request::headers,
    request::hop::Hop,
    request::owner::{refund_attempts, token_fingerprint},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, header::CONTENT_TYPE};
use smol::channel;
use sorrelturn_once::{BeginResult, Outcome as OnceOutcome};
use sorrelturn_protocol::{ExecutionToken, Refusal, Verdict};
use sorrelturn_telemetry::events;
use std::sync::Arc;

/// Larger response bodies are not recorded for repeats.
const MAX_RECORDED_BODY_BYTES: usize = 64 << 10;

impl Hop {
    /// The call continues if its caller disconnects, so that its outcome is recorded.
    pub(crate) async fn run_with_token(self, token: ExecutionToken, req: Request<Body>) -> Reply {
        let target = req
            .uri()
            .path_and_query()
            .map_or("", |target| target.as_str());
        let fingerprint = token_fingerprint(&self.context, target);
        let node = Arc::clone(&self.node);
        let attempts = self.context.attempts;
        let begin = lock(&node.ledger).begin(node.now(), &token, fingerprint);
        match begin {
            BeginResult::MayRun => {}
            BeginResult::Recorded(saved) => return refund_attempts(self.replay(saved), attempts),
            other => return refund_attempts(self.not_begun_reply(&other), attempts),
        }
        let execution = TokenExecution {
            node: Arc::clone(&node),
            token,
            is_forwarded: false,
            is_recorded: false,
        };
        let (tx, rx) = channel::bounded(1);
        let task = async move {
            // Sending fails if the caller has disconnected; the outcome is recorded anyway.
            let _ = tx.send(self.execute(execution, req).await).await;
        };
        node.ex.spawn(task).detach();
        rx.recv()
            .await
            .unwrap_or_else(|_| Reply::refused(Refusal::OutcomeUnknown, Verdict::MayHaveRun))
    }

    async fn execute(self, mut execution: TokenExecution, req: Request<Body>) -> Reply {
        let attempts = self.context.attempts;
        if self.node.is_leaving() {
            execution.record_not_run();
            return refund_attempts(self.refusal_reply(Refusal::Leaving), attempts);
        }
        let slot = match self.acquire_slot().await {
            Ok(slot) => slot,
            Err(refusal) => {
                execution.record_not_run();
                return refund_attempts(self.refusal_reply(refusal), attempts);
            }
        };
        execution.is_forwarded = true;
        let mut reply = self.forward(slot, req).await;
        if reply.context.verdict == Verdict::NotRun {
            execution.record_not_run();
            return reply;
        }
        let Some(res) = reply.res.take() else {
            execution.record_outcome(reply.context.verdict, 502, None, None);
            return reply;
        };
        let (head, body) = res.into_parts();
        let content_type = headers::text(&head.headers, CONTENT_TYPE.as_str()).map(str::to_owned);
        let status = head.status.as_u16();
        let body = match collect(body).await {
            Collected::Whole(bytes) => {
                execution.record_outcome(Verdict::Ran, status, content_type, Some(bytes.to_vec()));
                body::full(bytes)
            }
            Collected::TooLarge(body) => {
                execution.record_outcome(Verdict::Ran, status, content_type, None);
                body
            }
            Collected::Failed => {
                execution.record_outcome(Verdict::MayHaveRun, 502, None, None);
                let mut failure = Reply::refused(Refusal::BackendBroke, Verdict::MayHaveRun);
                failure.context.attempts_left = reply.context.attempts_left;
                return failure;
            }
        };
        reply.res = Some(Box::new(Response::from_parts(head, body)));
        reply
    }

    fn replay(&self, outcome: OnceOutcome) -> Reply {
        self.record_event(&events::RECORDED_ANSWER, Vec::new());
        let Some(body) = outcome.body else {
            return Reply::refused(Refusal::OutcomeUnknown, outcome.verdict);
        };
        let mut res = Response::new(body::full(body));
        if let Ok(status) = outcome.status.try_into() {
            *res.status_mut() = status;
        }
        if let Some(content_type) = outcome.content_type {
            headers::set(res.headers_mut(), CONTENT_TYPE.as_str(), &content_type);
        }
        Reply::answered(outcome.verdict, res)
    }

    fn not_begun_reply(&self, begin: &BeginResult) -> Reply {
        let (refusal, verdict) = match begin {
            BeginResult::InProgress => (Refusal::StillRunning, Verdict::MayHaveRun),
            BeginResult::Refused => (Refusal::Tombstone, Verdict::NotRun),
            BeginResult::InvalidToken => (Refusal::TokenRejected, Verdict::NotRun),
            BeginResult::Closed => (Refusal::Leaving, Verdict::NotRun),
            _ => (Refusal::OutcomeUnknown, Verdict::MayHaveRun),
        };
        let mut reply = self.refusal_reply(refusal);
        reply.context.verdict = verdict;
        reply
    }
}

/// The only execution of a token. Its outcome is recorded at its end, or when this is dropped.
struct TokenExecution {
    node: Arc<Node>,
    token: ExecutionToken,
    is_forwarded: bool,
    is_recorded: bool,
}

impl TokenExecution {
    fn record_not_run(&mut self) {
        self.is_recorded = true;
        lock(&self.node.ledger).refuse(&self.token);
    }

    fn record_outcome(
        &mut self,
        verdict: Verdict,
        status: u16,
        content_type: Option<String>,
        body: Option<Vec<u8>>,
    ) {
        self.is_recorded = true;
        let outcome = OnceOutcome {
            verdict,
            status,
            content_type,
            body,
        };
        lock(&self.node.ledger).end(&self.token, outcome);
    }
}

impl Drop for TokenExecution {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        if self.is_forwarded {
            self.record_outcome(Verdict::MayHaveRun, 502, None, None);
        } else {
            self.record_not_run();
        }
    }
}

enum Collected {
    Whole(Bytes),
    TooLarge(Body),
    Failed,
}

/// Reads up to `MAX_RECORDED_BODY_BYTES`; a larger body continues as a stream.
async fn collect(mut body: Body) -> Collected {
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Collected::Failed;
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > MAX_RECORDED_BODY_BYTES {
            return Collected::TooLarge(body::prefixed(read, body));
        }
    }
    Collected::Whole(read.into())
}
