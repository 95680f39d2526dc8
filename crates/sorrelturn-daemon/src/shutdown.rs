//! The end of a daemon's run, as far as requests have to know of it.
//!
//! A process that was told to stop is killed some time later, whatever it carries then, and a
//! connection that ends without an answer tells a caller nothing. So all that a stopping daemon
//! carries has its final answer by a set time, and what can't have one by then is refused while that
//! is still true: as not run. See `docs/design/leaving.md`.

use smol::channel::{self, Receiver, Sender};
use sorrelturn_policy::Now;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// What is passed on ends so long before the final answers, so that the answer of whoever stops
/// work at its deadline still arrives: a few hops of milliseconds each, on a busy machine.
const ANSWER_TRAVELS: Duration = Duration::from_millis(100);
/// The value of [`Shutdown::answer_deadline_ms`] while the daemon wasn't told to stop.
const NOT_STOPPING: u64 = u64::MAX;

/// When all requests have to be answered, once the daemon was told to stop.
pub(crate) struct Shutdown {
    answer_deadline_ms: AtomicU64,
    ended: Receiver<()>,
}

impl Shutdown {
    /// A run whose end isn't known yet; requests are over when the sender is dropped.
    pub(crate) fn new() -> (Self, Sender<()>) {
        let (sender, ended) = channel::bounded(1);
        let shutdown = Self {
            answer_deadline_ms: AtomicU64::new(NOT_STOPPING),
            ended,
        };
        (shutdown, sender)
    }

    /// The daemon was told to stop and gives the last answers at `time`, or earlier if that was said before.
    pub(crate) fn set_answer_deadline(&self, time: Now) {
        let ms = time.as_millis() as u64;
        self.answer_deadline_ms.fetch_min(ms, Ordering::Relaxed);
    }

    /// Whether the daemon was told to stop.
    pub(crate) fn has_begun(&self) -> bool {
        self.answer_deadline_ms.load(Ordering::Relaxed) != NOT_STOPPING
    }

    /// The deadline of what is passed on: the request's own, or the end of the run.
    pub(crate) fn cap_deadline(&self, deadline: Now) -> Now {
        match self.answer_deadline_ms.load(Ordering::Relaxed) {
            NOT_STOPPING => deadline,
            ms => deadline.min(Duration::from_millis(ms).saturating_sub(ANSWER_TRAVELS)),
        }
    }

    /// Waits until every request needs its final answer.
    pub(crate) async fn answers_due(&self) {
        let _ = self.ended.recv().await;
    }
}
