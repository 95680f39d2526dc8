//! The one-step way: a caller's own key is bound to a token by one conditional create.
//! See `docs/design/at-most-once.md`.

use crate::Fingerprint;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::ExecutionToken;

/// The object that binds a key, as it lies in the store.
///
/// Whoever created it, its token is the only one that the key may use: after a lost answer or a
/// lost race it is read back and used, whatever the own token was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The token, in its header's form.
    pub token: String,
    /// What the key was first used for.
    pub fingerprint: u64,
    /// Random, so that two attempts never write the same value.
    pub attempt: u64,
}

/// Why a binding gives no token.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BindingError {
    /// the key was used for another request
    Mismatch,
    /// the binding can't be read
    Unreadable,
}

impl std::error::Error for BindingError {}

impl Binding {
    /// The token, for the request that the key was bound for and no other.
    pub fn token_for(&self, fingerprint: Fingerprint) -> Result<ExecutionToken, BindingError> {
        if self.fingerprint != fingerprint.0 {
            return Err(BindingError::Mismatch);
        }
        self.token.parse().map_err(|_| BindingError::Unreadable)
    }
}
