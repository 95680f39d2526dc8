//! The threshold of a kind of request as an entry daemon learns it from answers.

use crate::Now;
use sorrelturn_protocol::Priority;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// So long a threshold stands without news; an entry sees few requests of a kind in a second.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// The same of a level. In a large fleet an entry that refuses most of a kind has an answer of it about once a second:
/// a level that falls between two answers lets in what fails deep. With 95 daemons, half as many of the critical
/// requests do (8.8 to 4.3 in 100, `experiments/large-fleet.jsonc`). The end of an overload is told by answers all the same,
/// since no level refuses all of a kind.
const LEVEL_HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Then it falls by one step in this time, so that recovery is found by probes.
const DECAY_TIME: Duration = Duration::from_millis(50);
/// What one call without an answer adds before it is taken halfway: eight in a row refuse about half
/// of a rank.
const NO_ANSWER_STEP: u16 = 32;
/// The first step; each further one without news is twice as large.
const DECAY_STEP: u64 = 16;

/// Learns from answers, forgets by itself, and is read on the path of every request.
///
/// The value and its time share one atomic word. A lost update between two racing answers is
/// harmless: the next answer brings the same news.
#[derive(Debug, Default)]
pub struct LearnedThreshold {
    /// The time in milliseconds above, the threshold in the lowest 16 bits.
    word: AtomicU64,
    /// Whether it falls evenly and is taken over whole after a silence.
    is_level: bool,
}

impl LearnedThreshold {
    /// Learns a level of load. Where most requests are refused, answers are few and far between, and a
    /// level that fell as fast as a threshold would let a burst in after each of them.
    pub fn for_shedding_level() -> Self {
        Self {
            word: AtomicU64::new(0),
            is_level: true,
        }
    }

    /// Takes the threshold of an answer, halfway: the instances of a service differ, and their
    /// mean is what the next request will meet.
    pub fn observe(&self, now: Now, announced: Priority) {
        let sum = u32::from(self.current(now).0) + u32::from(announced.0);
        let next = if self.is_level && self.silent_ms(now) >= HOLD_TIME.as_millis() as u64 {
            u32::from(announced.0)
        } else if announced == Priority::LOWEST {
            sum / 2
        } else {
            sum.div_ceil(2)
        };
        let word = (now.as_millis() as u64) << 16 | u64::from(next);
        self.word.store(word, Ordering::Relaxed);
    }

    /// A call had no answer in time: whoever should have told the threshold is too busy for it.
    pub fn observe_no_answer(&self, now: Now) {
        let raised = self.current(now).0.saturating_add(NO_ANSWER_STEP);
        self.observe(now, Priority(raised.min(Priority::HIGHEST.0)));
    }

    /// The threshold now.
    pub fn current(&self, now: Now) -> Priority {
        let learnt = self.word.load(Ordering::Relaxed) & 0xFFFF;
        if learnt == 0 {
            return Priority::LOWEST;
        }
        let held = if self.is_level {
            LEVEL_HOLD_TIME
        } else {
            HOLD_TIME
        };
        let falling_ms = self.silent_ms(now).saturating_sub(held.as_millis() as u64);
        let steps = falling_ms / DECAY_TIME.as_millis() as u64;
        let fallen = if self.is_level {
            DECAY_STEP * steps
        } else {
            DECAY_STEP * ((1 << steps.min(16)) - 1)
        };
        Priority(learnt.saturating_sub(fallen) as u16)
    }

    /// How long nothing was learnt.
    fn silent_ms(&self, now: Now) -> u64 {
        let learnt_at_ms = self.word.load(Ordering::Relaxed) >> 16;
        (now.as_millis() as u64).saturating_sub(learnt_at_ms)
    }
}
