//! The gate with the tasks that wait at it.

use crate::{clock::Clock, net::timers::Timers, node::lock};
use smol::{
    channel::{self, Receiver, Sender},
    future::FutureExt,
};
use sorrelturn_policy::{Arrival, Decision, Gate, Now, Outcome, Released, TuningSample};
use sorrelturn_protocol::{Priority, Refusal};
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

type Word = Result<TuningSample, Refusal>;

/// What becomes of an arrival; only one that waits needs to hear a word.
enum Arrived {
    Admitted(TuningSample),
    Refused(Refusal),
    /// It waits for a word, and no longer than this.
    Waits(Receiver<Word>, Duration),
}

/// The gate before the backend server, shared by all requests.
pub(crate) struct Admission {
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
    admission: Arc<Admission>,
    since: Now,
    began: TuningSample,
    /// The kind of a request that calls nothing, by a hash of its name.
    leaf: Option<u64>,
    outcome: Outcome,
}

impl Slot {
    /// The request calls nothing, so that its time is the backend server's own.
    pub(crate) fn set_leaf_kind(&mut self, kind: &str) {
        let mut hasher = DefaultHasher::new();
        kind.hash(&mut hasher);
        self.leaf = Some(hasher.finish());
    }

    /// Gives the slot back with what was learnt.
    pub(crate) fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let took = self.admission.clock.now().saturating_sub(self.since);
        let leaf = self.leaf.filter(|_| self.outcome == Outcome::Answered);
        self.admission.finish(self.began, leaf, self.outcome, took);
    }
}

impl Admission {
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
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        priority: Priority,
        holds_work: bool,
        deadline: Now,
        level: u16,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let (arrival, decision) = self.arrive(now, priority, holds_work, deadline, level);
        match decision {
            Arrived::Admitted(began) => Ok(self.slot(began)),
            Arrived::Refused(refusal) => Err(refusal),
            Arrived::Waits(rx, longest) => {
                let until = deadline.min(now + longest);
                let waiting = Waiting {
                    admission: self,
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
            is_nested_call: holds_work,
            deadline,
            level,
        };
        let (decision, pushed_out) = inner.gate.arrive(now, &arrival);
        if let Some(tx) = pushed_out.and_then(|id| inner.waiters.remove(&id)) {
            let _ = tx.try_send(Err(Refusal::Overload));
        }
        let arrived = match decision {
            Decision::Admit => Arrived::Admitted(inner.gate.last_sample()),
            Decision::Refuse(refusal) => Arrived::Refused(refusal),
            Decision::Queue => {
                let (tx, rx) = channel::bounded(1);
                inner.waiters.insert(arrival.id, tx);
                Arrived::Waits(rx, inner.gate.queue_timeout(&arrival))
            }
        };
        (arrival, arrived)
    }

    fn slot(self: &Arc<Self>, began: TuningSample) -> Slot {
        Slot {
            admission: Arc::clone(self),
            since: self.clock.now(),
            began,
            leaf: None,
            outcome: Outcome::Cancelled,
        }
    }

    fn finish(&self, began: TuningSample, leaf: Option<u64>, outcome: Outcome, took: Duration) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.gate.end_sample(now, began, leaf, took);
        let mut released = inner.gate.finish(now, outcome, took);
        while let Some(unclaimed) = inner.pass_on(&released) {
            released = Released::default();
            for began in unclaimed {
                inner.gate.end_sample(now, began, None, Duration::ZERO);
                let more = inner.gate.finish(now, Outcome::Cancelled, Duration::ZERO);
                released.admitted.extend(more.admitted);
                released.samples.extend(more.samples);
                released.refused.extend(more.refused);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Tells those that wait; returns how those began whose waiters are gone, if any are.
    fn pass_on(&mut self, released: &Released) -> Option<Vec<TuningSample>> {
        for (id, refusal) in &released.refused {
            if let Some(tx) = self.waiters.remove(id) {
                let _ = tx.try_send(Err(*refusal));
            }
        }
        let admitted = released.admitted.iter().zip(&released.samples);
        let unclaimed: Vec<TuningSample> = admitted
            .filter(|(id, began)| {
                let tx = self.waiters.remove(id);
                tx.is_none_or(|tx| tx.try_send(Ok(**began)).is_err())
            })
            .map(|(_, began)| *began)
            .collect();
        (!unclaimed.is_empty()).then_some(unclaimed)
    }
}

/// A request that waits; leaves the queue when it is dropped.
struct Waiting<'a> {
    admission: &'a Arc<Admission>,
    arrival: Arrival,
    rx: Receiver<Word>,
    over: bool,
}

impl Waiting<'_> {
    async fn word(mut self, until: Now) -> Result<Slot, Refusal> {
        let timer = async {
            self.admission.timers.at(until).await;
            None
        };
        let word = async { self.rx.recv().await.ok() };
        match word.or(timer).await {
            Some(Ok(began)) => {
                self.over = true;
                Ok(self.admission.slot(began))
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
        let mut inner = self.admission.lock();
        inner.waiters.remove(&self.arrival.id);
        if inner.gate.remove_queued(&self.arrival, true) {
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
            .map(|began| self.admission.slot(began))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut inner = self.admission.lock();
        inner.waiters.remove(&self.arrival.id);
        let waited = inner.gate.remove_queued(&self.arrival, false);
        drop(inner);
        if !waited && let Ok(Ok(began)) = self.rx.try_recv() {
            let unused = Duration::ZERO;
            self.admission
                .finish(began, None, Outcome::Cancelled, unused);
        }
    }
}
