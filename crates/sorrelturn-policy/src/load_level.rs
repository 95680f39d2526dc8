//! How much of the work for one service has to be refused where it begins.
//! See `docs/design/entry-admission.md`.

use crate::Now;
use std::time::Duration;

/// How often the level is set anew. Shorter windows hold too few requests of a small backend
/// server, longer ones add to the delay of the loop.
const WINDOW: Duration = Duration::from_millis(50);
/// The part of its slots that a backend server may be asked for: above it, waits begin to grow and
/// some backend servers slow down (their knee is at 0.95).
const TARGET: f64 = 0.92;
/// The load is smoothed over about so many windows. It doesn't depend on what the level refuses, so smoothing it
/// adds nothing to the delay of the loop; in half a second, a backend server of 36 slots sees some 400 requests.
const LOAD_WINDOWS: f64 = 12.0;
/// Requests that wait are to be worked off in about this time: twice the way of a request through its chain of
/// calls, or what was refused for them would come on top of what has been worked off meanwhile.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);
/// The least part of the target that is admitted while requests wait.
const LEAST_OF_TARGET: f64 = 0.5;
/// What a window in which the daemon runs late adds to the level, for each part of the scale below; and what a
/// window takes back in which it doesn't, for each part of the slots that isn't asked for.
const LAG_GAIN: f64 = 0.15;
/// The mean time of a request is smoothed over about so many.
const SMOOTHED_OVER: f64 = 50.0;
/// A daemon that runs less late than this has processor time left; where it is given out in pieces of
/// a tenth of a second, some wait is usual.
const LAG_BORNE: Duration = Duration::from_millis(30);
/// So much more counts like twice the work that the slots can do.
const LAG_SCALE: Duration = Duration::from_millis(100);
/// The most that running late counts for.
const LAG_MOST: f64 = 0.5;
/// The level's unit on the wire: so many steps refuse all that may be refused of one rank.
pub const LEVEL_STEPS: u16 = 256;
/// The largest share of a rank that is refused for the sake of others: no kind may be starved. The level holds it
/// exactly, so with three times the load of its slots 0.80 leaves critical requests 84 in 100 in good time at the first
/// try (0.75: 75) and the lowest rank 32 (0.75: 36), by `sorrelturn-bench returns` with one of three instances left.
const MOST_REFUSED: f64 = 0.80;
/// What may be refused besides once all ranks have given that up.
const MORE_REFUSED_OF_ALL: f64 = 0.16;
/// The highest level: the two ranks that the users' route tables have, and one for all alike. Higher,
/// it would only take longer to come down.
const MOST_LEVEL: f64 = 3.0;

/// Works out the level from the load as it would be if nothing were refused.
///
/// Each request tells at which level its root was admitted, and so for how many it stands that were not. What they
/// stand for is the load, whatever the level is and was: the level that fits it follows at once, and doesn't swing
/// with the time that requests take from their entry to here. Up to 1 it refuses so much of the lowest rank of root
/// requests, from 1 to 2 all that may be refused of it and so much of the next, and so on; see [`refuses`].
#[derive(Clone, Debug)]
pub struct LoadLevel {
    window_start: Now,
    /// The requests that those stand for that arrived in this window.
    asked: f64,
    mean_time_s: f64,
    lag: Duration,
    /// What would be asked for if nothing were refused, as a multiple of what the slots can do; smoothed.
    load: f64,
    /// What running late adds.
    for_lag: f64,
    level: f64,
    since: Option<Now>,
}

impl LoadLevel {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            asked: 0.0,
            mean_time_s: 0.0,
            lag: Duration::ZERO,
            load: 0.0,
            for_lag: 0.0,
            level: 0.0,
            since: None,
        }
    }

    /// A request arrived whose root was admitted at this level, as far as its sender knows.
    pub fn arrived(&mut self, level: u16) {
        self.asked += 1.0 / admitted(f64::from(level) / f64::from(LEVEL_STEPS));
    }

    /// The backend server took so long for a request.
    pub fn finished(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean_time_s == 0.0 {
            self.mean_time_s = took;
        }
        self.mean_time_s += (took - self.mean_time_s) / SMOOTHED_OVER;
    }

    /// The daemon itself runs so late: its processor is asked for too much.
    pub fn lags(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Time has passed; so many requests wait for one of the slots.
    pub fn passed(&mut self, now: Now, waiting: usize, slots: u32) {
        let length = now.saturating_sub(self.window_start);
        if length < WINDOW {
            return;
        }
        let slot_s = f64::from(slots.max(1));
        let load = self.asked * self.mean_time_s / (length.as_secs_f64() * slot_s);
        let windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        self.load += (load - self.load) * (windows / LOAD_WINDOWS).min(1.0);
        let backlog = waiting as f64 * self.mean_time_s / (DRAIN_TIME.as_secs_f64() * slot_s);
        let target = (TARGET - backlog).max(TARGET * LEAST_OF_TARGET);
        let fits = level_that_admits(target / self.load.max(f64::MIN_POSITIVE));
        self.pass_lag(target, fits, windows.min(20.0));
        self.level = (fits + self.for_lag).min(MOST_LEVEL);
        if self.level <= 0.0 {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.asked = 0.0;
        self.window_start = now;
    }

    /// Slots tell nothing of a processor that is asked for too much, so what it takes is felt out.
    fn pass_lag(&mut self, target: f64, fits: f64, windows: f64) {
        let late = self.lag.saturating_sub(LAG_BORNE).as_secs_f64() / LAG_SCALE.as_secs_f64();
        let asked = self.load * admitted(fits + self.for_lag);
        let distance = if late > 0.0 {
            late.min(LAG_MOST)
        } else {
            (asked - target).min(0.0)
        };
        let step = LAG_GAIN / self.load.max(1.0) * distance * windows;
        self.for_lag = (self.for_lag + step).clamp(0.0, MOST_LEVEL);
    }

    /// The level in steps.
    pub fn level(&self) -> u16 {
        (self.level * f64::from(LEVEL_STEPS)) as u16
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn lasting(&self, now: Now) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }
}

/// The part of the load that a level admits, if two ranks have half of it each. Where they haven't, the load is
/// estimated wrong by as much as the level that it leads to, and the two cancel out.
fn admitted(level: f64) -> f64 {
    let refused = (refused_of(level, 0) + refused_of(level, 1)) / 2.0;
    let of_all = (level - 2.0).clamp(0.0, 1.0) * MORE_REFUSED_OF_ALL;
    1.0 - refused - of_all
}

/// The lowest level that admits no more than this part of the load.
fn level_that_admits(part: f64) -> f64 {
    let refused = (1.0 - part).max(0.0);
    let of_ranks = refused.min(MOST_REFUSED) / (MOST_REFUSED / 2.0);
    let of_all = (refused - MOST_REFUSED).max(0.0) / MORE_REFUSED_OF_ALL;
    (of_ranks + of_all).min(MOST_LEVEL)
}

/// The share of a rank that a level refuses for the sake of others.
fn refused_of(level: f64, rank: usize) -> f64 {
    (level - rank as f64).clamp(0.0, 1.0) * MOST_REFUSED
}

/// Whether a level refuses a root request that is in the given bucket (0 to 255, lowest first) of
/// a rank: 0 for the lowest of the `ranks` that root requests have. Beyond the highest rank more is
/// refused of all alike, so that a service that has lost nearly all of its instances isn't buried.
pub fn refuses(level: u16, rank: usize, ranks: usize, bucket: u8) -> bool {
    let level = f64::from(level) / f64::from(LEVEL_STEPS);
    let of_rank = refused_of(level, rank);
    let of_all = (level - ranks as f64).clamp(0.0, 1.0) * MORE_REFUSED_OF_ALL;
    f64::from(bucket) < (of_rank + of_all) * 256.0
}
