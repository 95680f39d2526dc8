//! Which requests a peer has refused over a connection. See `docs/design/between-daemons.md`.

use crate::request::body::Body;
use hyper::Request;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many refusals a connection carries before it is closed, so that its memory is bounded. An overloaded backend server
/// refuses many requests, and each new connection costs it time.
const MAX_REFUSALS: usize = 64;

/// What identifies a request in its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey(u64);

impl RequestKey {
    /// Returns the key of a request with this id. Two ids with the same key cost a new connection and nothing else.
    pub(crate) fn of(id: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// A request and what identifies it in its response.
pub(crate) struct KeyedRequest {
    pub(crate) req: Request<Body>,
    /// `None` if responses don't name their request.
    pub(crate) key: Option<RequestKey>,
}

/// The requests that were refused over one connection. If one of them were sent over it again, a late copy of the refusal
/// could be taken for the response to the second sending.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    keys: Vec<RequestKey>,
}

impl RefusedRequests {
    /// Returns whether the request was refused.
    pub(crate) fn contains(&self, key: RequestKey) -> bool {
        self.keys.contains(&key)
    }

    /// Adds a request. Returns whether there is room for another one.
    pub(crate) fn add(&mut self, key: RequestKey) -> bool {
        self.keys.push(key);
        self.keys.len() < MAX_REFUSALS
    }
}
