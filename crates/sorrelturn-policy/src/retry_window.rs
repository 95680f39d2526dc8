//! The retries that one daemon may make at one service, in each window of time.
//! See `docs/design/retries.md`.

use crate::Now;
use std::{collections::VecDeque, time::Duration};

/// A window is counted in so many slices.
const SLICES: usize = 20;
/// Retries are allowed by the least that was sent in any window that ended within this part of a window ago:
/// whoever counts may take a window that ends then.
const LOOKBACK_SLICES: usize = SLICES / 2;
/// The part of the ratio that is used of it. The rest covers what one daemon can't know: that load moves from one
/// to another in between.
const RATIO_FRACTION: f64 = 0.75;
/// The part of the ratio that is used of what was sent in the window that ends now. After a start it is all
/// there is; windows that end a quarter later or earlier hold half of it at least.
const LAST_WINDOW_RATIO_FRACTION: f64 = 0.4;

/// What was sent in one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first_attempts: f64,
    retries: f64,
}

/// Counts first sendings and those that follow in a sliding window.
///
/// Each daemon is bounded by what it sent itself, so the sum over all daemons keeps the bound without talk, also
/// after a restart. What was sent counts, and not what succeeded: where a service turns many away, successes dry
/// up just when retries are needed.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    slice_length: Duration,
    ratio: f64,
    slack: f64,
    /// The oldest first; slices in which nothing was sent are left out.
    slices: VecDeque<Slice>,
    /// What may be sent again in the window that ends with the newest part, as worked out when that began.
    allowed: f64,
    /// What was sent again in it.
    retries: f64,
}

impl RetryWindow {
    /// Allows `ratio` retries for each first sending, and `slack` besides, in each window of this length.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            slice_length: (window / SLICES as u32).max(Duration::from_millis(1)),
            ratio,
            slack,
            slices: VecDeque::new(),
            allowed: slack,
            retries: 0.0,
        }
    }

    /// Something is sent for the first time.
    pub fn record_first_attempt(&mut self, now: Now) {
        self.current_slice(now).first_attempts += 1.0;
    }

    /// Something is sent that counts as a retry for this part, whoever caused it: a call that a repeated
    /// request makes.
    pub fn record_call_of_repeat(&mut self, now: Now, retry_fraction: f64) {
        let current = self.current_slice(now);
        current.first_attempts += 1.0 - retry_fraction;
        current.retries += retry_fraction;
        self.retries += retry_fraction;
    }

    /// Takes the price of one retry if it is allowed.
    pub fn take(&mut self, now: Now) -> bool {
        self.current_slice(now);
        let is_allowed = self.retries + 1.0 <= self.allowed;
        if is_allowed {
            self.current_slice(now).retries += 1.0;
            self.retries += 1.0;
        }
        is_allowed
    }

    /// A part has begun: what its window allows follows from the slices before it, and stands until it ends.
    fn start_slice(&mut self, number: u64) {
        let window = SLICES as u64;
        let first_attempts_in_window = |slices_ago: u64| {
            let end = number - 1 - slices_ago;
            self.sum_between(end + 1 - window, end, |slice| slice.first_attempts)
        };
        let last = first_attempts_in_window(0);
        let minimum = (1..=LOOKBACK_SLICES as u64)
            .map(first_attempts_in_window)
            .fold(last, f64::min);
        let counted = (minimum * RATIO_FRACTION).max(last * LAST_WINDOW_RATIO_FRACTION);
        self.allowed = self.slack + self.ratio * counted;
        // The part before the window may lie in it with its end.
        self.retries = self.sum_between(number - window, number, |slice| slice.retries);
    }

    /// The sum over the slices from one number to another, both included.
    fn sum_between(&self, from: u64, to: u64, count: impl Fn(&Slice) -> f64) -> f64 {
        let in_range = self
            .slices
            .iter()
            .filter(|slice| (from..=to).contains(&slice.number));
        in_range.map(count).sum()
    }

    fn current_slice(&mut self, now: Now) -> &mut Slice {
        // Numbers begin high enough for those of earlier windows.
        let number = (now.as_nanos() / self.slice_length.as_nanos()) as u64 + 2 * SLICES as u64;
        let oldest_retained = number - (SLICES + LOOKBACK_SLICES + 1) as u64;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number < oldest_retained)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.start_slice(number);
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }
}
