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
const AIM: f64 = 0.97;
/// What is left of the counts of earlier windows. A small instance sees a handful of requests in
/// a window; without memory the threshold follows their noise.
const MEMORY: f64 = 0.7;
/// Quiet windows in which the threshold falls by one step each before the steps double.
const EVEN_STEPS: u32 = 4;

/// Counts what arrives by priority and finds the threshold that fits the capacity.
///
/// Raising works on a histogram of arrivals, so that it is right at once whatever the mix of
/// priorities, and never goes above what was really shed here. Lowering can't use it: entry
/// daemons already shed what it would count. It goes in steps that double while nothing is shed,
/// and halves the threshold besides while slots stay free, so that the end of an overload is found
/// in a few windows.
#[derive(Clone, Debug)]
pub struct Pressure {
    window_start: Now,
    arrived: [f64; BUCKETS],
    admitted: f64,
    admitted_now: u32,
    waited: Duration,
    highest_shed: Option<usize>,
    busy: bool,
    cut: usize,
    quiet_windows: u32,
    since: Option<Now>,
}

impl Pressure {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            arrived: [0.0; BUCKETS],
            admitted: 0.0,
            admitted_now: 0,
            waited: Duration::ZERO,
            highest_shed: None,
            busy: false,
            cut: 0,
            quiet_windows: 0,
            since: None,
        }
    }

    /// A request arrived at the gate.
    pub fn arrived(&mut self, now: Now, priority: Priority) {
        self.roll(now);
        self.arrived[bucket(priority)] += 1.0;
    }

    /// A request was admitted after this wait.
    pub fn admitted(&mut self, wait: Duration) {
        self.admitted += 1.0;
        self.admitted_now += 1;
        self.waited += wait;
    }

    /// Nearly all slots are taken.
    pub fn busy(&mut self) {
        self.busy = true;
    }

    /// A request was refused or pushed out for lack of room.
    pub fn shed(&mut self, priority: Priority) {
        self.highest_shed = self.highest_shed.max(Some(bucket(priority)));
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
            match self.highest_shed {
                Some(highest) => self.raise(highest),
                None if self.waits_too_long() => self.quiet_windows = 0,
                None => self.lower(),
            }
            self.next_window();
            let idle = self.cut == 0 && now > self.window_start + WINDOW;
            if idle {
                self.window_start = now;
            }
        }
    }

    fn next_window(&mut self) {
        for count in &mut self.arrived {
            *count *= MEMORY;
        }
        self.admitted *= MEMORY;
        self.admitted_now = 0;
        self.waited = Duration::ZERO;
        self.highest_shed = None;
        self.busy = false;
        self.window_start += WINDOW;
    }

    fn waits_too_long(&self) -> bool {
        self.waited / self.admitted_now.max(1) > WAIT_TARGET
    }

    fn raise(&mut self, highest_shed: usize) {
        self.quiet_windows = 0;
        self.since.get_or_insert(self.window_start);
        let room = self.admitted * AIM;
        let mut above = 0.0;
        let mut cut = BUCKETS - 1;
        while cut > self.cut {
            above += self.arrived[cut];
            if above > room {
                break;
            }
            cut -= 1;
        }
        self.cut = cut.min(highest_shed + 1).min(BUCKETS - 1).max(self.cut);
    }

    fn lower(&mut self) {
        let doublings = self.quiet_windows.saturating_sub(EVEN_STEPS).min(7);
        self.quiet_windows += 1;
        self.cut = self.cut.saturating_sub(1 << doublings);
        if !self.busy {
            // Slots stayed free through the whole window: what is shed for them is shed in vain.
            self.cut /= 2;
        }
        if self.cut == 0 {
            self.since = None;
        }
    }
}

fn bucket(priority: Priority) -> usize {
    (usize::from(priority.0) / BUCKET_WIDTH).min(BUCKETS - 1)
}
