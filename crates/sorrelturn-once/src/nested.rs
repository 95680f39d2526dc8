//! Tokens of the calls that a request makes while it is in progress.

use sorrelturn_protocol::ExecutionToken;
use std::collections::HashMap;

/// Identifies a call within a request: its `Idempotency-Key` if present, otherwise method and target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey(pub String);

/// The tokens of the calls of one request in progress.
///
/// A backend server that repeats a call gets the outcome of the first call, because the repeat carries the same token
/// to the same owner.
#[derive(Clone, Debug, Default)]
pub struct NestedTokens {
    tokens: HashMap<CallKey, ExecutionToken>,
}

impl NestedTokens {
    /// Returns the token of an earlier call with this key.
    pub fn get(&self, key: &CallKey) -> Option<ExecutionToken> {
        self.tokens.get(key).copied()
    }

    /// Stores a new token unless a concurrent repeat has already stored one; returns the stored token.
    pub fn get_or_insert(&mut self, key: CallKey, token: ExecutionToken) -> ExecutionToken {
        *self.tokens.entry(key).or_insert(token)
    }

    /// Removes the token of a call that was refused without running, so that its next repeat uses a new token.
    pub fn remove_refused(&mut self, key: &CallKey, token: &ExecutionToken) {
        if self.tokens.get(key) == Some(token) {
            self.tokens.remove(key);
        }
    }
}
