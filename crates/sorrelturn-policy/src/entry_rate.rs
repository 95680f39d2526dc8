//! The rate at which an entry daemon may let in root requests of one kind.
//! See `docs/design/entry-queue.md`.

use crate::{Now, shedding_level::refused_fraction};
use std::time::Duration;

/// Time over which arrivals are averaged. It equals that of the load in the shedding level, so that
/// the arrivals times the share that the level admits is the room, also while both change.
const ARRIVAL_SMOOTHING_TIME: Duration = Duration::from_millis(600);
/// Time over which the known room rises towards what the level admits.
const ROOM_RISE_TIME: Duration = Duration::from_secs(1);
/// Time over which the known room falls after arrivals have become fewer, which takes no room away.
const ROOM_FALL_TIME: Duration = Duration::from_secs(3);
/// The same while the level refuses nothing, so that those that wait are let in if nobody else arrives.
const UNUSED_ROOM_FALL_TIME: Duration = Duration::from_secs(10);
/// Time over which the known room falls while the level rises.
const ROOM_LOSS_TIME: Duration = Duration::from_millis(600);
/// Time over which the level is averaged.
const LEVEL_SMOOTHING_TIME: Duration = Duration::from_millis(300);
/// Steps by which a level must exceed its average to count as rising.
const MIN_LEVEL_RISE: f64 = 16.0;
/// Rate without any refusals by the level, as a multiple of the arrivals, when no room is known.
const UNREFUSED_RATE_FACTOR: f64 = 1.1;
/// Number of shedding buckets of a rank.
const BUCKETS: f64 = 256.0;
/// Number of ranks that are told apart; higher ones count as the highest of them.
const MAX_RANKS: usize = 8;

/// A learned shedding level and the number of ranks that it applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelInForce {
    /// The level in steps of 1/[`LEVEL_STEPS`](crate::LEVEL_STEPS).
    pub level: u16,
    /// The number of ranks of root requests.
    pub rank_count: usize,
    /// The lowest shedding bucket that requests of the kind can have. Fewer of them are refused if it is above 0.
    pub lowest_bucket: u8,
}

impl LevelInForce {
    /// Returns the fraction of the kind's first attempts in a rank that the level refuses.
    fn refused_fraction(&self, rank: usize) -> f64 {
        let spared = f64::from(self.lowest_bucket) / BUCKETS;
        let refused = refused_fraction(self.level, rank, self.rank_count);
        ((refused - spared) / (1.0 - spared)).clamp(0.0, 1.0)
    }
}

/// Estimates the room of a kind at one entry daemon from its own arrivals and the learned level.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryRate {
    updated_at: Now,
    /// Smoothed first attempts per second, by rank.
    arrivals: [f64; MAX_RANKS],
    /// Requests per second that the level admits, or admitted before arrivals became fewer. Zero if
    /// the level has refused nothing yet.
    room: f64,
    /// The smoothed level, since the instances of a service tell different ones.
    level: f64,
}

impl EntryRate {
    /// Records the arrival of a first attempt. Retries aren't counted, since nearly all of them are
    /// refused.
    pub(crate) fn record_arrival(&mut self, rank: usize) {
        self.arrivals[rank.min(MAX_RANKS - 1)] += 1.0 / ARRIVAL_SMOOTHING_TIME.as_secs_f64();
    }

    /// Updates the estimate. Returns the time since the last update in seconds.
    pub(crate) fn update(&mut self, now: Now, level: LevelInForce) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let decay = (-elapsed_s / ARRIVAL_SMOOTHING_TIME.as_secs_f64()).exp();
        for arrivals in &mut self.arrivals {
            *arrivals *= decay;
        }
        self.update_room(elapsed_s, level);
        elapsed_s
    }

    fn update_room(&mut self, elapsed_s: f64, level: LevelInForce) {
        let had_no_level = self.level < 1.0;
        let told = f64::from(level.level);
        let is_rising = told > self.level + MIN_LEVEL_RISE;
        self.level += (told - self.level) * smoothing_step(elapsed_s, LEVEL_SMOOTHING_TIME);
        let admitted = self.admitted(LevelInForce {
            level: self.level as u16,
            ..level
        });
        if had_no_level && self.level >= 1.0 {
            self.room = self.room.max(admitted);
        }
        let smoothing_time = match admitted > self.room {
            true => ROOM_RISE_TIME,
            false if is_rising => ROOM_LOSS_TIME,
            false if level.level == 0 => UNUSED_ROOM_FALL_TIME,
            false => ROOM_FALL_TIME,
        };
        self.room += (admitted - self.room) * smoothing_step(elapsed_s, smoothing_time);
    }

    /// Returns the rate in requests per second at which requests may be let in.
    pub(crate) fn per_second(&self) -> f64 {
        if self.level >= 1.0 {
            return self.room;
        }
        let arrivals: f64 = self.arrivals.iter().sum();
        self.room.max(arrivals * UNREFUSED_RATE_FACTOR)
    }

    /// Returns how many of the arrivals per second a level admits.
    fn admitted(&self, level: LevelInForce) -> f64 {
        let by_rank = self.arrivals.iter().enumerate();
        by_rank
            .map(|(rank, arrivals)| arrivals * (1.0 - level.refused_fraction(rank)))
            .sum()
    }
}

/// Returns the weight of a new value after a time.
fn smoothing_step(elapsed_s: f64, smoothing_time: Duration) -> f64 {
    1.0 - (-elapsed_s / smoothing_time.as_secs_f64()).exp()
}
