//! The retries that one daemon may make at one service, in each window of time.
//! See `docs/design/retries.md`.

use crate::Now;
use std::{collections::VecDeque, time::Duration};

/// A window is counted in so many parts.
const PARTS: usize = 20;
/// Retries are allowed by the least that was sent in any window that ended within this part of a window ago:
/// whoever counts may take a window that ends then.
const LOOKED_BACK: usize = PARTS / 2;
/// The part of the ratio that is used of it. The rest covers what one daemon can't know: that load moves from one
/// to another in between.
const USED: f64 = 0.75;
/// The part of the ratio that is used of what was sent in the window that ends now. After a start it is all
/// there is; windows that end a quarter later or earlier hold half of it at least.
const USED_OF_LAST: f64 = 0.4;

/// What was sent in one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    first: f64,
    again: f64,
}

/// Counts first sendings and those that follow in a sliding window.
///
/// Each daemon is bounded by what it sent itself, so the sum over all daemons keeps the bound without talk, also
/// after a restart. What was sent counts, and not what succeeded: where a service turns many away, successes dry
/// up just when retries are needed.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    part: Duration,
    ratio: f64,
    slack: f64,
    /// The oldest first; parts in which nothing was sent are left out.
    parts: VecDeque<Part>,
    /// What may be sent again in the window that ends with the newest part, as worked out when that began.
    allowed: f64,
    /// What was sent again in it.
    again: f64,
}

impl RetryWindow {
    /// Allows `ratio` retries for each first sending, and `slack` besides, in each window of this length.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            part: (window / PARTS as u32).max(Duration::from_millis(1)),
            ratio,
            slack,
            parts: VecDeque::new(),
            allowed: slack,
            again: 0.0,
        }
    }

    /// Something is sent for the first time.
    pub fn sent(&mut self, now: Now) {
        self.last(now).first += 1.0;
    }

    /// Something is sent that counts as a retry for this part, whoever caused it: a call that a repeated
    /// request makes.
    pub fn sent_for_repeat(&mut self, now: Now, part: f64) {
        let last = self.last(now);
        last.first += 1.0 - part;
        last.again += part;
        self.again += part;
    }

    /// Takes the price of one retry if it is allowed.
    pub fn take(&mut self, now: Now) -> bool {
        self.last(now);
        let taken = self.again + 1.0 <= self.allowed;
        if taken {
            self.last(now).again += 1.0;
            self.again += 1.0;
        }
        taken
    }

    /// A part has begun: what its window allows follows from the parts before it, and stands until it ends.
    fn begin(&mut self, number: u64) {
        let window = PARTS as u64;
        let ended = |ago: u64| {
            let end = number - 1 - ago;
            self.between(end + 1 - window, end, |part| part.first)
        };
        let last = ended(0);
        let least = (1..=LOOKED_BACK as u64).map(ended).fold(last, f64::min);
        let counted = (least * USED).max(last * USED_OF_LAST);
        self.allowed = self.slack + self.ratio * counted;
        // The part before the window may lie in it with its end.
        self.again = self.between(number - window, number, |part| part.again);
    }

    /// The sum over the parts from one number to another, both included.
    fn between(&self, from: u64, to: u64, count: impl Fn(&Part) -> f64) -> f64 {
        let within = self
            .parts
            .iter()
            .filter(|part| (from..=to).contains(&part.number));
        within.map(count).sum()
    }

    fn last(&mut self, now: Now) -> &mut Part {
        // Numbers begin high enough for those of earlier windows.
        let number = (now.as_nanos() / self.part.as_nanos()) as u64 + 2 * PARTS as u64;
        let kept = number - (PARTS + LOOKED_BACK + 1) as u64;
        while self.parts.front().is_some_and(|part| part.number < kept) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.begin(number);
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let at = self.parts.len() - 1;
        &mut self.parts[at]
    }
}
