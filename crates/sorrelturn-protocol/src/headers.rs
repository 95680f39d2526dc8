//! Names of HTTP headers. All with [`PREFIX`] are internal or answers of ours: a caller can't set them.

/// Headers that start with this are dropped when they come from a caller, but for [`TOKEN`].
pub const PREFIX: &str = "sorrelturn-";
/// Between daemons: the encoded [`CallContext`](crate::CallContext).
pub const CONTEXT: &str = "sorrelturn-context";
/// Between daemons: the encoded [`AnswerContext`](crate::AnswerContext).
pub const ANSWER: &str = "sorrelturn-answer";
/// Between daemons: the encoded [`FateQuestion`](crate::FateQuestion), and the
/// [`Fate`](crate::Fate) in its answer.
pub const FATE: &str = "sorrelturn-fate";
/// To callers and backend servers: whether the request may have run.
pub const VERDICT: &str = "sorrelturn-verdict";
/// To callers and backend servers: the root request's id.
pub const REQUEST_ID: &str = "sorrelturn-request-id";
/// From callers: the execution token of a request that runs at most once.
pub const TOKEN: &str = "sorrelturn-token";
/// To backend servers, which pass it on with nested calls: the hop that they work for.
pub const PARENT: &str = "sorrelturn-parent";
/// To backend servers: the importance of the root request.
pub const IMPORTANCE: &str = "sorrelturn-importance";
/// To backend servers: milliseconds left before the deadline.
pub const DEADLINE_MS: &str = "sorrelturn-deadline-ms";
/// From callers, in the one-step way: the caller's own key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C Trace Context.
pub const TRACEPARENT: &str = "traceparent";
