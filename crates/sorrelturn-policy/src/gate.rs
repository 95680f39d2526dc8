//! Admission to one backend server: a concurrency limit and a short priority queue.
//! See `docs/design/admission.md`.

use crate::{
    AdaptiveLimit, AnnouncedLimit, ColdLimiter, ConcurrencyTuner, Now, Outcome, OverloadDetector,
    SheddingLevel, TuningSample,
};
use sorrelturn_protocol::{Importance, InstanceRoom, Priority, Refusal};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Critical requests may queue longer because a retry costs their callers more.
const CRITICAL_QUEUE_TIMEOUT_FACTOR: u32 = 4;
/// Critical requests are queued up to this multiple of the queue length.
const CRITICAL_QUEUE_CAPACITY_FACTOR: usize = 2;

/// Nested calls with a queue timeout of their own are queued up to this multiple of the queue length.
const CALL_QUEUE_CAPACITY_FACTOR: usize = 4;

/// Bounds the additional queue places for nested calls; each holds two connections.
const MAX_EXTRA_CALL_QUEUE_LEN: usize = 100;

/// A gate is busy when at least this fraction of the limit is in use.
const BUSY_FRACTION: f64 = 0.9;

/// Settings of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of queued requests.
    pub queue_len: u32,
    /// The maximum queueing delay.
    pub queue_timeout: Duration,
    /// The time over which a restarted backend server is ramped up to full load.
    pub cold_start: Duration,
    /// The maximum queueing delay of nested calls. If set, the gate announces a shedding level, by which root requests
    /// are shed at their entry; otherwise it announces a priority threshold. Either way, the gate itself refuses and
    /// evicts requests by priority.
    pub call_queue_timeout: Option<Duration>,
}

/// A request that arrives at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Unique at this gate and increasing.
    pub id: u64,
    /// The priority of the root request.
    pub priority: Priority,
    /// Whether this is a nested call; refusing it wastes work that other backend servers have finished.
    pub is_nested_call: bool,
    /// The time after which the answer is useless.
    pub deadline: Now,
    /// The shedding level at which the root request was admitted, where shedding levels are in use.
    pub level: u16,
}

/// The decision on an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward the request now.
    Admit,
    /// The request is queued until [`Gate::finish`] releases it or [`Gate::remove_queued`] removes it.
    Queue,
    /// Refuse the request now.
    Refuse(Refusal),
}

/// The requests that leave the queue when another request finishes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// The requests to forward now.
    pub admitted: Vec<u64>,
    /// The tuning sample of each admitted request, in the same order.
    pub samples: Vec<TuningSample>,
    /// The requests to refuse now.
    pub refused: Vec<(u64, Refusal)>,
}

/// The order of the queue: the greatest key is admitted first, the smallest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    importance: Importance,
    is_nested_call: bool,
    priority: Priority,
    deadline: Reverse<Now>,
    id: Reverse<u64>,
}

impl From<&Arrival> for QueueKey {
    fn from(arrival: &Arrival) -> Self {
        Self {
            importance: arrival.priority.importance(),
            is_nested_call: arrival.is_nested_call,
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
    tuner: ConcurrencyTuner,
    last_sample: TuningSample,
    overload_detector: OverloadDetector,
    level: SheddingLevel,
    cold: ColdLimiter,
    announced: AnnouncedLimit,
    in_flight: u32,
    queue: BTreeMap<QueueKey, Now>,
}

impl Gate {
    /// Creates the gate of a backend server that just started.
    pub fn new(cfg: GateConfig, now: Now) -> Self {
        Self {
            cfg,
            limit: AdaptiveLimit::new(cfg.slots, cfg.cold_start, now),
            tuner: ConcurrencyTuner::new(cfg.slots),
            last_sample: TuningSample::default(),
            overload_detector: OverloadDetector::new(now),
            level: SheddingLevel::new(now),
            cold: ColdLimiter::new(now),
            announced: AnnouncedLimit::default(),
            in_flight: 0,
            queue: BTreeMap::new(),
        }
    }

    /// Applies new settings; requests in flight and queued requests are retained.
    pub fn reconfigure(&mut self, cfg: GateConfig) {
        if cfg != self.cfg {
            if cfg.slots != self.cfg.slots {
                self.tuner.reset(cfg.slots);
            }
            self.cfg = cfg;
            self.limit.reconfigure(cfg.slots, cfg.cold_start);
        }
    }

    /// Decides on an arrival. The second value is the queued request that it evicts, if any.
    pub fn arrive(&mut self, now: Now, arrival: &Arrival) -> (Decision, Option<u64>) {
        self.announced.arrived(now, arrival.level);
        let importance = arrival.priority.importance();
        let is_nested_call = arrival.is_nested_call;
        if !self.announced.has_token(now, importance, is_nested_call) {
            // No sign of overload, since it will need no slot here.
            return (Decision::Refuse(Refusal::BackendLimit), None);
        }
        self.overload_detector.arrived(now, arrival.priority);
        if self.cfg.call_queue_timeout.is_some() {
            self.level.arrived(arrival.level);
            self.update_level(now);
        }
        if !self.cold.has_token(now) {
            // Not queued, and no sign of overload: other instances may be warm.
            return (Decision::Refuse(Refusal::WarmingUp), None);
        }
        if self.has_free_slot(now) && self.queue.is_empty() {
            self.admit(now, Duration::ZERO);
            return (Decision::Admit, None);
        }
        if now + self.expected_queueing_delay(now, arrival) >= arrival.deadline {
            self.overload_detector.shed(arrival.priority);
            return (Decision::Refuse(Refusal::Deadline), None);
        }
        let key = QueueKey::from(arrival);
        if self.queue.len() < self.queue_capacity_for(arrival) {
            self.queue.insert(key, now);
            return (Decision::Queue, None);
        }
        match self.queue.first_key_value() {
            Some((lowest, _)) if *lowest < key => {
                let evicted = lowest.id.0;
                self.overload_detector.shed(lowest.priority);
                self.queue.pop_first();
                self.queue.insert(key, now);
                (Decision::Queue, Some(evicted))
            }
            _ => {
                self.overload_detector.shed(arrival.priority);
                (Decision::Refuse(Refusal::Overload), None)
            }
        }
    }

    /// Records the end of an admitted request and releases queued requests.
    pub fn finish(&mut self, now: Now, outcome: Outcome, duration: Duration) -> Released {
        let observed = match self.cfg.call_queue_timeout {
            None => outcome,
            Some(_) => self.record_finish_for_level(now, outcome, duration),
        };
        self.limit.observe(now, observed, duration, self.in_flight);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release(now)
    }

    /// The tuning sample of the request that [`Gate::arrive`] admitted last. [`Released`] holds those of released
    /// requests.
    pub fn last_sample(&self) -> TuningSample {
        self.last_sample
    }

    /// Ends the tuning sample of an admitted request; call [`Gate::finish`] next. `kind` is set only for answered
    /// requests of a kind that makes no calls.
    pub fn end_sample(
        &mut self,
        now: Now,
        sample: TuningSample,
        kind: Option<u64>,
        duration: Duration,
    ) {
        self.tuner.end(now, sample, kind, duration);
    }

    /// Discards the tuned concurrency for a new incarnation of the backend server.
    pub fn reset_tuning(&mut self) {
        self.tuner.reset(self.cfg.slots);
    }

    /// Updates the shedding level with a finished request and returns the outcome that the limit observes.
    fn record_finish_for_level(
        &mut self,
        now: Now,
        outcome: Outcome,
        duration: Duration,
    ) -> Outcome {
        self.update_level(now);
        match outcome {
            Outcome::Answered => self.level.finished(duration),
            // In this mode, backend servers announce their slots in heartbeats, so a refusal below them is a fault
            // and not a sign of overload.
            Outcome::Overloaded => {
                self.level.finished(duration);
                return Outcome::Cancelled;
            }
            _ => {}
        }
        outcome
    }

    /// Removes a queued request that timed out or whose caller cancelled.
    ///
    /// Returns whether it was still queued. A timeout counts as overload.
    pub fn remove_queued(&mut self, arrival: &Arrival, timed_out: bool) -> bool {
        let was_queued = self.queue.remove(&QueueKey::from(arrival)).is_some();
        if was_queued && timed_out {
            self.overload_detector.shed(arrival.priority);
        }
        was_queued
    }

    /// Reports the scheduling lag of the daemon.
    pub fn report_lag(&mut self, lag: Duration) {
        self.level.set_lag(lag);
    }

    /// Starts a new cold start after the backend server was unavailable.
    pub fn backend_restarted(&mut self, now: Now) {
        self.limit.restarted(now);
    }

    /// The maximum queueing delay of an arrival.
    pub fn queue_timeout(&self, arrival: &Arrival) -> Duration {
        if let (true, Some(timeout)) = (arrival.is_nested_call, self.cfg.call_queue_timeout) {
            return timeout;
        }
        match arrival.priority.importance() {
            Importance::Critical => self.cfg.queue_timeout * CRITICAL_QUEUE_TIMEOUT_FACTOR,
            _ => self.cfg.queue_timeout,
        }
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The current limit, which varies while the tuner compares two limits.
    pub fn limit(&self, now: Now) -> u32 {
        self.limit.get(now).min(self.tuner.limit()).max(1)
    }

    /// The current limit without the variation of a running comparison. Load figures use it.
    pub fn steady_limit(&self, now: Now) -> u32 {
        self.limit.get(now).min(self.tuner.best_limit()).max(1)
    }

    /// Requests in flight and queued, in percent of the steady limit.
    pub fn load_percent(&self, now: Now) -> u16 {
        let load = (u64::from(self.in_flight) + self.queue.len() as u64) * 100;
        let load = (load / u64::from(self.steady_limit(now))).min(u64::from(u16::MAX)) as u16;
        load.max(self.cold.load_percent(now))
            .max(self.announced.load_percent(now))
    }

    /// The limit on admissions while the backend server is cold.
    pub fn cold_limiter(&mut self) -> &mut ColdLimiter {
        &mut self.cold
    }

    /// Takes the admission of a request that is sent to the backend server a second time. Returns whether it is allowed.
    pub fn admit_resend(&mut self, now: Now) -> bool {
        let is_allowed = self.announced.has_token(now, Importance::Critical, true);
        if is_allowed {
            self.announced.take(now);
        }
        is_allowed
    }

    /// The limit that the backend server names.
    pub fn announced_limit(&mut self) -> &mut AnnouncedLimit {
        &mut self.announced
    }

    /// The priority below which requests are shed, or the shedding level where levels are in use.
    pub fn threshold(&mut self, now: Now) -> Priority {
        if self.cfg.call_queue_timeout.is_none() {
            return self.overload_detector.threshold(now);
        }
        self.update_level(now);
        Priority(self.level.level())
    }

    /// The load and the capacity of the backend server, for the level of its service; both 0 where no levels are in use.
    /// See `docs/design/service-room.md`.
    pub fn room(&mut self, now: Now) -> InstanceRoom {
        if self.cfg.call_queue_timeout.is_none() {
            return InstanceRoom::default();
        }
        self.update_level(now);
        let cold_rate = self.cold.limit_per_second(now);
        let named_rate = self.announced.rate().map(|rate| rate.per_second());
        let max_per_second = cold_rate.into_iter().chain(named_rate).reduce(f64::min);
        self.level.room(max_per_second)
    }

    /// The part of the shedding level that doesn't follow from [`Gate::room`].
    pub fn level_without_room(&mut self, now: Now) -> Priority {
        if self.cfg.call_queue_timeout.is_none() {
            return Priority::LOWEST;
        }
        self.update_level(now);
        Priority(self.level.lag_level())
    }

    fn update_level(&mut self, now: Now) {
        let limit = self.steady_limit(now);
        self.level.update(now, self.queue.len(), limit);
    }

    /// The duration of the current overload; `None` without overload.
    pub fn overload_duration(&self, now: Now) -> Option<Duration> {
        let duration = match self.cfg.call_queue_timeout {
            None => self.overload_detector.overload_duration(now),
            Some(_) => self.level.overload_duration(now),
        };
        duration.max(self.announced.overload_duration(now))
    }

    /// The queue length from which `arrival` has to evict another request.
    fn queue_capacity_for(&self, arrival: &Arrival) -> usize {
        let queue_len = self.cfg.queue_len as usize;
        if arrival.is_nested_call && self.cfg.call_queue_timeout.is_some() {
            return (queue_len * CALL_QUEUE_CAPACITY_FACTOR)
                .min(queue_len + MAX_EXTRA_CALL_QUEUE_LEN);
        }
        match arrival.priority.importance() {
            Importance::Critical => queue_len * CRITICAL_QUEUE_CAPACITY_FACTOR,
            _ => queue_len,
        }
    }

    fn has_free_slot(&self, now: Now) -> bool {
        self.in_flight < self.limit(now)
    }

    fn admit(&mut self, now: Now, queueing_delay: Duration) {
        self.cold.take(now);
        self.announced.take(now);
        self.in_flight += 1;
        self.last_sample = self.tuner.begin(now, self.in_flight);
        self.overload_detector.admitted(queueing_delay);
        if f64::from(self.in_flight) >= f64::from(self.limit(now)) * BUSY_FRACTION {
            self.overload_detector.mark_busy();
        }
    }

    fn release(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        while self.has_free_slot(now) && self.cold.has_token(now) && self.may_release_next(now) {
            let Some((key, queued_at)) = self.queue.pop_last() else {
                break;
            };
            if key.deadline.0 <= now {
                self.overload_detector.shed(key.priority);
                released.refused.push((key.id.0, Refusal::Deadline));
                continue;
            }
            self.admit(now, now.saturating_sub(queued_at));
            released.admitted.push(key.id.0);
            released.samples.push(self.last_sample);
        }
        released
    }

    fn may_release_next(&mut self, now: Now) -> bool {
        let next = self.queue.last_key_value();
        next.is_some_and(|(key, _)| {
            self.announced
                .has_token(now, key.importance, key.is_nested_call)
        })
    }

    /// The estimated queueing delay, from the number of queued requests that precede `arrival`.
    fn expected_queueing_delay(&self, now: Now, arrival: &Arrival) -> Duration {
        let ahead = self.queue.range(QueueKey::from(arrival)..).count() as u32;
        self.limit.service_time() * ahead / self.limit(now)
    }
}
