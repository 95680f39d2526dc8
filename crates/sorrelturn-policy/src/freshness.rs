//! How old a daemon's knowledge is: no newer bundle existed at the time that is confirmed_at.

use crate::Now;
use std::time::Duration;

/// The age of the oldest fact behind "no newer version existed".
///
/// It is counted from the moment at which the question was sent whose answer proves it, since the answer may have
/// travelled for long. See `docs/design/credentials.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<Now>,
}

impl Freshness {
    /// No newer version existed at `at`.
    pub fn confirm(&mut self, at: Now) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Another daemon answered a question that was sent at `sent`, and said how old its knowledge was then.
    pub fn confirm_from_peer(&mut self, sent: Now, age: Duration) {
        if let Some(at) = sent.checked_sub(age) {
            self.confirm(at);
        }
    }

    /// How old the knowledge is; absent where nothing was ever confirmed_at.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Whether it is no older than `most`.
    pub fn is_within(&self, now: Now, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Whether it holds for everything that was asked before `at`.
    pub fn covers(&self, at: Now) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| confirmed_at >= at)
    }
}
