//! The shedding level of a service, which determines the share of each rank of its root requests
//! that entry daemons refuse. The rank of a root request is the number of lower importances that
//! root requests have, and is higher for requests of more important workspaces.
//! See `docs/design/entry-admission.md`.

use crate::Now;
use std::time::Duration;

/// Interval at which the level is recomputed. Shorter windows hold too few requests of a small
/// backend server, longer ones delay the feedback.
pub(crate) const WINDOW: Duration = Duration::from_millis(50);
/// Fraction of its limit that a backend server should have in use. Above it, queueing delay grows.
/// Some backend servers slow down near their last slots.
pub(crate) const TARGET_LOAD: f64 = 0.92;
/// Number of windows over which the load is averaged. The offered load doesn't depend on the level,
/// so that smoothing it doesn't delay the feedback.
const LOAD_SMOOTHING_WINDOWS: f64 = 12.0;
/// Time in which the backlog of queued requests should drain. About twice the time of a request
/// through its chain of calls; if it were shorter, what was refused for the backlog would add to
/// what has drained meanwhile.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);
/// Minimum fraction of the target load that is admitted while a backlog drains.
const MIN_TARGET_FRACTION: f64 = 0.5;
/// Gain of the feedback loop that adapts the level to the scheduling lag of the daemon.
const LAG_GAIN: f64 = 0.15;
/// Number of requests over which the mean service time is averaged.
const TIME_SMOOTHING_REQUESTS: f64 = 50.0;
/// Scheduling lag below which the daemon counts as having spare processor time. CPU quotas are
/// enforced in periods of 100 ms, so some lag is normal.
const TOLERATED_LAG: Duration = Duration::from_millis(30);
/// Excess lag that counts like an overload of 100 % of the limit.
const LAG_SCALE: Duration = Duration::from_millis(100);
/// Maximum excess lag, in units of [`LAG_SCALE`], that one window accounts for.
const MAX_LAG_STEP: f64 = 0.5;
/// Number of steps on the wire that stand for a level of 1.0, which sheds one rank as far as
/// allowed.
pub const LEVEL_STEPS: u16 = 256;
/// Maximum share of a rank that is refused in favor of others, so that no kind of request starves.
const MAX_REFUSED_FRACTION: f64 = 0.80;
/// Share of all requests that may be refused in addition once every rank is at its maximum.
const MAX_EXTRA_REFUSED_FRACTION: f64 = 0.16;
/// Highest level: one for each of the two ranks of root requests, and one for all ranks together. A
/// higher one would only take longer to fall.
const MAX_LEVEL: f64 = 3.0;

/// Computes the level from the load that would arrive if nothing were refused.
///
/// Each request carries the level at which its root was admitted, which tells how many refused
/// requests it represents. Their sum is the offered load, independent of the current level, so the
/// matching level follows directly and doesn't oscillate with the delay between entry and backend
/// server. Levels from 0 to 1 refuse a growing share of the lowest rank of root requests, levels
/// from 1 to 2 also of the next rank, and levels from 2 to 3 a further share of all ranks; see
/// [`refuses`].
#[derive(Clone, Debug)]
pub struct SheddingLevel {
    window_start: Now,
    /// Arrivals in this window, each weighted by the requests that it represents.
    demand: f64,
    mean_service_time_s: f64,
    lag: Duration,
    /// Smoothed offered load as a multiple of the limit.
    load: f64,
    /// Level added because of the scheduling lag.
    lag_level: f64,
    level: f64,
    overloaded_since: Option<Now>,
}

impl SheddingLevel {
    /// Creates a level of zero.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            demand: 0.0,
            mean_service_time_s: 0.0,
            lag: Duration::ZERO,
            load: 0.0,
            lag_level: 0.0,
            level: 0.0,
            overloaded_since: None,
        }
    }

    /// Records a request whose root was admitted at `level`, as far as its sender knows.
    pub fn arrived(&mut self, level: u16) {
        self.demand += 1.0 / admitted_fraction(f64::from(level) / f64::from(LEVEL_STEPS));
    }

    /// Records how long the backend server took for a request.
    pub fn finished(&mut self, service_time: Duration) {
        let service_time = service_time.as_secs_f64();
        if self.mean_service_time_s == 0.0 {
            self.mean_service_time_s = service_time;
        }
        self.mean_service_time_s +=
            (service_time - self.mean_service_time_s) / TIME_SMOOTHING_REQUESTS;
    }

    /// Sets the scheduling lag of the daemon, a sign that its processor is overloaded.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Recomputes the level if a window has ended, given the number of queued requests and the
    /// steady concurrency limit.
    pub fn update(&mut self, now: Now, queued: usize, limit: u32) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let capacity = f64::from(limit.max(1));
        let load = self.demand * self.mean_service_time_s / (elapsed.as_secs_f64() * capacity);
        let windows = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        self.load += (load - self.load) * (windows / LOAD_SMOOTHING_WINDOWS).min(1.0);
        let backlog =
            queued as f64 * self.mean_service_time_s / (DRAIN_TIME.as_secs_f64() * capacity);
        let target = (TARGET_LOAD - backlog).max(TARGET_LOAD * MIN_TARGET_FRACTION);
        let load_level = level_that_admits(target / self.load.max(f64::MIN_POSITIVE));
        self.update_lag_level(target, load_level, windows.min(20.0));
        self.level = (load_level + self.lag_level).min(MAX_LEVEL);
        if self.level <= 0.0 {
            self.overloaded_since = None;
        } else {
            self.overloaded_since.get_or_insert(now);
        }
        self.demand = 0.0;
        self.window_start = now;
    }

    /// Adapts the lag level step by step, since the limit says nothing about processor load.
    fn update_lag_level(&mut self, target: f64, load_level: f64, windows: f64) {
        let excess_lag =
            self.lag.saturating_sub(TOLERATED_LAG).as_secs_f64() / LAG_SCALE.as_secs_f64();
        let admitted_load = self.load * admitted_fraction(load_level + self.lag_level);
        let error = if excess_lag > 0.0 {
            excess_lag.min(MAX_LAG_STEP)
        } else {
            (admitted_load - target).min(0.0)
        };
        let step = LAG_GAIN / self.load.max(1.0) * error * windows;
        self.lag_level = (self.lag_level + step).clamp(0.0, MAX_LEVEL);
    }

    /// Returns the level in steps of 1/[`LEVEL_STEPS`].
    pub fn level(&self) -> u16 {
        (self.level * f64::from(LEVEL_STEPS)) as u16
    }

    /// Returns how long the level has been above zero, or `None` if it is zero.
    pub fn overload_duration(&self, now: Now) -> Option<Duration> {
        self.overloaded_since.map(|since| now.saturating_sub(since))
    }
}

/// Returns the fraction of the load that a level admits, assuming that two ranks have half of the
/// load each. If they don't, the estimated load is off by the same factor as the level derived from
/// it, and the errors cancel out.
pub(crate) fn admitted_fraction(level: f64) -> f64 {
    let refused = (refused_fraction_of_rank(level, 0) + refused_fraction_of_rank(level, 1)) / 2.0;
    let extra = (level - 2.0).clamp(0.0, 1.0) * MAX_EXTRA_REFUSED_FRACTION;
    1.0 - refused - extra
}

/// Returns the lowest level that admits at most this fraction of the load.
pub(crate) fn level_that_admits(fraction: f64) -> f64 {
    let refused = (1.0 - fraction).max(0.0);
    let rank_levels = refused.min(MAX_REFUSED_FRACTION) / (MAX_REFUSED_FRACTION / 2.0);
    let extra_level = (refused - MAX_REFUSED_FRACTION).max(0.0) / MAX_EXTRA_REFUSED_FRACTION;
    (rank_levels + extra_level).min(MAX_LEVEL)
}

/// Returns the fraction of a rank that a level refuses in favor of other ranks.
fn refused_fraction_of_rank(level: f64, rank: usize) -> f64 {
    (level - rank as f64).clamp(0.0, 1.0) * MAX_REFUSED_FRACTION
}

/// Returns whether a level refuses a root request in the given shedding bucket (0 to 255, lowest
/// refused first) of a rank, where 0 is the lowest of the `ranks` of root requests. Levels above
/// `ranks` refuse more of all ranks alike, which protects a service that has lost nearly all of its
/// instances.
pub fn refuses(level: u16, rank: usize, ranks: usize, bucket: u8) -> bool {
    f64::from(bucket) < refused_fraction(level, rank, ranks) * 256.0
}

/// Returns the fraction of a rank's root requests that a level refuses; see [`refuses`].
pub(crate) fn refused_fraction(level: u16, rank: usize, ranks: usize) -> f64 {
    let level = f64::from(level) / f64::from(LEVEL_STEPS);
    let of_rank = refused_fraction_of_rank(level, rank);
    let extra = (level - ranks as f64).clamp(0.0, 1.0) * MAX_EXTRA_REFUSED_FRACTION;
    of_rank + extra
}
