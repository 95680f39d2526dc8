//! The question what became of one attempt whose answer is overdue.
//! See `docs/design/silent-connections.md`.

use crate::{
    Incarnation, RequestId, SpanId,
    context::{HeaderError, decode, encode},
};
use serde::{Deserialize, Serialize};

/// One attempt of one call: a call that is sent again has another span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The root request.
    pub request: RequestId,
    /// The hop that sent it.
    pub span: SpanId,
}

/// What the sender of an attempt asks its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FateQuestion {
    /// The run of the owner that it was sent to; a later one knows nothing of it.
    pub owner: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
    /// How long ago it was sent, in milliseconds.
    pub sent_ms_ago: u32,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It never came, and is refused from now on if it comes late: it has not run and never will.
    NeverCame,
    /// It is being worked on.
    AtWork,
    /// It is over, or may be: it may have run.
    Over,
}

impl FateQuestion {
    /// The header's value.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// Reads a header's value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}

impl Fate {
    /// The header's value.
    pub fn encode(self) -> String {
        encode(&self)
    }

    /// Reads a header's value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}
