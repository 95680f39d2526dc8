//! Obtaining tokens for at-most-once calls, and the outcome of tokens whose owner is lost.

use crate::{
    node::{Node, lock},
    request::answer::Reply,
    request::body,
    request::forward::{self, Call},
    request::headers,
    request::owner,
    request::payload::Payload,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Response, Uri};
use serde::de::DeserializeOwned;
use sorrelturn_once::{
    Binding, BindingError, ClosingRecord, Fingerprint, OutcomeSegment, verdict_of_lost_owner,
};
use sorrelturn_platform::{Expected, Object, PlatformError, keys};
use sorrelturn_protocol::{CallContext, ExecutionToken, Refusal, Verdict};
use std::sync::Arc;

/// The path for issuing tokens, at the listener for peers.
pub(crate) const ISSUE_PATH: &str = "/.sorrelturn/issue";

/// Issues a token, which this incarnation of the daemon owns.
pub(crate) fn issue(node: &Node) -> Reply {
    if node.is_leaving() {
        return Reply::not_run(Refusal::Leaving);
    }
    if node.in_force.load().is_none() {
        return Reply::not_run(Refusal::NoBundle);
    }
    let token = lock(&node.ledger).issue(node.now(), &mut fastrand::Rng::new());
    match token {
        Some(token) => {
            let res = Response::new(body::full(token.to_string()));
            Reply::answered(Verdict::NotRun, res)
        }
        None => Reply::not_run(Refusal::Overload).with_retry_after(owner::retry_after(node)),
    }
}

/// Requests a token from an instance of the kind's service.
pub(crate) async fn obtain(node: &Arc<Node>, call: &Call) -> Result<ExecutionToken, Reply> {
    let mut issue_call = Call {
        in_force: Arc::clone(&call.in_force),
        kind: Arc::clone(&call.kind),
        context: CallContext {
            token: None,
            ..call.context.clone()
        },
        deadline: call.deadline,
        method: Method::POST,
        target: Uri::from_static(ISSUE_PATH),
        headers: HeaderMap::new(),
        payload: Payload::Buffered(Bytes::new()),
    };
    let reply = forward::call(node, &mut issue_call).await;
    let context = reply.context;
    let Some(res) = reply.res else {
        // Issuing a token runs nothing on a backend server, so any failure means "not run".
        let refusal = context.refusal.unwrap_or(Refusal::PeerBroke);
        let mut refused = Reply::not_run(refusal);
        refused.context.retry_after_ms = context.retry_after_ms;
        return Err(refused);
    };
    let unreadable =
        || Reply::not_run(Refusal::PeerBroke).with_retry_after(owner::retry_after(node));
    let body = res.into_body().collect().await.map_err(|_| unreadable())?;
    std::str::from_utf8(&body.to_bytes())
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(unreadable)
}

/// The token of a caller's idempotency key.
pub(crate) struct BoundToken {
    pub(crate) token: ExecutionToken,
    /// The version of the binding in the store.
    pub(crate) version: u64,
}

/// Returns the bound token; binds a new one if there is none.
pub(crate) async fn bind(node: &Arc<Node>, call: &Call, key: &str) -> Result<BoundToken, Reply> {
    // A repeated request finds the existing binding and needs no new token.
    match node.platform.get(&binding_object(call, key)).await {
        Ok(Some(found)) => resolve_binding(node, call, Some(&found)),
        Ok(None) => write_binding(node, call, key, Expected::Absent).await,
        Err(_) => resolve_binding(node, call, None),
    }
}

/// Replaces the token of a key, which was refused before it ran. `version` is that of the old binding.
pub(crate) async fn rebind(
    node: &Arc<Node>,
    call: &Call,
    key: &str,
    version: u64,
) -> Result<BoundToken, Reply> {
    write_binding(node, call, key, Expected::Version(version)).await
}

async fn write_binding(
    node: &Arc<Node>,
    call: &Call,
    key: &str,
    expected: Expected,
) -> Result<BoundToken, Reply> {
    let object = binding_object(call, key);
    let token = obtain(node, call).await?;
    let binding = Binding {
        token: token.to_string(),
        fingerprint: call_fingerprint(call).0,
        write_nonce: fastrand::u64(..),
    };
    let value = serde_json::to_string(&binding).unwrap_or_default();
    match node.platform.put(&object, &value, expected).await {
        Ok(version) => Ok(BoundToken { token, version }),
        Err(PlatformError::Conflict(_) | PlatformError::AnswerLost(_)) => {
            let found = node.platform.get(&object).await.ok().flatten();
            resolve_binding(node, call, found.as_ref())
        }
        Err(_) => resolve_binding(node, call, None),
    }
}

/// The token in the store is the only one that the key may use.
fn resolve_binding(node: &Node, call: &Call, found: Option<&Object>) -> Result<BoundToken, Reply> {
    let unavailable =
        || Reply::not_run(Refusal::StoreUnavailable).with_retry_after(owner::retry_after(node));
    let found = found.ok_or_else(unavailable)?;
    let binding: Binding = serde_json::from_str(&found.value).map_err(|_| unavailable())?;
    match binding.token_for(call_fingerprint(call)) {
        Ok(token) => Ok(BoundToken {
            token,
            version: found.version,
        }),
        Err(BindingError::Mismatch) => Err(Reply::not_run(Refusal::TokenRejected)),
        Err(BindingError::Unreadable) => Err(unavailable()),
    }
}

fn binding_object(call: &Call, key: &str) -> String {
    let hash = blake3::hash(key.as_bytes()).to_hex();
    keys::binding(call.context.caller, hash.as_str())
}

fn call_fingerprint(call: &Call) -> Fingerprint {
    owner::token_fingerprint(&call.context, &call.target.to_string())
}

/// Judges by the outcomes that the owner saved.
pub(crate) async fn reply_for_lost_owner(node: &Node, token: &ExecutionToken) -> Reply {
    let verdict = recorded_verdict(node, token).await;
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    let refusal = match verdict {
        Verdict::NotRun => Refusal::Tombstone,
        _ => Refusal::OutcomeUnknown,
    };
    Reply::refused(refusal, verdict).with_retry_after(owner::retry_after(node))
}

/// Reads the closing record first: if it exists, the segment read after it is complete.
async fn recorded_verdict(node: &Node, token: &ExecutionToken) -> Result<Verdict, PlatformError> {
    let closing = node
        .platform
        .get(&keys::closing_record(token.owner))
        .await?;
    let key = keys::outcomes(token.owner, OutcomeSegment::number_of(token));
    let segment = node.platform.get(&key).await?;
    let closing: Option<ClosingRecord> = parse(closing.as_ref())?;
    let segment: Option<OutcomeSegment> = parse(segment.as_ref())?;
    Ok(verdict_of_lost_owner(
        token,
        closing.as_ref(),
        segment.as_ref(),
    ))
}

fn parse<T: DeserializeOwned>(object: Option<&Object>) -> Result<Option<T>, PlatformError> {
    object
        .map(|object| serde_json::from_str(&object.value))
        .transpose()
        .map_err(|_| PlatformError::Unreadable)
}

pub(crate) fn set_header(headers: &mut HeaderMap, token: &ExecutionToken) {
    headers::set(
        headers,
        sorrelturn_protocol::headers::TOKEN,
        &token.to_string(),
    );
}
