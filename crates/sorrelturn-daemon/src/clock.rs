//! The clocks: one for every decision, one of the wall for people.

use nix::time::{ClockId, clock_gettime};
use sorrelturn_policy::Now;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time since the process started; never goes back, and goes on while the process is paused or its VM suspended.
///
/// The runtime's timers and [`std::time::Instant`] stand still while a VM is suspended. What others do goes on
/// meanwhile: they give up, close connections, and forget. So nothing that is compared with what others know is measured by them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// The system's clock, from now on.
    pub fn system() -> Self {
        Self::from_source(since_boot)
    }

    /// A clock that is read like this, from now on.
    pub fn from_source(read: fn() -> Duration) -> Self {
        Self {
            read,
            start: read(),
        }
    }

    /// What has passed since the start.
    pub fn now(&self) -> Now {
        (self.read)().saturating_sub(self.start)
    }

    /// What has passed since a point in time.
    pub(crate) fn elapsed_since(&self, then: Now) -> Duration {
        self.now().saturating_sub(then)
    }
}

/// What has passed since the VM started, the time that it was suspended included.
pub fn since_boot() -> Duration {
    // It fails for a clock that the kernel doesn't have, and every kernel since 2.6.39 has this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
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
