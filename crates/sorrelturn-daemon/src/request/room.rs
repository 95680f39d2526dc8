//! The gate with the tasks that wait at it.

use crate::{clock::Clock, net::timers::Timers, node::lock};
use smol::{
    channel::{self, Receiver, Sender},
    future::FutureExt,
};
use sorrelturn_policy::{Arrival, Decision, Gate, Now, Outcome, Released};
use sorrelturn_protocol::{Priority, Refusal};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

type Word = Result<(), Refusal>;

/// What becomes of an arrival; only one that waits needs to hear a word.
enum Arrived {
    Admitted,
    Refused(Refusal),
    /// It waits for a word, and no longer than this.
    Waits(Receiver<Word>, Duration),
}

/// The gate before the backend server, shared by all requests.
pub(crate) struct Room {
    clock: Clock,
    timers: Timers,
    inner: Mutex<Inner>,
}

struct Inner {
    gate: Gate,
    waiters: HashMap<u64, Sender<Word>>,
    next_id: u64,
}

/// A slot at the backend server; given back when it is dropped.
pub(crate) struct Slot {
    room: Arc<Room>,
    since: Now,
    outcome: Outcome,
}

impl Slot {
    /// Gives the slot back with what was learnt.
    pub(crate) fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let took = self.room.clock.now().saturating_sub(self.since);
        self.room.finish(self.outcome, took);
    }
}

impl Room {
    pub(crate) fn new(clock: Clock, timers: Timers, gate: Gate) -> Self {
        let inner = Inner {
            gate,
            waiters: HashMap::new(),
            next_id: 0,
        };
        Self {
            clock,
            timers,
            inner: Mutex::new(inner),
        }
    }

    /// Waits for a slot; the refusal is final and comes as soon as it is known.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        priority: Priority,
        holds_work: bool,
        deadline: Now,
        level: u16,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let (arrival, decision) = self.arrive(now, priority, holds_work, deadline, level);
        match decision {
            Arrived::Admitted => Ok(self.slot()),
            Arrived::Refused(refusal) => Err(refusal),
            Arrived::Waits(rx, longest) => {
                let until = deadline.min(now + longest);
                let waiting = Waiting {
                    room: self,
                    arrival,
                    rx,
                    over: false,
                };
                waiting.word(until).await
            }
        }
    }

    /// Runs `f` on the gate.
    pub(crate) fn with_gate<T>(&self, f: impl FnOnce(&mut Gate, Now) -> T) -> T {
        let now = self.clock.now();
        f(&mut self.lock().gate, now)
    }

    fn arrive(
        &self,
        now: Now,
        priority: Priority,
        holds_work: bool,
        deadline: Now,
        level: u16,
    ) -> (Arrival, Arrived) {
        let mut inner = self.lock();
        inner.next_id += 1;
        let arrival = Arrival {
            id: inner.next_id,
            priority,
            holds_work,
            deadline,
            level,
        };
        let (decision, pushed_out) = inner.gate.arrive(now, &arrival);
        if let Some(tx) = pushed_out.and_then(|id| inner.waiters.remove(&id)) {
            let _ = tx.try_send(Err(Refusal::Overload));
        }
        let arrived = match decision {
            Decision::Admit => Arrived::Admitted,
            Decision::Refuse(refusal) => Arrived::Refused(refusal),
            Decision::Wait => {
                let (tx, rx) = channel::bounded(1);
                inner.waiters.insert(arrival.id, tx);
                Arrived::Waits(rx, inner.gate.queue_wait(&arrival))
            }
        };
        (arrival, arrived)
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            room: Arc::clone(self),
            since: self.clock.now(),
            outcome: Outcome::Cancelled,
        }
    }

    fn finish(&self, outcome: Outcome, took: Duration) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut released = inner.gate.finish(now, outcome, took);
        while let Some(unclaimed) = inner.pass_on(&released) {
            released = Released::default();
            for _ in 0..unclaimed {
                let more = inner.gate.finish(now, Outcome::Cancelled, Duration::ZERO);
                released.admitted.extend(more.admitted);
                released.refused.extend(more.refused);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Tells those that wait; returns how many slots found their waiter gone, if any did.
    fn pass_on(&mut self, released: &Released) -> Option<usize> {
        for (id, refusal) in &released.refused {
            if let Some(tx) = self.waiters.remove(id) {
                let _ = tx.try_send(Err(*refusal));
            }
        }
        let unclaimed = released
            .admitted
            .iter()
            .filter(|id| {
                let tx = self.waiters.remove(id);
                tx.is_none_or(|tx| tx.try_send(Ok(())).is_err())
            })
            .count();
        (unclaimed > 0).then_some(unclaimed)
    }
}

/// A request that waits; leaves the queue when it is dropped.
struct Waiting<'a> {
    room: &'a Arc<Room>,
    arrival: Arrival,
    rx: Receiver<Word>,
    over: bool,
}

impl Waiting<'_> {
    async fn word(mut self, until: Now) -> Result<Slot, Refusal> {
        let timer = async {
            self.room.timers.at(until).await;
            None
        };
        let word = async { self.rx.recv().await.ok() };
        match word.or(timer).await {
            Some(Ok(())) => {
                self.over = true;
                Ok(self.room.slot())
            }
            Some(Err(refusal)) => {
                self.over = true;
                Err(refusal)
            }
            None => self.time_is_up(until),
        }
    }

    /// The word may have come in the same instant; then it counts.
    fn time_is_up(&mut self, until: Now) -> Result<Slot, Refusal> {
        self.over = true;
        let mut inner = self.room.lock();
        inner.waiters.remove(&self.arrival.id);
        if inner.gate.give_up(&self.arrival, true) {
            return Err(if until == self.arrival.deadline {
                Refusal::Deadline
            } else {
                Refusal::Overload
            });
        }
        drop(inner);
        self.rx
            .try_recv()
            .unwrap_or(Err(Refusal::Overload))
            .map(|()| self.room.slot())
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut inner = self.room.lock();
        inner.waiters.remove(&self.arrival.id);
        let waited = inner.gate.give_up(&self.arrival, false);
        drop(inner);
        if !waited && matches!(self.rx.try_recv(), Ok(Ok(()))) {
            self.room.finish(Outcome::Cancelled, Duration::ZERO);
        }
    }
}
