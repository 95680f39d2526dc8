//! Execution tokens, each of which permits one daemon process to forward one request once.
//! See `docs/design/at-most-once.md`.

use crate::Incarnation;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Names the only process that may forward the request that carries the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutionToken {
    /// The owner: one incarnation of a daemon process.
    pub owner: Incarnation,
    /// Time of issue, in milliseconds since the owner's start by its monotonic clock.
    pub issued_ms: u64,
    /// Random, so that tokens are unguessable.
    pub nonce: u128,
}

/// The error of parsing a token.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TokenError {
    /// an execution token has three hexadecimal parts, as in 00c0ffee00c0ffee-3e8-0123…
    Malformed,
}

impl std::error::Error for TokenError {}

impl fmt::Display for ExecutionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:032x}", self.owner, self.issued_ms, self.nonce)
    }
}

impl FromStr for ExecutionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let mut parts = text.split('-');
        let (Some(owner), Some(issued), Some(nonce), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TokenError::Malformed);
        };
        let malformed = |_| TokenError::Malformed;
        Ok(Self {
            owner: owner.parse().map_err(malformed)?,
            issued_ms: u64::from_str_radix(issued, 16).map_err(malformed)?,
            nonce: u128::from_str_radix(nonce, 16).map_err(malformed)?,
        })
    }
}
