//! How much of the work for one backend server has to be refused where it begins.
//! See `docs/design/entry-admission.md`.

use crate::Now;
use sorrelturn_protocol::{Importance, Priority};
use std::time::Duration;

/// How often the level is set anew. Shorter windows hold too few requests of a small backend
/// server, longer ones add to the delay of the loop.
const WINDOW: Duration = Duration::from_millis(50);
/// The share of the slots that may be in use or waited for: above it, waits begin to grow and some
/// backend servers slow down (their knee is at 0.95).
const TARGET: f64 = 0.9;
/// What a window's distance from the target adds to the level. The loop's delay is the way of a
/// request from its entry to the deepest service, about 300 ms or six windows; with a gain of 0.15
/// and half of the load in the lowest rank the loop is well damped (0.15 x 0.5 x 6 = 0.45 < 1.57).
const GAIN: f64 = 0.15;
/// A window this far from the target counts no more than this: a backlog drains within a second.
const MOST_DISTANCE: f64 = 1.0;
/// The largest share of a rank that is refused: no kind may be starved.
const MOST_REFUSED: f64 = 0.85;
/// The ranks that requests of route tables have, lowest first.
const RANKS: [Importance; 4] = Importance::ALL;

/// An integral controller: the level rises while the slots are asked for too much and falls while
/// they aren't. A level from 0 to 1 refuses so much of the lowest rank that is in use, from 1 to 2
/// all that may be refused of it and so much of the next, and so on.
#[derive(Clone, Debug)]
pub struct LoadLevel {
    window_start: Now,
    last: Now,
    /// Slots asked for, times seconds, in this window.
    asked: f64,
    in_use: [bool; RANKS.len()],
    level: f64,
    since: Option<Now>,
}

impl LoadLevel {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            last: now,
            asked: 0.0,
            in_use: [false; RANKS.len()],
            level: 0.0,
            since: None,
        }
    }

    /// Notes the time since the last call, with so many requests at the backend server or waiting.
    pub fn passed(&mut self, now: Now, requests: usize, slots: u32) {
        self.asked += now.saturating_sub(self.last).as_secs_f64() * requests as f64;
        self.last = now;
        if now >= self.window_start + WINDOW {
            self.end_window(now, slots);
        }
    }

    /// Notes a request that was refused, and how long it would have held a slot.
    pub fn refused(&mut self, service_time: Duration) {
        self.asked += service_time.as_secs_f64();
    }

    /// Requests of this rank exist. Ranks that don't are skipped by the level.
    pub fn saw(&mut self, importance: Importance) {
        self.in_use[usize::from(importance.rank())] = true;
    }

    /// Requests below this priority are to be refused where they begin.
    pub fn threshold(&self) -> Priority {
        if self.level <= 0.0 {
            return Priority::LOWEST;
        }
        let mut left = self.level;
        let mut last = Priority::LOWEST;
        for importance in self.ranks() {
            let share = left.min(1.0) * MOST_REFUSED;
            last = Priority::new(importance, (share * 256.0).min(255.0) as u8);
            left -= 1.0;
            if left <= 0.0 {
                break;
            }
        }
        last
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn lasting(&self, now: Now) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }

    fn ranks(&self) -> impl Iterator<Item = Importance> {
        let used = self.in_use;
        RANKS
            .into_iter()
            .filter(move |importance| used[usize::from(importance.rank())])
    }

    fn end_window(&mut self, now: Now, slots: u32) {
        let length = now.saturating_sub(self.window_start).as_secs_f64();
        let share = self.asked / (length * f64::from(slots.max(1)));
        let distance = (share - TARGET).clamp(-MOST_DISTANCE, MOST_DISTANCE);
        // After a quiet time one window stands for many.
        let windows = (length / WINDOW.as_secs_f64()).min(20.0);
        let most = self.ranks().count() as f64;
        self.level = (self.level + GAIN * distance * windows).clamp(0.0, most);
        if self.level <= 0.0 {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.asked = 0.0;
        self.window_start = now;
    }
}
