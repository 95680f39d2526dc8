//! The threshold that an owner daemon announces: below it, requests are being shed.
//! See `docs/design/admission.md`.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::time::Duration;

/// How long requests are counted before the threshold is set anew.
const WINDOW: Duration = Duration::from_millis(50);
/// A mean wait above this is a sign of overload even while nothing is shed.
const WAIT_TARGET: Duration = Duration::from_millis(10);
/// Priorities that share a counter.
const BUCKET_WIDTH: usize = 8;
const BUCKETS: usize = (Priority::HIGHEST.0 as usize + 1) / BUCKET_WIDTH;
/// The share of the admitted requests that an overloaded window aims at for the next one.
const AIM_PERCENT: u64 = 97;

/// Counts what arrives by priority and finds the threshold that fits the capacity.
///
/// Raising works on the histogram of a window, so that it is right at once whatever the mix of
/// priorities. Lowering can't: entry daemons already shed what it would count. It goes in steps
/// that double while nothing is shed, so that the end of an overload is found in a few windows.
#[derive(Clone, Debug)]
pub struct Pressure {
    window_start: Now,
    arrived: [u32; BUCKETS],
    admitted: u64,
    shed: u64,
    waited: Duration,
    cut: usize,
    step: usize,
    since: Option<Now>,
}

impl Pressure {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            arrived: [0; BUCKETS],
            admitted: 0,
            shed: 0,
            waited: Duration::ZERO,
            cut: 0,
            step: 1,
            since: None,
        }
    }

    /// A request arrived at the gate.
    pub fn arrived(&mut self, now: Now, priority: Priority) {
        self.roll(now);
        self.arrived[bucket(priority)] += 1;
    }

    /// A request was admitted after this wait.
    pub fn admitted(&mut self, wait: Duration) {
        self.admitted += 1;
        self.waited += wait;
    }

    /// A request was refused or pushed out for lack of room.
    pub fn shed(&mut self) {
        self.shed += 1;
    }

    /// Requests below this priority are being shed.
    pub fn threshold(&mut self, now: Now) -> Priority {
        self.roll(now);
        Priority((self.cut * BUCKET_WIDTH) as u16)
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn lasting(&self, now: Now) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }

    fn roll(&mut self, now: Now) {
        while now >= self.window_start + WINDOW {
            if self.overloaded() {
                self.raise();
                self.since.get_or_insert(self.window_start);
            } else {
                self.lower();
            }
            self.arrived = [0; BUCKETS];
            (self.admitted, self.shed) = (0, 0);
            self.waited = Duration::ZERO;
            self.window_start += WINDOW;
            if self.cut == 0 && now > self.window_start + WINDOW {
                self.window_start = now;
            }
        }
    }

    fn overloaded(&self) -> bool {
        let mean_wait = self.waited / (self.admitted.max(1) as u32);
        self.shed > 0 || mean_wait > WAIT_TARGET
    }

    fn raise(&mut self) {
        self.step = 1;
        let room = self.admitted * AIM_PERCENT / 100;
        let mut above = 0;
        let mut cut = BUCKETS - 1;
        while cut > self.cut {
            above += u64::from(self.arrived[cut]);
            if above > room {
                break;
            }
            cut -= 1;
        }
        self.cut = cut.max(self.cut);
    }

    fn lower(&mut self) {
        self.cut = self.cut.saturating_sub(self.step);
        self.step = (self.step * 2).min(BUCKETS);
        if self.cut == 0 {
            self.since = None;
        }
    }
}

fn bucket(priority: Priority) -> usize {
    (usize::from(priority.0) / BUCKET_WIDTH).min(BUCKETS - 1)
}
