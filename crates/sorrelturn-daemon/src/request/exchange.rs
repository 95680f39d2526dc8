//! One exchange with one instance, and the consequences of its failure.

use crate::{
    fleet::instance_table::KnownInstance,
    fleet::peers::{PeerLease, Runtime, SentAttempt},
    net::pool::SendError,
    node::Node,
    request::answer::Reply,
    request::body::{self, Body},
    request::forward::Call,
    request::headers,
    request::owner,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use smol::future::FutureExt;
use sorrelturn_policy::InstanceReport;
use sorrelturn_protocol::{
    AnswerContext, AttemptId, AttemptStatus, CallContext, Refusal, Verdict,
    headers::{ANSWER, ATTEMPT_STATUS, CONTEXT},
};
use sorrelturn_telemetry::{Field, events};
use std::sync::Arc;

pub(crate) enum Failure {
    /// Nothing was sent, since the maximum number of connections is open.
    Full,
    /// Nothing was sent, since no connection could be used.
    NotSent,
    /// The exchange broke off after at least a part of the call was sent.
    Interrupted,
    /// The owner has not received the call and will refuse it if it arrives late.
    NeverArrived,
    /// The reply was lost on an unresponsive connection, or the owner's process is another one that may never have
    /// received the call. The call may have run.
    AnswerLost,
    /// The call's deadline passed, or this daemon shut down, before the reply arrived.
    DeadlineExceeded,
}

impl Failure {
    /// No failure of a call with a token is reported as "not run": an earlier attempt with the token may have run, and
    /// only its owner knows.
    pub(crate) fn reply(&self, context: &CallContext) -> Reply {
        let has_token = context.token.is_some();
        match self {
            Self::Full | Self::NotSent | Self::NeverArrived if has_token => {
                Reply::refused(Refusal::OutcomeUnknown, Verdict::MayHaveRun)
            }
            Self::Full => {
                owner::refund_attempts(Reply::not_run(Refusal::Overload), context.attempts)
            }
            Self::NotSent | Self::NeverArrived => {
                let reply = Reply::not_run(Refusal::BackendUnreachable);
                owner::refund_attempts(reply, context.attempts)
            }
            Self::Interrupted | Self::AnswerLost => {
                Reply::refused(Refusal::PeerBroke, Verdict::MayHaveRun)
            }
            Self::DeadlineExceeded => Reply::refused(Refusal::Deadline, Verdict::MayHaveRun),
        }
    }
}

/// Sends one attempt and waits for the reply until the deadline or the shutdown of this daemon.
pub(crate) async fn exchange(
    node: &Arc<Node>,
    route: &KnownInstance,
    call: &Call,
    mut req: Request<Body>,
) -> Result<Reply, Failure> {
    let deadline_exceeded = async {
        let deadline = node.timers.at(call.deadline);
        deadline.or(node.shutdown.answers_due()).await;
        Err(Failure::DeadlineExceeded)
    };
    if route.record.incarnation == node.incarnation {
        let local = async { Ok(owner::serve(node, call.context.clone(), req).await) };
        return local.or(deadline_exceeded).await;
    }
    headers::set(req.headers_mut(), CONTEXT, &call.context.encode());
    let runtime = Runtime {
        ex: &node.ex,
        timers: &node.timers,
        keys: &node.keys,
    };
    let attempt = SentAttempt {
        owner: route.record.incarnation,
        id: attempt_id(&call.context),
    };
    let send = async {
        match route.link.send(&runtime, req, attempt).await {
            Ok((res, lease)) => read_reply(node, call, res, lease),
            Err(SendError::Full) => Err(Failure::Full),
            Err(SendError::NotSent | SendError::Refused(_)) => Err(Failure::NotSent),
            Err(SendError::Interrupted) => Err(Failure::Interrupted),
            Err(SendError::Malformed(error)) => {
                node.record_event(&events::BAD_PEER, vec![Field::new("error", error)]);
                Err(Failure::Interrupted)
            }
            Err(SendError::NeverArrived) => Err(Failure::NeverArrived),
            Err(SendError::AnswerLost) => Err(Failure::AnswerLost),
        }
    };
    send.or(deadline_exceeded).await
}

pub(crate) fn attempt_id(context: &CallContext) -> AttemptId {
    AttemptId {
        request: context.request,
        span: context.parent,
    }
}

fn read_reply(
    node: &Node,
    call: &Call,
    mut res: Response<Incoming>,
    lease: PeerLease,
) -> Result<Reply, Failure> {
    if let Some(status) = res.headers().get(ATTEMPT_STATUS) {
        lease.give_back();
        let never_arrived =
            AttemptStatus::decode(status.as_bytes()) == Ok(AttemptStatus::NeverCame);
        return Err(match never_arrived {
            true => Failure::NeverArrived,
            false => Failure::Interrupted,
        });
    }
    let context = res
        .headers_mut()
        .remove(ANSWER)
        .and_then(|value| AnswerContext::decode(value.as_bytes()).ok())
        .ok_or(Failure::Interrupted)?;
    let res = res.map(|body| {
        body::response_with_stall_timeout(&node.timers, body, call.deadline, |is_complete| {
            if is_complete {
                lease.give_back();
            }
        })
    });
    let is_answered = context.refusal.is_none();
    let res = is_answered.then(|| Box::new(res));
    Ok(Reply { context, res })
}

pub(crate) fn instance_report(result: &Result<Reply, Failure>) -> InstanceReport {
    match result {
        Ok(reply) if reply.context.leaving => InstanceReport::Leaving,
        Ok(reply) if reply.context.refusal == Some(Refusal::OtherService) => {
            InstanceReport::Leaving
        }
        Ok(reply) if is_instance_failure(reply) => InstanceReport::Failed,
        Ok(reply) if is_backend_error(reply) => InstanceReport::BackendError,
        Ok(reply) => InstanceReport::Answered {
            load: reply.context.load,
        },
        // These failures don't mean that the instance is down.
        Err(Failure::Full | Failure::NeverArrived | Failure::AnswerLost) => {
            InstanceReport::Cancelled
        }
        Err(Failure::NotSent) => InstanceReport::Unreachable,
        Err(_) => InstanceReport::Failed,
    }
}

/// Whether the backend server refused the call despite a free slot, or answered 500 without a failed nested call.
fn is_backend_error(reply: &Reply) -> bool {
    let status = reply.res.as_ref().map(|res| res.status());
    let is_internal_error =
        status.is_some_and(|status| status == StatusCode::INTERNAL_SERVER_ERROR);
    let is_own_error = is_internal_error && !reply.context.already_retried;
    is_own_error || reply.context.refusal == Some(Refusal::BackendRefused)
}

/// Whether the instance itself failed, not a service that it calls.
fn is_instance_failure(reply: &Reply) -> bool {
    matches!(
        reply.context.refusal,
        Some(
            Refusal::BackendUnreachable
                | Refusal::BackendBroke
                | Refusal::BackendCrashed
                | Refusal::NoBundle
        )
    )
}
