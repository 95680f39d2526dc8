//! The one-step way: a caller's own key is bound to a token by one conditional create.
//! See `docs/design/at-most-once.md`.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::ExecutionToken;

/// The object that binds a key, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The token, in its header's form.
    pub token: String,
    /// What the key was first used for.
    pub fingerprint: u64,
    /// Random, by which the attempt that wrote it recognises it after a lost answer.
    pub attempt: u64,
}

impl Binding {
    /// Reads the token.
    pub fn token(&self) -> Option<ExecutionToken> {
        self.token.parse().ok()
    }
}

/// What follows from a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BindingStep {
    /// Send the request with this token.
    Use(ExecutionToken),
    /// Read the binding back: the create was lost or came second.
    ReadBack,
    /// The key was used for another request.
    Mismatch,
    /// Nothing was forwarded, and the store can't say more: the caller should come back.
    Unavailable,
}

/// After the conditional create of `own`: `Some(true)` it took effect, `Some(false)` somebody was
/// first or the answer was lost, `None` it never reached the store.
pub fn after_create(own: &Binding, created: Option<bool>) -> BindingStep {
    match (created, own.token()) {
        (Some(true), Some(token)) => BindingStep::Use(token),
        (Some(false), _) => BindingStep::ReadBack,
        _ => BindingStep::Unavailable,
    }
}

/// After reading the binding back; `None` where the store didn't answer or has no object.
///
/// Whoever was first, the token that lies there is the only one that the key may ever use.
pub fn after_read_back(fingerprint: u64, found: Option<&Binding>) -> BindingStep {
    let Some(found) = found else {
        return BindingStep::Unavailable;
    };
    if found.fingerprint != fingerprint {
        return BindingStep::Mismatch;
    }
    found
        .token()
        .map_or(BindingStep::Unavailable, BindingStep::Use)
}
