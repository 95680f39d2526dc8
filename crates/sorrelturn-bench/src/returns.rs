//! Callers that are refused at the entry and come back as they were told, played in virtual time.
//!
//! Entries refuse by the level that they learn from the gates of one service with few slots, with the
//! code of the product; only the requests' way, their work and the callers are made up here.

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

const ENTRIES: usize = 12;
const INSTANCES: usize = 3;
const SLOTS: u32 = 20;
/// The mean time that a call holds a slot; what is above a half of it is distributed exponentially.
const WORK: Duration = Duration::from_millis(40);
/// The first part of a request, before its call of the service with few slots: so long, and up to
/// twice as long.
const BEFORE_CALL: Duration = Duration::from_millis(200);
/// One way between two VMs.
const HOP: Duration = Duration::from_millis(1);
/// The load before, as a share of what the slots can do.
const NORMAL_LOAD: f64 = 0.8;
/// Callers wait as they are told for up to this part of the time that they have left.
const PATIENCE: u32 = 3;
/// When the pressure begins, and when the last first try arrives.
const BEGIN: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(18);
const CLIENTS_OF_A_KIND: usize = 60;

/// A kind of request and its callers.
pub struct ReturningKind {
    /// For the table.
    pub name: &'static str,
    rank: usize,
    importance: Importance,
    share: f64,
    /// How long its callers wait.
    deadline: Duration,
    /// An answer that comes later than this is worth less to them.
    good_within: Duration,
}

/// The kinds: two of the lowest rank, one of the next.
pub const RETURNING_KINDS: [ReturningKind; 3] = [
    ReturningKind {
        name: "normal, 5 s",
        rank: 0,
        importance: Importance::Normal,
        share: 0.5,
        deadline: Duration::from_secs(5),
        good_within: Duration::from_millis(1_200),
    },
    ReturningKind {
        name: "normal, 1.2 s",
        rank: 0,
        importance: Importance::Normal,
        share: 0.2,
        deadline: Duration::from_millis(1_200),
        good_within: Duration::from_millis(700),
    },
    ReturningKind {
        name: "critical, 5 s",
        rank: 1,
        importance: Importance::Critical,
        share: 0.3,
        deadline: Duration::from_secs(5),
        good_within: Duration::from_millis(1_500),
    },
];

/// What presses.
#[derive(Clone, Copy, Debug)]
pub struct Pressing {
    /// For the table.
    pub name: &'static str,
    /// So many times the normal load.
    pub load: f64,
    /// So many instances are left.
    pub instances: usize,
    /// For so long.
    pub lasts: Duration,
}

/// The pressures that are played.
pub const PRESSINGS: [Pressing; 6] = [
    Pressing {
        name: "x3 for 0.3 s",
        load: 3.0,
        instances: INSTANCES,
        lasts: Duration::from_millis(300),
    },
    Pressing {
        name: "x2 for 1 s",
        load: 2.0,
        instances: INSTANCES,
        lasts: Duration::from_secs(1),
    },
    Pressing {
        name: "x1.3 for 5 s",
        load: 1.3,
        instances: INSTANCES,
        lasts: Duration::from_secs(5),
    },
    Pressing {
        name: "x2 for 5 s",
        load: 2.0,
        instances: INSTANCES,
        lasts: Duration::from_secs(5),
    },
    Pressing {
        name: "x3 for 5 s",
        load: 3.0,
        instances: INSTANCES,
        lasts: Duration::from_secs(5),
    },
    Pressing {
        name: "one of three instances left, 8 s",
        load: 1.0,
        instances: 1,
        lasts: Duration::from_secs(8),
    },
];

/// A refusal for which a rule says when to come back.
pub struct Refused {
    /// Now.
    pub now: Now,
    /// The level by which it was refused.
    pub level: u16,
    /// The rank of the request.
    pub rank: usize,
    /// What its caller says that it will still wait.
    pub left: Duration,
}

/// When a refused caller is told to come back. Each entry has one of each kind.
pub type ReturnRule = Box<dyn FnMut(&Refused, &mut Rng) -> Duration>;

/// A way to treat callers that come back.
pub struct ReturnWay {
    /// For the table.
    pub name: &'static str,
    /// Makes the rule of one entry and kind.
    pub rule: fn() -> ReturnRule,
    /// The place in the order of shedding that a request of a rank has when it was tried before.
    pub order: fn(u8, usize) -> u8,
}

/// What the entries of the product do.
pub const PRODUCT: ReturnWay = ReturnWay {
    name: "the product's",
    rule: || {
        let mut refusing = RefusalStreak::default();
        Box::new(move |refused, rng| refusing.record_refusal(refused.now, rng))
    },
    order: bucket_for_retry,
};

/// What came of the requests of one kind that were first sent while the pressure lasted or in the
/// two seconds after it.
#[derive(Clone, Debug, Default)]
pub struct Returned {
    /// First tries.
    pub asked: u32,
    /// Answered in good time at the first try.
    pub good_first: u32,
    /// Answered in good time, counted from the first try, at the second.
    pub good_later: u32,
    /// Answered later than that.
    pub late: u32,
    /// Those who came back.
    pub came_back: u32,
    /// Those of them who were told a time that they wait for.
    pub as_told: u32,
    /// Those who came back and were served.
    pub came_back_served: u32,
    /// Those who came back as told and were served.
    pub as_told_served: u32,
    /// Requests that were taken and not served.
    pub taken_unserved: u32,
    /// Requests that were taken.
    pub taken: u32,
    /// From arrival to refusal, of each refused try.
    pub refused_after: Vec<Duration>,
    /// Requests and served ones of each client.
    pub by_client: HashMap<usize, (u32, u32)>,
}

/// Plays one pressure; returns what came of each kind.
pub fn play_returns(pressing: &Pressing, seed: u64, way: &ReturnWay) -> Vec<Returned> {
    let mut play = Play::new(pressing, seed, way);
    play.run();
    play.returned
}

/// One request with its caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    client: usize,
    entry: usize,
    bucket: u8,
    first_sent: Now,
    /// When it was sent this time.
    sent: Now,
    tries: u32,
    as_told: bool,
    level: u16,
}

enum Event {
    /// A new request of a kind is due.
    Next(usize),
    Arrives(Request),
    Calls(Request),
    WaitOver(usize, u64),
    Worked(usize, u64, Duration),
    /// What the caller and its entry hear.
    Answered(Request, u16, bool),
}

struct Entry {
    level: LearnedThreshold,
    first_tries: RetryDetector,
    rule: ReturnRule,
}

struct Instance {
    gate: Gate,
    calls: HashMap<u64, (Request, Arrival)>,
}

struct Play {
    pressing: Pressing,
    order: fn(u8, usize) -> u8,
    rng: Rng,
    now: Now,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: HashMap<u64, Event>,
    next_id: u64,
    /// One for each entry and kind.
    entries: Vec<Vec<Entry>>,
    instances: Vec<Instance>,
    returned: Vec<Returned>,
}

impl Play {
    fn new(pressing: &Pressing, seed: u64, way: &ReturnWay) -> Self {
        let cfg = GateConfig {
            slots: SLOTS,
            queue_len: 60,
            queue_timeout: Duration::from_millis(100),
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(Duration::from_millis(250)),
        };
        let entry = || Entry {
            level: LearnedThreshold::for_shedding_level(),
            first_tries: RetryDetector::default(),
            rule: (way.rule)(),
        };
        let kinds = RETURNING_KINDS.len();
        Self {
            pressing: *pressing,
            order: way.order,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            entries: (0..ENTRIES)
                .map(|_| (0..kinds).map(|_| entry()).collect())
                .collect(),
            instances: (0..INSTANCES)
                .map(|_| Instance {
                    gate: Gate::new(cfg, Duration::ZERO),
                    calls: HashMap::new(),
                })
                .collect(),
            returned: vec![Returned::default(); kinds],
        }
    }

    fn run(&mut self) {
        for kind in 0..RETURNING_KINDS.len() {
            self.next_due(kind);
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.happens(event);
            }
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + wait, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn is_pressed(&self) -> bool {
        (BEGIN..BEGIN + self.pressing.lasts).contains(&self.now)
    }

    fn next_due(&mut self, kind: usize) {
        let load = if self.is_pressed() {
            self.pressing.load
        } else {
            1.0
        };
        let capacity = (INSTANCES as u32 * SLOTS) as f64 / WORK.as_secs_f64();
        let per_second = capacity * NORMAL_LOAD * load * RETURNING_KINDS[kind].share;
        let wait = -(1.0 - self.rng.f64()).ln() / per_second;
        if self.now < END {
            self.after(Duration::from_secs_f64(wait), Event::Next(kind));
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Next(kind) => {
                self.next_due(kind);
                let req = self.new_request(kind);
                self.arrives(req);
            }
            Event::Arrives(req) => self.arrives(req),
            Event::Calls(req) => self.calls(req),
            Event::WaitOver(at, id) => self.wait_over(at, id),
            Event::Worked(at, id, took) => self.worked(at, id, took),
            Event::Answered(req, level, served) => self.answered(&req, level, served),
        }
    }

    fn new_request(&mut self, kind: usize) -> Request {
        let client = self.rng.usize(..CLIENTS_OF_A_KIND);
        Request {
            kind,
            client,
            entry: client % ENTRIES,
            bucket: self.rng.u8(..),
            first_sent: self.now,
            sent: self.now,
            tries: 1,
            as_told: false,
            level: 0,
        }
    }

    /// What came of it, if it was first sent while that counts.
    fn count(&mut self, req: &Request, f: impl FnOnce(&mut Returned)) {
        let until = BEGIN + self.pressing.lasts + Duration::from_secs(2);
        if (BEGIN..until).contains(&req.first_sent) {
            f(&mut self.returned[req.kind]);
        }
    }

    fn arrives(&mut self, mut req: Request) {
        let kind = &RETURNING_KINDS[req.kind];
        let left = kind.deadline.saturating_sub(self.now - req.first_sent);
        let is_first = req.tries == 1;
        self.count(&req, |counts| {
            counts.asked += u32::from(is_first);
            counts.by_client.entry(req.client).or_default().0 += u32::from(is_first);
            counts.came_back += u32::from(!is_first);
            counts.as_told += u32::from(req.as_told);
        });
        let entry = &mut self.entries[req.entry][req.kind];
        let mut bucket = req.bucket;
        if entry.first_tries.observe(left.as_millis() as u32) {
            bucket = (self.order)(bucket, kind.rank);
        }
        let level = entry.level.current(self.now).0;
        req.level = level;
        req.sent = self.now;
        if refuses(level, kind.rank, 2, bucket) {
            return self.refused(req, left);
        }
        self.count(&req, |counts| counts.taken += 1);
        let before = BEFORE_CALL.mul_f64(1.0 + self.rng.f64());
        self.after(before, Event::Calls(req));
    }

    fn refused(&mut self, mut req: Request, left: Duration) {
        let after = self.now - req.sent;
        let refused = Refused {
            now: self.now,
            level: req.level,
            rank: RETURNING_KINDS[req.kind].rank,
            left,
        };
        let told = (self.entries[req.entry][req.kind].rule)(&refused, &mut self.rng);
        self.count(&req, |counts| {
            counts.refused_after.push(after);
        });
        if req.tries == 1 {
            req.tries = 2;
            // Each try has an id of its own, and with it its own place in the order.
            req.bucket = self.rng.u8(..);
            req.as_told = told <= left / PATIENCE;
            self.after(told.min(left / PATIENCE), Event::Arrives(req));
        }
    }

    fn calls(&mut self, req: Request) {
        let live = if self.is_pressed() {
            self.pressing.instances
        } else {
            INSTANCES
        };
        let (one, other) = (self.rng.usize(..live), self.rng.usize(..live));
        let load = |at: usize| {
            let gate = &self.instances[at].gate;
            gate.in_flight() as usize + gate.queued()
        };
        let at = if load(one) <= load(other) { one } else { other };
        self.next_id += 1;
        let id = self.next_id;
        let arrival = Arrival {
            id,
            priority: Priority::new(RETURNING_KINDS[req.kind].importance, req.bucket),
            is_nested_call: true,
            deadline: req.first_sent + RETURNING_KINDS[req.kind].deadline,
            level: req.level,
        };
        let instance = &mut self.instances[at];
        instance.calls.insert(id, (req, arrival));
        let (decision, pushed_out) = instance.gate.arrive(self.now, &arrival);
        let wait = instance.gate.queue_timeout(&arrival);
        if let Some(id) = pushed_out {
            self.call_over(at, id, false);
        }
        match decision {
            Decision::Admit => self.works(at, id),
            Decision::Queue => self.after(wait, Event::WaitOver(at, id)),
            Decision::Refuse(_) => self.call_over(at, id, false),
        }
    }

    fn works(&mut self, at: usize, id: u64) {
        let random = -(1.0 - self.rng.f64()).ln();
        let took = WORK.mul_f64(0.5 + 0.5 * random);
        self.after(took, Event::Worked(at, id, took));
    }

    fn worked(&mut self, at: usize, id: u64, took: Duration) {
        self.call_over(at, id, true);
        let gate = &mut self.instances[at].gate;
        let released = gate.finish(self.now, Outcome::Answered, took);
        for id in released.admitted {
            self.works(at, id);
        }
        for (id, _) in released.refused {
            self.call_over(at, id, false);
        }
    }

    fn wait_over(&mut self, at: usize, id: u64) {
        let instance = &mut self.instances[at];
        let Some((_, arrival)) = instance.calls.get(&id) else {
            return;
        };
        if instance.gate.remove_queued(arrival, true) {
            self.call_over(at, id, false);
        }
    }

    fn call_over(&mut self, at: usize, id: u64, served: bool) {
        let instance = &mut self.instances[at];
        if let Some((req, _)) = instance.calls.remove(&id) {
            let level = instance.gate.threshold(self.now).0;
            self.after(HOP * 2, Event::Answered(req, level, served));
        }
    }

    fn answered(&mut self, req: &Request, level: u16, served: bool) {
        for entry in &self.entries[req.entry][req.kind..=req.kind] {
            entry.level.observe(self.now, Priority(level));
        }
        let good = self.now - req.first_sent <= RETURNING_KINDS[req.kind].good_within;
        let is_first = req.tries == 1;
        self.count(req, |counts| {
            if !served {
                counts.taken_unserved += 1;
                return;
            }
            counts.by_client.entry(req.client).or_default().1 += 1;
            counts.good_first += u32::from(good && is_first);
            counts.good_later += u32::from(good && !is_first);
            counts.late += u32::from(!good);
            counts.came_back_served += u32::from(!is_first);
            counts.as_told_served += u32::from(req.as_told);
        });
    }
}

impl Returned {
    /// Adds another play.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.good_first += other.good_first;
        self.good_later += other.good_later;
        self.late += other.late;
        self.came_back += other.came_back;
        self.as_told += other.as_told;
        self.came_back_served += other.came_back_served;
        self.as_told_served += other.as_told_served;
        self.taken_unserved += other.taken_unserved;
        self.taken += other.taken;
        self.refused_after.extend(&other.refused_after);
        for (client, (asked, served)) in &other.by_client {
            let sum = self.by_client.entry(*client).or_default();
            sum.0 += asked;
            sum.1 += served;
        }
    }

    /// The share of its requests that a client has served, at the tenth and the ninetieth of a
    /// hundred clients.
    pub fn clients(&self) -> (f64, f64) {
        let share = |(asked, served): &(u32, u32)| f64::from(*served) / f64::from((*asked).max(1));
        let mut shares: Vec<f64> = self.by_client.values().map(share).collect();
        shares.sort_unstable_by(f64::total_cmp);
        let at = |part: usize| shares.get(shares.len() * part / 10).copied();
        (at(1).unwrap_or_default(), at(9).unwrap_or_default())
    }
}
