//! One exchange with one instance, and what its failure means.

use crate::{
    fleet::peers::{PeerLease, Runtime, SentAttempt},
    fleet::routes::Route,
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
use std::sync::Arc;

/// Why an exchange with an instance has no answer.
pub(crate) enum Failure {
    Full,
    NotSent,
    Broke,
    /// The owner never had the call, since its connection is silent, or refuses it as one that never came.
    NeverCame,
    /// The connection is silent and the answer was lost on it.
    AnswerLost,
    TooLate,
}

impl Failure {
    /// What follows for the call. Without the owner's word a token is never "not run".
    pub(crate) fn reply(&self, context: &CallContext) -> Reply {
        let unknown = context.token.is_some();
        match self {
            Self::Full | Self::NotSent | Self::NeverCame if unknown => {
                Reply::refused(Refusal::OutcomeUnknown, Verdict::MayHaveRun)
            }
            Self::Full => {
                owner::refund_attempts(Reply::not_run(Refusal::Overload), context.attempts)
            }
            Self::NotSent | Self::NeverCame => {
                let reply = Reply::not_run(Refusal::BackendUnreachable);
                owner::refund_attempts(reply, context.attempts)
            }
            Self::Broke | Self::AnswerLost => {
                Reply::refused(Refusal::PeerBroke, Verdict::MayHaveRun)
            }
            Self::TooLate => Reply::refused(Refusal::Deadline, Verdict::MayHaveRun),
        }
    }
}

/// Sends one try to one instance and waits for its answer until the deadline, or until this run of the
/// daemon gives its last answers.
pub(crate) async fn exchange(
    node: &Arc<Node>,
    route: &Route,
    call: &Call,
    mut req: Request<Body>,
) -> Result<Reply, Failure> {
    let too_late = async {
        let deadline = node.timers.at(call.deadline);
        deadline.or(node.shutdown.answers_due()).await;
        Err(Failure::TooLate)
    };
    if route.record.incarnation == node.incarnation {
        let serve = async { Ok(owner::serve(node, call.context.clone(), req).await) };
        return serve.or(too_late).await;
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
            Ok((res, lease)) => reply_of(node, call, res, lease),
            Err(SendError::Full) => Err(Failure::Full),
            Err(SendError::NotSent) => Err(Failure::NotSent),
            Err(SendError::Broke) => Err(Failure::Broke),
            Err(SendError::NeverCame) => Err(Failure::NeverCame),
            Err(SendError::AnswerLost) => Err(Failure::AnswerLost),
        }
    };
    send.or(too_late).await
}

/// How an owner knows an attempt.
pub(crate) fn attempt_id(context: &CallContext) -> AttemptId {
    AttemptId {
        request: context.request,
        span: context.parent,
    }
}

fn reply_of(
    node: &Node,
    call: &Call,
    mut res: Response<Incoming>,
    lease: PeerLease,
) -> Result<Reply, Failure> {
    if let Some(fate) = res.headers().get(ATTEMPT_STATUS) {
        lease.give_back();
        let never_came = AttemptStatus::decode(fate.as_bytes()) == Ok(AttemptStatus::NeverCame);
        return Err(match never_came {
            true => Failure::NeverCame,
            false => Failure::Broke,
        });
    }
    let context = res
        .headers_mut()
        .remove(ANSWER)
        .and_then(|value| AnswerContext::decode(value.as_bytes()).ok())
        .ok_or(Failure::Broke)?;
    let res = res.map(|body| {
        body::guarded_answer(&node.timers, body, call.deadline, |whole| {
            if whole {
                lease.give_back();
            }
        })
    });
    let answered = context.refusal.is_none();
    let res = answered.then(|| Box::new(res));
    Ok(Reply { context, res })
}

/// What the exchange tells about the instance.
pub(crate) fn report(result: &Result<Reply, Failure>) -> InstanceReport {
    match result {
        Ok(reply) if reply.context.leaving => InstanceReport::Leaving,
        Ok(reply) if reply.context.refusal == Some(Refusal::OtherService) => {
            InstanceReport::Leaving
        }
        Ok(reply) if is_instance_failure(reply) => InstanceReport::Failed,
        Ok(reply) if has_erred(reply) => InstanceReport::BackendError,
        Ok(reply) => InstanceReport::Answered {
            load: reply.context.load,
        },
        // The instance itself is there.
        Err(Failure::Full | Failure::NeverCame | Failure::AnswerLost) => InstanceReport::Cancelled,
        Err(Failure::NotSent) => InstanceReport::Unreachable,
        Err(_) => InstanceReport::Failed,
    }
}

/// The backend server turned the call away though its daemon had a slot for it, or answered with a
/// failure that doesn't come from what it calls.
fn has_erred(reply: &Reply) -> bool {
    let status = reply.res.as_ref().map(|res| res.status());
    let failed = status.is_some_and(|status| status == StatusCode::INTERNAL_SERVER_ERROR);
    let own = failed && !reply.context.already_retried;
    own || reply.context.refusal == Some(Refusal::BackendRefused)
}

/// Failures that speak against the instance, and not against what it calls.
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
