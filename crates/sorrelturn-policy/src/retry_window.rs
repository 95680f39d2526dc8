//! Limits the retries of one daemon to one service in a sliding window.
//! See `docs/design/retries.md`.

use crate::Now;
use sorrelturn_protocol::Precedence;
use std::{collections::VecDeque, time::Duration};

/// Number of slices that a window is divided into.
const SLICES: usize = 20;
/// The limit follows from the window with the fewest first attempts among those that ended within
/// this many slices, since the bound must hold for any of them.
const LOOKBACK_SLICES: usize = SLICES / 2;
/// Fraction of the retry ratio that is used. The rest covers load that moves between daemons.
const RATIO_FRACTION: f64 = 0.75;
/// Fraction of the retry ratio that is used for the window ending now, the only one available after
/// a start. It is lower because windows that end up to a quarter of a window earlier or later may
/// contain only half as many attempts.
const LAST_WINDOW_RATIO_FRACTION: f64 = 0.4;

/// Fraction of the allowed retries for those of a lower precedence while others of a higher one are wanted. A request
/// completes only if all of its calls do, so that retries spread over all complete few.
const LOWER_PRECEDENCE_FRACTION: f64 = 0.2;
/// Fraction of the allowed retries beyond which those of a lower precedence leave the rest to others, if some of a higher
/// one were wanted within the window.
const UNRESERVED_FRACTION: f64 = 0.8;
/// Fraction of the allowed retries up to which repeated requests may run that call the service. The rest is left to
/// retries of calls, each of which saves a request whose other work is already done.
const FRACTION_FOR_CALLS_OF_REPEATS: f64 = 0.7;
/// Number of slices for which a wanted retry counts as wanted now.
const DEMAND_SLICES: u64 = 2;

/// Attempts in one slice of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first_attempts: f64,
    retries: f64,
    /// Those of the retries that had a lower precedence than others.
    lower_retries: f64,
    /// Calls that repeated requests made.
    calls_of_repeats: f64,
    /// Calls that the repeated requests which were let in were expected to make.
    expected_calls_of_repeats: f64,
}

/// Counts first attempts and retries in a sliding window.
///
/// Each daemon is limited by its own first attempts, so all daemons together stay within the bound
/// without coordination, even after restarts. The limit counts attempts rather than successes,
/// because successes become rare just when a service refuses much and retries are needed.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    slice_length: Duration,
    ratio: f64,
    slack: f64,
    /// Slices with attempts, oldest first.
    slices: VecDeque<Slice>,
    /// Retries allowed in the window that ends with the newest slice, computed when that slice
    /// began.
    allowed: f64,
    /// Retries made in that window.
    retries: f64,
    /// Those of the retries that had a lower precedence than others.
    lower_retries: f64,
    /// Calls that repeated requests made in that window.
    calls_of_repeats: f64,
    /// Calls that the repeated requests which were let in in that window were expected to make.
    expected_calls_of_repeats: f64,
    /// The highest precedence of a wanted retry, and the slice in which it was wanted last.
    highest_wanted: (Precedence, u64),
}

impl RetryWindow {
    /// Allows `ratio` retries per first attempt, plus `slack`, in each window.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            slice_length: (window / SLICES as u32).max(Duration::from_millis(1)),
            ratio,
            slack,
            slices: VecDeque::new(),
            allowed: slack,
            retries: 0.0,
            lower_retries: 0.0,
            calls_of_repeats: 0.0,
            expected_calls_of_repeats: 0.0,
            highest_wanted: (Precedence::default(), 0),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: Now) {
        self.current_slice(now).first_attempts += 1.0;
    }

    /// Records a call made by a request that may itself be a repeat; `repeat_share` of the call
    /// counts as a retry, whoever caused the repeat.
    pub fn record_call_of_repeat(&mut self, now: Now, repeat_share: f64) {
        let current = self.current_slice(now);
        current.first_attempts += 1.0 - repeat_share;
        current.calls_of_repeats += repeat_share;
        self.calls_of_repeats += repeat_share;
    }

    /// Returns whether a repeated request may run that makes this many calls to the service.
    pub fn has_room_for_calls_of_repeat(&mut self, now: Now, calls: f64) -> bool {
        self.current_slice(now);
        self.used() + calls <= self.allowed * FRACTION_FOR_CALLS_OF_REPEATS
    }

    /// Reserves retries for the calls of a repeated request that is let in. They count until the calls themselves do.
    pub fn expect_calls_of_repeat(&mut self, now: Now, calls: f64) {
        self.current_slice(now).expected_calls_of_repeats += calls;
        self.expected_calls_of_repeats += calls;
    }

    /// Gives back what was reserved for a repeated request that didn't run after all.
    pub fn forget_expected_calls(&mut self, now: Now, calls: f64) {
        self.expect_calls_of_repeat(now, -calls);
    }

    /// Returns the retries of the current window, with the calls of repeated requests. The expected number of these is
    /// an estimate, and the requests that make them may have been let in by daemons further up.
    fn used(&self) -> f64 {
        self.retries + self.calls_of_repeats.max(self.expected_calls_of_repeats)
    }

    /// Records a retry if the limit allows it. Returns whether it does.
    pub fn try_retry(&mut self, now: Now) -> bool {
        self.current_slice(now);
        let is_allowed = self.used() + 1.0 <= self.allowed;
        if is_allowed {
            self.current_slice(now).retries += 1.0;
            self.retries += 1.0;
        }
        is_allowed
    }

    /// Records a retry for a root request of this precedence if the limit allows it. Returns whether it does.
    ///
    /// While retries of a higher precedence are wanted, most of the limit is left to them.
    pub fn try_retry_of(&mut self, now: Now, precedence: Precedence) -> bool {
        let number = self.current_slice(now).number;
        let (highest, wanted_in) = self.highest_wanted;
        if precedence >= highest || number > wanted_in + SLICES as u64 {
            self.highest_wanted = (precedence, number);
            return self.try_retry(now);
        }
        let is_wanted_now = number <= wanted_in + DEMAND_SLICES;
        let is_left_to_others = match is_wanted_now {
            true => self.lower_retries + 1.0 > self.allowed * LOWER_PRECEDENCE_FRACTION,
            false => self.used() + 1.0 > self.allowed * UNRESERVED_FRACTION,
        };
        let is_allowed = !is_left_to_others && self.try_retry(now);
        if is_allowed {
            self.current_slice(now).lower_retries += 1.0;
            self.lower_retries += 1.0;
        }
        is_allowed
    }

    /// Computes, from the preceding slices, the limit that applies during slice `number`.
    fn update_limit(&mut self, number: u64) {
        let window_slices = SLICES as u64;
        let first_attempts_in_window = |slices_ago: u64| {
            let end = number - 1 - slices_ago;
            self.sum_between(end + 1 - window_slices, end, |slice| slice.first_attempts)
        };
        let last = first_attempts_in_window(0);
        let minimum = (1..=LOOKBACK_SLICES as u64)
            .map(first_attempts_in_window)
            .fold(last, f64::min);
        let counted = (minimum * RATIO_FRACTION).max(last * LAST_WINDOW_RATIO_FRACTION);
        self.allowed = self.slack + self.ratio * counted;
        // Includes the slice before the window, whose end may lie in it.
        let oldest = number - window_slices;
        self.retries = self.sum_between(oldest, number, |slice| slice.retries);
        self.lower_retries = self.sum_between(oldest, number, |slice| slice.lower_retries);
        self.calls_of_repeats = self.sum_between(oldest, number, |slice| slice.calls_of_repeats);
        self.expected_calls_of_repeats =
            self.sum_between(oldest, number, |slice| slice.expected_calls_of_repeats);
    }

    /// Sums over the slices from one number to another, both inclusive.
    fn sum_between(&self, from: u64, to: u64, count: impl Fn(&Slice) -> f64) -> f64 {
        let in_range = self
            .slices
            .iter()
            .filter(|slice| (from..=to).contains(&slice.number));
        in_range.map(count).sum()
    }

    fn current_slice(&mut self, now: Now) -> &mut Slice {
        // The offset keeps the numbers of earlier slices from underflowing.
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
            self.update_limit(number);
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }
}
