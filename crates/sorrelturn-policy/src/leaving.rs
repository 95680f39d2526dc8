//! Graceful leaving of a daemon. See `docs/design/leaving.md`.

use crate::Now;
use std::time::Duration;

/// Why a daemon leaves. The first cause is retained, but a signal replaces any other cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingCause {
    /// The process received a stop signal.
    Signal,
    /// An operator requested it.
    Operator,
    /// The backend server reports that it is draining.
    Backend,
    /// The platform lists the VM as leaving.
    VmList,
}

/// Whether the daemon accepts calls, and whether it may exit.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    cause: Option<(LeavingCause, Now)>,
}

impl Leaving {
    /// Starts leaving; returns `false` if the daemon was already leaving.
    pub fn leave(&mut self, now: Now, cause: LeavingCause) -> bool {
        let is_first = self.cause.is_none();
        let is_new_signal = cause == LeavingCause::Signal && self.cause() != Some(cause);
        if is_first || is_new_signal {
            self.cause = Some((cause, now));
        }
        is_first
    }

    /// Cancels leaving and returns whether it did. Only the backend server and the VM list can revoke their cause.
    pub fn revoke(&mut self, cause: LeavingCause) -> bool {
        let is_revocable = matches!(cause, LeavingCause::Backend | LeavingCause::VmList);
        let is_revoked = is_revocable && self.cause.is_some_and(|(first, _)| first == cause);
        if is_revoked {
            self.cause = None;
        }
        is_revoked
    }

    /// The cause of leaving; `None` if the daemon is not leaving.
    pub fn cause(&self) -> Option<LeavingCause> {
        self.cause.map(|(cause, _)| cause)
    }

    /// Whether a process that received a stop signal has no requests in flight or has reached `timeout`.
    pub fn may_exit(&self, now: Now, in_flight: usize, timeout: Duration) -> bool {
        match self.cause {
            Some((LeavingCause::Signal, since)) => in_flight == 0 || now >= since + timeout,
            _ => false,
        }
    }
}
