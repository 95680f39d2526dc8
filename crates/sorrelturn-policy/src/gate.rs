//! Admission to one backend server: a limit and a short queue in the order of shedding.
//! See `docs/design/admission.md`.

use crate::{AdaptiveLimit, Began, BestSlots, Now, Outcome, Pressure, SheddingLevel};
use sorrelturn_protocol::{Importance, Priority, Refusal};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// A critical request waits so many times longer: asking for it again costs its caller more.
const CRITICAL_WAITS: u32 = 4;
/// Critical requests find so many times more room in the queue.
const CRITICAL_ROOM: usize = 2;

/// Calls find so many times more room in the queue where they have a wait of their own.
const CALL_ROOM: usize = 4;

/// And so many more places at the most: each holds two connections and their memory.
const MOST_CALL_ROOM: usize = 100;

/// With this share of the limit in use, a gate counts as busy.
const BUSY_SHARE: f64 = 0.9;

/// What the bundle says about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// How many requests it works on at once.
    pub slots: u32,
    /// How many requests may wait.
    pub queue_len: u32,
    /// The longest wait.
    pub queue_wait: Duration,
    /// The time over which a fresh backend server is brought to full load.
    pub cold_start: Duration,
    /// Where the priority of a call isn't its root request's: the longest wait of calls, for which
    /// the roots are refused where they begin, and the level by which that is told.
    pub call_wait: Option<Duration>,
}

/// A request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Unique at this gate, and rising.
    pub id: u64,
    /// The root request's place in the shedding order.
    pub priority: Priority,
    /// Whether finished work of other backend servers is lost with it.
    pub holds_work: bool,
    /// When its answer is of no more use.
    pub deadline: Now,
    /// The level of load at which its root was admitted, where pressure is told by level.
    pub level: u16,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward it now.
    Admit,
    /// It waits; [`Gate::finish`] releases it, or [`Gate::give_up`] takes it out.
    Wait,
    /// Refuse it now.
    Refuse(Refusal),
}

/// The requests that leave the queue when another one finishes or arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Forward these now.
    pub admitted: Vec<u64>,
    /// How each of them began.
    pub began: Vec<Began>,
    /// Refuse these now.
    pub refused: Vec<(u64, Refusal)>,
}

/// The order of the queue: the greatest is admitted first, the least pushed out first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    importance: Importance,
    holds_work: bool,
    priority: Priority,
    deadline: Reverse<Now>,
    id: Reverse<u64>,
}

impl From<&Arrival> for QueueKey {
    fn from(arrival: &Arrival) -> Self {
        Self {
            importance: arrival.priority.importance(),
            holds_work: arrival.holds_work,
            priority: arrival.priority,
            deadline: Reverse(arrival.deadline),
            id: Reverse(arrival.id),
        }
    }
}

/// Admits requests to one backend server.
#[derive(Clone, Debug)]
pub struct Gate {
    cfg: GateConfig,
    limit: AdaptiveLimit,
    best: BestSlots,
    began: Began,
    pressure: Pressure,
    level: SheddingLevel,
    in_flight: u32,
    queue: BTreeMap<QueueKey, Now>,
}

impl Gate {
    /// A gate before a backend server that just started.
    pub fn new(cfg: GateConfig, now: Now) -> Self {
        Self {
            cfg,
            limit: AdaptiveLimit::new(cfg.slots, cfg.cold_start, now),
            best: BestSlots::new(cfg.slots),
            began: Began::default(),
            pressure: Pressure::new(now),
            level: SheddingLevel::new(now),
            in_flight: 0,
            queue: BTreeMap::new(),
        }
    }

    /// Takes over what a new bundle says; nothing in flight or waiting is lost.
    pub fn reconfigure(&mut self, cfg: GateConfig) {
        if cfg != self.cfg {
            if cfg.slots != self.cfg.slots {
                self.best.forget(cfg.slots);
            }
            self.cfg = cfg;
            self.limit.reconfigure(cfg.slots, cfg.cold_start);
        }
    }

    /// Decides on an arrival; the second value is a waiting request that it pushes out.
    pub fn arrive(&mut self, now: Now, arrival: &Arrival) -> (Decision, Option<u64>) {
        self.pressure.arrived(now, arrival.priority);
        if self.cfg.call_wait.is_some() {
            self.level.arrived(arrival.level);
            self.pass(now);
        }
        if self.has_room(now) && self.queue.is_empty() {
            self.admit(now, Duration::ZERO);
            return (Decision::Admit, None);
        }
        if now + self.expected_wait(now, arrival) >= arrival.deadline {
            self.pressure.shed(arrival.priority);
            return (Decision::Refuse(Refusal::Deadline), None);
        }
        let key = QueueKey::from(arrival);
        if self.queue.len() < self.room_for(arrival) {
            self.queue.insert(key, now);
            return (Decision::Wait, None);
        }
        match self.queue.first_key_value() {
            Some((least, _)) if *least < key => {
                let pushed_out = least.id.0;
                self.pressure.shed(least.priority);
                self.queue.pop_first();
                self.queue.insert(key, now);
                (Decision::Wait, Some(pushed_out))
            }
            _ => {
                self.pressure.shed(arrival.priority);
                (Decision::Refuse(Refusal::Overload), None)
            }
        }
    }

    /// An admitted request is over.
    pub fn finish(&mut self, now: Now, outcome: Outcome, took: Duration) -> Released {
        let counted = match self.cfg.call_wait {
            None => outcome,
            Some(_) => self.finish_by_level(now, outcome, took),
        };
        self.limit.observe(now, counted, took, self.in_flight);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release(now)
    }

    /// How the request began that [`Gate::arrive`] admitted just now; those that are released say it themselves.
    pub fn began(&self) -> Began {
        self.began
    }

    /// An admitted request is over, as [`Gate::finish`] is told next; `kind` is that of one that was answered and calls
    /// nothing.
    pub fn worked(&mut self, now: Now, began: Began, kind: Option<u64>, took: Duration) {
        self.best.ends(now, began, kind, took);
    }

    /// Another run of the backend server is there: how it works under load is to be found anew.
    pub fn another_run(&mut self) {
        self.best.forget(self.cfg.slots);
    }

    /// Tells the level of a request that is over; returns what the limit may learn from it.
    fn finish_by_level(&mut self, now: Now, outcome: Outcome, took: Duration) -> Outcome {
        self.pass(now);
        match outcome {
            Outcome::Answered => self.level.finished(took),
            // Where slots are announced, a backend server that refuses is not full but unwell. What it turns away
            // takes hardly any time of a slot.
            Outcome::Overloaded => {
                self.level.finished(took);
                return Outcome::Cancelled;
            }
            _ => {}
        }
        outcome
    }

    /// Takes a waiting request out: its wait is over, or its caller went away.
    ///
    /// Returns whether it was still waiting. A wait that is over is a sign of overload.
    pub fn give_up(&mut self, arrival: &Arrival, wait_is_over: bool) -> bool {
        let waited = self.queue.remove(&QueueKey::from(arrival)).is_some();
        if waited && wait_is_over {
            self.pressure.shed(arrival.priority);
        }
        waited
    }

    /// The daemon runs so late.
    pub fn lags(&mut self, lag: Duration) {
        self.level.set_lag(lag);
    }

    /// The backend server was away and is back.
    pub fn backend_restarted(&mut self, now: Now) {
        self.limit.restarted(now);
    }

    /// The longest wait of an arrival.
    pub fn queue_wait(&self, arrival: &Arrival) -> Duration {
        if let (true, Some(wait)) = (arrival.holds_work, self.cfg.call_wait) {
            return wait;
        }
        match arrival.priority.importance() {
            Importance::Critical => self.cfg.queue_wait * CRITICAL_WAITS,
            _ => self.cfg.queue_wait,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The limit now.
    pub fn limit(&self, now: Now) -> u32 {
        self.limit.get(now).min(self.best.limit()).max(1)
    }

    /// The limit that holds for long, which is what others go by.
    pub fn steady_limit(&self, now: Now) -> u32 {
        self.limit.get(now).min(self.best.best()).max(1)
    }

    /// Requests in flight and waiting, in percent of the limit.
    pub fn load_percent(&self, now: Now) -> u16 {
        let load = (u64::from(self.in_flight) + self.queue.len() as u64) * 100;
        (load / u64::from(self.steady_limit(now))).min(u64::from(u16::MAX)) as u16
    }

    /// Requests below this priority are being shed; where pressure is told by level, that.
    pub fn threshold(&mut self, now: Now) -> Priority {
        if self.cfg.call_wait.is_none() {
            return self.pressure.threshold(now);
        }
        self.pass(now);
        Priority(self.level.level())
    }

    fn pass(&mut self, now: Now) {
        let limit = self.steady_limit(now);
        self.level.update(now, self.queue.len(), limit);
    }

    /// How long the pressure has lasted; `None` while there is none.
    pub fn pressure_lasting(&self, now: Now) -> Option<Duration> {
        match self.cfg.call_wait {
            None => self.pressure.pressure_duration(now),
            Some(_) => self.level.pressure_duration(now),
        }
    }

    /// How many may wait before an arrival finds no room.
    fn room_for(&self, arrival: &Arrival) -> usize {
        let all = self.cfg.queue_len as usize;
        if arrival.holds_work && self.cfg.call_wait.is_some() {
            return (all * CALL_ROOM).min(all + MOST_CALL_ROOM);
        }
        match arrival.priority.importance() {
            Importance::Critical => all * CRITICAL_ROOM,
            _ => all,
        }
    }

    fn has_room(&self, now: Now) -> bool {
        self.in_flight < self.limit(now)
    }

    fn admit(&mut self, now: Now, wait: Duration) {
        self.in_flight += 1;
        self.began = self.best.begins(now, self.in_flight);
        self.pressure.admitted(wait);
        if f64::from(self.in_flight) >= f64::from(self.limit(now)) * BUSY_SHARE {
            self.pressure.mark_busy();
        }
    }

    fn release(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        while self.has_room(now) {
            let Some((key, since)) = self.queue.pop_last() else {
                break;
            };
            if key.deadline.0 <= now {
                self.pressure.shed(key.priority);
                released.refused.push((key.id.0, Refusal::Deadline));
                continue;
            }
            self.admit(now, now.saturating_sub(since));
            released.admitted.push(key.id.0);
            released.began.push(self.began);
        }
        released
    }

    /// The time until as many requests have finished as would go before this one.
    fn expected_wait(&self, now: Now, arrival: &Arrival) -> Duration {
        let ahead = self.queue.range(QueueKey::from(arrival)..).count() as u32;
        self.limit.service_time() * ahead / self.limit(now)
    }
}
