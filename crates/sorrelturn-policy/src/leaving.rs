//! Leaving without cutting anything off. See `docs/design/leaving.md`.

use crate::Now;
use std::time::Duration;

/// Why a daemon leaves; the first cause stays, but a signal takes the place of any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingCause {
    /// The process was told to stop.
    Signal,
    /// An operator asked for it.
    Operator,
    /// Its backend server says that it drains.
    Backend,
    /// The platform lists the VM as leaving.
    VmList,
}

/// Whether the daemon takes calls, and whether it may exit.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    cause: Option<(LeavingCause, Now)>,
}

impl Leaving {
    /// Starts leaving; returns whether this is news.
    pub fn leave(&mut self, now: Now, cause: LeavingCause) -> bool {
        let news = self.cause.is_none();
        let told_to_stop = cause == LeavingCause::Signal && self.cause() != Some(cause);
        if news || told_to_stop {
            self.cause = Some((cause, now));
        }
        news
    }

    /// The backend server or the VM list takes its word back; a signal or an operator doesn't.
    pub fn revoke(&mut self, cause: LeavingCause) -> bool {
        let revocable = matches!(cause, LeavingCause::Backend | LeavingCause::VmList);
        let taken_back = revocable && self.cause.is_some_and(|(first, _)| first == cause);
        if taken_back {
            self.cause = None;
        }
        taken_back
    }

    /// Why the daemon leaves, if it does.
    pub fn cause(&self) -> Option<LeavingCause> {
        self.cause.map(|(cause, _)| cause)
    }

    /// Whether a process that was told to stop has nothing more to carry, or has waited `most`.
    pub fn may_exit(&self, now: Now, in_flight: usize, most: Duration) -> bool {
        match self.cause {
            Some((LeavingCause::Signal, since)) => in_flight == 0 || now >= since + most,
            _ => false,
        }
    }
}
