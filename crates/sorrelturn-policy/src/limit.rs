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
    Broke,
    /// The caller went away first; says nothing about the backend server.
    Cancelled,
}

/// The factor by which a sign of overload cuts the limit.
const DECREASE: f64 = 0.85;
/// The share of the slots that the limit never falls below.
const FLOOR_SHARE: f64 = 0.1;
/// The limit rises only while at least this share of it is in use; else nothing is learnt.
const BUSY_SHARE: f64 = 0.75;

/// A concurrency limit between a floor and the slots of the bundle.
///
/// It falls when the backend server says that it is overloaded, at most once a service time,
/// and rises by one for each limit's worth of answers. A cold start caps it for a while.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: f64,
    floor: f64,
    current: f64,
    cold_since: Now,
    cold_start: Duration,
    last_cut: Option<Now>,
    service_time: Duration,
}

impl AdaptiveLimit {
    /// A limit that starts at the slots and is capped while the backend server warms up.
    pub fn new(slots: u32, cold_start: Duration, now: Now) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            floor: (slots * FLOOR_SHARE).max(1.0),
            current: slots,
            cold_since: now,
            cold_start,
            last_cut: None,
            service_time: Duration::ZERO,
        }
    }

    /// Takes over changed slots from a new bundle; what was learnt stays, within the new bounds.
    pub fn reconfigure(&mut self, slots: u32, cold_start: Duration) {
        let share = self.current / self.slots;
        self.slots = f64::from(slots.max(1));
        self.floor = (self.slots * FLOOR_SHARE).max(1.0);
        self.current = (self.slots * share).clamp(self.floor, self.slots);
        self.cold_start = cold_start;
    }

    /// The limit now.
    pub fn get(&self, now: Now) -> u32 {
        self.current.min(self.cold_cap(now)) as u32
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
                self.smooth(took);
                if f64::from(in_flight) >= self.current * BUSY_SHARE {
                    self.current = (self.current + 1.0 / self.current).min(self.slots);
                }
            }
            Outcome::Overloaded => self.cut(now),
            Outcome::Broke | Outcome::Cancelled => {}
        }
    }

    fn cut(&mut self, now: Now) {
        let spacing = self.service_time.max(Duration::from_millis(1));
        if self.last_cut.is_some_and(|last| now < last + spacing) {
            return;
        }
        self.last_cut = Some(now);
        self.current = (self.current * DECREASE).max(self.floor);
    }

    fn smooth(&mut self, took: Duration) {
        self.service_time = if self.service_time.is_zero() {
            took
        } else {
            (self.service_time * 7 + took) / 8
        };
    }

    fn cold_cap(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.cold_start {
            return self.slots;
        }
        let warm = age.as_secs_f64() / self.cold_start.as_secs_f64();
        let start = (self.slots / 4.0).max(self.floor);
        start + (self.slots - start) * warm
    }
}
