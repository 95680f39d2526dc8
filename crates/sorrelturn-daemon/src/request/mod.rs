//! The path of a request: entry, forwarding, the owner and the execution at the backend server.
//!
//! - The owner of a call is the daemon whose backend server runs it. The owner of a token is the
//!   incarnation of a daemon that issued it; only this daemon can run the token's call.
//! - An attempt is one sending of a request, an execution is one run at a backend server. The field
//!   `attempts` of a call's context counts executions, including those of its nested calls.
//! - A nested call is a call that a backend server makes while it processes a request.
//! - A [`Reply`](answer::Reply) is the result of a call inside the daemon, a response is the HTTP
//!   message.
//! - In routed mode, a route table determines the kind of a request by host and path prefix.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod dialect;
pub(crate) mod entry;
pub(crate) mod entry_queue;
pub(crate) mod exchange;
pub(crate) mod fair_shares;
pub(crate) mod fingerprint;
pub(crate) mod forward;
pub(crate) mod headers;
pub(crate) mod hop;
pub(crate) mod identity;
pub(crate) mod nested;
pub(crate) mod owner;
pub(crate) mod owner_once;
pub(crate) mod parents;
pub(crate) mod payload;
pub(crate) mod repeats;
pub(crate) mod routed;
pub(crate) mod tokens;
