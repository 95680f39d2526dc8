//! The reply to a call, and its encoding for peers and callers.

use crate::{
    node::ActiveRequest,
    request::body::{self, Body},
    request::headers,
};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use sorrelturn_policy::RetryAfter;
use sorrelturn_protocol::{
    AnswerContext, Refusal, RequestId, Verdict,
    headers::{ANSWER, REQUEST_ID, VERDICT},
};
use std::time::Duration;

/// The result of a call: a response, or a refusal without one.
pub(crate) struct Reply {
    pub(crate) context: AnswerContext,
    /// `None` for a refusal.
    pub(crate) res: Option<Box<Response<Body>>>,
}

impl Reply {
    /// From a backend server, from a recorded outcome, or with an issued token.
    pub(crate) fn answered(verdict: Verdict, res: Response<Body>) -> Self {
        Self {
            context: AnswerContext {
                verdict,
                ..AnswerContext::default()
            },
            res: Some(Box::new(res)),
        }
    }

    pub(crate) fn refused(refusal: Refusal, verdict: Verdict) -> Self {
        Self {
            context: AnswerContext {
                verdict,
                refusal: Some(refusal),
                ..AnswerContext::default()
            },
            res: None,
        }
    }

    pub(crate) fn not_run(refusal: Refusal) -> Self {
        Self::refused(refusal, Verdict::NotRun)
    }

    /// Sent in whole milliseconds.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.context.retry_after_ms = after.as_millis() as u32;
        self
    }

    pub(crate) fn into_peer_response(self) -> Response<Body> {
        let mut res = self.res.map(|res| *res).unwrap_or_else(|| {
            let mut res = Response::new(body::full(""));
            *res.status_mut() = refusal_status(&self.context);
            res
        });
        headers::strip_hop_by_hop(res.headers_mut());
        headers::set(res.headers_mut(), ANSWER, &self.context.encode());
        res
    }

    /// The response for a caller, or a backend server that made a nested call. The request counts as in flight until
    /// the last byte of the body.
    pub(crate) fn into_response(
        self,
        request: RequestId,
        active_request: ActiveRequest,
    ) -> Response<Body> {
        let mut res = match self.res {
            Some(res) => {
                let mut res = *res;
                headers::strip_hop_by_hop(res.headers_mut());
                res
            }
            None => refusal_response(&self.context, request),
        };
        let headers = res.headers_mut();
        headers::set(headers, VERDICT, self.context.verdict.name());
        headers::set(headers, REQUEST_ID, &request.to_string());
        res.map(|body| body::with_end_callback(body, move |_| drop(active_request)))
    }
}

fn refusal_status(context: &AnswerContext) -> StatusCode {
    context
        .refusal
        .and_then(|refusal| StatusCode::from_u16(refusal.status()).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

fn refusal_response(context: &AnswerContext, request: RequestId) -> Response<Body> {
    let reason = context
        .refusal
        .map_or_else(String::new, |refusal| refusal.to_string());
    let text = serde_json::json!({
        "error": reason,
        "verdict": context.verdict.name(),
        "request": request.to_string(),
    });
    let mut res = Response::new(body::full(format!("{text}\n")));
    *res.status_mut() = refusal_status(context);
    let headers = res.headers_mut();
    headers::set(headers, CONTENT_TYPE.as_str(), "application/json");
    if context.retry_after_ms > 0 {
        let seconds = RetryAfter::header_seconds(context.retry_after_ms);
        headers.insert(RETRY_AFTER, seconds.into());
    }
    res
}
