//! A queue of root requests of one kind at their entry daemon, which wait for room instead of being
//! refused at once. See `docs/design/entry-queue.md`.

use crate::{
    Now,
    entry_rate::{EntryRate, LevelInForce},
};
use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

/// Maximum number of requests of one kind that wait at one entry daemon.
const MAX_WAITING: usize = 256;
/// Maximum expected wait as a fraction of the time until a request must start. A room that halves
/// meanwhile still serves all that wait.
const MAX_EXPECTED_WAIT_FRACTION: f64 = 0.5;
/// The same for a request that cedes its place, so that those before it go on while the room shrinks.
const MAX_CEDED_WAIT_FRACTION: f64 = 0.9;
/// Time for the response and for durations above the usual one, as a fraction of the target.
const MARGIN_FRACTION: f64 = 1.0 / 16.0;
/// Number of answered requests until the usual duration is known.
const MIN_DURATIONS: u32 = 8;
/// Weight of one duration in the smoothed mean and deviation.
const DURATION_WEIGHT: f64 = 1.0 / 16.0;
/// Number of mean deviations above the mean up to which a duration counts as usual.
const USUAL_DEVIATIONS: f64 = 2.0;
/// Longest time of unused room that waiting requests may take up at once.
const MAX_SAVED_ROOM: Duration = Duration::from_millis(20);
/// Longest time of room that was taken in excess and is made up for.
const MAX_OVERDRAWN_ROOM: Duration = Duration::from_millis(250);
/// Number of requests in excess that are made up for, however little room there is.
const MIN_OVERDRAWN_REQUESTS: f64 = 2.0;

/// A root request as its entry daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest {
    /// Unique among the requests that wait.
    pub id: u64,
    /// The rank, where higher ones go first.
    pub rank: usize,
    /// Whether the shedding level refuses it.
    pub is_refused: bool,
    /// Whether it was tried before. It would hardly be answered within its target, so it doesn't wait.
    pub is_retry: bool,
    /// Whether it may wait. If not, the level alone decides, but it counts as an arrival and takes room.
    pub may_wait: bool,
    /// When it arrived.
    pub arrived_at: Now,
    /// The time from its arrival within which an answer is useful.
    pub target: Duration,
    /// When its caller gives up.
    pub deadline: Now,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Offer {
    /// It is let in now.
    LetIn,
    /// It waits, for about this time.
    Wait(Duration),
    /// It is refused now.
    Refuse,
}

/// How the wait of a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// It is let in.
    LetIn,
    /// It can no longer be answered within its target.
    TooLate,
    /// The daemon stops.
    Stopped,
}

/// A waiting request. The order is that in which requests are let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    rank: Reverse<usize>,
    /// When it must be let in to be answered within its target.
    latest_start: Now,
    id: u64,
}

/// The smoothed duration of answered requests.
#[derive(Clone, Copy, Debug, Default)]
struct UsualDuration {
    count: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl UsualDuration {
    fn record(&mut self, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        if self.count == 0 {
            self.mean_s = duration_s;
        }
        self.count = self.count.saturating_add(1);
        let difference = duration_s - self.mean_s;
        self.mean_s += difference * DURATION_WEIGHT;
        self.deviation_s += (difference.abs() - self.deviation_s) * DURATION_WEIGHT;
    }

    /// Returns `None` until enough requests were answered.
    fn get(&self) -> Option<Duration> {
        let usual_s = self.mean_s + USUAL_DEVIATIONS * self.deviation_s;
        (self.count >= MIN_DURATIONS).then(|| Duration::from_secs_f64(usual_s))
    }
}

/// Holds requests that the shedding level refuses until there is room for them.
///
/// The number of requests that are let in stays what the level admits: a waiting request is let in
/// on the place of a newcomer that then waits behind it, or on room that arrivals leave unused.
#[derive(Clone, Debug, Default)]
pub struct EntryQueue {
    waiting: BTreeSet<Waiting>,
    rate: EntryRate,
    usual_duration: UsualDuration,
    /// Unused room in requests; negative if more were let in than there was room for.
    saved_room: f64,
    /// Places of newcomers that now wait, for those before them.
    ceded_places: usize,
}

impl EntryQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the time from when a request was let in until it was answered.
    pub fn record_duration(&mut self, duration: Duration) {
        self.usual_duration.record(duration);
    }

    /// Decides on a request that arrives. [`release`](Self::release) has to follow.
    pub fn offer(&mut self, now: Now, level: LevelInForce, request: &EntryRequest) -> Offer {
        self.update(now, level);
        if !request.is_retry {
            self.rate.record_arrival(request.rank);
        }
        match self.wait(now, request) {
            Some(expected_wait) => Offer::Wait(expected_wait),
            None if request.is_refused || self.passes_others(request) => Offer::Refuse,
            None => {
                self.take_room();
                Offer::LetIn
            }
        }
    }

    /// Ends the wait of requests: lets in those that there is room for, and refuses those that can't
    /// be answered within their target any more.
    pub fn release(&mut self, now: Now, level: LevelInForce, mut on_end: impl FnMut(u64, WaitEnd)) {
        self.update(now, level);
        self.refuse_late(now, &mut on_end);
        while !self.waiting.is_empty() && (self.ceded_places > 0 || self.saved_room >= 1.0) {
            self.ceded_places = self.ceded_places.saturating_sub(1);
            self.take_room();
            if let Some(first) = self.waiting.pop_first() {
                on_end(first.id, WaitEnd::LetIn);
            }
        }
        self.ceded_places = 0;
    }

    /// Removes a request whose caller left. Returns whether it waited.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Ends the wait of all requests because the daemon stops.
    pub fn drain(&mut self, mut on_end: impl FnMut(u64, WaitEnd)) {
        while let Some(first) = self.waiting.pop_first() {
            on_end(first.id, WaitEnd::Stopped);
        }
    }

    /// Returns whether a request that was tried before would be let in before others that wait and may still be answered
    /// within their target.
    fn passes_others(&self, request: &EntryRequest) -> bool {
        let first = self.waiting.first();
        request.is_retry && first.is_some_and(|first| first.rank.0 >= request.rank)
    }

    /// Queues a request if it has to wait and can. Returns its expected wait.
    fn wait(&mut self, now: Now, request: &EntryRequest) -> Option<Duration> {
        let waiting = Waiting {
            rank: Reverse(request.rank),
            latest_start: self.latest_start(request)?,
            id: request.id,
        };
        let mut requests_before = self.waiting.range(..waiting).count();
        if !request.is_refused {
            // The first one is let in on the place of this request.
            requests_before = requests_before.checked_sub(1)?;
        }
        let position = requests_before + 1;
        let expected_wait = self.time_until_room(position)?;
        let max_wait = waiting.latest_start.saturating_sub(now);
        let max_fraction = match request.is_refused {
            true => MAX_EXPECTED_WAIT_FRACTION,
            false => MAX_CEDED_WAIT_FRACTION,
        };
        if position > MAX_WAITING || expected_wait > max_wait.mul_f64(max_fraction) {
            return None;
        }
        if request.is_refused && self.waiting.len() >= MAX_WAITING {
            return None;
        }
        self.waiting.insert(waiting);
        self.ceded_places += usize::from(!request.is_refused);
        Some(expected_wait)
    }

    /// Returns when a request must be let in to be answered within its target. Returns `None` if it
    /// doesn't wait in any case.
    fn latest_start(&self, request: &EntryRequest) -> Option<Now> {
        if request.is_retry || !request.may_wait {
            return None;
        }
        let useful_until = (request.arrived_at + request.target).min(request.deadline);
        let margin = request.target.mul_f64(MARGIN_FRACTION);
        useful_until.checked_sub(self.usual_duration.get()? + margin)
    }

    fn refuse_late(&mut self, now: Now, on_end: &mut impl FnMut(u64, WaitEnd)) {
        let rate = self.rate.per_second();
        let saved_room = self.saved_room;
        let mut position = 0.0;
        self.waiting.retain(|waiting| {
            let time_left_s = waiting.latest_start.saturating_sub(now).as_secs_f64();
            let room_until_then = saved_room.max(0.0) + rate * time_left_s;
            let is_in_time = waiting.latest_start >= now && position <= room_until_then;
            if is_in_time {
                position += 1.0;
            } else {
                on_end(waiting.id, WaitEnd::TooLate);
            }
            is_in_time
        });
    }

    /// Returns the time until as many requests can be let in; `None` if that can't be told.
    fn time_until_room(&self, requests: usize) -> Option<Duration> {
        let rate = self.rate.per_second();
        let needed = (requests as f64 - self.saved_room.max(0.0)).max(0.0);
        Duration::try_from_secs_f64(needed / rate).ok()
    }

    fn update(&mut self, now: Now, level: LevelInForce) {
        let elapsed_s = self.rate.update(now, level);
        let rate = self.rate.per_second();
        let max_saved = 1.0 + rate * MAX_SAVED_ROOM.as_secs_f64();
        self.saved_room = (self.saved_room + rate * elapsed_s).min(max_saved);
    }

    fn take_room(&mut self) {
        let max_overdrawn = self.rate.per_second() * MAX_OVERDRAWN_ROOM.as_secs_f64();
        let min_saved = -max_overdrawn.max(MIN_OVERDRAWN_REQUESTS);
        self.saved_room = (self.saved_room - 1.0).max(min_saved);
    }
}
