//! Tokens of the calls that a request makes while it is in progress.

use sorrelturn_protocol::ExecutionToken;
use std::collections::HashMap;

/// A call within a request: its `Idempotency-Key` if present, otherwise method and target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey(pub String);

/// The tokens of the calls of one request in progress.
///
/// A repeated call carries the first call's token to the same owner and so gets its outcome.
#[derive(Clone, Debug, Default)]
pub struct NestedTokens {
    tokens: HashMap<CallKey, ExecutionToken>,
}

impl NestedTokens {
    /// The token of an earlier call with this key.
    pub fn get(&self, key: &CallKey) -> Option<ExecutionToken> {
        self.tokens.get(key).copied()
    }

    /// Stores a token unless a concurrent repeat already has; returns the stored one.
    pub fn get_or_insert(&mut self, key: CallKey, token: ExecutionToken) -> ExecutionToken {
        *self.tokens.entry(key).or_insert(token)
    }

    /// Removes the token of a call refused without running, so that its repeat uses a new one.
    pub fn remove_refused(&mut self, key: &CallKey, token: &ExecutionToken) {
        if self.tokens.get(key) == Some(token) {
            self.tokens.remove(key);
        }
    }
}
