//! Which backend server stands beside the daemon, and whether it takes work.
//! See `docs/design/running-on-the-platform.md`.

use sorrelturn_protocol::{Announcement, BackendState};
use std::collections::VecDeque;

/// So many earlier backend servers are remembered, so that late news of them is recognised. One
/// replacement takes seconds and news is late by seconds, so a handful is enough.
const EARLIER_KEPT: usize = 8;

/// What follows from an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing new.
    Known,
    /// It was sent before something that is known already.
    Late,
    /// A backend server that takes work is there, or takes work anew.
    NowReady,
    /// The backend server leaves: nothing more may be handed to it.
    NowLeaving,
}

/// The backend server beside a daemon, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    current: Option<Announcement>,
    earlier: VecDeque<String>,
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

    /// Takes an announcement. A run that leaves never comes back; a new run has a new id.
    pub fn hear(&mut self, news: Announcement) -> Heard {
        if self.earlier.contains(&news.id) {
            return Heard::Late;
        }
        let Some(current) = &mut self.current else {
            return self.replace(news);
        };
        if current.id != news.id {
            return self.replace(news);
        }
        if news.state > current.state {
            current.sequence = current.sequence.max(news.sequence);
            let was_ready = current.state == BackendState::Ready;
            current.state = news.state;
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
        Heard::Known
    }

    /// Another backend server answered at the address: the known one has ended. Returns whether
    /// this is news.
    pub fn answered_as(&mut self, id: &str) -> bool {
        let known = self.current.as_ref().is_some_and(|known| known.id == id);
        if known || self.earlier.iter().any(|earlier| earlier == id) {
            return false;
        }
        let news = Announcement {
            id: id.to_owned(),
            state: BackendState::Ready,
            sequence: 0,
        };
        self.replace(news);
        true
    }

    fn replace(&mut self, news: Announcement) -> Heard {
        let was_ready = self.serving().is_some();
        let is_ready = news.state == BackendState::Ready;
        if let Some(before) = self.current.replace(news) {
            if self.earlier.len() == EARLIER_KEPT {
                self.earlier.pop_front();
            }
            self.earlier.push_back(before.id);
        }
        match (was_ready, is_ready) {
            (_, true) => Heard::NowReady,
            (true, false) => Heard::NowLeaving,
            (false, false) => Heard::Known,
        }
    }
}
