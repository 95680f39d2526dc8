//! The deadline for answers while a daemon shuts down.
//!
//! A process that received a stop signal is killed some time later, even with requests in progress. A caller whose
//! connection closes without an answer doesn't know whether its request ran. A daemon that shuts down therefore answers
//! every request by a deadline, and refuses a request that can't finish in time as not run while that is still
//! correct. See `docs/design/leaving.md`.

use smol::channel::{self, Receiver, Sender};
use sorrelturn_policy::Now;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Forwarded requests time out this long before the final answers, so that an answer sent at their deadline still
/// arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The value of [`Shutdown::answer_deadline_ms`] before the shutdown begins.
const NOT_STOPPING: u64 = u64::MAX;

/// The state of the shutdown and the deadline for all answers.
pub(crate) struct Shutdown {
    answer_deadline_ms: AtomicU64,
    answers_due: Receiver<()>,
}

impl Shutdown {
    /// Creates the state before a shutdown. Final answers are due when the sender is dropped.
    pub(crate) fn new() -> (Self, Sender<()>) {
        let (sender, answers_due) = channel::bounded(1);
        let shutdown = Self {
            answer_deadline_ms: AtomicU64::new(NOT_STOPPING),
            answers_due,
        };
        (shutdown, sender)
    }

    /// Begins the shutdown and sets the deadline for all answers. An earlier deadline stays.
    pub(crate) fn set_answer_deadline(&self, time: Now) {
        let ms = time.as_millis() as u64;
        self.answer_deadline_ms.fetch_min(ms, Ordering::Relaxed);
    }

    /// Whether the shutdown has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.answer_deadline_ms.load(Ordering::Relaxed) != NOT_STOPPING
    }

    /// Returns the deadline for forwarding a request: its own or that of the shutdown, whichever is earlier.
    pub(crate) fn cap_deadline(&self, deadline: Now) -> Now {
        match self.answer_deadline_ms.load(Ordering::Relaxed) {
            NOT_STOPPING => deadline,
            ms => deadline.min(Duration::from_millis(ms).saturating_sub(ANSWER_MARGIN)),
        }
    }

    /// Waits until final answers to all requests are due.
    pub(crate) async fn answers_due(&self) {
        let _ = self.answers_due.recv().await;
    }
}
