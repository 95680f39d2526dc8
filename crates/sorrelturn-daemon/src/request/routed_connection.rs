//! What is known about a caller's connection when one of its requests arrives.

use crate::node::LastTime;
use sorrelturn_policy::Now;
use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

/// The longest time from an answer to the next request on a connection if that request was sent before the answer came;
/// otherwise it takes at least a round trip.
const MAX_TIME_TO_NEXT_SENT_BEHIND: Duration = Duration::from_millis(1);

/// When the connection of a request was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// Before the shutdown: normal admission.
    Accepting,
    /// During the shutdown: only nested calls of this daemon's backend server are admitted.
    Draining,
}

/// A connection of a caller. Its requests are served one after the other.
pub(crate) struct RoutedConnection {
    pub(crate) phase: ConnectionPhase,
    last_answer: LastTime,
    sends_behind: AtomicBool,
}

impl RoutedConnection {
    pub(crate) fn new(phase: ConnectionPhase) -> Self {
        Self {
            phase,
            last_answer: LastTime::default(),
            sends_behind: AtomicBool::new(false),
        }
    }

    /// Records that a request was read.
    pub(crate) fn record_request(&self, now: Now) {
        if self.last_answer.elapsed_since(now) <= MAX_TIME_TO_NEXT_SENT_BEHIND {
            self.sends_behind.store(true, Ordering::Relaxed);
        }
    }

    /// Records that a request was answered.
    pub(crate) fn record_answer(&self, now: Now) {
        self.last_answer.set(now);
    }

    /// Returns whether the caller sends requests before the ones before them are answered. A wait of one would delay
    /// those behind it, however much time they have left.
    pub(crate) fn sends_behind(&self) -> bool {
        self.sends_behind.load(Ordering::Relaxed)
    }
}
