//! Tracks the backend server beside the daemon and whether it accepts work.
//! See `docs/design/running-on-the-platform.md`.

use crate::Now;
use sorrelturn_protocol::{Announcement, BackendState, LeftBackend};
use std::{collections::VecDeque, time::Duration};

/// Maximum number of earlier incarnations that are remembered, so that delayed announcements of them are recognized. A
/// replacement takes seconds and announcements are delayed by seconds, so a handful is enough.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// Silence of the current incarnation after which one with an earlier start time may replace it, and after which its
/// announcements may have lower sequences.
/// Backend servers announce themselves every 1.5 s, so two announcements are overdue by then.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of ids that are remembered because a backend server with them has left.
const MAX_LEFT: usize = 32;
/// Maximum number of them in the member record, for the next incarnation of the daemon.
const MAX_SAVED_LEFT: usize = 4;

/// How long an id that has left has to announce that it is ready, without a pause of [`SILENCE_TIMEOUT`], to prove a later
/// incarnation if its start time can't. Longer than announcements from before the leave keep arriving.
const PROOF_DURATION: Duration = Duration::from_secs(15);

/// The result of processing an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresenceChange {
    /// Whether a backend server accepts work stays the same.
    NoChange,
    /// The announcement is older than what is already known.
    Outdated,
    /// The announcement comes from an unknown incarnation that seems to have started before the
    /// current one, either because it was delayed or because the clock stepped back, or it lacks a
    /// start time and may come from several incarnations. It has no effect yet.
    Unconfirmed,
    /// The announcement lacks a start time although the backend servers here send one, so it comes
    /// from another sender.
    Foreign,
    /// A backend server accepts work, or accepts it again.
    NowReady,
    /// The backend server is leaving and must not get any more requests.
    NowLeaving,
}

/// One incarnation of a backend server. A restart may keep the id, but not the start time.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BackendIncarnation {
    id: String,
    born: Option<u64>,
}

impl BackendIncarnation {
    fn of(announcement: &Announcement) -> Self {
        Self {
            id: announcement.id.clone(),
            born: announcement.born,
        }
    }

    fn matches(&self, announcement: &Announcement) -> bool {
        self.id == announcement.id && self.born == announcement.born
    }
}

/// An id under which a backend server has left.
#[derive(Clone, Debug)]
struct LeftId {
    backend: LeftBackend,
    /// Whether the incarnation was the current one, whose state outlives the daemon.
    was_current: bool,
    /// The announcements since then that say otherwise.
    contradiction: Option<Contradiction>,
}

/// Announcements of an incarnation that may have left or may be a later one with the same id.
#[derive(Clone, Debug)]
struct Contradiction {
    born: Option<u64>,
    since: Now,
    last: Now,
    sequence: u64,
}

impl Contradiction {
    fn begin(now: Now, announcement: &Announcement) -> Self {
        Self {
            born: announcement.born,
            since: now,
            last: now,
            sequence: announcement.sequence,
        }
    }

    /// Returns whether this announcement continues the ones before.
    fn continues(&self, now: Now, announcement: &Announcement) -> bool {
        self.born == announcement.born
            && announcement.sequence > self.sequence
            && now < self.last + SILENCE_TIMEOUT
    }
}

impl LeftId {
    /// Returns whether an announcement proves that an incarnation with this id started after the one that left.
    fn is_proved_later(&mut self, now: Now, announcement: &Announcement) -> bool {
        let (born, started_by) = (announcement.born, self.backend.started_by);
        if started_by.is_some() && born > started_by {
            return true;
        }
        if born.is_none() || born == started_by {
            return false;
        }
        match &mut self.contradiction {
            Some(known) if known.continues(now, announcement) => {
                known.last = now;
                known.sequence = announcement.sequence;
                now >= known.since + PROOF_DURATION
            }
            Some(known) if known.born == born && announcement.sequence <= known.sequence => false,
            contradiction => {
                *contradiction = Some(Contradiction::begin(now, announcement));
                false
            }
        }
    }
}

/// What a response tells by the id of the backend server that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responder {
    /// The current backend server sent it, or it says nothing new.
    Current,
    /// A backend server sent it that has announced itself before, and that now is the current one.
    Returned,
    /// A backend server sent it that has never announced itself, so its service isn't known. The current one isn't at
    /// its address any more and gets no requests until it announces itself again.
    Unknown,
}

/// The known incarnations with some id.
enum IncarnationWithId {
    /// None.
    None,
    /// The current one alone, and its start time.
    Current(Option<u64>),
    /// Earlier ones alone.
    Earlier,
    /// The current one and an earlier one, which can't be told apart without a start time.
    Several,
}

/// What is known of the backend server beside a daemon.
///
/// A deregistration may lack the start time. It is then of the incarnation with its id, and has no effect if several had it.
///
/// An incarnation is identified by its id and its start time. Of two incarnations with one id, the
/// one with the later start time is current. As clocks may step back, an incarnation with an
/// earlier start time also becomes current once the known one has been silent for longer than a
/// live one would be. Until then the daemon keeps the current incarnation. This is safe: requests carry
/// only the id, and a leave isn't acknowledged while a backend server with its id accepts work.
///
/// A leave is final for its id, in whatever order announcements arrive, until a later incarnation with that id is
/// proved: by a later start time than that of the one that left, or by announcements that go on for [`PROOF_DURATION`]
/// where the start times can't tell. An incarnation with another id needs no proof, since the one that left refuses its
/// requests.
///
/// An incarnation becomes ready only by its own announcement, which names its service: another service may get the address
/// of one that ended, so an answer from there proves nothing.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    current: Option<Announcement>,
    /// Whether the current incarnation has announced itself, rather than being known from an answer
    /// alone.
    has_announced: bool,
    last_update: Now,
    earlier: VecDeque<BackendIncarnation>,
    /// Whether backend servers here send their start time.
    sends_start_time: bool,
    /// Whether they don't: other announcements than deregistrations came without one.
    lacks_start_time: bool,
    /// Whether only a response says that the current incarnation is leaving.
    is_leaving_by_answer: bool,
    /// Whether another backend server has answered at the address of the current incarnation.
    is_absent: bool,
    /// The ids that have left, the last one at the back.
    left: VecDeque<LeftId>,
    /// The id of the backend server that announced itself to an earlier incarnation of the daemon.
    expected: Option<String>,
}

impl Presence {
    /// Returns the id of the backend server that accepts work.
    pub fn serving(&self) -> Option<&str> {
        let current = self.current.as_ref()?;
        let accepts_work = current.state == BackendState::Ready && !self.is_absent;
        accepts_work.then_some(current.id.as_str())
    }

    /// Returns the last known announcement of the backend server, whatever its state.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Processes an announcement. An incarnation that is leaving never becomes ready again; a new
    /// incarnation has another id or start time.
    pub fn receive(&mut self, now: Now, announcement: Announcement) -> PresenceChange {
        self.receive_at(now, None, announcement)
    }

    /// As [`Self::receive`], at `unix_ms` by the clock of the VM. Whatever announces that it leaves has started by then.
    pub fn receive_at(
        &mut self,
        now: Now,
        unix_ms: Option<u64>,
        mut announcement: Announcement,
    ) -> PresenceChange {
        let is_leave = announcement.state != BackendState::Ready;
        let has_start = announcement.born.is_some();
        let mut is_resolved = has_start;
        if !has_start && announcement.state == BackendState::Gone {
            match self.incarnation_with_id(&announcement.id) {
                IncarnationWithId::Current(born) => {
                    announcement.born = born;
                    is_resolved = true;
                }
                IncarnationWithId::Earlier => {
                    self.remember_leave(&announcement.id, unix_ms, false);
                    return PresenceChange::Outdated;
                }
                IncarnationWithId::Several => return PresenceChange::Unconfirmed,
                IncarnationWithId::None => {}
            }
        }
        if !is_resolved && self.sends_start_time {
            return PresenceChange::Foreign;
        }
        self.sends_start_time |= announcement.born.is_some();
        let is_deregistration = announcement.state == BackendState::Gone;
        self.lacks_start_time |= !has_start && !is_deregistration;
        if !is_leave && !self.may_be_ready(now, &announcement) {
            return PresenceChange::Outdated;
        }
        let change = self.apply(now, &announcement);
        if is_leave {
            let current = self.current.as_ref();
            let is_current = current
                .is_some_and(|current| BackendIncarnation::of(current).matches(&announcement));
            // A leave of an earlier incarnation with the current id says nothing of the current one.
            if is_current || !self.has_current_id(&announcement.id) {
                // A deregistration without a start time may be of a later incarnation than the known one.
                let may_be_later = !has_start && !self.lacks_start_time;
                let left_at = unix_ms.filter(|_| is_deregistration && may_be_later);
                let started_by = left_at.max(announcement.born);
                self.remember_leave(&announcement.id, started_by, is_current);
            }
        }
        change
    }

    fn apply(&mut self, now: Now, announcement: &Announcement) -> PresenceChange {
        let Some(current) = &self.current else {
            return self.replace(now, announcement.clone());
        };
        if self.is_first_announcement(announcement) {
            return self.adopt_first_announcement(now, announcement.clone());
        }
        if BackendIncarnation::of(current).matches(announcement) {
            return self.update_current(now, announcement);
        }
        if self.supersedes_current(now, announcement) {
            return self.replace(now, announcement.clone());
        }
        if self
            .earlier
            .iter()
            .any(|earlier| earlier.matches(announcement))
        {
            PresenceChange::Outdated
        } else {
            PresenceChange::Unconfirmed
        }
    }

    /// Returns whether a leave that was outdated may be acknowledged: its incarnation accepts no work, and won't after a
    /// restart of the daemon.
    pub fn has_left_for_good(&self, id: &str, born: Option<u64>) -> bool {
        let current = self.current.as_ref().filter(|current| current.id == id);
        let has_ended = current.is_some_and(|current| born.is_some() && born < current.born);
        let mut left = self.left.iter().filter(|left| left.was_current);
        has_ended || self.serving() != Some(id) && left.any(|left| left.backend.id == id)
    }

    /// Returns the backend servers that left last, for the next incarnation of the daemon.
    pub fn left(&self) -> Vec<LeftBackend> {
        let saved = self.left.iter().filter(|left| left.was_current);
        let mut saved: Vec<_> = saved.rev().take(MAX_SAVED_LEFT).collect();
        saved.reverse();
        saved.iter().map(|left| left.backend.clone()).collect()
    }

    /// Restores what an earlier incarnation of the daemon returned as [`Self::left`]. Returns the leave of the current backend
    /// server, which is to be received, if it is among them.
    pub fn restore_left(&mut self, left: &[LeftBackend]) -> Option<Announcement> {
        for backend in left {
            self.remember_leave(&backend.id, backend.started_by, true);
        }
        let current = self.current.as_ref()?;
        let has_left =
            |backend: &LeftBackend| backend.id == current.id && current.born <= backend.started_by;
        left.iter().any(has_left).then(|| Announcement {
            state: BackendState::Gone,
            sequence: u64::MAX,
            ..current.clone()
        })
    }

    /// Records the id of the backend server that announced itself to an earlier incarnation of the daemon.
    pub fn expect_backend(&mut self, id: &str) {
        self.expected = Some(id.to_owned());
    }

    fn has_current_id(&self, id: &str) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.id == id)
    }

    /// Returns whether no leave speaks against this announcement that a backend server is ready.
    fn may_be_ready(&mut self, now: Now, announcement: &Announcement) -> bool {
        let left = self.left.iter_mut();
        let mut with_id = left.filter(|left| left.backend.id == announcement.id);
        let Some(left) = with_id.next() else {
            return true;
        };
        if !left.is_proved_later(now, announcement) {
            return false;
        }
        if announcement.born < left.backend.started_by || left.backend.started_by.is_none() {
            // The clock stepped back, or the start time of the one that left isn't known.
            self.left.retain(|left| left.backend.id != announcement.id);
            self.forget(&announcement.id);
        }
        true
    }

    /// Forgets the incarnations with this id, after which another one with it may be current whatever its start time.
    fn forget(&mut self, id: &str) {
        self.earlier.retain(|earlier| earlier.id != id);
        if self.has_current_id(id) {
            self.current = None;
        }
    }

    /// Makes a leave final for its id.
    fn remember_leave(&mut self, id: &str, started_by: Option<u64>, was_current: bool) {
        let known = self.left.iter().position(|left| left.backend.id == id);
        let before = known.and_then(|at| self.left.remove(at));
        if self.left.len() == MAX_LEFT {
            self.left.pop_front();
        }
        // An incarnation that was known before the leave isn't a later one, whatever its clock said.
        let with_id = self.earlier.iter().filter(|earlier| earlier.id == id);
        let started_before = before.as_ref().and_then(|before| before.backend.started_by);
        let started_by = with_id
            .map(|earlier| earlier.born)
            .chain([started_before])
            .fold(started_by, Option::max);
        self.left.push_back(LeftId {
            backend: LeftBackend {
                id: id.to_owned(),
                started_by,
            },
            was_current: was_current || before.as_ref().is_some_and(|before| before.was_current),
            contradiction: before.and_then(|before| before.contradiction),
        });
    }

    /// Returns which of the known incarnations an announcement without a start time is of.
    fn incarnation_with_id(&self, id: &str) -> IncarnationWithId {
        let current = self.current.as_ref().filter(|current| current.id == id);
        let is_another = |earlier: &BackendIncarnation, current: &Announcement| {
            earlier.born.is_some() && earlier.born != current.born
        };
        let is_reused = |earlier: &BackendIncarnation| {
            earlier.id == id && current.is_none_or(|current| is_another(earlier, current))
        };
        match (current, self.earlier.iter().any(is_reused)) {
            (Some(current), false) => IncarnationWithId::Current(current.born),
            (Some(_), true) => IncarnationWithId::Several,
            (None, true) => IncarnationWithId::Earlier,
            (None, false) => IncarnationWithId::None,
        }
    }

    /// Records that a backend server with this id responded to a request that was meant for the current one.
    pub fn record_answer_from(&mut self, now: Now, id: &str) -> Responder {
        if self.current.is_none() || self.has_current_id(id) {
            return Responder::Current;
        }
        let known = self.earlier.iter().find(|earlier| earlier.id == id);
        let has_left = self.left.iter().any(|left| left.backend.id == id);
        if let Some(known) = known.filter(|_| !has_left) {
            let announcement = Announcement {
                id: known.id.clone(),
                born: known.born,
                state: BackendState::Ready,
                sequence: 0,
            };
            self.replace(now, announcement);
            return Responder::Returned;
        }
        if self.serving().is_none() {
            return Responder::Current;
        }
        self.is_absent = true;
        Responder::Unknown
    }

    /// Records that a backend server with this id responded to a health check while none was known. Returns whether it
    /// accepts work: only if it announced itself to an earlier incarnation of the daemon.
    pub fn record_health_of(&mut self, now: Now, id: &str) -> bool {
        if self.current.is_some() || self.expected.as_deref() != Some(id) {
            return false;
        }
        let announcement = Announcement {
            id: id.to_owned(),
            born: None,
            state: BackendState::Ready,
            sequence: 0,
        };
        self.replace(now, announcement);
        self.has_announced = false;
        true
    }

    /// Records that a response of the backend server with this id says that it is leaving. Returns whether it accepted
    /// work until now. Announcements that say otherwise are older.
    pub fn record_leaving_answer(&mut self, now: Now, id: &str) -> bool {
        let current = self.current.as_mut();
        let Some(current) =
            current.filter(|current| current.id == id && current.state == BackendState::Ready)
        else {
            return false;
        };
        current.state = BackendState::Draining;
        self.last_update = now;
        self.is_leaving_by_answer = true;
        true
    }

    /// Returns whether the backend server may have stopped leaving: it never announced that it is, and announces the
    /// opposite.
    pub fn may_have_stopped_leaving(&self, announcement: &Announcement) -> bool {
        let current = self.current.as_ref();
        let is_current = current.is_some_and(|current| current.id == announcement.id);
        self.is_leaving_by_answer && is_current && announcement.state == BackendState::Ready
    }

    /// Records that the backend server with this id is no longer leaving, which only a response said. Returns whether it
    /// accepts work again.
    pub fn stop_leaving(&mut self, now: Now, id: &str) -> bool {
        let current = self.current.as_mut().filter(|current| current.id == id);
        let Some(current) = current.filter(|_| self.is_leaving_by_answer) else {
            return false;
        };
        current.state = BackendState::Ready;
        self.last_update = now;
        self.is_leaving_by_answer = false;
        true
    }

    /// Returns whether the current incarnation is known only from an answer, which carries no start
    /// time, and this is its first announcement.
    fn is_first_announcement(&self, announcement: &Announcement) -> bool {
        let current = self.current.as_ref();
        let has_same_id = current.is_some_and(|current| current.id == announcement.id);
        let is_unseen = self
            .earlier
            .iter()
            .all(|earlier| !earlier.matches(announcement));
        has_same_id && is_unseen && !self.has_announced && announcement.born.is_some()
    }

    fn adopt_first_announcement(&mut self, now: Now, announcement: Announcement) -> PresenceChange {
        let mut state = announcement.state;
        if self.is_leaving_by_answer {
            state = state.max(BackendState::Draining);
            self.is_leaving_by_answer = announcement.state == BackendState::Ready;
        }
        let is_leaving = state != BackendState::Ready;
        self.current = Some(Announcement {
            state,
            ..announcement
        });
        self.has_announced = true;
        self.is_absent = false;
        self.last_update = now;
        if is_leaving {
            PresenceChange::NowLeaving
        } else {
            PresenceChange::NowReady
        }
    }

    fn update_current(&mut self, now: Now, announcement: &Announcement) -> PresenceChange {
        let Some(current) = &mut self.current else {
            return PresenceChange::Outdated;
        };
        self.is_leaving_by_answer &= announcement.state == BackendState::Ready;
        if announcement.state > current.state {
            current.sequence = current.sequence.max(announcement.sequence);
            let was_ready = current.state == BackendState::Ready;
            current.state = announcement.state;
            self.last_update = now;
            return if was_ready {
                PresenceChange::NowLeaving
            } else {
                PresenceChange::NoChange
            };
        }
        // A live incarnation repeats its announcements with higher sequences, so if none with the highest one follows,
        // another sender wrote it.
        let is_silent = now >= self.last_update + SILENCE_TIMEOUT;
        let is_delayed = announcement.sequence < current.sequence && !is_silent;
        if announcement.state < current.state || is_delayed {
            return PresenceChange::Outdated;
        }
        current.sequence = announcement.sequence;
        let is_ready = current.state == BackendState::Ready;
        self.has_announced = true;
        self.last_update = now;
        let was_absent = std::mem::take(&mut self.is_absent);
        match is_ready && was_absent {
            true => PresenceChange::NowReady,
            false => PresenceChange::NoChange,
        }
    }

    /// Returns whether an announcement of another incarnation makes that one current.
    fn supersedes_current(&self, now: Now, announcement: &Announcement) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let was_known = self
            .earlier
            .iter()
            .any(|earlier| earlier.matches(announcement));
        let is_silent = now >= self.last_update + SILENCE_TIMEOUT;
        let is_leaving = current.state != BackendState::Ready;
        let accepts_work = announcement.state == BackendState::Ready;
        if current.id == announcement.id {
            let has_later_start = announcement.born > current.born;
            // An incarnation that was replaced and still announces itself was replaced because of a delayed announcement.
            return !was_known && has_later_start || is_silent && accepts_work && !is_leaving;
        }
        if was_known {
            let may_return =
                is_leaving || self.is_absent || announcement.born.is_some() && is_silent;
            return accepts_work && may_return;
        }
        // A delayed announcement of a crashed incarnation must not replace a live one.
        let has_earlier_start = announcement.born.is_some() && announcement.born < current.born;
        let is_live = !is_leaving && !self.is_absent && !is_silent;
        !(accepts_work && has_earlier_start && is_live)
    }

    fn replace(&mut self, now: Now, announcement: Announcement) -> PresenceChange {
        let is_ready = announcement.state == BackendState::Ready;
        self.last_update = now;
        self.has_announced = true;
        self.is_leaving_by_answer = false;
        self.is_absent = false;
        self.earlier
            .retain(|earlier| !earlier.matches(&announcement));
        if let Some(previous) = self.current.replace(announcement) {
            if self.earlier.len() == MAX_EARLIER_INCARNATIONS {
                self.earlier.pop_front();
            }
            self.earlier.push_back(BackendIncarnation::of(&previous));
        }
        match is_ready {
            true => PresenceChange::NowReady,
            // Also if the one before didn't accept work: that this one is leaving has to be remembered too.
            false => PresenceChange::NowLeaving,
        }
    }
}
