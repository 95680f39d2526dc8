//! One daemon of an experiment: what it has learnt, on the product's own policy code.

use super::file::{Experiment, Mechanism};
use fastrand::Rng;
use sorrelturn_policy::{
    CallGraph, Candidate, Gate, GateConfig, InProgressRequests, Instance, InstanceReport,
    LearnedThreshold, Now, RefusalStreak, RequestOrigins, RetryAfter, RetryDetector, RetryWindow,
    bucket_for_retry, choose, refuses,
};
use sorrelturn_protocol::{Importance, Incarnation, Priority};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The waits of the product's gates, where calls have a wait of their own.
const QUEUE_WAIT: Duration = Duration::from_millis(100);
const CALL_WAIT: Duration = Duration::from_millis(250);
/// The window of the bound on retries, the part of its slack that the product uses, and the least number of
/// daemons that share it.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const SLACK_USED: f64 = 0.5;
const LEAST_SHARERS: usize = 12;

/// What a daemon has learnt about one kind.
struct KindState {
    threshold: LearnedThreshold,
    first_tries: RetryDetector,
    refusing: RefusalStreak,
    /// What answers told of it: whether its requests are calls.
    is_call: bool,
    was_answered: bool,
}

/// How far apart the same end may seem: it travels in whole milliseconds.
const SAME_END: Duration = Duration::from_millis(4);

/// A request that the backend server works on.
struct AtWork {
    kind: usize,
    deadline: Now,
}

/// What a daemon knows of one instance.
struct Route {
    stats: Instance,
}

/// A daemon with the gate before its backend server.
pub(super) struct Daemon {
    kinds: Vec<KindState>,
    /// For each service, its instances.
    routes: Vec<Vec<Route>>,
    /// For each service.
    retries: Vec<RetryWindow>,
    pub(super) gate: Gate,
    /// When its processor is free.
    free_at: Now,
    /// What the backend server works on.
    pub(super) worked_on: InProgressRequests,
    /// The same one by one, by the ids of the runs.
    at_work: BTreeMap<u64, AtWork>,
    graph: CallGraph,
    origins: RequestOrigins,
}

/// Where the instances of the services stand.
pub(super) struct Site {
    /// For each service, the failure domain of each instance.
    pub(super) domains: Vec<Vec<usize>>,
    pub(super) slots: Vec<u32>,
    pub(super) daemons: usize,
}

/// What an answer tells besides the answer.
#[derive(Clone, Copy)]
pub(super) struct Told {
    pub(super) threshold: Priority,
    pub(super) load: u16,
    pub(super) is_call: bool,
}

impl Daemon {
    pub(super) fn new(
        experiment: &Experiment,
        site: &Site,
        service: usize,
        domain: usize,
        now: Now,
    ) -> Self {
        let near_first = experiment.is_on(Mechanism::NearFirst);
        let routes = site.domains.iter().enumerate().map(|(service, domains)| {
            let instances = domains.iter().enumerate().map(|(at, its)| {
                let near = !near_first || *its == domain;
                Route {
                    stats: Instance::new(incarnation(service, at), near, Duration::ZERO, now),
                }
            });
            instances.collect()
        });
        let sharers = site.daemons.max(LEAST_SHARERS) as f64;
        let ratio = experiment.retries.ratio;
        let slack = experiment.retries.slack * SLACK_USED / sharers;
        let cfg = GateConfig {
            slots: site.slots[service],
            queue_len: site.slots[service],
            queue_timeout: QUEUE_WAIT,
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(CALL_WAIT),
        };
        Self {
            kinds: experiment.kinds.iter().map(|_| KindState::new()).collect(),
            routes: routes.collect(),
            retries: site
                .domains
                .iter()
                .map(|_| RetryWindow::new(RETRY_WINDOW, ratio, slack))
                .collect(),
            gate: Gate::new(cfg, now),
            free_at: now,
            worked_on: InProgressRequests::default(),
            at_work: BTreeMap::new(),
            graph: CallGraph::default(),
            origins: RequestOrigins::default(),
        }
    }

    /// The backend server is handed a request.
    pub(super) fn begins(
        &mut self,
        run: u64,
        kind: usize,
        deadline: Now,
        level: u16,
        repeated: bool,
    ) {
        self.worked_on.begin(level, repeated);
        self.at_work.insert(run, AtWork { kind, deadline });
    }

    /// It is done with one.
    pub(super) fn is_done(&mut self, run: u64, level: u16, repeated: bool) {
        self.worked_on.end(level, repeated);
        self.at_work.remove(&run);
    }

    /// Learns from a finished request what its kind calls.
    pub(super) fn learns_calls_of(&mut self, name: &str, took: Duration) {
        self.graph.record_end(name, took);
    }

    /// What a kind is known to call.
    pub(super) fn calls_of(&self, name: &str) -> &[String] {
        self.graph.calls(name)
    }

    /// Whether a kind is known to call nothing.
    pub(super) fn calls_nothing(&self, name: &str) -> bool {
        self.graph.is_leaf(name)
    }

    /// The backend server makes a call that is known as one.
    pub(super) fn called(&mut self, names: &[String], child: usize, end: Now) {
        let mut groups: BTreeMap<(usize, bool), u32> = BTreeMap::new();
        for at_work in self.at_work.values() {
            let same_end = at_work.deadline.abs_diff(end) <= SAME_END;
            if same_end || at_work.deadline > end {
                *groups.entry((at_work.kind, same_end)).or_default() += 1;
            }
        }
        let candidates = groups
            .into_iter()
            .map(|((kind, same_end), count)| Candidate {
                kind: names[kind].clone(),
                has_same_deadline: same_end,
                count,
            });
        let candidates: Vec<Candidate> = candidates.collect();
        self.graph.record_call(&names[child], &candidates);
    }

    /// A request of a kind came from the VM of a service.
    pub(super) fn comes_from(&mut self, name: &str, service: &str) {
        self.origins.record(name, service);
    }

    /// Whether requests of a kind are calls, as seen where they are answered.
    pub(super) fn are_calls(&self, name: &str, shares: &BTreeMap<String, f64>) -> bool {
        let share_of = |service: &str| shares.get(service).copied().unwrap_or(1.0);
        self.origins.are_calls(name, shares.len(), share_of)
    }

    /// Whether requests of a kind are calls, as answers told.
    pub(super) fn is_call(&self, kind: usize) -> bool {
        self.kinds[kind].is_call
    }

    /// How many lower importances the root requests have that were answered, and how many they have in all.
    pub(super) fn known_rank(&self, importances: &[Importance], kind: usize) -> (usize, usize) {
        let known = self.kinds.iter().zip(importances);
        let of_roots: Vec<Importance> = known
            .filter(|(state, _)| state.was_answered && !state.is_call)
            .map(|(_, importance)| *importance)
            .collect();
        rank_of(importances[kind], &of_roots)
    }

    /// The processor takes so long for a side of a hop; returns when it is done.
    pub(super) fn works(&mut self, now: Now, takes: Duration) -> Now {
        let lag = self.free_at.saturating_sub(now);
        if !takes.is_zero() {
            self.gate.report_lag(lag);
        }
        self.free_at = now.max(self.free_at) + takes;
        self.free_at
    }

    /// The level that was learnt for a kind with all that it calls.
    pub(super) fn level(&self, now: Now, kind: usize) -> u16 {
        self.kinds[kind].threshold.current(now).0
    }

    /// The highest level of some kinds.
    pub(super) fn level_of(&self, now: Now, kinds: &[usize]) -> Priority {
        let levels = kinds
            .iter()
            .map(|kind| self.kinds[*kind].threshold.current(now));
        levels.max().unwrap_or_default()
    }

    /// Whether a root request is refused; `left` is what its caller says that it will still wait.
    pub(super) fn refuses(
        &mut self,
        experiment: &Experiment,
        now: Now,
        kind: usize,
        rank: (usize, usize),
        bucket: u8,
        left: Duration,
    ) -> bool {
        if !experiment.is_on(Mechanism::EntryAdmission) {
            return false;
        }
        let level = self.level(now, kind);
        let was_tried = self.kinds[kind]
            .first_tries
            .observe(left.as_millis() as u32);
        let bucket = if was_tried && experiment.is_on(Mechanism::ReturnOrder) {
            bucket_for_retry(bucket, rank.0)
        } else {
            bucket
        };
        refuses(level, rank.0, rank.1, bucket)
    }

    /// When a refused caller is told to come back.
    pub(super) fn come_back(
        &mut self,
        experiment: &Experiment,
        now: Now,
        kind: usize,
        rng: &mut Rng,
    ) -> Duration {
        if experiment.is_on(Mechanism::ReturnTime) {
            return self.kinds[kind].refusing.record_refusal(now, rng);
        }
        RetryAfter::compute(None, rng)
    }

    /// Picks an instance of a service.
    pub(super) fn pick(
        &self,
        experiment: &Experiment,
        now: Now,
        service: usize,
        tried: &[Incarnation],
        rng: &mut Rng,
    ) -> Option<usize> {
        let instances = &self.routes[service];
        if experiment.is_on(Mechanism::ChoiceByLoad) {
            let stats = instances.iter().map(|route| &route.stats);
            return choose(stats, now, tried, rng);
        }
        let open: Vec<usize> = (0..instances.len())
            .filter(|at| !tried.contains(&instances[*at].stats.incarnation))
            .collect();
        rng.choice(open)
    }

    /// A call goes out to an instance.
    pub(super) fn starts(&self, service: usize, at: usize) {
        self.routes[service][at].stats.started();
    }

    /// A call is over.
    pub(super) fn ends(&self, now: Now, service: usize, at: usize, report: InstanceReport) {
        self.routes[service][at].stats.finished(now, report);
    }

    /// Learns what an answer tells.
    pub(super) fn learns(&mut self, now: Now, kind: usize, told: &Told) {
        let state = &mut self.kinds[kind];
        state.threshold.observe(now, told.threshold);
        state.is_call = told.is_call;
        state.was_answered = true;
    }

    /// A call is sent to a service for the first time; the part of those that may make it is run once more.
    pub(super) fn sends(&mut self, now: Now, service: usize, repeated: f64) {
        self.retries[service].record_call_of_repeat(now, repeated);
    }

    /// Takes the price of another sending to a service, if it is there.
    pub(super) fn pays_retry(&mut self, now: Now, service: usize) -> bool {
        self.retries[service].try_retry(now)
    }
}

impl KindState {
    fn new() -> Self {
        Self {
            threshold: LearnedThreshold::for_shedding_level(),
            first_tries: RetryDetector::default(),
            refusing: RefusalStreak::default(),
            is_call: false,
            was_answered: false,
        }
    }
}

/// An instance's name for the choice.
pub(super) fn incarnation(service: usize, at: usize) -> Incarnation {
    Incarnation((service as u64) << 32 | (at as u64 + 1))
}

/// How many lower importances root requests have, and how many in all.
pub(super) fn rank_of(importance: Importance, of_roots: &[Importance]) -> (usize, usize) {
    let mut known: HashMap<Importance, ()> = HashMap::new();
    for root in of_roots {
        known.insert(*root, ());
    }
    let lower = known.keys().filter(|other| **other < importance).count();
    (lower, known.len())
}
