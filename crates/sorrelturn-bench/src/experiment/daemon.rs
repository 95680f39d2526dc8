//! A simulated daemon, which decides by the product's policy code.

use super::file::{Experiment, Mechanism};
use fastrand::Rng;
use sorrelturn_policy::{
    CallGraph, Candidate, Gate, GateConfig, InProgressRequests, Instance, InstanceReport,
    LearnedThreshold, Now, RefusalStreak, RequestOrigins, RetryAfter, RetryDetector, RetryWindow,
    bucket_for_retry, choose, refuses,
};
use sorrelturn_protocol::{Importance, Incarnation, Precedence, Priority};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The queue timeouts of the product's gates: for root requests, and for nested calls.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
const CALL_QUEUE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a daemon assumes that an owner refuses repeats after its answer said so.
const REPEATS_REFUSED_RETENTION: Duration = Duration::from_secs(1);
/// The window of the retry limit.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The fraction of the configured retry slack that is shared out among the daemons.
const SLACK_FRACTION: f64 = 0.5;
/// The slack is divided by at least this number of daemons.
const MIN_SHARING_DAEMONS: usize = 12;

struct KindState {
    threshold: LearnedThreshold,
    retry_detector: RetryDetector,
    refusal_streak: RefusalStreak,
    repeats_refused_at: Option<Now>,
    /// Whether answers report requests of this kind as nested calls.
    is_call: bool,
    was_answered: bool,
}

/// Deadlines this close count as the same one, since they are sent in whole milliseconds.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);

struct RunningRequest {
    kind: usize,
    deadline: Now,
    repeat_share: f64,
}

/// The calls of one kind that a request makes.
pub(super) struct CallRate {
    pub(super) kind: usize,
    pub(super) service: usize,
    pub(super) calls: f64,
}

struct InstanceState {
    stats: Instance,
}

/// A daemon with the gate in front of its backend server.
pub(super) struct Daemon {
    kinds: Vec<KindState>,
    instances_by_service: Vec<Vec<InstanceState>>,
    /// The service of each kind, if the limits of its instances are heeded.
    limited_services: Vec<Option<usize>>,
    /// By service index.
    retries: Vec<RetryWindow>,
    pub(super) gate: Gate,
    processor_free_at: Now,
    pub(super) in_progress: InProgressRequests,
    /// By run id.
    running_requests: BTreeMap<u64, RunningRequest>,
    graph: CallGraph,
    origins: RequestOrigins,
}

pub(super) struct Topology {
    /// For each service, the failure domain of each instance.
    pub(super) domains: Vec<Vec<usize>>,
    pub(super) slots: Vec<u32>,
    pub(super) daemon_count: usize,
}

/// The metadata that an answer carries.
#[derive(Clone, Copy)]
pub(super) struct AnswerContext {
    pub(super) threshold: Priority,
    pub(super) load: u16,
    pub(super) is_call: bool,
    pub(super) refuses_repeats: bool,
    pub(super) limit_level: u16,
    /// How long the instance is avoided.
    pub(super) pause: Option<Duration>,
}

impl Daemon {
    pub(super) fn new(
        experiment: &Experiment,
        topology: &Topology,
        service: usize,
        domain: usize,
        now: Now,
    ) -> Self {
        let near_first = experiment.is_enabled(Mechanism::NearFirst);
        let instances_by_service = topology
            .domains
            .iter()
            .enumerate()
            .map(|(service, domains)| {
                let instances = domains.iter().enumerate().map(|(index, instance_domain)| {
                    let in_same_domain = !near_first || *instance_domain == domain;
                    InstanceState {
                        stats: Instance::new(
                            incarnation(service, index),
                            in_same_domain,
                            Duration::ZERO,
                            now,
                        ),
                    }
                });
                instances.collect()
            });
        let sharing_daemons = topology.daemon_count.max(MIN_SHARING_DAEMONS) as f64;
        let ratio = experiment.retries.ratio;
        let slack = experiment.retries.slack * SLACK_FRACTION / sharing_daemons;
        let heeds_limits = experiment.is_enabled(Mechanism::LimitLevels);
        let limited_services = experiment.kinds.values().map(|kind| {
            let mut services = experiment.services.keys();
            let service = services.position(|name| *name == kind.service);
            service.filter(|_| heeds_limits)
        });
        let cfg = GateConfig {
            slots: topology.slots[service],
            queue_len: topology.slots[service],
            queue_timeout: QUEUE_TIMEOUT,
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(CALL_QUEUE_TIMEOUT),
        };
        Self {
            kinds: experiment.kinds.iter().map(|_| KindState::new()).collect(),
            instances_by_service: instances_by_service.collect(),
            limited_services: limited_services.collect(),
            retries: topology
                .domains
                .iter()
                .map(|_| RetryWindow::new(RETRY_WINDOW, ratio, slack))
                .collect(),
            gate: Gate::new(cfg, now),
            processor_free_at: now,
            in_progress: InProgressRequests::default(),
            running_requests: BTreeMap::new(),
            graph: CallGraph::default(),
            origins: RequestOrigins::default(),
        }
    }

    pub(super) fn begin_execution(
        &mut self,
        run: u64,
        kind: usize,
        deadline: Now,
        level: u16,
        repeat_share: f64,
    ) {
        self.in_progress.begin(level);
        let running = RunningRequest {
            kind,
            deadline,
            repeat_share,
        };
        self.running_requests.insert(run, running);
    }

    pub(super) fn end_execution(&mut self, run: u64, level: u16) {
        self.in_progress.end(level);
        self.running_requests.remove(&run);
    }

    /// Learns from a finished request which kinds its kind calls.
    pub(super) fn learn_calls(&mut self, name: &str, took: Duration) {
        self.graph.record_end(name, took);
    }

    pub(super) fn known_calls(&self, name: &str) -> &[String] {
        self.graph.calls(name)
    }

    pub(super) fn is_leaf(&self, name: &str) -> bool {
        self.graph.is_leaf(name)
    }

    /// Records a nested call and the requests in progress that may have made it. Returns the probability that a
    /// repeated request made it.
    pub(super) fn repeat_share_of_call(
        &mut self,
        names: &[String],
        child: usize,
        deadline: Now,
    ) -> f64 {
        let mut groups: BTreeMap<(usize, bool), (u32, f64)> = BTreeMap::new();
        for running in self.running_requests.values() {
            let same_deadline = running.deadline.abs_diff(deadline) <= DEADLINE_TOLERANCE;
            if same_deadline || running.deadline > deadline {
                let group = groups.entry((running.kind, same_deadline)).or_default();
                group.0 += 1;
                group.1 += running.repeat_share;
            }
        }
        let candidates = groups
            .into_iter()
            .map(|((kind, same_deadline), (count, repeats))| Candidate {
                kind: names[kind].clone(),
                has_same_deadline: same_deadline,
                count,
                repeat_share: repeats / f64::from(count),
            });
        let candidates: Vec<Candidate> = candidates.collect();
        self.graph.record_call(&names[child], &candidates)
    }

    pub(super) fn call_rate(&self, parent: &str, child: &str) -> f64 {
        self.graph.call_rate(parent, child)
    }

    /// Reserves retries for the calls of a repeated request; returns whether there are enough.
    pub(super) fn let_in_repeat(&mut self, now: Now, calls: &[CallRate]) -> bool {
        let has_room = self.has_room_below(now, calls);
        if has_room {
            for call in calls {
                self.retries[call.service].expect_calls_of_repeat(now, call.calls);
            }
        }
        has_room
    }

    pub(super) fn has_room_below(&mut self, now: Now, calls: &[CallRate]) -> bool {
        calls.iter().all(|call| {
            !self.repeats_refused_recently(now, call.kind)
                && self.retries[call.service].has_room_for_calls_of_repeat(now, call.calls)
        })
    }

    pub(super) fn forget_expected_calls(&mut self, now: Now, calls: &[CallRate]) {
        for call in calls {
            self.retries[call.service].forget_expected_calls(now, call.calls);
        }
    }

    pub(super) fn record_repeats_refused(&mut self, now: Now, kind: usize) {
        self.kinds[kind].repeats_refused_at = Some(now);
    }

    pub(super) fn repeats_refused_recently(&self, now: Now, kind: usize) -> bool {
        let refused_at = self.kinds[kind].repeats_refused_at;
        refused_at.is_some_and(|at| now - at < REPEATS_REFUSED_RETENTION)
    }

    /// Records that a request arrived from a VM of a service.
    pub(super) fn record_origin(&mut self, name: &str, service: &str) {
        self.origins.record(name, service);
    }

    /// Whether requests of a kind are nested calls, judged by where they come from.
    pub(super) fn is_called_kind(&self, name: &str, shares: &BTreeMap<String, f64>) -> bool {
        let share_of = |service: &str| shares.get(service).copied().unwrap_or(1.0);
        self.origins.are_calls(name, shares.len(), share_of)
    }

    pub(super) fn is_reported_as_call(&self, kind: usize) -> bool {
        self.kinds[kind].is_call
    }

    /// Among the importances of answered root requests: how many are lower than that of `kind`, and how many there
    /// are.
    pub(super) fn known_rank(&self, importances: &[Importance], kind: usize) -> (usize, usize) {
        let known = self.kinds.iter().zip(importances);
        let root_importances: Vec<Importance> = known
            .filter(|(state, _)| state.was_answered && !state.is_call)
            .map(|(_, importance)| *importance)
            .collect();
        rank_of(importances[kind], &root_importances)
    }

    /// Occupies the processor for one side of a hop; returns when it is done.
    pub(super) fn occupy_processor(&mut self, now: Now, duration: Duration) -> Now {
        let lag = self.processor_free_at.saturating_sub(now);
        if !duration.is_zero() {
            self.gate.report_lag(lag);
        }
        self.processor_free_at = now.max(self.processor_free_at) + duration;
        self.processor_free_at
    }

    /// The learned shedding level, including the kinds that it calls.
    pub(super) fn shedding_level(&self, now: Now, kind: usize) -> u16 {
        let learned = self.kinds[kind].threshold.current(now).0;
        learned.max(self.limit_level(now, kind))
    }

    /// The lowest level that the limit of an instance of the kind's service calls for.
    fn limit_level(&self, now: Now, kind: usize) -> u16 {
        let Some(service) = self.limited_services[kind] else {
            return 0;
        };
        let instances = self.instances_by_service[service].iter();
        let levels = instances.map(|instance| instance.stats.limit_level(now));
        levels.min().unwrap_or(0)
    }

    pub(super) fn max_shedding_level(&self, now: Now, kinds: &[usize]) -> Priority {
        let levels = kinds
            .iter()
            .map(|kind| Priority(self.shedding_level(now, *kind)));
        levels.max().unwrap_or_default()
    }

    /// `left` is the time that the caller will still wait.
    pub(super) fn refuses_request(
        &mut self,
        experiment: &Experiment,
        now: Now,
        kind: usize,
        rank: (usize, usize),
        bucket: u8,
        left: Duration,
    ) -> bool {
        if !experiment.is_enabled(Mechanism::EntryAdmission) {
            return false;
        }
        let level = self.shedding_level(now, kind);
        let was_tried = self.kinds[kind]
            .retry_detector
            .observe(left.as_millis() as u32);
        let bucket = if was_tried && experiment.is_enabled(Mechanism::ReturnOrder) {
            bucket_for_retry(bucket, rank.0)
        } else {
            bucket
        };
        refuses(level, rank.0, rank.1, bucket)
    }

    pub(super) fn retry_after(
        &mut self,
        experiment: &Experiment,
        now: Now,
        kind: usize,
        rng: &mut Rng,
    ) -> Duration {
        if experiment.is_enabled(Mechanism::ReturnTime) {
            return self.kinds[kind].refusal_streak.record_refusal(now, rng);
        }
        RetryAfter::compute(None, rng)
    }

    /// Chooses an instance that isn't in `tried`.
    pub(super) fn choose_instance(
        &self,
        experiment: &Experiment,
        now: Now,
        service: usize,
        tried: &[Incarnation],
        rng: &mut Rng,
    ) -> Option<usize> {
        let instances = &self.instances_by_service[service];
        if experiment.is_enabled(Mechanism::ChoiceByLoad) {
            let stats = instances.iter().map(|route| &route.stats);
            return choose(stats, now, tried, rng);
        }
        let untried: Vec<usize> = (0..instances.len())
            .filter(|index| !tried.contains(&instances[*index].stats.incarnation))
            .collect();
        rng.choice(untried)
    }

    pub(super) fn begin_call(&self, service: usize, index: usize) {
        self.instances_by_service[service][index].stats.started();
    }

    pub(super) fn end_call(&self, now: Now, service: usize, index: usize, report: InstanceReport) {
        self.instances_by_service[service][index]
            .stats
            .finished(now, report);
    }

    /// Records what an answer says of the limit of the instance.
    pub(super) fn record_limit(
        &self,
        now: Now,
        service: usize,
        index: usize,
        context: &AnswerContext,
    ) {
        let stats = &self.instances_by_service[service][index].stats;
        stats.record_limit_level(now, context.limit_level);
        if let Some(pause) = context.pause {
            stats.pause(now, pause);
        }
    }

    /// `indicates_load` is false for a refusal that says nothing of the service's load.
    pub(super) fn record_answer(
        &mut self,
        now: Now,
        kind: usize,
        context: &AnswerContext,
        indicates_load: bool,
    ) {
        let state = &mut self.kinds[kind];
        if indicates_load {
            state.threshold.observe(now, context.threshold);
        }
        state.is_call = context.is_call;
        state.was_answered = true;
    }

    /// `repeat_share` is the probability that a repeated request makes the call.
    pub(super) fn record_first_attempt(&mut self, now: Now, service: usize, repeat_share: f64) {
        self.retries[service].record_call_of_repeat(now, repeat_share);
    }

    /// Counts another attempt if the retry limit allows it; returns whether it does.
    pub(super) fn try_retry(
        &mut self,
        now: Now,
        service: usize,
        precedence: Option<Precedence>,
    ) -> bool {
        match precedence {
            Some(precedence) => self.retries[service].try_retry_of(now, precedence),
            None => self.retries[service].try_retry(now),
        }
    }
}

impl KindState {
    fn new() -> Self {
        Self {
            threshold: LearnedThreshold::for_shedding_level(),
            retry_detector: RetryDetector::default(),
            refusal_streak: RefusalStreak::default(),
            repeats_refused_at: None,
            is_call: false,
            was_answered: false,
        }
    }
}

/// The incarnation that identifies an instance in the choice of instances.
pub(super) fn incarnation(service: usize, index: usize) -> Incarnation {
    Incarnation((service as u64) << 32 | (index as u64 + 1))
}

/// Among the importances of root requests: how many are lower than `importance`, and how many there are.
pub(super) fn rank_of(importance: Importance, root_importances: &[Importance]) -> (usize, usize) {
    let mut known: HashMap<Importance, ()> = HashMap::new();
    for root in root_importances {
        known.insert(*root, ());
    }
    let lower = known.keys().filter(|other| **other < importance).count();
    (lower, known.len())
}
