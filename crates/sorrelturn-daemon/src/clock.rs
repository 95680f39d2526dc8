//! The clocks: one monotonic for every decision, one of the wall for people.

use sorrelturn_policy::Now;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the process started; never goes back, and goes on while the process is paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Now {
        self.start.elapsed()
    }
}

pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

pub(crate) fn unix_ms() -> u64 {
    unix_time().as_millis() as u64
}

pub(crate) fn unix_ns() -> u64 {
    unix_time().as_nanos() as u64
}
