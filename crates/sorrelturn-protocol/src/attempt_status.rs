//! The query for the status of an attempt whose answer is overdue.
//! See `docs/design/silent-connections.md`.

use crate::{
    Incarnation, RequestId, SpanId,
    context::{HeaderError, decode, encode},
};
use serde::{Deserialize, Serialize};

/// Identifies one attempt of one call; each retry has a span of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The root request.
    pub request: RequestId,
    /// The hop that sent the attempt.
    pub span: SpanId,
}

/// The query that the sender of an attempt sends to the owner: the daemon that forwards the attempt to its backend
/// server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatusQuery {
    /// The incarnation of the owner that the attempt was sent to; a later incarnation doesn't know the attempt.
    pub owner: Incarnation,
    /// The attempt in question.
    pub attempt: AttemptId,
    /// The time since the attempt was sent, in milliseconds.
    pub sent_ms_ago: u32,
}

/// The status of an attempt, as the owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt never arrived. The owner refuses it if it arrives later, so it has not run and never will.
    NeverCame,
    /// The attempt is in progress.
    AtWork,
    /// The attempt is finished or its status is unknown; it may have run.
    Over,
}

impl AttemptStatusQuery {
    /// Encodes this value as a header value.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}

impl AttemptStatus {
    /// Encodes this value as a header value.
    pub fn encode(self) -> String {
        encode(&self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}
