//! The priority threshold that an owner daemon announces: it sheds requests below it.
//! See `docs/design/admission.md`.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::time::Duration;

/// Interval at which the threshold is recomputed.
const WINDOW: Duration = Duration::from_millis(50);
/// A higher mean queueing delay indicates overload even while nothing is shed.
const MAX_MEAN_QUEUEING_DELAY: Duration = Duration::from_millis(10);
/// Number of priorities that share a counter.
const BUCKET_WIDTH: usize = 8;
const BUCKETS: usize = (Priority::HIGHEST.0 as usize + 1) / BUCKET_WIDTH;
/// Fraction of the requests admitted so far that a raised threshold aims to admit.
const ADMITTED_FRACTION: f64 = 0.97;
/// Factor by which the counts of earlier windows decay. Small instances get only a few requests per
/// window, and without these counts the threshold would follow noise.
const DECAY_FACTOR: f64 = 0.7;
/// Number of quiet windows that lower the threshold by one step each before the steps double.
const CONSTANT_STEP_WINDOWS: u32 = 4;

/// Counts arrivals by priority and finds the threshold that fits the capacity.
///
/// The threshold is raised from a histogram of arrivals, so it fits any mix of priorities at once
/// and never exceeds what was actually shed here. The histogram can't be used to lower it, because
/// entry daemons already shed part of the arrivals. Instead, the threshold falls in steps that
/// double while nothing is shed, and is also halved while slots stay free, so that it reaches zero
/// within a few windows after an overload.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
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

impl OverloadDetector {
    /// Creates a threshold of zero.
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

    /// Records a request that arrived at the gate.
    pub fn arrived(&mut self, now: Now, priority: Priority) {
        self.advance(now);
        self.arrived[bucket(priority)] += 1.0;
    }

    /// Records a request that was admitted after this queueing delay.
    pub fn admitted(&mut self, queueing_delay: Duration) {
        self.admitted += 1.0;
        self.admitted_in_window += 1;
        self.queueing_delay_sum += queueing_delay;
    }

    /// Records that nearly all slots are in use.
    pub fn mark_busy(&mut self) {
        self.is_busy = true;
    }

    /// Records a request that was refused or evicted for lack of capacity.
    pub fn shed(&mut self, priority: Priority) {
        self.highest_shed = self.highest_shed.max(Some(bucket(priority)));
    }

    /// Returns the threshold: requests below this priority are shed.
    pub fn threshold(&mut self, now: Now) -> Priority {
        self.advance(now);
        Priority((self.threshold_bucket * BUCKET_WIDTH) as u16)
    }

    /// Returns how long the threshold has been above zero, or `None` if it is zero.
    pub fn overload_duration(&self, now: Now) -> Option<Duration> {
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
            // Slots stayed free through the whole window, so the threshold sheds more than
            // necessary.
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
