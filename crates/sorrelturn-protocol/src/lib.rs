#![doc = include_str!("../README.md")]

mod attempt_status;
mod backend;
mod context;
mod crash;
pub mod headers;
mod ids;
mod importance;
mod member;
mod rate;
mod refusal;
mod token;
mod verdict;

pub use attempt_status::{AttemptId, AttemptStatus, AttemptStatusQuery};
pub use backend::{Announcement, BackendState, LeftBackend};
pub use context::{
    AnswerContext, CallContext, ContentionReport, HeaderError, InstanceRoom, RepeatShare,
};
pub use crash::{
    ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint, RequestFingerprints,
};
pub use ids::{CallerId, Incarnation, RequestId, SpanId};
pub use importance::{Importance, Precedence, Priority};
pub use member::{MemberRecord, MemberState};
pub use rate::RequestRate;
pub use refusal::Refusal;
pub use token::{ExecutionToken, TokenError};
pub use verdict::Verdict;
