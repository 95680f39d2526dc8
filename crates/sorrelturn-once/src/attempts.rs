//! Which attempts an owner works on and has lately ended, so that whoever misses an answer can ask.
//! See `docs/design/silent-connections.md`.

use sorrelturn_protocol::{AttemptId, Fate};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

type Now = Duration;

/// How long an attempt is remembered after its end, about 100 bytes each. Whoever waits asks every two
/// seconds at the latest; one that asks later than this is told that it may have run.
const ENDED_RETENTION: Duration = Duration::from_secs(5);
/// How long an attempt is refused that never came. Its connection is closed when that is known, and what a
/// network held up of it comes within seconds.
const FENCED_RETENTION: Duration = Duration::from_secs(60);
/// A question may have been this long on its way: its sender waits for half a second and no longer.
const MAX_QUERY_DELAY: Duration = Duration::from_secs(1);

/// Attempts in the order in which they were put in last.
#[derive(Debug, Default)]
struct Recent {
    order: VecDeque<(Now, AttemptId)>,
    /// When each was put in last.
    inserted_at: HashMap<AttemptId, Now>,
}

impl Recent {
    fn insert(&mut self, now: Now, attempt: AttemptId) {
        self.inserted_at.insert(attempt, now);
        self.order.push_back((now, attempt));
    }

    fn contains(&self, attempt: AttemptId) -> bool {
        self.inserted_at.contains_key(&attempt)
    }

    /// Forgets the oldest if it was put in before `since`, and not again since then; returns when it was.
    fn evict_before(&mut self, since: Now) -> Option<Now> {
        let (at, attempt) = *self.order.front()?;
        if at >= since {
            return None;
        }
        self.order.pop_front();
        if self.inserted_at.get(&attempt) == Some(&at) {
            self.inserted_at.remove(&attempt);
        }
        Some(at)
    }
}

/// The attempts of other daemons' calls at their owner.
#[derive(Debug, Default)]
pub struct AttemptRegister {
    /// How often each is at work: a token may be asked for twice at once.
    in_progress: HashMap<AttemptId, u32>,
    ended: Recent,
    fenced: Recent,
    /// When the last one ended that is forgotten.
    last_evicted_end: Option<Now>,
}

impl AttemptRegister {
    /// An attempt came; returns whether it may run. One that was said to have never come may not.
    pub fn begin(&mut self, now: Now, attempt: AttemptId) -> bool {
        self.evict_expired(now);
        if self.fenced.contains(attempt) {
            return false;
        }
        *self.in_progress.entry(attempt).or_default() += 1;
        true
    }

    /// An attempt is over.
    pub fn end(&mut self, now: Now, attempt: AttemptId) {
        if let Some(count) = self.in_progress.get_mut(&attempt) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(&attempt);
            }
        }
        self.ended.insert(now, attempt);
    }

    /// What became of an attempt that its sender sent so long ago. One that never came is fenced off.
    pub fn status(&mut self, now: Now, attempt: AttemptId, sent_ago: Duration) -> Fate {
        self.evict_expired(now);
        if self.in_progress.contains_key(&attempt) {
            return Fate::AtWork;
        }
        let earliest_sent = now.checked_sub(sent_ago + MAX_QUERY_DELAY);
        let may_be_evicted = self
            .last_evicted_end
            .is_some_and(|until| earliest_sent.is_none_or(|earliest_sent| until >= earliest_sent));
        if may_be_evicted || self.ended.contains(attempt) {
            return Fate::Over;
        }
        self.fenced.insert(now, attempt);
        Fate::NeverCame
    }

    /// Each attempt brings one, so two a time keep up with them.
    fn evict_expired(&mut self, now: Now) {
        for _ in 0..2 {
            let since = now.saturating_sub(ENDED_RETENTION);
            if let Some(ended) = self.ended.evict_before(since) {
                self.last_evicted_end = Some(ended);
            }
        }
        self.fenced
            .evict_before(now.saturating_sub(FENCED_RETENTION));
    }
}
