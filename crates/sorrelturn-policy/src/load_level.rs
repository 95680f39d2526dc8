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
/// What a window's distance from the target adds to the level while the load is no more than the slots
/// can do. The loop's delay is the way of a request through its chain of calls, 300 to 600 ms or up to
/// twelve windows; with a gain of 0.15 and half of the load in the lowest rank the loop is damped
/// (0.15 x 0.75 x 0.5 x 12 = 0.68 < 1.57). Where the load is several times what the slots can do, a
/// step of the level changes several times as much, and the gain is divided by that.
const GAIN: f64 = 0.15;
/// The load and the part of it that is admitted are smoothed over about so many windows: as many as the
/// loop's delay, since what arrives was admitted by an earlier level.
const LOAD_WINDOWS: f64 = 12.0;
/// Requests that wait are asked for again as if they were to be worked off in this time.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// A window this far from the target counts no more than this.
const MOST_DISTANCE: f64 = 1.0;
/// The mean time of a request is smoothed over about so many.
const SMOOTHED_OVER: f64 = 50.0;
/// A daemon that runs less late than this has processor time left; where it is given out in pieces of
/// a tenth of a second, some wait is usual.
const LAG_BORNE: Duration = Duration::from_millis(30);
/// So much more counts like twice the work that the slots can do.
const LAG_SCALE: Duration = Duration::from_millis(100);
/// The most that running late counts for.
const LAG_MOST: f64 = 0.5;
/// How much of the way to the level that senders have learnt from all instances a window goes, so
/// that the instances of a service don't drift apart.
const CONSENSUS: f64 = 0.2;
/// The level's unit on the wire: so many steps refuse all that may be refused of one rank.
pub const LEVEL_STEPS: u16 = 256;
/// The largest share of a rank that is refused for the sake of others: no kind may be starved. What is
/// left of the lowest rank, a quarter, is a floor that the users' days have for each kind where one of
/// three instances of the smallest service is left (0.24).
const MOST_REFUSED: f64 = 0.75;
/// What may be refused besides once all ranks have given that up.
const MORE_REFUSED_OF_ALL: f64 = 0.21;
/// The highest level: the two ranks that the users' route tables have, and one for all alike. Higher,
/// it would only take longer to come down.
const MOST_LEVEL: f64 = 3.0;

/// An integral controller: the level rises while the slots are asked for too much and falls while
/// they aren't. Up to 1 it refuses so much of the lowest rank of root requests, from 1 to 2 all that
/// may be refused of it and so much of the next, and so on; see [`refuses`].
#[derive(Clone, Debug)]
pub struct LoadLevel {
    window_start: Now,
    arrived: f64,
    heard: f64,
    mean_time_s: f64,
    lag: Duration,
    level: f64,
    /// The smoothed part of the slots that is asked for, backlog left out.
    asked: f64,
    /// The smoothed part of the load that the level admits, if two ranks have half of it each.
    admitted: f64,
    since: Option<Now>,
}

impl LoadLevel {
    /// Starts without pressure.
    pub fn new(now: Now) -> Self {
        Self {
            window_start: now,
            arrived: 0.0,
            heard: 0.0,
            mean_time_s: 0.0,
            lag: Duration::ZERO,
            level: 0.0,
            asked: 0.0,
            admitted: 1.0,
            since: None,
        }
    }

    /// A request arrived whose sender has learnt this level.
    pub fn arrived(&mut self, level: u16) {
        self.arrived += 1.0;
        self.heard += f64::from(level) / f64::from(LEVEL_STEPS);
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
        let asked = self.arrived * self.mean_time_s / (length.as_secs_f64() * slot_s);
        let backlog = waiting as f64 * self.mean_time_s / (DRAIN_TIME.as_secs_f64() * slot_s);
        let late = self.lag.saturating_sub(LAG_BORNE).as_secs_f64() / LAG_SCALE.as_secs_f64();
        let mut distance = asked + backlog - TARGET;
        if late > 0.0 {
            distance = distance.max(late.min(LAG_MOST));
        }
        let distance = distance.clamp(-MOST_DISTANCE, MOST_DISTANCE);
        // After a quiet time one window stands for many.
        let windows = (length.as_secs_f64() / WINDOW.as_secs_f64()).min(20.0);
        self.smooth_load(asked, windows);
        let mut level = self.level + GAIN / self.load().max(1.0) * distance * windows;
        if self.arrived > 0.0 {
            level += CONSENSUS * (self.heard / self.arrived - self.level);
        }
        self.level = level.clamp(0.0, MOST_LEVEL);
        if self.level <= 0.0 {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.arrived = 0.0;
        self.heard = 0.0;
        self.window_start = now;
    }

    fn smooth_load(&mut self, asked: f64, windows: f64) {
        let part = (windows / LOAD_WINDOWS).min(1.0);
        self.asked += (asked - self.asked) * part;
        let admitted = 1.0 - (refused_of(self.level, 0) + refused_of(self.level, 1)) / 2.0;
        self.admitted += (admitted - self.admitted) * part;
    }

    /// What would be asked for if nothing were refused, as a multiple of what the slots can do.
    fn load(&self) -> f64 {
        self.asked / self.admitted
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
