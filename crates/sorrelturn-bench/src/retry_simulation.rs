//! Simulates callers that are refused at the entry and retry, in virtual time.
//!
//! Entries shed load by the level that they learn from the gates of one service with few slots, using the
//! product's policy code. Only the requests' path, their work and the callers are simulated.

use fastrand::Rng;
use sorrelturn_policy::{
    Arrival, Decision, Gate, GateConfig, LearnedThreshold, Now, Outcome, RefusalStreak,
    RetryDetector, bucket_for_retry, refuses,
};
use sorrelturn_protocol::{Importance, Priority};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

const ENTRY_COUNT: usize = 12;
const INSTANCE_COUNT: usize = 3;
const SLOTS_PER_INSTANCE: u32 = 20;
/// The mean time that a call holds a slot. Half of it is fixed, the rest exponentially distributed.
const MEAN_CALL_WORK: Duration = Duration::from_millis(40);
/// A request works for this time, and up to twice as long, before it calls the service with few slots.
const MIN_WORK_BEFORE_CALL: Duration = Duration::from_millis(200);
/// The one-way delay between two VMs.
const HOP_DELAY: Duration = Duration::from_millis(1);
/// The normal load, as a fraction of the capacity of the slots.
const NORMAL_LOAD_FRACTION: f64 = 0.8;
/// Callers wait for Retry-After, but at most for their remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;
/// The start of the overload, and the time after which no new requests arrive.
const OVERLOAD_START: Duration = Duration::from_secs(3);
const LAST_ARRIVAL: Duration = Duration::from_secs(18);
const CLIENTS_PER_KIND: usize = 60;

/// A kind of request and its callers.
pub struct RetryingKind {
    /// The name in the table.
    pub name: &'static str,
    rank: usize,
    importance: Importance,
    share: f64,
    /// The time that its callers wait.
    deadline: Duration,
    /// Later answers count as late.
    target: Duration,
}

/// The simulated kinds: two of the lowest rank, one of the next.
pub const RETRYING_KINDS: [RetryingKind; 3] = [
    RetryingKind {
        name: "normal, 5 s",
        rank: 0,
        importance: Importance::Normal,
        share: 0.5,
        deadline: Duration::from_secs(5),
        target: Duration::from_millis(1_200),
    },
    RetryingKind {
        name: "normal, 1.2 s",
        rank: 0,
        importance: Importance::Normal,
        share: 0.2,
        deadline: Duration::from_millis(1_200),
        target: Duration::from_millis(700),
    },
    RetryingKind {
        name: "critical, 5 s",
        rank: 1,
        importance: Importance::Critical,
        share: 0.3,
        deadline: Duration::from_secs(5),
        target: Duration::from_millis(1_500),
    },
];

/// A simulated overload.
#[derive(Clone, Copy, Debug)]
pub struct OverloadCase {
    /// The name in the table.
    pub name: &'static str,
    /// The load as a multiple of the normal load.
    pub load_factor: f64,
    /// The number of instances that are left.
    pub instances: usize,
    /// The duration of the overload.
    pub duration: Duration,
}

/// The simulated overloads.
pub const OVERLOAD_CASES: [OverloadCase; 6] = [
    OverloadCase {
        name: "x3 for 0.3 s",
        load_factor: 3.0,
        instances: INSTANCE_COUNT,
        duration: Duration::from_millis(300),
    },
    OverloadCase {
        name: "x2 for 1 s",
        load_factor: 2.0,
        instances: INSTANCE_COUNT,
        duration: Duration::from_secs(1),
    },
    OverloadCase {
        name: "x1.3 for 5 s",
        load_factor: 1.3,
        instances: INSTANCE_COUNT,
        duration: Duration::from_secs(5),
    },
    OverloadCase {
        name: "x2 for 5 s",
        load_factor: 2.0,
        instances: INSTANCE_COUNT,
        duration: Duration::from_secs(5),
    },
    OverloadCase {
        name: "x3 for 5 s",
        load_factor: 3.0,
        instances: INSTANCE_COUNT,
        duration: Duration::from_secs(5),
    },
    OverloadCase {
        name: "one of three instances left, 8 s",
        load_factor: 1.0,
        instances: 1,
        duration: Duration::from_secs(8),
    },
];

/// A refused request for which a rule computes Retry-After.
pub struct RefusedRequest {
    /// The current time.
    pub now: Now,
    /// The shedding level at which it was refused.
    pub level: u16,
    /// The rank of the request.
    pub rank: usize,
    /// The time that its caller will still wait.
    pub time_left: Duration,
}

/// Computes Retry-After for a refused request. Each entry has one rule for each kind.
pub type RetryAfterRule = Box<dyn FnMut(&RefusedRequest, &mut Rng) -> Duration>;

/// A policy for callers that retry.
pub struct RetryPolicy {
    /// The name in the table.
    pub name: &'static str,
    /// Creates the rule of one entry and kind.
    pub retry_after_rule: fn() -> RetryAfterRule,
    /// Computes the shedding bucket of a retry from the request's own bucket and rank.
    pub retry_bucket: fn(u8, usize) -> u8,
}

/// The policy of the product.
pub const PRODUCT_POLICY: RetryPolicy = RetryPolicy {
    name: "product",
    retry_after_rule: || {
        let mut refusal_streak = RefusalStreak::default();
        Box::new(move |refused, rng| refusal_streak.record_refusal(refused.now, rng))
    },
    retry_bucket: bucket_for_retry,
};

/// The results of one kind's requests that were first sent during the overload or within two seconds after it.
#[derive(Clone, Debug, Default)]
pub struct RetryStats {
    /// First attempts.
    pub requested: u32,
    /// Answered within the target time at the first attempt.
    pub good_first: u32,
    /// Answered at the second attempt, within the target time counted from the first.
    pub good_later: u32,
    /// Answered after the target time.
    pub late: u32,
    /// Retries.
    pub retried: u32,
    /// Retries after the full Retry-After time.
    pub retried_after_wait: u32,
    /// Retries that were served.
    pub retried_served: u32,
    /// Retries after the full Retry-After time that were served.
    pub retried_after_wait_served: u32,
    /// Requests that were accepted and not served.
    pub accepted_unserved: u32,
    /// Requests that were accepted.
    pub accepted: u32,
    /// The time from arrival to refusal of each refused attempt.
    pub refusal_delays: Vec<Duration>,
    /// The number of requests and of served ones of each client.
    pub by_client: HashMap<usize, (u32, u32)>,
}

/// Simulates one overload. Returns the results of each kind.
pub fn simulate_retries(case: &OverloadCase, seed: u64, policy: &RetryPolicy) -> Vec<RetryStats> {
    let mut simulation = Simulation::new(case, seed, policy);
    simulation.run();
    simulation.stats_by_kind
}

/// An attempt of a request, with its caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    client: usize,
    entry: usize,
    bucket: u8,
    first_sent: Now,
    /// When the current attempt was sent.
    sent: Now,
    tries: u32,
    waited_retry_after: bool,
    level: u16,
}

enum Event {
    /// The next new request of a kind arrives.
    NextArrival(usize),
    RequestArrival(Request),
    CallArrival(Request),
    QueueTimeout(usize, u64),
    CallDone(usize, u64, Duration),
    /// The answer arrives, with the threshold of the gate and whether the request was served.
    Answered(Request, u16, bool),
}

struct Entry {
    learned_level: LearnedThreshold,
    retry_detector: RetryDetector,
    retry_after_rule: RetryAfterRule,
}

struct Instance {
    gate: Gate,
    calls: HashMap<u64, (Request, Arrival)>,
}

struct Simulation {
    case: OverloadCase,
    retry_bucket: fn(u8, usize) -> u8,
    rng: Rng,
    now: Now,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: HashMap<u64, Event>,
    next_id: u64,
    /// The state of each entry and kind.
    entries: Vec<Vec<Entry>>,
    instances: Vec<Instance>,
    stats_by_kind: Vec<RetryStats>,
}

impl Simulation {
    fn new(case: &OverloadCase, seed: u64, policy: &RetryPolicy) -> Self {
        let cfg = GateConfig {
            slots: SLOTS_PER_INSTANCE,
            queue_len: 60,
            queue_timeout: Duration::from_millis(100),
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(Duration::from_millis(250)),
        };
        let entry = || Entry {
            learned_level: LearnedThreshold::for_shedding_level(),
            retry_detector: RetryDetector::default(),
            retry_after_rule: (policy.retry_after_rule)(),
        };
        let kinds = RETRYING_KINDS.len();
        Self {
            case: *case,
            retry_bucket: policy.retry_bucket,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            entries: (0..ENTRY_COUNT)
                .map(|_| (0..kinds).map(|_| entry()).collect())
                .collect(),
            instances: (0..INSTANCE_COUNT)
                .map(|_| Instance {
                    gate: Gate::new(cfg, Duration::ZERO),
                    calls: HashMap::new(),
                })
                .collect(),
            stats_by_kind: vec![RetryStats::default(); kinds],
        }
    }

    fn run(&mut self) {
        for kind in 0..RETRYING_KINDS.len() {
            self.schedule_next_arrival(kind);
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + wait, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn is_overloaded(&self) -> bool {
        (OVERLOAD_START..OVERLOAD_START + self.case.duration).contains(&self.now)
    }

    fn schedule_next_arrival(&mut self, kind: usize) {
        let load = if self.is_overloaded() {
            self.case.load_factor
        } else {
            1.0
        };
        let capacity =
            (INSTANCE_COUNT as u32 * SLOTS_PER_INSTANCE) as f64 / MEAN_CALL_WORK.as_secs_f64();
        let per_second = capacity * NORMAL_LOAD_FRACTION * load * RETRYING_KINDS[kind].share;
        let wait = -(1.0 - self.rng.f64()).ln() / per_second;
        if self.now < LAST_ARRIVAL {
            self.schedule_after(Duration::from_secs_f64(wait), Event::NextArrival(kind));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextArrival(kind) => {
                self.schedule_next_arrival(kind);
                let req = self.new_request(kind);
                self.handle_arrival(req);
            }
            Event::RequestArrival(req) => self.handle_arrival(req),
            Event::CallArrival(req) => self.handle_call_arrival(req),
            Event::QueueTimeout(at, id) => self.queue_timed_out(at, id),
            Event::CallDone(at, id, took) => self.finish_work(at, id, took),
            Event::Answered(req, level, served) => self.handle_answer(&req, level, served),
        }
    }

    fn new_request(&mut self, kind: usize) -> Request {
        let client = self.rng.usize(..CLIENTS_PER_KIND);
        Request {
            kind,
            client,
            entry: client % ENTRY_COUNT,
            bucket: self.rng.u8(..),
            first_sent: self.now,
            sent: self.now,
            tries: 1,
            waited_retry_after: false,
            level: 0,
        }
    }

    /// Counts a result if the request was first sent in the counted time.
    fn count(&mut self, req: &Request, f: impl FnOnce(&mut RetryStats)) {
        let count_until = OVERLOAD_START + self.case.duration + Duration::from_secs(2);
        if (OVERLOAD_START..count_until).contains(&req.first_sent) {
            f(&mut self.stats_by_kind[req.kind]);
        }
    }

    fn handle_arrival(&mut self, mut req: Request) {
        let kind = &RETRYING_KINDS[req.kind];
        let left = kind.deadline.saturating_sub(self.now - req.first_sent);
        let is_first_attempt = req.tries == 1;
        self.count(&req, |counts| {
            counts.requested += u32::from(is_first_attempt);
            counts.by_client.entry(req.client).or_default().0 += u32::from(is_first_attempt);
            counts.retried += u32::from(!is_first_attempt);
            counts.retried_after_wait += u32::from(req.waited_retry_after);
        });
        let entry = &mut self.entries[req.entry][req.kind];
        let mut bucket = req.bucket;
        if entry.retry_detector.observe(left.as_millis() as u32) {
            bucket = (self.retry_bucket)(bucket, kind.rank);
        }
        let level = entry.learned_level.current(self.now).0;
        req.level = level;
        req.sent = self.now;
        if refuses(level, kind.rank, 2, bucket) {
            return self.refuse(req, left);
        }
        self.count(&req, |counts| counts.accepted += 1);
        let work_before_call = MIN_WORK_BEFORE_CALL.mul_f64(1.0 + self.rng.f64());
        self.schedule_after(work_before_call, Event::CallArrival(req));
    }

    fn refuse(&mut self, mut req: Request, left: Duration) {
        let delay = self.now - req.sent;
        let refused = RefusedRequest {
            now: self.now,
            level: req.level,
            rank: RETRYING_KINDS[req.kind].rank,
            time_left: left,
        };
        let retry_after =
            (self.entries[req.entry][req.kind].retry_after_rule)(&refused, &mut self.rng);
        self.count(&req, |counts| {
            counts.refusal_delays.push(delay);
        });
        if req.tries == 1 {
            req.tries = 2;
            // Each attempt has its own request id, and so its own shedding bucket.
            req.bucket = self.rng.u8(..);
            req.waited_retry_after = retry_after <= left / MAX_WAIT_DIVISOR;
            self.schedule_after(
                retry_after.min(left / MAX_WAIT_DIVISOR),
                Event::RequestArrival(req),
            );
        }
    }

    fn handle_call_arrival(&mut self, req: Request) {
        let live_count = if self.is_overloaded() {
            self.case.instances
        } else {
            INSTANCE_COUNT
        };
        let (first, second) = (self.rng.usize(..live_count), self.rng.usize(..live_count));
        let load = |at: usize| {
            let gate = &self.instances[at].gate;
            gate.in_flight() as usize + gate.queued()
        };
        let at = if load(first) <= load(second) {
            first
        } else {
            second
        };
        self.next_id += 1;
        let id = self.next_id;
        let arrival = Arrival {
            id,
            priority: Priority::new(RETRYING_KINDS[req.kind].importance, req.bucket),
            is_nested_call: true,
            deadline: req.first_sent + RETRYING_KINDS[req.kind].deadline,
            level: req.level,
        };
        let instance = &mut self.instances[at];
        instance.calls.insert(id, (req, arrival));
        let (decision, evicted) = instance.gate.arrive(self.now, &arrival);
        let wait = instance.gate.queue_timeout(&arrival);
        if let Some(id) = evicted {
            self.finish_call(at, id, false);
        }
        match decision {
            Decision::Admit => self.start_work(at, id),
            Decision::Queue => self.schedule_after(wait, Event::QueueTimeout(at, id)),
            Decision::Refuse(_) => self.finish_call(at, id, false),
        }
    }

    fn start_work(&mut self, at: usize, id: u64) {
        let random = -(1.0 - self.rng.f64()).ln();
        let took = MEAN_CALL_WORK.mul_f64(0.5 + 0.5 * random);
        self.schedule_after(took, Event::CallDone(at, id, took));
    }

    fn finish_work(&mut self, at: usize, id: u64, took: Duration) {
        self.finish_call(at, id, true);
        let gate = &mut self.instances[at].gate;
        let released = gate.finish(self.now, Outcome::Answered, took);
        for id in released.admitted {
            self.start_work(at, id);
        }
        for (id, _) in released.refused {
            self.finish_call(at, id, false);
        }
    }

    fn queue_timed_out(&mut self, at: usize, id: u64) {
        let instance = &mut self.instances[at];
        let Some((_, arrival)) = instance.calls.get(&id) else {
            return;
        };
        if instance.gate.remove_queued(arrival, true) {
            self.finish_call(at, id, false);
        }
    }

    fn finish_call(&mut self, at: usize, id: u64, served: bool) {
        let instance = &mut self.instances[at];
        if let Some((req, _)) = instance.calls.remove(&id) {
            let level = instance.gate.threshold(self.now).0;
            self.schedule_after(HOP_DELAY * 2, Event::Answered(req, level, served));
        }
    }

    fn handle_answer(&mut self, req: &Request, level: u16, served: bool) {
        for entry in &self.entries[req.entry][req.kind..=req.kind] {
            entry.learned_level.observe(self.now, Priority(level));
        }
        let good = self.now - req.first_sent <= RETRYING_KINDS[req.kind].target;
        let is_first_attempt = req.tries == 1;
        self.count(req, |counts| {
            if !served {
                counts.accepted_unserved += 1;
                return;
            }
            counts.by_client.entry(req.client).or_default().1 += 1;
            counts.good_first += u32::from(good && is_first_attempt);
            counts.good_later += u32::from(good && !is_first_attempt);
            counts.late += u32::from(!good);
            counts.retried_served += u32::from(!is_first_attempt);
            counts.retried_after_wait_served += u32::from(req.waited_retry_after);
        });
    }
}

impl RetryStats {
    /// Adds the results of another seed.
    pub fn add(&mut self, other: &Self) {
        self.requested += other.requested;
        self.good_first += other.good_first;
        self.good_later += other.good_later;
        self.late += other.late;
        self.retried += other.retried;
        self.retried_after_wait += other.retried_after_wait;
        self.retried_served += other.retried_served;
        self.retried_after_wait_served += other.retried_after_wait_served;
        self.accepted_unserved += other.accepted_unserved;
        self.accepted += other.accepted;
        self.refusal_delays.extend(&other.refusal_delays);
        for (client, (requested, served)) in &other.by_client {
            let sum = self.by_client.entry(*client).or_default();
            sum.0 += requested;
            sum.1 += served;
        }
    }

    /// The 10th and the 90th percentile of the clients' shares of served requests.
    pub fn client_share_percentiles(&self) -> (f64, f64) {
        let share =
            |(requested, served): &(u32, u32)| f64::from(*served) / f64::from((*requested).max(1));
        let mut shares: Vec<f64> = self.by_client.values().map(share).collect();
        shares.sort_unstable_by(f64::total_cmp);
        let decile = |tenths: usize| shares.get(shares.len() * tenths / 10).copied();
        (decile(1).unwrap_or_default(), decile(9).unwrap_or_default())
    }
}
