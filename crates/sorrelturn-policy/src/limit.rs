//! Adaptive concurrency limit of a backend server. See `docs/design/admission.md`.

use crate::Now;
use std::time::Duration;

/// How an exchange with the backend server ended, as the concurrency limit sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The backend server reported overload or missed the deadline.
    Overloaded,
    /// The backend server was unreachable or the connection broke.
    Failed,
    /// The caller cancelled; this says nothing about the backend server.
    Cancelled,
}

/// Applied to the limit on overload.
const DECREASE_FACTOR: f64 = 0.85;
/// Lower bound of the limit, as a fraction of the slots.
const MIN_LIMIT_FRACTION: f64 = 0.1;
/// The limit rises only while at least this fraction of it is in use.
const MIN_UTILIZATION_FRACTION: f64 = 0.75;

/// A concurrency limit between a minimum and the configured slots.
///
/// The limit decreases multiplicatively on overload, at most once per service time, and increases
/// by one for every `limit` answers. It is capped during the cold start of the backend server.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: f64,
    min_limit: f64,
    current: f64,
    cold_since: Now,
    cold_start: Duration,
    last_decrease: Option<Now>,
    service_time: Duration,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `slots` and is capped while the backend server warms up.
    pub fn new(slots: u32, cold_start: Duration, now: Now) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            min_limit: (slots * MIN_LIMIT_FRACTION).max(1.0),
            current: slots,
            cold_since: now,
            cold_start,
            last_decrease: None,
            service_time: Duration::ZERO,
        }
    }

    /// Applies a new number of slots and keeps the current limit relative to the slots.
    pub fn reconfigure(&mut self, slots: u32, cold_start: Duration) {
        let share = self.current / self.slots;
        self.slots = f64::from(slots.max(1));
        self.min_limit = (self.slots * MIN_LIMIT_FRACTION).max(1.0);
        self.current = (self.slots * share).clamp(self.min_limit, self.slots);
        self.cold_start = cold_start;
    }

    /// The current limit.
    pub fn get(&self, now: Now) -> u32 {
        self.current.min(self.cold_start_limit(now)) as u32
    }

    /// The moving average of the time that the backend server takes for a request.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Starts a new cold start after the backend server was unavailable.
    pub fn restarted(&mut self, now: Now) {
        self.cold_since = now;
    }

    /// Updates the limit after one exchange; `in_flight` includes that exchange.
    pub fn observe(&mut self, now: Now, outcome: Outcome, took: Duration, in_flight: u32) {
        match outcome {
            Outcome::Answered => {
                self.update_service_time(took);
                if f64::from(in_flight) >= self.current * MIN_UTILIZATION_FRACTION {
                    self.current = (self.current + 1.0 / self.current).min(self.slots);
                }
            }
            Outcome::Overloaded => self.decrease(now),
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    fn decrease(&mut self, now: Now) {
        let min_interval = self.service_time.max(Duration::from_millis(1));
        if self
            .last_decrease
            .is_some_and(|last| now < last + min_interval)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.current = (self.current * DECREASE_FACTOR).max(self.min_limit);
    }

    fn update_service_time(&mut self, took: Duration) {
        self.service_time = if self.service_time.is_zero() {
            took
        } else {
            (self.service_time * 7 + took) / 8
        };
    }

    fn cold_start_limit(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.cold_start {
            return self.slots;
        }
        let warm_fraction = age.as_secs_f64() / self.cold_start.as_secs_f64();
        let initial_limit = (self.slots / 4.0).max(self.min_limit);
        initial_limit + (self.slots - initial_limit) * warm_fraction
    }
}
