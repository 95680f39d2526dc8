//! Which backend server stands beside the daemon, and whether it takes work.
//! See `docs/design/running-on-the-platform.md`.

use crate::Now;
use sorrelturn_protocol::{Announcement, BackendState};
use std::{collections::VecDeque, time::Duration};

/// So many earlier runs are remembered, so that late announcement of them is recognised. One replacement takes
/// seconds and announcement is late by seconds, so a handful is enough.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// A run that has said nothing for so long may be followed by one that seems to have started before it.
/// Backend servers announce themselves every 1.5 s, so a living one misses two announcements by then.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// What supersedes_current from an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Nothing new.
    NoChange,
    /// It was sent before something that is known already.
    Outdated,
    /// It is of a run that was never heard of and seems to have started before the known one: held up, or
    /// sent after a step back of the clock. Nothing supersedes_current from it yet.
    Unconfirmed,
    /// It doesn't say which run it is of, and the runs here do: somebody else wrote it.
    Foreign,
    /// A backend server that takes work is there, or takes work anew.
    NowReady,
    /// The backend server leaves: nothing more may be handed to it.
    NowLeaving,
}

/// One run of a backend server: a restart may keep the id, but not the time of the start.
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

/// The backend server beside a daemon, as far as it is known.
///
/// A run is told by its id and its start. Between two runs of one id, the later start decides; but clocks step, and
/// a run that started after a step back seems to be the earlier one. It is taken once the known run has been silent
/// for longer than a living one is. Until then the daemon goes on under the same id, which is no harm: requests
/// carry the id alone, and what leaves isn't acknowledged for a run that isn't the known one.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    current: Option<Announcement>,
    /// Whether the current run has announced itself, and wasn't told by an answer alone.
    has_announced: bool,
    last_update: Now,
    earlier: VecDeque<BackendIncarnation>,
    /// Runs here tell when they started.
    sends_start_time: bool,
}

impl Presence {
    /// The id of the backend server that takes work now.
    pub fn serving(&self) -> Option<&str> {
        let current = self.current.as_ref()?;
        (current.state == BackendState::Ready).then_some(current.id.as_str())
    }

    /// What is known of the backend server, in whatever state it is.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Takes an announcement. A run that leaves never comes back; a new run has another id or another start.
    pub fn receive(&mut self, now: Now, announcement: Announcement) -> AnnouncementEffect {
        if announcement.born.is_none() && self.sends_start_time {
            return AnnouncementEffect::Foreign;
        }
        self.sends_start_time |= announcement.born.is_some();
        let Some(current) = &self.current else {
            return self.replace(now, announcement);
        };
        if self.is_first_announcement(&announcement) {
            return self.adopt_first_announcement(now, announcement);
        }
        if BackendIncarnation::of(current).matches(&announcement) {
            return self.update_current(now, announcement);
        }
        if self.supersedes_current(now, &announcement) {
            return self.replace(now, announcement);
        }
        if self
            .earlier
            .iter()
            .any(|earlier| earlier.matches(&announcement))
        {
            AnnouncementEffect::Outdated
        } else {
            AnnouncementEffect::Unconfirmed
        }
    }

    /// Another backend server answered at the address: the known one has ended. Returns whether
    /// this is announcement.
    pub fn record_answer_from(&mut self, now: Now, id: &str) -> bool {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|current| current.id == id);
        if is_current || self.earlier.iter().any(|earlier| earlier.id == id) {
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

    /// Whether the current run is known by an answer alone, which doesn't tell its start, and this is its first
    /// announcement.
    fn is_first_announcement(&self, announcement: &Announcement) -> bool {
        let current = self.current.as_ref();
        let has_same_id = current.is_some_and(|current| current.id == announcement.id);
        let is_unseen = self
            .earlier
            .iter()
            .all(|earlier| !earlier.matches(announcement));
        has_same_id && is_unseen && !self.has_announced && announcement.born.is_some()
    }

    fn adopt_first_announcement(
        &mut self,
        now: Now,
        announcement: Announcement,
    ) -> AnnouncementEffect {
        let is_leaving = announcement.state != BackendState::Ready;
        self.current = Some(announcement);
        self.has_announced = true;
        self.last_update = now;
        if is_leaving {
            AnnouncementEffect::NowLeaving
        } else {
            AnnouncementEffect::NowReady
        }
    }

    fn update_current(&mut self, now: Now, announcement: Announcement) -> AnnouncementEffect {
        let Some(current) = &mut self.current else {
            return AnnouncementEffect::Outdated;
        };
        if announcement.state > current.state {
            current.sequence = current.sequence.max(announcement.sequence);
            let was_ready = current.state == BackendState::Ready;
            current.state = announcement.state;
            self.last_update = now;
            return if was_ready {
                AnnouncementEffect::NowLeaving
            } else {
                AnnouncementEffect::NoChange
            };
        }
        if announcement.state < current.state || announcement.sequence < current.sequence {
            return AnnouncementEffect::Outdated;
        }
        current.sequence = announcement.sequence;
        self.has_announced = true;
        self.last_update = now;
        AnnouncementEffect::NoChange
    }

    /// Whether announcement of another run than the current one tells of a later one.
    fn supersedes_current(&self, now: Now, announcement: &Announcement) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let was_known = self
            .earlier
            .iter()
            .any(|earlier| earlier.matches(announcement));
        let has_later_start = current.id != announcement.id || announcement.born > current.born;
        if !was_known && has_later_start {
            return true;
        }
        let is_silent = now >= self.last_update + SILENCE_TIMEOUT;
        let accepts_work = announcement.state == BackendState::Ready;
        // A run that was replaced and still announces itself was replaced by announcement that came late. But what has left
        // was acknowledged, and is no proof that an earlier run is alive.
        let may_take_over = match (was_known, current.state) {
            (true, state) => state == BackendState::Ready && announcement.born.is_some(),
            (false, state) => state != BackendState::Draining,
        };
        is_silent && accepts_work && may_take_over
    }

    fn replace(&mut self, now: Now, announcement: Announcement) -> AnnouncementEffect {
        let was_ready = self.serving().is_some();
        let is_ready = announcement.state == BackendState::Ready;
        self.last_update = now;
        self.has_announced = true;
        self.earlier
            .retain(|earlier| !earlier.matches(&announcement));
        if let Some(previous) = self.current.replace(announcement) {
            if self.earlier.len() == MAX_EARLIER_INCARNATIONS {
                self.earlier.pop_front();
            }
            self.earlier.push_back(BackendIncarnation::of(&previous));
        }
        match (was_ready, is_ready) {
            (_, true) => AnnouncementEffect::NowReady,
            (true, false) => AnnouncementEffect::NowLeaving,
            (false, false) => AnnouncementEffect::NoChange,
        }
    }
}
