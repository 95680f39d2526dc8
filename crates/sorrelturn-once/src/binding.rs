//! Binds a caller's idempotency key to a token by a conditional create in the store.
//! See `docs/design/at-most-once.md`.

use crate::Fingerprint;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::ExecutionToken;

/// The stored object that binds a key to a token, the only one that may be used for the key.
///
/// After a lost response or a lost race, a daemon reads the binding back and uses its token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Formatted as in its header.
    pub token: String,
    /// The fingerprint of the first request that used the key.
    pub fingerprint: u64,
    /// Random, so that two writers never write the same value.
    #[serde(rename = "attempt")]
    pub write_nonce: u64,
}

/// Why a binding gives no token.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BindingError {
    /// the key was used for another request
    Mismatch,
    /// the token in the binding can't be parsed
    Unreadable,
}

impl std::error::Error for BindingError {}

impl Binding {
    /// The token, if the key is bound to a request with this fingerprint.
    pub fn token_for(&self, fingerprint: Fingerprint) -> Result<ExecutionToken, BindingError> {
        if self.fingerprint != fingerprint.0 {
            return Err(BindingError::Mismatch);
        }
        self.token.parse().map_err(|_| BindingError::Unreadable)
    }
}
