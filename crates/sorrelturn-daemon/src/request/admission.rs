//! Admission to the backend server: the gate, and the tasks that are queued for a slot.

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

type AdmissionResult = Result<TuningSample, Refusal>;

/// Only a queued request receives a later result.
enum ArrivalDecision {
    Admitted(TuningSample),
    Refused(Refusal),
    /// The channel of the result, and the queue timeout.
    Queued(Receiver<AdmissionResult>, Duration),
}

pub(crate) struct Admission {
    clock: Clock,
    timers: Timers,
    inner: Mutex<Inner>,
}

struct Inner {
    gate: Gate,
    waiters: HashMap<u64, Sender<AdmissionResult>>,
    next_id: u64,
}

/// Released when it is dropped.
pub(crate) struct Slot {
    admission: Arc<Admission>,
    started: Now,
    sample: TuningSample,
    /// The hash of the kind, if requests of this kind make no calls.
    leaf_kind_hash: Option<u64>,
    outcome: Outcome,
}

impl Slot {
    /// Marks a request that makes no calls: its duration is the backend server's own.
    pub(crate) fn set_leaf_kind(&mut self, kind: &str) {
        let mut hasher = DefaultHasher::new();
        kind.hash(&mut hasher);
        self.leaf_kind_hash = Some(hasher.finish());
    }

    pub(crate) fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let duration = self.admission.clock.now().saturating_sub(self.started);
        let leaf_kind_hash = self
            .leaf_kind_hash
            .filter(|_| self.outcome == Outcome::Answered);
        self.admission
            .finish(self.sample, leaf_kind_hash, self.outcome, duration);
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

    /// A refusal is final and returned as soon as it is known.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        priority: Priority,
        is_nested: bool,
        deadline: Now,
        shedding_level: u16,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let (arrival, decision) = self.arrive(now, priority, is_nested, deadline, shedding_level);
        match decision {
            ArrivalDecision::Admitted(sample) => Ok(self.slot(sample)),
            ArrivalDecision::Refused(refusal) => Err(refusal),
            ArrivalDecision::Queued(rx, queue_timeout) => {
                let until = deadline.min(now + queue_timeout);
                let queued = QueuedRequest {
                    admission: self,
                    arrival,
                    rx,
                    is_done: false,
                };
                queued.result(until).await
            }
        }
    }

    pub(crate) fn with_gate<T>(&self, f: impl FnOnce(&mut Gate, Now) -> T) -> T {
        let now = self.clock.now();
        f(&mut self.lock().gate, now)
    }

    fn arrive(
        &self,
        now: Now,
        priority: Priority,
        is_nested: bool,
        deadline: Now,
        shedding_level: u16,
    ) -> (Arrival, ArrivalDecision) {
        let mut inner = self.lock();
        inner.next_id += 1;
        let arrival = Arrival {
            id: inner.next_id,
            priority,
            is_nested_call: is_nested,
            deadline,
            level: shedding_level,
        };
        let (decision, displaced) = inner.gate.arrive(now, &arrival);
        if let Some(tx) = displaced.and_then(|id| inner.waiters.remove(&id)) {
            let _ = tx.try_send(Err(Refusal::Overload));
        }
        let outcome = match decision {
            Decision::Admit => ArrivalDecision::Admitted(inner.gate.last_sample()),
            Decision::Refuse(refusal) => ArrivalDecision::Refused(refusal),
            Decision::Queue => {
                let (tx, rx) = channel::bounded(1);
                inner.waiters.insert(arrival.id, tx);
                ArrivalDecision::Queued(rx, inner.gate.queue_timeout(&arrival))
            }
        };
        (arrival, outcome)
    }

    fn slot(self: &Arc<Self>, sample: TuningSample) -> Slot {
        Slot {
            admission: Arc::clone(self),
            started: self.clock.now(),
            sample,
            leaf_kind_hash: None,
            outcome: Outcome::Cancelled,
        }
    }

    fn finish(
        &self,
        sample: TuningSample,
        leaf_kind_hash: Option<u64>,
        outcome: Outcome,
        duration: Duration,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.gate.end_sample(now, sample, leaf_kind_hash, duration);
        let mut released = inner.gate.finish(now, outcome, duration);
        while let Some(unclaimed) = inner.notify_waiters(&released) {
            released = Released::default();
            for sample in unclaimed {
                inner.gate.end_sample(now, sample, None, Duration::ZERO);
                let next = inner.gate.finish(now, Outcome::Cancelled, Duration::ZERO);
                released.admitted.extend(next.admitted);
                released.samples.extend(next.samples);
                released.refused.extend(next.refused);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Notifies queued requests and returns the samples of admitted requests whose waiters are gone.
    fn notify_waiters(&mut self, released: &Released) -> Option<Vec<TuningSample>> {
        for (id, refusal) in &released.refused {
            if let Some(tx) = self.waiters.remove(id) {
                let _ = tx.try_send(Err(*refusal));
            }
        }
        let admitted = released.admitted.iter().zip(&released.samples);
        let unclaimed: Vec<TuningSample> = admitted
            .filter(|(id, sample)| {
                let tx = self.waiters.remove(id);
                tx.is_none_or(|tx| tx.try_send(Ok(**sample)).is_err())
            })
            .map(|(_, sample)| *sample)
            .collect();
        (!unclaimed.is_empty()).then_some(unclaimed)
    }
}

/// Leaves the queue when it is dropped.
struct QueuedRequest<'a> {
    admission: &'a Arc<Admission>,
    arrival: Arrival,
    rx: Receiver<AdmissionResult>,
    is_done: bool,
}

impl QueuedRequest<'_> {
    async fn result(mut self, until: Now) -> Result<Slot, Refusal> {
        let timer = async {
            self.admission.timers.at(until).await;
            None
        };
        let result = async { self.rx.recv().await.ok() };
        match result.or(timer).await {
            Some(Ok(sample)) => {
                self.is_done = true;
                Ok(self.admission.slot(sample))
            }
            Some(Err(refusal)) => {
                self.is_done = true;
                Err(refusal)
            }
            None => self.handle_timeout(until),
        }
    }

    /// Leaves the queue. A result that arrived in the meantime still counts.
    fn handle_timeout(&mut self, until: Now) -> Result<Slot, Refusal> {
        self.is_done = true;
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
            .map(|sample| self.admission.slot(sample))
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let mut inner = self.admission.lock();
        inner.waiters.remove(&self.arrival.id);
        let was_queued = inner.gate.remove_queued(&self.arrival, false);
        drop(inner);
        if !was_queued && let Ok(Ok(sample)) = self.rx.try_recv() {
            let unused_time = Duration::ZERO;
            self.admission
                .finish(sample, None, Outcome::Cancelled, unused_time);
        }
    }
}
