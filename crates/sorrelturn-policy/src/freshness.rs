//! Staleness of a daemon's configuration: when the daemon last confirmed that no newer bundle existed.

use crate::Now;
use std::time::Duration;

/// The latest time as of which this daemon's configuration was confirmed to be the newest.
///
/// This is the time at which the confirming request was sent, because its response may have been delayed.
/// See `docs/design/credentials.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<Now>,
}

impl Freshness {
    /// Records that no newer version existed at `at`.
    pub fn confirm(&mut self, at: Now) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The latest time as of which the configuration was confirmed; `None` if it never was.
    pub fn confirmed_at(&self) -> Option<Now> {
        self.confirmed_at
    }

    /// Records the staleness `age` that another daemon reported in response to a request sent at `sent`.
    pub fn confirm_from_peer(&mut self, sent: Now, age: Duration) {
        if let Some(at) = sent.checked_sub(age) {
            self.confirm(at);
        }
    }

    /// The staleness of the configuration; `None` if it was never confirmed.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Whether the staleness is at most `max_age`.
    pub fn is_within(&self, now: Now, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Whether the configuration was confirmed at `at` or later.
    pub fn is_confirmed_since(&self, at: Now) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| confirmed_at >= at)
    }
}
