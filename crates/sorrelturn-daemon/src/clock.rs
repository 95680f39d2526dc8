//! A monotonic clock for decisions, and the wall clock for timestamps.

use nix::time::{ClockId, clock_gettime};
use sorrelturn_policy::Now;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at zero when it is created. It includes the time while the process is paused or its VM
/// is suspended.
///
/// The runtime's timers and [`std::time::Instant`] stop while a VM is suspended, but other daemons continue: their
/// timeouts and leases expire. Every duration that depends on other daemons is therefore measured by this clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now and reads the time since boot.
    pub fn system() -> Self {
        Self::from_source(since_boot)
    }

    /// Creates a clock that starts now and reads its time with `read`.
    pub fn from_source(read: fn() -> Duration) -> Self {
        Self {
            read,
            start: read(),
        }
    }

    /// Returns the time since this clock was created.
    pub fn now(&self) -> Now {
        (self.read)().saturating_sub(self.start)
    }

    /// Returns the time since `then`, or zero if `then` is in the future.
    pub(crate) fn elapsed_since(&self, then: Now) -> Duration {
        self.now().saturating_sub(then)
    }
}

/// Returns the time since the VM booted, including the time while it was suspended.
pub fn since_boot() -> Duration {
    // Fails only if the kernel lacks this clock; Linux has had it since 2.6.39.
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
