//! The path of a request: entry, forwarding, the owner and the hop to the backend server.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod dialect;
pub(crate) mod entry;
pub(crate) mod exchange;
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
pub(crate) mod routed;
pub(crate) mod tokens;
