//! The attempts that are in progress or recently ended at this daemon. Senders that miss a response query their status.
//! See `docs/design/silent-connections.md`.

use sorrelturn_protocol::{AttemptId, AttemptStatus};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

type Now = Duration;

/// How long an ended attempt is retained; waiting senders query more often than this. Attempts that may have been sent
/// before an evicted one ended are reported as [`AttemptStatus::Over`].
const ENDED_RETENTION: Duration = Duration::from_secs(5);
/// How long an attempt reported as never arrived is refused. Its connection is closed with that report,
/// and delayed packets arrive within seconds.
const FENCED_RETENTION: Duration = Duration::from_secs(60);
/// The maximum network delay of a status query; its sender's timeout is shorter.
const MAX_QUERY_DELAY: Duration = Duration::from_secs(1);

/// Attempts in the order of their last insertion.
#[derive(Debug, Default)]
struct RecentAttempts {
    order: VecDeque<(Now, AttemptId)>,
    inserted_at: HashMap<AttemptId, Now>,
}

impl RecentAttempts {
    fn insert(&mut self, now: Now, attempt: AttemptId) {
        self.inserted_at.insert(attempt, now);
        self.order.push_back((now, attempt));
    }

    fn contains(&self, attempt: AttemptId) -> bool {
        self.inserted_at.contains_key(&attempt)
    }

    /// Removes the oldest insertion if older than `cutoff`, with its attempt unless that was inserted again; returns
    /// its time.
    fn evict_oldest_before(&mut self, cutoff: Now) -> Option<Now> {
        let (at, attempt) = *self.order.front()?;
        if at >= cutoff {
            return None;
        }
        self.order.pop_front();
        if self.inserted_at.get(&attempt) == Some(&at) {
            self.inserted_at.remove(&attempt);
        }
        Some(at)
    }
}

/// The attempts that other daemons made here.
#[derive(Debug, Default)]
pub struct AttemptRegister {
    /// A count because an attempt can arrive more than once, concurrently.
    in_progress: HashMap<AttemptId, u32>,
    ended: RecentAttempts,
    fenced: RecentAttempts,
    last_evicted_end: Option<Now>,
}

impl AttemptRegister {
    /// Registers an arrival; returns whether it may run: not if it was reported as never arrived.
    pub fn begin(&mut self, now: Now, attempt: AttemptId) -> bool {
        self.evict_expired(now);
        if self.fenced.contains(attempt) {
            return false;
        }
        *self.in_progress.entry(attempt).or_default() += 1;
        true
    }

    /// Records that an attempt ended.
    pub fn end(&mut self, now: Now, attempt: AttemptId) {
        if let Some(count) = self.in_progress.get_mut(&attempt) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(&attempt);
            }
        }
        self.ended.insert(now, attempt);
    }

    /// The status of an attempt sent `sent_ago` before the query. One that never arrived is fenced: refused if it
    /// arrives later.
    pub fn status(&mut self, now: Now, attempt: AttemptId, sent_ago: Duration) -> AttemptStatus {
        self.evict_expired(now);
        if self.in_progress.contains_key(&attempt) {
            return AttemptStatus::AtWork;
        }
        let earliest_sent = now.checked_sub(sent_ago + MAX_QUERY_DELAY);
        let may_have_been_evicted = self
            .last_evicted_end
            .is_some_and(|ended| earliest_sent.is_none_or(|earliest_sent| ended >= earliest_sent));
        if may_have_been_evicted || self.ended.contains(attempt) {
            return AttemptStatus::Over;
        }
        self.fenced.insert(now, attempt);
        AttemptStatus::NeverCame
    }

    /// Evicts at most two ended attempts and one fenced: each attempt adds one ended entry, so two per call keep up.
    fn evict_expired(&mut self, now: Now) {
        for _ in 0..2 {
            let cutoff = now.saturating_sub(ENDED_RETENTION);
            if let Some(ended) = self.ended.evict_oldest_before(cutoff) {
                self.last_evicted_end = Some(ended);
            }
        }
        self.fenced
            .evict_oldest_before(now.saturating_sub(FENCED_RETENTION));
    }
}
