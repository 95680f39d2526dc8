//! The threshold that an owner daemon announces: below it, requests are being shed.
//! See `docs/design/admission.md`.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::time::Duration;

/// How long requests are counted before the threshold is set anew.
const WINDOW: Duration = Duration::from_millis(50);
/// A mean wait above this is a sign of overload even while nothing is shed.
const MAX_MEAN_QUEUEING_DELAY: Duration = Duration::from_millis(10);
/// Priorities that share a counter.
const BUCKET_WIDTH: usize = 8;
const BUCKETS: usize = (Priority::HIGHEST.0 as usize + 1) / BUCKET_WIDTH;
/// The share of the admitted requests that an overloaded window aims at for the next one.
const ADMITTED_FRACTION: f64 = 0.97;
/// What is left of the counts of earlier windows. A small instance sees a handful of requests in
/// a window; without memory the threshold follows their noise.
const DECAY_FACTOR: f64 = 0.7;
/// Quiet windows in which the threshold falls by one step each before the steps double.
const CONSTANT_STEP_WINDOWS: u32 = 4;

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
    admitted_in_window: u32,
    queueing_delay_sum: Duration,
    highest_shed: Option<usize>,
    is_busy: bool,
    threshold_bucket: usize,
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
            admitted_in_window: 0,
            queueing_delay_sum: Duration::ZERO,
            highest_shed: None,
            is_busy: false,
            threshold_bucket: 0,
            quiet_windows: 0,
            since: None,
        }
    }

    /// A request arrived at the gate.
    pub fn arrived(&mut self, now: Now, priority: Priority) {
        self.advance(now);
        self.arrived[bucket(priority)] += 1.0;
    }

    /// A request was admitted after this wait.
    pub fn admitted(&mut self, queueing_delay: Duration) {
        self.admitted += 1.0;
        self.admitted_in_window += 1;
        self.queueing_delay_sum += queueing_delay;
    }

    /// Nearly all slots are taken.
    pub fn mark_busy(&mut self) {
        self.is_busy = true;
    }

    /// A request was refused or pushed out for lack of room.
    pub fn shed(&mut self, priority: Priority) {
        self.highest_shed = self.highest_shed.max(Some(bucket(priority)));
    }

    /// Requests below this priority are being shed.
    pub fn threshold(&mut self, now: Now) -> Priority {
        self.advance(now);
        Priority((self.threshold_bucket * BUCKET_WIDTH) as u16)
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn pressure_duration(&self, now: Now) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }

    fn advance(&mut self, now: Now) {
        while now >= self.window_start + WINDOW {
            match self.highest_shed {
                Some(highest) => self.raise_threshold(highest),
                None if self.is_queueing_delay_high() => self.quiet_windows = 0,
                None => self.lower_threshold(),
            }
            self.start_next_window();
            let is_idle = self.threshold_bucket == 0 && now > self.window_start + WINDOW;
            if is_idle {
                self.window_start = now;
            }
        }
    }

    fn start_next_window(&mut self) {
        for count in &mut self.arrived {
            *count *= DECAY_FACTOR;
        }
        self.admitted *= DECAY_FACTOR;
        self.admitted_in_window = 0;
        self.queueing_delay_sum = Duration::ZERO;
        self.highest_shed = None;
        self.is_busy = false;
        self.window_start += WINDOW;
    }

    fn is_queueing_delay_high(&self) -> bool {
        self.queueing_delay_sum / self.admitted_in_window.max(1) > MAX_MEAN_QUEUEING_DELAY
    }

    fn raise_threshold(&mut self, highest_shed: usize) {
        self.quiet_windows = 0;
        self.since.get_or_insert(self.window_start);
        let capacity = self.admitted * ADMITTED_FRACTION;
        let mut arrivals_above = 0.0;
        let mut threshold_bucket = BUCKETS - 1;
        while threshold_bucket > self.threshold_bucket {
            arrivals_above += self.arrived[threshold_bucket];
            if arrivals_above > capacity {
                break;
            }
            threshold_bucket -= 1;
        }
        self.threshold_bucket = threshold_bucket
            .min(highest_shed + 1)
            .min(BUCKETS - 1)
            .max(self.threshold_bucket);
    }

    fn lower_threshold(&mut self) {
        let doublings = self
            .quiet_windows
            .saturating_sub(CONSTANT_STEP_WINDOWS)
            .min(7);
        self.quiet_windows += 1;
        self.threshold_bucket = self.threshold_bucket.saturating_sub(1 << doublings);
        if !self.is_busy {
            // Slots stayed free through the whole window: what is shed for them is shed in vain.
            self.threshold_bucket /= 2;
        }
        if self.threshold_bucket == 0 {
            self.since = None;
        }
    }
}

fn bucket(priority: Priority) -> usize {
    (usize::from(priority.0) / BUCKET_WIDTH).min(BUCKETS - 1)
}
