//! The deadline for answers while a daemon shuts down.
//!
//! A process that received a stop signal is killed some time later, even with requests in progress. A caller whose
//! connection closes without an answer doesn't know whether its request ran. A daemon that shuts down therefore answers
//! every request by a deadline. It refuses a request that can't finish in time before it reaches a backend server, with
//! the statement that it was not executed. See `docs/design/leaving.md`.

use smol::channel::{self, Receiver, Sender};
use sorrelturn_policy::Now;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The deadline of forwarded requests is this much earlier than that of the final answers, so that an answer sent at
/// the last moment still arrives.
const FORWARD_DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// The value of [`Shutdown::answer_deadline_ms`] before the shutdown begins.
const NOT_BEGUN: u64 = u64::MAX;

/// The state of the shutdown and the deadline for all answers.
pub(crate) struct Shutdown {
    answer_deadline_ms: AtomicU64,
    answers_due: Receiver<()>,
}

impl Shutdown {
    /// Creates the state before a shutdown. Also returns a guard: final answers are due when it is dropped.
    pub(crate) fn new() -> (Self, Sender<()>) {
        let (answer_guard, answers_due) = channel::bounded(1);
        let shutdown = Self {
            answer_deadline_ms: AtomicU64::new(NOT_BEGUN),
            answers_due,
        };
        (shutdown, answer_guard)
    }

    /// Begins the shutdown and sets the deadline for all answers. An earlier deadline stays.
    pub(crate) fn set_answer_deadline(&self, time: Now) {
        let ms = time.as_millis() as u64;
        self.answer_deadline_ms.fetch_min(ms, Ordering::Relaxed);
    }

    /// Whether the shutdown has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.answer_deadline_ms.load(Ordering::Relaxed) != NOT_BEGUN
    }

    /// Returns the deadline for forwarding a request: its own or that of the shutdown, whichever is earlier.
    pub(crate) fn cap_deadline(&self, deadline: Now) -> Now {
        match self.answer_deadline_ms.load(Ordering::Relaxed) {
            NOT_BEGUN => deadline,
            ms => deadline.min(Duration::from_millis(ms).saturating_sub(FORWARD_DEADLINE_MARGIN)),
        }
    }

    /// Waits until final answers to all requests are due.
    pub(crate) async fn answers_due(&self) {
        let _ = self.answers_due.recv().await;
    }
}
