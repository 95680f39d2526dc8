//! Tokens of the calls that a running request makes.

use sorrelturn_protocol::ExecutionToken;
use std::collections::HashMap;

/// What tells one call of a request from another: its `Idempotency-Key`, else method and target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey(pub String);

/// The tokens of one running request's own calls.
///
/// A backend server that repeats a call gets the outcome of the first one, because the repeat
/// carries the same token to the same owner.
#[derive(Clone, Debug, Default)]
pub struct NestedTokens {
    tokens: HashMap<CallKey, ExecutionToken>,
}

impl NestedTokens {
    /// The token of a call that was made before.
    pub fn get(&self, key: &CallKey) -> Option<ExecutionToken> {
        self.tokens.get(key).copied()
    }

    /// Notes a fresh token, unless a concurrent repeat of the call was faster; returns the one
    /// that counts.
    pub fn get_or_insert(&mut self, key: CallKey, token: ExecutionToken) -> ExecutionToken {
        *self.tokens.entry(key).or_insert(token)
    }

    /// A call was refused and not run: its next repeat takes a fresh token.
    pub fn remove_refused(&mut self, key: &CallKey, token: &ExecutionToken) {
        if self.tokens.get(key) == Some(token) {
            self.tokens.remove(key);
        }
    }
}
