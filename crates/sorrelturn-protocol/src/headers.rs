//! Names of HTTP headers.
//!
//! Headers with [`PREFIX`] are internal or sent to callers. A caller can't set them, except [`TOKEN`].

/// Headers with it are dropped from callers' requests, except [`TOKEN`].
pub const PREFIX: &str = "sorrelturn-";
/// Between daemons: the encoded [`CallContext`](crate::CallContext).
pub const CONTEXT: &str = "sorrelturn-context";
/// Between daemons: the encoded [`AnswerContext`](crate::AnswerContext).
pub const ANSWER: &str = "sorrelturn-answer";
/// Between daemons: the encoded [`AttemptStatusQuery`](crate::AttemptStatusQuery); in the answer, the
/// [`AttemptStatus`](crate::AttemptStatus).
pub const ATTEMPT_STATUS: &str = "sorrelturn-fate";
/// To callers and backend servers: whether the request may have run.
pub const VERDICT: &str = "sorrelturn-verdict";
/// To callers and backend servers: the root request's id.
pub const REQUEST_ID: &str = "sorrelturn-request-id";
/// From callers: the execution token of a request that runs at most once.
pub const TOKEN: &str = "sorrelturn-token";
/// To backend servers, which copy it to their nested calls: the hop of the request.
pub const PARENT: &str = "sorrelturn-parent";
/// To backend servers: the importance of the root request.
pub const IMPORTANCE: &str = "sorrelturn-importance";
/// To backend servers: the time until the deadline in milliseconds.
pub const DEADLINE_MS: &str = "sorrelturn-deadline-ms";
/// From callers, instead of a token: a key of the caller's choice for a request that runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The parent span (W3C Trace Context).
pub const TRACEPARENT: &str = "traceparent";
