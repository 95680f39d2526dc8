//! Which backend server stands beside the daemon, and whether it takes work.
//! See `docs/design/running-on-the-platform.md`.

use crate::Now;
use sorrelturn_protocol::{Announcement, BackendState};
use std::{collections::VecDeque, time::Duration};

/// So many earlier runs are remembered, so that late news of them is recognised. One replacement takes
/// seconds and news is late by seconds, so a handful is enough.
const EARLIER_KEPT: usize = 8;

/// A run that has said nothing for so long may be followed by one that seems to have started before it.
/// Backend servers announce themselves every 1.5 s, so a living one misses two announcements by then.
const SILENCE: Duration = Duration::from_secs(4);

/// What follows from an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing new.
    Known,
    /// It was sent before something that is known already.
    Late,
    /// It is of a run that was never heard of and seems to have started before the known one: held up, or
    /// sent after a step back of the clock. Nothing follows from it yet.
    Doubtful,
    /// It doesn't say which run it is of, and the runs here do: somebody else wrote it.
    Foreign,
    /// A backend server that takes work is there, or takes work anew.
    NowReady,
    /// The backend server leaves: nothing more may be handed to it.
    NowLeaving,
}

/// One run of a backend server: a restart may keep the id, but not the time of the start.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    id: String,
    born: Option<u64>,
}

impl Run {
    fn of(news: &Announcement) -> Self {
        Self {
            id: news.id.clone(),
            born: news.born,
        }
    }

    fn is_of(&self, news: &Announcement) -> bool {
        self.id == news.id && self.born == news.born
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
    announced: bool,
    heard_at: Now,
    earlier: VecDeque<Run>,
    /// Runs here tell when they started.
    tells_start: bool,
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
    pub fn hear(&mut self, now: Now, news: Announcement) -> Heard {
        if news.born.is_none() && self.tells_start {
            return Heard::Foreign;
        }
        self.tells_start |= news.born.is_some();
        let Some(current) = &self.current else {
            return self.replace(now, news);
        };
        if self.is_first_word(&news) {
            return self.takes_name(now, news);
        }
        if Run::of(current).is_of(&news) {
            return self.of_current(now, news);
        }
        if self.follows(now, &news) {
            return self.replace(now, news);
        }
        if self.earlier.iter().any(|earlier| earlier.is_of(&news)) {
            Heard::Late
        } else {
            Heard::Doubtful
        }
    }

    /// Another backend server answered at the address: the known one has ended. Returns whether
    /// this is news.
    pub fn answered_as(&mut self, now: Now, id: &str) -> bool {
        let known = self.current.as_ref().is_some_and(|known| known.id == id);
        if known || self.earlier.iter().any(|earlier| earlier.id == id) {
            return false;
        }
        let news = Announcement {
            id: id.to_owned(),
            born: None,
            state: BackendState::Ready,
            sequence: 0,
        };
        self.replace(now, news);
        self.announced = false;
        true
    }

    /// Whether the current run is known by an answer alone, which doesn't tell its start, and this is its first
    /// announcement.
    fn is_first_word(&self, news: &Announcement) -> bool {
        let current = self.current.as_ref();
        let same_id = current.is_some_and(|current| current.id == news.id);
        let unheard = self.earlier.iter().all(|earlier| !earlier.is_of(news));
        same_id && unheard && !self.announced && news.born.is_some()
    }

    fn takes_name(&mut self, now: Now, news: Announcement) -> Heard {
        let leaves = news.state != BackendState::Ready;
        self.current = Some(news);
        self.announced = true;
        self.heard_at = now;
        if leaves {
            Heard::NowLeaving
        } else {
            Heard::NowReady
        }
    }

    fn of_current(&mut self, now: Now, news: Announcement) -> Heard {
        let Some(current) = &mut self.current else {
            return Heard::Late;
        };
        if news.state > current.state {
            current.sequence = current.sequence.max(news.sequence);
            let was_ready = current.state == BackendState::Ready;
            current.state = news.state;
            self.heard_at = now;
            return if was_ready {
                Heard::NowLeaving
            } else {
                Heard::Known
            };
        }
        if news.state < current.state || news.sequence < current.sequence {
            return Heard::Late;
        }
        current.sequence = news.sequence;
        self.announced = true;
        self.heard_at = now;
        Heard::Known
    }

    /// Whether news of another run than the current one tells of a later one.
    fn follows(&self, now: Now, news: &Announcement) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let was_known = self.earlier.iter().any(|earlier| earlier.is_of(news));
        let later_start = current.id != news.id || news.born > current.born;
        if !was_known && later_start {
            return true;
        }
        let silent = now >= self.heard_at + SILENCE;
        let takes_work = news.state == BackendState::Ready;
        // A run that was replaced and still announces itself was replaced by news that came late. But what has left
        // was acknowledged, and is no proof that an earlier run is alive.
        let may_return = match (was_known, current.state) {
            (true, state) => state == BackendState::Ready && news.born.is_some(),
            (false, state) => state != BackendState::Draining,
        };
        silent && takes_work && may_return
    }

    fn replace(&mut self, now: Now, news: Announcement) -> Heard {
        let was_ready = self.serving().is_some();
        let is_ready = news.state == BackendState::Ready;
        self.heard_at = now;
        self.announced = true;
        self.earlier.retain(|earlier| !earlier.is_of(&news));
        if let Some(before) = self.current.replace(news) {
            if self.earlier.len() == EARLIER_KEPT {
                self.earlier.pop_front();
            }
            self.earlier.push_back(Run::of(&before));
        }
        match (was_ready, is_ready) {
            (_, true) => Heard::NowReady,
            (true, false) => Heard::NowLeaving,
            (false, false) => Heard::Known,
        }
    }
}
