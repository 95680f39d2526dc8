//! When a daemon confirms that its bundle is the newest one, and with whom. See `docs/design/spread.md`.
//!
//! That no news arrive proves nothing: watches, connections and watchers may stop without an error. So each daemon
//! bounds the staleness of its bundle itself. Few daemons read the store, and the others learn it from them.

use crate::{Now, WATCHER_COUNT};
use std::{ops::Range, time::Duration};

/// Staleness at which a watcher reads the store, drawn anew after each confirmation. Most draws are late, so that
/// usually one watcher of the whole fleet reads and the others learn it.
const WATCHER_READ_STALENESS: Range<Duration> =
    Duration::from_millis(600)..Duration::from_millis(1_000);
/// Staleness at which a daemon asks a peer.
const ASK_STALENESS: Duration = Duration::from_millis(1_050);
/// Staleness at which the first standby reads the store.
const STANDBY_READ_STALENESS: Duration = Duration::from_millis(1_100);
/// Difference between the stalenesses at which two consecutive standbys read the store.
const STANDBY_READ_STEP: Duration = Duration::from_millis(50);
/// Standbys of a failure domain that read the store in one round, although peers answer them. Limits the calls during an
/// outage, when no reader spares the others. The next round is that of the next ranks, since the store may reject some
/// daemons and serve others.
const ROUND_SIZE: usize = 6;
/// Delay between the first two rounds.
const ROUND_DELAY: Duration = Duration::from_secs(1);
/// How often the delay between two rounds doubles, to 16 s.
const ROUND_DOUBLINGS: u32 = 4;
/// Delay before a watcher repeats a read that confirmed nothing. It doubles with each further one.
const WATCHER_RETRY_DELAY: Range<Duration> = Duration::from_millis(500)..Duration::from_secs(2);
/// The same, for a daemon that reads because a peer hasn't answered it.
const RETRY_DELAY: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(16);
/// The delay between two peers that are asked, as a divisor of the staleness.
const ASK_DELAY_DIVISOR: u32 = 15;
const MAX_ASK_DELAY: Duration = Duration::from_secs(1);
/// Staleness at which a daemon reads the store if a peer hasn't answered it, drawn anew after each confirmation. If many
/// peers are lost, most daemons learn it from the first that read.
const UNANSWERED_READ_STALENESS: Range<Duration> =
    Duration::from_millis(1_300)..Duration::from_millis(1_700);

/// The place of a daemon in the rank order of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPlace {
    /// Its rank; 0 is the first.
    pub rank: usize,
    /// The number of daemons in the failure domain.
    pub members: usize,
}

impl DomainPlace {
    fn is_watcher(self) -> bool {
        self.rank < WATCHER_COUNT
    }

    /// Returns the first round in which a standby reads the store, its position in that round, and after how many rounds
    /// it reads again.
    fn rounds(self) -> (u32, u32, u32) {
        let standby = self.rank.saturating_sub(WATCHER_COUNT);
        let standbys = self.members.max(self.rank + 1) - WATCHER_COUNT.min(self.members);
        let (first, position) = (standby / ROUND_SIZE, standby % ROUND_SIZE);
        let period = standbys.div_ceil(ROUND_SIZE).max(1);
        (first as u32, position as u32, period as u32)
    }
}

/// Returns the staleness at which a round of reads begins.
fn round_staleness(round: u32) -> Duration {
    let doublings = round.min(ROUND_DOUBLINGS);
    let doubled = ROUND_DELAY * ((1 << doublings) - 1);
    let constant = ROUND_DELAY * (1 << ROUND_DOUBLINGS) * (round - doublings);
    STANDBY_READ_STALENESS + doubled + constant
}

/// What a daemon does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationStep {
    /// Nothing before this time.
    WaitUntil(Now),
    /// Compare versions with a peer.
    AskPeer,
    /// Read the store.
    ReadStore,
}

/// Decides when a daemon asks a peer or reads the store to confirm its bundle.
#[derive(Debug, Default)]
pub struct ConfirmationSchedule {
    confirmed_at: Now,
    watcher_read_staleness: Duration,
    unanswered_read_staleness: Duration,
    next_ask: Now,
    /// Whether a peer hasn't answered since the confirmation. Then the daemons that usually read may be lost too.
    has_unanswered: bool,
    /// When the store was read last since the confirmation, and the delay before it is read again.
    last_read: Option<(Now, Duration)>,
    /// How many of its rounds a standby has had since the confirmation.
    finished_rounds: u32,
}

impl ConfirmationSchedule {
    /// Creates the schedule of a daemon that starts now.
    pub fn new(now: Now, rng: &mut fastrand::Rng) -> Self {
        let mut schedule = Self::default();
        schedule.restart(now, rng);
        schedule
    }

    /// Returns the next step of a daemon at this place in its failure domain, which it takes at once. It doesn't wait for
    /// the end of a read or an answer before the following step.
    pub fn next_step(
        &mut self,
        now: Now,
        confirmed_at: Option<Now>,
        place: DomainPlace,
        rng: &mut fastrand::Rng,
    ) -> ConfirmationStep {
        if let Some(at) = confirmed_at.filter(|at| *at > self.confirmed_at) {
            self.restart(at, rng);
        }
        let next_read = self.next_read(place);
        if next_read <= now {
            self.start_read(now, place);
            return ConfirmationStep::ReadStore;
        }
        if self.next_ask <= now {
            let staleness = now.saturating_sub(self.confirmed_at);
            self.next_ask = now + (staleness / ASK_DELAY_DIVISOR).min(MAX_ASK_DELAY);
            return ConfirmationStep::AskPeer;
        }
        ConfirmationStep::WaitUntil(next_read.min(self.next_ask))
    }

    /// Records whether a peer answered.
    pub fn ask_finished(&mut self, has_answered: bool) {
        self.has_unanswered |= !has_answered;
    }

    /// Whether a peer that was asked since the confirmation didn't answer.
    pub fn has_unanswered(&self) -> bool {
        self.has_unanswered
    }

    fn restart(&mut self, confirmed_at: Now, rng: &mut fastrand::Rng) {
        self.confirmed_at = confirmed_at;
        self.watcher_read_staleness = at_fraction(WATCHER_READ_STALENESS, rng.f64().cbrt());
        self.unanswered_read_staleness = at_fraction(UNANSWERED_READ_STALENESS, rng.f64());
        self.next_ask = confirmed_at + ASK_STALENESS;
        self.has_unanswered = false;
        self.last_read = None;
        self.finished_rounds = 0;
    }

    fn start_read(&mut self, now: Now, place: DomainPlace) {
        let Range { start, end } = match place.is_watcher() {
            true => WATCHER_RETRY_DELAY,
            false => RETRY_DELAY,
        };
        let delay = self.last_read.map_or(start, |(_, delay)| 2 * delay);
        self.last_read = Some((now, delay.clamp(start, end)));
        // One read serves for all rounds that have begun.
        while self.next_round(place) <= now {
            self.finished_rounds += 1;
        }
    }

    fn next_read(&self, place: DomainPlace) -> Now {
        if place.is_watcher() {
            return self.next_read_after(self.watcher_read_staleness);
        }
        let next_round = self.next_round(place);
        match self.has_unanswered {
            true => next_round.min(self.next_read_after(self.unanswered_read_staleness)),
            false => next_round,
        }
    }

    /// Returns when to read the store for the first time at this staleness, and then after growing delays.
    fn next_read_after(&self, staleness: Duration) -> Now {
        match self.last_read {
            None => self.confirmed_at + staleness,
            Some((at, delay)) => at + delay,
        }
    }

    /// Returns when a standby reads the store in its next round.
    fn next_round(&self, place: DomainPlace) -> Now {
        let (first, position, period) = place.rounds();
        let round = first.saturating_add(period.saturating_mul(self.finished_rounds));
        self.confirmed_at + round_staleness(round) + STANDBY_READ_STEP * position
    }
}

fn at_fraction(range: Range<Duration>, fraction: f64) -> Duration {
    range.start + (range.end - range.start).mul_f64(fraction)
}
