//! The limit on requests that a backend server in need names in its responses.
//! See `docs/design/announced-limits.md`.

use crate::{
    Now,
    shedding_level::{LEVEL_STEPS, TARGET_LOAD, WINDOW, admitted_fraction, level_that_admits},
};
use sorrelturn_protocol::{Importance, RequestRate};
use std::time::Duration;

/// The requests that may be sent at once, as the time in which the limit allows that many.
const BURST: Duration = Duration::from_millis(250);
/// The lowest rate that is used, in requests per second. Only a response shows that a limit has ended, so even a backend
/// server that accepts none gets a request from time to time.
const MIN_PER_SECOND: f64 = 0.2;
/// The fraction of the burst that is kept for more important requests, for each step of importance above a request's.
const RESERVED_FRACTION: f64 = 0.25;
/// The load, in percent, that is reported when no further request is admitted for the moment.
const EXHAUSTED_LOAD_PERCENT: f64 = 200.0;
/// The time over which the offered load is averaged.
const LOAD_SMOOTHING: Duration = Duration::from_millis(600);
/// The range of the time for which callers avoid a backend server that refused a request.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Nobody tells callers that avoid it that its limit has ended.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// What one response says of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names no limit.
    Absent,
    /// It names a limit that isn't a rate.
    Unreadable,
    /// It names this limit.
    Rate(RequestRate),
}

/// The limit that one incarnation of a backend server has named, and the requests that it still allows.
///
/// All requests to a backend server pass through its own daemon, so counting them here bounds those of the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLimit {
    /// The id of the backend server, once it is known.
    backend: Option<String>,
    rate: Option<RequestRate>,
    /// When a response last named a limit, or when the limit was restored.
    named_at: Now,
    /// Whether a response of the backend server was seen.
    has_answered: bool,
    /// Requests that may be admitted now, as of `filled_at`.
    tokens: f64,
    filled_at: Now,
    offered: OfferedLoad,
}

impl AnnouncedLimit {
    /// Returns the limit that is in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies a response to a request that was sent at `sent_at`. Returns whether the limit changed.
    ///
    /// A response without a limit ends it only if its request was sent after a limit was last named: responses may
    /// overtake one another. An unreadable limit changes nothing, since the backend server still names one.
    pub fn record_answer(&mut self, now: Now, sent_at: Now, named: NamedLimit) -> bool {
        let before = self.rate;
        self.has_answered = true;
        match named {
            NamedLimit::Rate(rate) => self.set_rate(now, rate),
            NamedLimit::Absent if sent_at >= self.named_at => self.rate = None,
            NamedLimit::Absent | NamedLimit::Unreadable => {}
        }
        self.rate != before
    }

    /// Applies the limit that a backend server named to an earlier incarnation of this daemon, unless another backend
    /// server has taken its place or has answered this incarnation already. Returns whether the limit changed.
    pub fn restore(&mut self, now: Now, backend: &str, rate: RequestRate) -> bool {
        let is_other = self
            .backend
            .as_deref()
            .is_some_and(|known| known != backend);
        if is_other || self.has_answered {
            return false;
        }
        let before = self.rate;
        self.backend = Some(backend.to_owned());
        self.set_rate(now, rate);
        self.rate != before
    }

    /// Forgets the limit if it was named by another backend server than the one that accepts requests now.
    pub fn backend_started(&mut self, backend: &str) {
        if self.backend.as_deref() != Some(backend) {
            *self = Self {
                backend: Some(backend.to_owned()),
                ..Self::default()
            };
        }
    }

    fn set_rate(&mut self, now: Now, rate: RequestRate) {
        match self.rate {
            Some(_) => self.refill(now),
            None => {
                // Requests from before may still arrive, so none is admitted in advance.
                self.tokens = 0.0;
                self.filled_at = now;
                self.offered = OfferedLoad::new(now);
            }
        }
        self.rate = Some(rate);
        self.named_at = now;
    }

    /// Records an arrival that was admitted to the fleet at a shedding level.
    pub(crate) fn arrived(&mut self, now: Now, level: u16) {
        if let Some(rate) = self.rate {
            self.offered.arrived(now, level, used_rate(rate));
        }
    }

    /// Returns whether a request may be admitted. Requests of low importance leave some of the burst to others.
    pub(crate) fn has_token(
        &mut self,
        now: Now,
        importance: Importance,
        is_nested_call: bool,
    ) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        self.refill(now);
        let steps_below = Importance::Critical.rank() - importance.rank();
        // Refusing a nested call wastes the work of its parent.
        let steps_below = steps_below.saturating_sub(u8::from(is_nested_call));
        let reserved = (burst(rate) - 1.0) * RESERVED_FRACTION * f64::from(steps_below);
        self.tokens >= 1.0 + reserved
    }

    /// Records the admission of a request.
    pub(crate) fn take(&mut self, now: Now) {
        if self.rate.is_some() {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the load in percent, so that callers prefer other instances.
    pub(crate) fn load_percent(&self, now: Now) -> u16 {
        let Some(rate) = self.rate else {
            return 0;
        };
        let used = 1.0 - (self.tokens_at(now, rate) / burst(rate)).clamp(0.0, 1.0);
        (used * EXHAUSTED_LOAD_PERCENT) as u16
    }

    /// Returns the shedding level at which the arrivals would stay within the limit, if all instances of the service
    /// had a limit like this one.
    pub fn level(&mut self, now: Now) -> u16 {
        let Some(rate) = self.rate else {
            return 0;
        };
        self.offered.update(now, used_rate(rate));
        (self.offered.level() * f64::from(LEVEL_STEPS)) as u16
    }

    /// Returns how long more requests have arrived than the limit allows; `None` if they stay within it.
    pub fn overload_duration(&self, now: Now) -> Option<Duration> {
        self.rate?;
        let since = self.offered.overloaded_since?;
        Some(now.saturating_sub(since))
    }

    /// Returns how long each of `callers` should avoid this instance after a refusal. Together they then try it about as
    /// often as it accepts requests, however many they are.
    pub fn pause(&self, callers: usize) -> Option<Duration> {
        let seconds = callers as f64 / used_rate(self.rate?);
        let pause = Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()));
        Some(pause.max(MIN_PAUSE))
    }

    fn refill(&mut self, now: Now) {
        if let Some(rate) = self.rate {
            self.tokens = self.tokens_at(now, rate);
            self.filled_at = self.filled_at.max(now);
        }
    }

    fn tokens_at(&self, now: Now, rate: RequestRate) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + elapsed * used_rate(rate)).min(burst(rate))
    }
}

/// Returns the sustained rate of requests per second under a limit.
fn used_rate(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_PER_SECOND)
}

/// Returns the number of requests that may be admitted at once.
fn burst(rate: RequestRate) -> f64 {
    (used_rate(rate) * BURST.as_secs_f64()).max(1.0)
}

/// The load that would arrive if nothing were refused at the entries, as in [`crate::SheddingLevel`].
#[derive(Clone, Debug, Default)]
struct OfferedLoad {
    window_start: Now,
    /// Arrivals in this window, each weighted by the requests that it represents.
    demand: f64,
    /// Smoothed load as a multiple of the limit.
    load: f64,
    overloaded_since: Option<Now>,
}

impl OfferedLoad {
    fn new(now: Now) -> Self {
        Self {
            window_start: now,
            ..Self::default()
        }
    }

    fn arrived(&mut self, now: Now, level: u16, per_second: f64) {
        self.demand += 1.0 / admitted_fraction(f64::from(level) / f64::from(LEVEL_STEPS));
        self.update(now, per_second);
    }

    fn update(&mut self, now: Now, per_second: f64) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let load = self.demand / (elapsed.as_secs_f64() * per_second);
        let weight = (elapsed.as_secs_f64() / LOAD_SMOOTHING.as_secs_f64()).min(1.0);
        self.load += (load - self.load) * weight;
        if self.load <= TARGET_LOAD {
            self.overloaded_since = None;
        } else {
            self.overloaded_since.get_or_insert(now);
        }
        self.demand = 0.0;
        self.window_start = now;
    }

    fn level(&self) -> f64 {
        level_that_admits(TARGET_LOAD / self.load.max(f64::MIN_POSITIVE))
    }
}
