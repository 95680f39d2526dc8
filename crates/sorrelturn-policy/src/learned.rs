//! The shedding threshold of a request kind, as an entry daemon learns it from responses.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// How long a threshold stays unchanged without an update, and the time without updates after which a shedding level
/// is replaced by the next update instead of averaged with it.
const THRESHOLD_HOLD_TIME: Duration = Duration::from_millis(300);
/// How long a shedding level stays unchanged without an update; an entry daemon that refuses most requests receives
/// few. In a large fleet it gets an answer about once a second, and a level that falls in between admits requests that
/// then fail deep in the call tree.
const LEVEL_HOLD_TIME: Duration = Duration::from_millis(1_000);
/// After the hold time, the threshold falls by one step per interval, so that a few requests probe for recovery.
const DECAY_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the threshold for a call without a response, before averaging. Eight in a row refuse about half of a rank.
const NO_RESPONSE_STEP: u16 = 32;
/// The first step of the decay. Steps of a threshold double, steps of a shedding level are equal.
const DECAY_STEP: u64 = 16;

/// A threshold that is updated by responses, decays without updates, and is read for every request.
///
/// The value and its timestamp share one atomic word. A lost update between concurrent responses is
/// harmless because the next response repeats it.
#[derive(Debug, Default)]
pub struct LearnedThreshold {
    /// The timestamp in milliseconds above the threshold in the lowest 16 bits.
    word: AtomicU64,
    /// Whether this is a shedding level, which decays linearly and is replaced by the first update after a silence.
    is_level: bool,
}

impl LearnedThreshold {
    /// Creates a learned shedding level. It decays more slowly than a threshold because responses are rare while most
    /// requests are refused, and a fast decay would admit a burst between them.
    pub fn for_shedding_level() -> Self {
        Self {
            word: AtomicU64::new(0),
            is_level: true,
        }
    }

    /// Averages the current threshold with that of a response, since the instances of a service differ.
    pub fn observe(&self, now: Now, announced: Priority) {
        let sum = u32::from(self.current(now).0) + u32::from(announced.0);
        let next = if self.is_level && self.silent_ms(now) >= THRESHOLD_HOLD_TIME.as_millis() as u64
        {
            u32::from(announced.0)
        } else if announced == Priority::LOWEST {
            sum / 2
        } else {
            sum.div_ceil(2)
        };
        let word = (now.as_millis() as u64) << 16 | u64::from(next);
        self.word.store(word, Ordering::Relaxed);
    }

    /// Raises the threshold after a call without a timely response, which suggests overload.
    pub fn observe_no_response(&self, now: Now) {
        let raised = self.current(now).0.saturating_add(NO_RESPONSE_STEP);
        self.observe(now, Priority(raised.min(Priority::HIGHEST.0)));
    }

    /// The current threshold.
    pub fn current(&self, now: Now) -> Priority {
        let threshold = self.word.load(Ordering::Relaxed) & 0xFFFF;
        if threshold == 0 {
            return Priority::LOWEST;
        }
        let hold_time = if self.is_level {
            LEVEL_HOLD_TIME
        } else {
            THRESHOLD_HOLD_TIME
        };
        let decaying_ms = self
            .silent_ms(now)
            .saturating_sub(hold_time.as_millis() as u64);
        let steps = decaying_ms / DECAY_INTERVAL.as_millis() as u64;
        let decay = if self.is_level {
            DECAY_STEP * steps
        } else {
            DECAY_STEP * ((1 << steps.min(16)) - 1)
        };
        Priority(threshold.saturating_sub(decay) as u16)
    }

    /// The time since the last update.
    fn silent_ms(&self, now: Now) -> u64 {
        let updated_at_ms = self.word.load(Ordering::Relaxed) >> 16;
        (now.as_millis() as u64).saturating_sub(updated_at_ms)
    }
}
