//! Which attempts an owner works on and has lately ended, so that whoever misses an answer can ask.
//! See `docs/design/silent-connections.md`.

use sorrelturn_protocol::{AttemptId, AttemptStatus};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

type Now = Duration;

/// How long an attempt is remembered after its end, about 100 bytes each. Whoever waits asks every two
/// seconds at the latest; one that asks later than this is told that it may have run.
const ENDED_KEPT: Duration = Duration::from_secs(5);
/// How long an attempt is refused that never came. Its connection is closed when that is known, and what a
/// network held up of it comes within seconds.
const FENCED_KEPT: Duration = Duration::from_secs(60);
/// A question may have been this long on its way: its sender waits for half a second and no longer.
const QUESTION_TRAVELS: Duration = Duration::from_secs(1);

/// Attempts in the order in which they were put in last.
#[derive(Debug, Default)]
struct Recent {
    order: VecDeque<(Now, AttemptId)>,
    /// When each was put in last.
    known: HashMap<AttemptId, Now>,
}

impl Recent {
    fn put(&mut self, now: Now, attempt: AttemptId) {
        self.known.insert(attempt, now);
        self.order.push_back((now, attempt));
    }

    fn contains(&self, attempt: AttemptId) -> bool {
        self.known.contains_key(&attempt)
    }

    /// Forgets the oldest if it was put in before `since`, and not again since then; returns when it was.
    fn forget_before(&mut self, since: Now) -> Option<Now> {
        let (at, attempt) = *self.order.front()?;
        if at >= since {
            return None;
        }
        self.order.pop_front();
        if self.known.get(&attempt) == Some(&at) {
            self.known.remove(&attempt);
        }
        Some(at)
    }
}

/// The attempts of other daemons' calls at their owner.
#[derive(Debug, Default)]
pub struct AttemptRegister {
    /// How often each is at work: a token may be asked for twice at once.
    at_work: HashMap<AttemptId, u32>,
    ended: Recent,
    fenced: Recent,
    /// When the last one ended that is forgotten.
    forgotten_until: Option<Now>,
}

impl AttemptRegister {
    /// An attempt came; returns whether it may run. One that was said to have never come may not.
    pub fn begin(&mut self, now: Now, attempt: AttemptId) -> bool {
        self.forget(now);
        if self.fenced.contains(attempt) {
            return false;
        }
        *self.at_work.entry(attempt).or_default() += 1;
        true
    }

    /// An attempt is over.
    pub fn end(&mut self, now: Now, attempt: AttemptId) {
        if let Some(times) = self.at_work.get_mut(&attempt) {
            *times -= 1;
            if *times == 0 {
                self.at_work.remove(&attempt);
            }
        }
        self.ended.put(now, attempt);
    }

    /// What became of an attempt that its sender sent so long ago. One that never came is fenced off.
    pub fn fate(&mut self, now: Now, attempt: AttemptId, sent_ago: Duration) -> AttemptStatus {
        self.forget(now);
        if self.at_work.contains_key(&attempt) {
            return AttemptStatus::AtWork;
        }
        let sent = now.checked_sub(sent_ago + QUESTION_TRAVELS);
        let may_be_forgotten = self
            .forgotten_until
            .is_some_and(|until| sent.is_none_or(|sent| until >= sent));
        if may_be_forgotten || self.ended.contains(attempt) {
            return AttemptStatus::Over;
        }
        self.fenced.put(now, attempt);
        AttemptStatus::NeverCame
    }

    /// Each attempt brings one, so two a time keep up with them.
    fn forget(&mut self, now: Now) {
        for _ in 0..2 {
            let since = now.saturating_sub(ENDED_KEPT);
            if let Some(ended) = self.ended.forget_before(since) {
                self.forgotten_until = Some(ended);
            }
        }
        self.fenced.forget_before(now.saturating_sub(FENCED_KEPT));
    }
}
