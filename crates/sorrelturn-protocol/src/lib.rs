#![doc = include_str!("../README.md")]

mod backend;
mod context;
mod crash;
mod fate;
pub mod headers;
mod ids;
mod importance;
mod member;
mod refusal;
mod token;
mod verdict;

pub use backend::{Announcement, BackendState};
pub use context::{AnswerContext, CallContext, HeaderError};
pub use crash::{Cleared, CrashId, CrashNews, CrashReport, RequestFingerprint, RequestNames};
pub use fate::{AttemptId, Fate, FateQuestion};
pub use ids::{CallerId, Incarnation, RequestId, SpanId};
pub use importance::{Importance, Priority};
pub use member::{MemberRecord, MemberState};
pub use refusal::Refusal;
pub use token::{ExecutionToken, TokenError};
pub use verdict::Verdict;
