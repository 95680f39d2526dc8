//! The limit on requests that a backend server in need names in its responses.
//! See `docs/design/announced-limits.md`.

use crate::Now;
use sorrelturn_protocol::RequestRate;

/// What one response says of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names no limit.
    Absent,
    /// It names a limit that isn't a rate.
    Unreadable,
    /// It names this limit.
    Rate(RequestRate),
}

/// The limit that one incarnation of a backend server has named.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLimit {
    rate: Option<RequestRate>,
    /// When a response last named a limit, or when the limit was restored.
    named_at: Now,
    /// Whether a response of the backend server was seen.
    has_answered: bool,
}

impl AnnouncedLimit {
    /// Returns the limit that is in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies a response to a request that was sent at `sent_at`. Returns whether the limit changed.
    ///
    /// A response without a limit ends it only if its request was sent after a limit was last named: responses may
    /// overtake one another. An unreadable limit changes nothing, since the backend server still names one.
    pub fn record_answer(&mut self, now: Now, sent_at: Now, named: NamedLimit) -> bool {
        let before = self.rate;
        self.has_answered = true;
        match named {
            NamedLimit::Rate(rate) => {
                self.rate = Some(rate);
                self.named_at = now;
            }
            NamedLimit::Absent if sent_at >= self.named_at => self.rate = None,
            NamedLimit::Absent | NamedLimit::Unreadable => {}
        }
        self.rate != before
    }
}
