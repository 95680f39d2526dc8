//! The query for the status of an attempt whose answer is overdue.
//! See `docs/design/silent-connections.md`.

use crate::{
    Incarnation, RequestId, SpanId,
    context::{HeaderError, decode, encode},
};
use serde::{Deserialize, Serialize};

/// One attempt of one call. An attempt after a refusal has the id of the refused one, so its status may be
/// [`AttemptStatus::Over`] although it never arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The root request.
    pub request: RequestId,
    /// The hop that sent the attempt.
    pub span: SpanId,
}

/// The sender's query to the owner: the daemon that forwards the attempt to its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatusQuery {
    /// The owner's incarnation that the attempt was sent to; a later one doesn't know it.
    pub owner: Incarnation,
    /// The attempt in question.
    pub attempt: AttemptId,
    /// Milliseconds since the attempt was sent.
    pub sent_ms_ago: u32,
}

/// An attempt's status, as the owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It never arrived. The owner refuses it if it arrives later, so it never runs.
    NeverCame,
    /// It is in progress.
    AtWork,
    /// It is finished or its status is unknown; it may have run.
    Over,
}

impl AttemptStatusQuery {
    /// Encodes as a header value.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}

impl AttemptStatus {
    /// Encodes as a header value.
    pub fn encode(self) -> String {
        encode(&self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}
