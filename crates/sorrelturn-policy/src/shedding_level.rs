//! How much of the work for one service has to be refused where it begins.
//! See `docs/design/entry-admission.md`.

use crate::Now;
use std::time::Duration;

/// How often the level is set anew. Shorter windows hold too few requests of a small backend
/// server, longer ones add to the delay of the loop.
const WINDOW: Duration = Duration::from_millis(50);
/// The part of its slots that a backend server may be asked for: above it, waits begin to grow and
/// some backend servers slow down (their knee is at 0.95).
const TARGET_LOAD: f64 = 0.92;
/// The load is smoothed over about so many windows. It doesn't depend on what the level refuses, so smoothing it
/// adds nothing to the delay of the loop; in half a second, a backend server of 36 slots sees some 400 requests.
const LOAD_SMOOTHING_WINDOWS: f64 = 12.0;
/// Requests that wait are to be worked off in about this time: twice the way of a request through its chain of
/// calls, or what was refused for them would come on top of what has been worked off meanwhile.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);
/// The least part of the target that is admitted while requests wait.
const MIN_TARGET_FRACTION: f64 = 0.5;
/// What a window in which the daemon runs late adds to the level, for each part of the scale below; and what a
/// window takes back in which it doesn't, for each part of the slots that isn't asked for.
const LAG_GAIN: f64 = 0.15;
/// The mean time of a request is smoothed over about so many.
const TIME_SMOOTHING_REQUESTS: f64 = 50.0;
/// A daemon that runs less late than this has processor time left; where it is given out in pieces of
/// a tenth of a second, some wait is usual.
const TOLERATED_LAG: Duration = Duration::from_millis(30);
/// So much more counts like twice the work that the slots can do.
const LAG_SCALE: Duration = Duration::from_millis(100);
/// The most that running late counts for.
const MAX_LAG_STEP: f64 = 0.5;
/// The level's unit on the wire: so many steps refuse all that may be refused of one rank.
pub const LEVEL_STEPS: u16 = 256;
/// The largest share of a rank that is refused for the sake of others: no kind may be starved. The level holds it
/// exactly, so with three times the load of its slots 0.80 leaves critical requests 84 in 100 in good time at the first
/// try (0.75: 75) and the lowest rank 32 (0.75: 36), by `sorrelturn-bench returns` with one of three instances left.
const MAX_REFUSED_FRACTION: f64 = 0.80;
/// What may be refused besides once all ranks have given that up.
const MAX_EXTRA_REFUSED_FRACTION: f64 = 0.16;
/// The highest level: the two ranks that the users' route tables have, and one for all alike. Higher,
/// it would only take longer to come down.
const MAX_LEVEL: f64 = 3.0;

/// Works out the level from the load as it would be if nothing were refused.
///
/// Each request tells at which level its root was admitted, and so for how many it stands that were not. What they
/// stand for is the load, whatever the level is and was: the level that load_level it follows at once, and doesn't swing
/// with the time that requests take from their entry to here. Up to 1 it refuses so much of the lowest rank of root
/// requests, from 1 to 2 all that may be refused of it and so much of the next, and so on; see [`refuses`].
#[derive(Clone, Debug)]
pub struct SheddingLevel {
    window_start: Now,
    /// The requests that those stand for that arrived in this window.
    demand: f64,
    mean_service_time_s: f64,
    lag: Duration,
    /// What would be asked for if nothing were refused, as a multiple of what the slots can do; smoothed.
    load: f64,
    /// What running late adds.
    lag_level: f64,
    level: f64,
    since: Option<Now>,
}

impl SheddingLevel {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            demand: 0.0,
            mean_service_time_s: 0.0,
            lag: Duration::ZERO,
            load: 0.0,
            lag_level: 0.0,
            level: 0.0,
            since: None,
        }
    }

    /// A request arrived whose root was admitted at this level, as far as its sender knows.
    pub fn arrived(&mut self, level: u16) {
        self.demand += 1.0 / admitted_fraction(f64::from(level) / f64::from(LEVEL_STEPS));
    }

    /// The backend server service_time so long for a request.
    pub fn finished(&mut self, service_time: Duration) {
        let service_time = service_time.as_secs_f64();
        if self.mean_service_time_s == 0.0 {
            self.mean_service_time_s = service_time;
        }
        self.mean_service_time_s +=
            (service_time - self.mean_service_time_s) / TIME_SMOOTHING_REQUESTS;
    }

    /// The daemon itself runs so late: its processor is asked for too much.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Time has passed; so many requests wait for one of the slots.
    pub fn update(&mut self, now: Now, queued: usize, slots: u32) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let slot_count = f64::from(slots.max(1));
        let load = self.demand * self.mean_service_time_s / (elapsed.as_secs_f64() * slot_count);
        let windows = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        self.load += (load - self.load) * (windows / LOAD_SMOOTHING_WINDOWS).min(1.0);
        let backlog =
            queued as f64 * self.mean_service_time_s / (DRAIN_TIME.as_secs_f64() * slot_count);
        let target = (TARGET_LOAD - backlog).max(TARGET_LOAD * MIN_TARGET_FRACTION);
        let load_level = level_that_admits(target / self.load.max(f64::MIN_POSITIVE));
        self.update_lag_level(target, load_level, windows.min(20.0));
        self.level = (load_level + self.lag_level).min(MAX_LEVEL);
        if self.level <= 0.0 {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.demand = 0.0;
        self.window_start = now;
    }

    /// Slots tell nothing of a processor that is asked for too much, so what it takes is felt out.
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

    /// The level in steps.
    pub fn level(&self) -> u16 {
        (self.level * f64::from(LEVEL_STEPS)) as u16
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn pressure_duration(&self, now: Now) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }
}

/// The part of the load that a level admits, if two ranks have half of it each. Where they haven't, the load is
/// estimated wrong by as much as the level that it leads to, and the two cancel out.
fn admitted_fraction(level: f64) -> f64 {
    let refused = (refused_fraction_of_rank(level, 0) + refused_fraction_of_rank(level, 1)) / 2.0;
    let extra = (level - 2.0).clamp(0.0, 1.0) * MAX_EXTRA_REFUSED_FRACTION;
    1.0 - refused - extra
}

/// The lowest level that admits no more than this part of the load.
fn level_that_admits(fraction: f64) -> f64 {
    let refused = (1.0 - fraction).max(0.0);
    let rank_levels = refused.min(MAX_REFUSED_FRACTION) / (MAX_REFUSED_FRACTION / 2.0);
    let extra_level = (refused - MAX_REFUSED_FRACTION).max(0.0) / MAX_EXTRA_REFUSED_FRACTION;
    (rank_levels + extra_level).min(MAX_LEVEL)
}

/// The share of a rank that a level refuses for the sake of others.
fn refused_fraction_of_rank(level: f64, rank: usize) -> f64 {
    (level - rank as f64).clamp(0.0, 1.0) * MAX_REFUSED_FRACTION
}

/// Whether a level refuses a root request that is in the given bucket (0 to 255, lowest first) of
/// a rank: 0 for the lowest of the `ranks` that root requests have. Beyond the highest rank more is
/// refused of all alike, so that a service that has lost nearly all of its instances isn't buried.
pub fn refuses(level: u16, rank: usize, ranks: usize, bucket: u8) -> bool {
    let level = f64::from(level) / f64::from(LEVEL_STEPS);
    let of_rank = refused_fraction_of_rank(level, rank);
    let extra = (level - ranks as f64).clamp(0.0, 1.0) * MAX_EXTRA_REFUSED_FRACTION;
    f64::from(bucket) < (of_rank + extra) * 256.0
}
