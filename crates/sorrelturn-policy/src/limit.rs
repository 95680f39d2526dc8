//! How many requests a backend server is given at once. See `docs/design/admission.md`.

use crate::Now;
use std::time::Duration;

/// How an exchange with the backend server ended, as far as its limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It said that it sheds load, or let a deadline pass.
    Overloaded,
    /// It couldn't be reached or broke off.
    Failed,
    /// The caller went away first; says nothing about the backend server.
    Cancelled,
}

/// The factor by which a sign of overload cuts the limit.
const DECREASE_FACTOR: f64 = 0.85;
/// The share of the slots that the limit never falls below.
const MIN_LIMIT_FRACTION: f64 = 0.1;
/// The limit rises only while at least this share of it is in use; else nothing is learnt.
const MIN_UTILIZATION_FRACTION: f64 = 0.75;

/// A concurrency limit between a min_limit and the slots of the bundle.
///
/// It falls when the backend server says that it is overloaded, at most once a service time,
/// and rises by one for each limit's worth of answers. A cold start caps it for a while.
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
    /// A limit that starts at the slots and is capped while the backend server warms up.
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

    /// Takes over changed slots from a new bundle; what was learnt stays, within the new bounds.
    pub fn reconfigure(&mut self, slots: u32, cold_start: Duration) {
        let share = self.current / self.slots;
        self.slots = f64::from(slots.max(1));
        self.min_limit = (self.slots * MIN_LIMIT_FRACTION).max(1.0);
        self.current = (self.slots * share).clamp(self.min_limit, self.slots);
        self.cold_start = cold_start;
    }

    /// The limit now.
    pub fn get(&self, now: Now) -> u32 {
        self.current.min(self.cold_start_limit(now)) as u32
    }

    /// The smoothed time that the backend server takes for a request.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// The backend server was away and is back: it starts cold.
    pub fn restarted(&mut self, now: Now) {
        self.cold_since = now;
    }

    /// Learns from one exchange.
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
        let spacing = self.service_time.max(Duration::from_millis(1));
        if self.last_decrease.is_some_and(|last| now < last + spacing) {
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
        let warm = age.as_secs_f64() / self.cold_start.as_secs_f64();
        let start = (self.slots / 4.0).max(self.min_limit);
        start + (self.slots - start) * warm
    }
}
