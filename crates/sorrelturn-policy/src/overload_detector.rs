//! Detects overload of a backend server and computes the priority threshold that its daemon
//! announces, which sheds requests below it.
//! See `docs/design/admission.md`.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::time::Duration;

/// Interval at which the threshold is recomputed.
const WINDOW: Duration = Duration::from_millis(50);
/// A higher mean queueing delay indicates overload even while nothing is shed.
const MAX_MEAN_QUEUEING_DELAY: Duration = Duration::from_millis(10);
/// Number of priorities that share a bin of the histogram.
const BIN_WIDTH: usize = 8;
const BINS: usize = (Priority::HIGHEST.0 as usize + 1) / BIN_WIDTH;
/// Fraction of the recently admitted requests that a raised threshold aims to admit.
const ADMITTED_FRACTION: f64 = 0.97;
/// Factor by which the counts of earlier windows decay. Small instances get only a few requests per
/// window, and without these counts the threshold would follow noise.
const DECAY_FACTOR: f64 = 0.7;
/// Number of quiet windows after the first that lower the threshold by one bin each before the steps
/// double.
const CONSTANT_STEP_WINDOWS: u32 = 4;

/// Counts arrivals by priority and finds the threshold that sheds what exceeds the capacity.
///
/// The threshold is raised from a histogram of arrivals, so it fits any mix of priorities at once
/// and never exceeds what was actually shed here. The histogram can't be used to lower it, because
/// entry daemons already shed part of the arrivals. Instead, the threshold falls in steps that
/// double while nothing is shed, and is also halved while slots stay free, so that it reaches zero
/// within a few windows after an overload.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    window_end: Now,
    arrived: [f64; BINS],
    admitted: f64,
    admitted_in_window: u32,
    queueing_delay_sum: Duration,
    highest_shed: Option<usize>,
    is_busy: bool,
    threshold_bin: usize,
    quiet_windows: u32,
    overloaded_since: Option<Now>,
}

impl OverloadDetector {
    /// Creates a threshold of zero.
    pub fn new(now: Now) -> Self {
        Self {
            window_end: now + WINDOW,
            arrived: [0.0; BINS],
            admitted: 0.0,
            admitted_in_window: 0,
            queueing_delay_sum: Duration::ZERO,
            highest_shed: None,
            is_busy: false,
            threshold_bin: 0,
            quiet_windows: 0,
            overloaded_since: None,
        }
    }

    /// Records a request that arrived at the gate.
    pub fn arrived(&mut self, now: Now, priority: Priority) {
        self.advance(now);
        self.arrived[bin_of(priority)] += 1.0;
    }

    /// Records a request that was admitted after this queueing delay.
    pub fn admitted(&mut self, queueing_delay: Duration) {
        self.admitted += 1.0;
        self.admitted_in_window += 1;
        self.queueing_delay_sum += queueing_delay;
    }

    /// Records that the concurrency limit is nearly reached.
    pub fn mark_busy(&mut self) {
        self.is_busy = true;
    }

    /// Records a request that was refused or evicted for lack of capacity.
    pub fn shed(&mut self, priority: Priority) {
        self.highest_shed = self.highest_shed.max(Some(bin_of(priority)));
    }

    /// Returns the threshold: requests below this priority are shed.
    pub fn threshold(&mut self, now: Now) -> Priority {
        self.advance(now);
        Priority((self.threshold_bin * BIN_WIDTH) as u16)
    }

    /// Returns how long the threshold has been above zero, or `None` if it is zero.
    pub fn overload_duration(&self, now: Now) -> Option<Duration> {
        self.overloaded_since.map(|since| now.saturating_sub(since))
    }

    fn advance(&mut self, now: Now) {
        if now >= self.window_end {
            self.close_windows(now);
        }
    }

    /// Kept out of the calls that only compare the time, which are most of them.
    #[cold]
    fn close_windows(&mut self, now: Now) {
        while now >= self.window_end {
            match self.highest_shed {
                Some(highest) => self.raise_threshold(highest),
                None if self.is_queueing_delay_high() => self.quiet_windows = 0,
                None => self.lower_threshold(),
            }
            self.start_next_window();
            let is_idle = self.threshold_bin == 0 && now > self.window_end;
            if is_idle {
                self.window_end = now + WINDOW;
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
        self.window_end += WINDOW;
    }

    fn is_queueing_delay_high(&self) -> bool {
        self.queueing_delay_sum / self.admitted_in_window.max(1) > MAX_MEAN_QUEUEING_DELAY
    }

    fn raise_threshold(&mut self, highest_shed: usize) {
        self.quiet_windows = 0;
        let window_start = self.window_end.saturating_sub(WINDOW);
        self.overloaded_since.get_or_insert(window_start);
        let target_admissions = self.admitted * ADMITTED_FRACTION;
        let mut arrivals_above = 0.0;
        let mut threshold_bin = BINS - 1;
        while threshold_bin > self.threshold_bin {
            arrivals_above += self.arrived[threshold_bin];
            if arrivals_above > target_admissions {
                break;
            }
            threshold_bin -= 1;
        }
        self.threshold_bin = threshold_bin
            .min(highest_shed + 1)
            .min(BINS - 1)
            .max(self.threshold_bin);
    }

    fn lower_threshold(&mut self) {
        let doublings = self
            .quiet_windows
            .saturating_sub(CONSTANT_STEP_WINDOWS)
            .min(7);
        self.quiet_windows += 1;
        self.threshold_bin = self.threshold_bin.saturating_sub(1 << doublings);
        if !self.is_busy {
            // Slots stayed free through the whole window, so the threshold sheds more than
            // necessary.
            self.threshold_bin /= 2;
        }
        if self.threshold_bin == 0 {
            self.overloaded_since = None;
        }
    }
}

fn bin_of(priority: Priority) -> usize {
    (usize::from(priority.0) / BIN_WIDTH).min(BINS - 1)
}
