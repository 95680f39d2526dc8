//! Simulates one experiment with one seed, as events in virtual time.

mod callers;
mod crashes;
mod faults;
mod forwarder;
mod owner;

use super::{
    daemon::{AnswerContext, Daemon, Topology, rank_of},
    file::{Experiment, FaultSpec},
    outcome::{Counts, KindOutcome, Outcome, SAMPLES_PER_SECOND, ServiceOutcome},
};
use fastrand::Rng;
use sorrelturn_policy::{Arrival, Now, Quarantine, TuningSample};
use sorrelturn_protocol::{
    CrashUpdate, Importance, Incarnation, Precedence, Refusal, RequestFingerprint,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

/// Callers wait for Retry-After, but at most for their remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;
const BACKEND_REFUSAL_DURATION: Duration = Duration::from_micros(500);
/// The time until a connection to a lost VM fails.
const CONNECT_FAILURE_DURATION: Duration = Duration::from_millis(1);
/// Per call.
const MAX_EXECUTIONS: u32 = 3;
/// How long the simulation continues after the last new request.
const DRAIN_DURATION: Duration = Duration::from_secs(10);

/// Simulates an experiment. The same seed gives the same outcome.
pub fn simulate_experiment(experiment: &Experiment, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(experiment, seed);
    simulation.run();
    simulation.outcome
}

/// With names resolved to indexes.
struct Kind {
    service: usize,
    importance: Importance,
    rank: (usize, usize),
    work: Duration,
    spread: f64,
    target: Duration,
    deadline: Duration,
    timeout: Duration,
    repeatable: bool,
    /// Whether it runs at most once while other root requests of its importance are repeatable.
    at_most_once_among_repeatable: bool,
    max_retries: u32,
    /// In order, one entry for each call.
    calls: Vec<usize>,
    distinct_calls: Vec<usize>,
    /// `None` if callers don't send it.
    outcome_index: Option<usize>,
}

/// A call in flight: a root request or a nested call.
#[derive(Clone)]
struct Call {
    kind: usize,
    forwarder: usize,
    /// The run that makes the call; `None` for a root request.
    parent: Option<u64>,
    caller: Caller,
    bucket: u8,
    /// The shedding level at which its root request was admitted, as far as known.
    level: u16,
    /// The precedence of its root request, as far as known.
    precedence: Precedence,
    /// Whether a repeated run makes this call.
    is_of_repeat: bool,
    /// The probability of that, as far as the daemons know; 1 if they sent it again.
    repeat_share: f64,
    deadline: Now,
    attempts: AttemptState,
}

#[derive(Clone)]
struct AttemptState {
    tried: Vec<Incarnation>,
    reroutes: u32,
    backend_refusals: u32,
    refused_by: Option<Incarnation>,
    crashes: usize,
    attempts_left: u32,
    sends: u32,
    /// Arrivals at backend servers, including those that they refused.
    arrivals: u32,
    /// The instance of the current attempt, as an index within the service.
    instance: usize,
    arrival: Option<Arrival>,
    /// Whether its owner has reserved retries for the calls that it makes.
    expects_calls: bool,
}

impl Default for AttemptState {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            reroutes: 0,
            backend_refusals: 0,
            refused_by: None,
            crashes: 0,
            attempts_left: MAX_EXECUTIONS,
            sends: 0,
            arrivals: 0,
            instance: 0,
            arrival: None,
            expects_calls: false,
        }
    }
}

#[derive(Clone, Copy)]
struct Caller {
    first_sent: Now,
    attempts: u32,
    max_attempts: u32,
    is_impatient: bool,
    request: RequestFingerprint,
    crashes_backends: bool,
}

/// An execution of a request at a backend server.
struct Run {
    call: u64,
    daemon: usize,
    started: Now,
    work_step: Duration,
    next_call: usize,
    level: u16,
    /// Whether its request had arrived at a backend server before, or is a call of such a run.
    is_repeat: bool,
    sample: TuningSample,
}

#[derive(Clone, Copy)]
enum CallResult {
    Answered,
    NestedCallFailed,
    NotRun(Refusal),
    DeadlineExceeded,
    Crashed,
}

enum Event {
    NextArrival(usize),
    RootRequest(usize, Caller),
    CallArrival(u64),
    QueueTimeout(u64),
    BackendRefusal(u64, Refusal),
    CrashingRequest(usize),
    CrashUpdateReceived(CrashUpdate),
    WorkStepDone(u64),
    Answer(u64, CallResult, Option<AnswerContext>),
    Sample,
    Restart,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    /// The names of the kinds, sorted.
    kind_names: Vec<String>,
    service_names: Vec<String>,
    /// The share of each service in all VMs.
    vm_shares: BTreeMap<String, f64>,
    importances: Vec<Importance>,
    kinds: Vec<Kind>,
    topology: Topology,
    /// By service.
    first_daemons: Vec<usize>,
    service_by_daemon: Vec<usize>,
    daemons: Vec<Daemon>,
    rng: Rng,
    now: Now,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: HashMap<u64, Event>,
    calls: HashMap<u64, Call>,
    runs: HashMap<u64, Run>,
    next_id: u64,
    accepts_from: Now,
    backend_down_until: Vec<Now>,
    /// All daemons share one.
    quarantine: Quarantine,
    outcome: Outcome,
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

fn vm_shares(experiment: &Experiment) -> BTreeMap<String, f64> {
    let instances = experiment.services.values().map(|spec| spec.instances);
    let all = instances.sum::<usize>() as f64;
    let services = experiment.services.iter();
    services
        .map(|(name, spec)| (name.clone(), spec.instances as f64 / all))
        .collect()
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Self {
        let services: Vec<&str> = experiment.services.keys().map(String::as_str).collect();
        let kind_names: Vec<&str> = experiment.kinds.keys().map(String::as_str).collect();
        let index_of =
            |kind_names: &[&str], name: &str| kind_names.iter().position(|known| *known == name);
        let root_importances: Vec<Importance> = experiment
            .kinds
            .values()
            .filter(|kind| kind.per_second > 0.0)
            .map(|kind| kind.importance)
            .collect();
        let mut outcome = Outcome::default();
        let seconds = experiment.seconds.ceil() as usize;
        let mut kinds = Vec::new();
        for (name, spec) in &experiment.kinds {
            let mut calls = Vec::new();
            for call in &spec.calls {
                let kind = index_of(&kind_names, &call.kind).unwrap_or(0);
                calls.extend(std::iter::repeat_n(kind, call.times as usize));
            }
            let mut distinct_calls = calls.clone();
            distinct_calls.sort_unstable();
            distinct_calls.dedup();
            let is_root = spec.per_second > 0.0;
            if is_root {
                outcome.kinds.push(KindOutcome {
                    kind: name.clone(),
                    worth: (spec.worth, spec.late_worth),
                    by_second: vec![Counts::default(); seconds],
                });
            }
            kinds.push(Kind {
                service: index_of(&services, &spec.service).unwrap_or(0),
                importance: spec.importance,
                rank: rank_of(spec.importance, &root_importances),
                work: ms(spec.work_ms),
                spread: spec.spread,
                target: ms(spec.target_ms),
                deadline: ms(spec.deadline_ms),
                timeout: ms(spec.timeout_ms.unwrap_or(spec.deadline_ms)),
                repeatable: spec.repeatable || !is_root,
                at_most_once_among_repeatable: is_root
                    && !spec.repeatable
                    && experiment.kinds.values().any(|other| {
                        other.per_second > 0.0
                            && other.repeatable
                            && other.importance == spec.importance
                    }),
                max_retries: spec.returns,
                calls,
                distinct_calls,
                outcome_index: is_root.then(|| outcome.kinds.len() - 1),
            });
        }
        let mut topology = Topology {
            domains: Vec::new(),
            slots: Vec::new(),
            daemon_count: 0,
        };
        let (mut first_daemons, mut service_by_daemon) = (Vec::new(), Vec::new());
        for (service, (name, spec)) in experiment.services.iter().enumerate() {
            first_daemons.push(topology.daemon_count);
            let domains = (0..spec.instances).map(|at| (at + service) % experiment.domains);
            topology.domains.push(domains.collect());
            topology.slots.push(spec.slots);
            topology.daemon_count += spec.instances;
            service_by_daemon.extend(std::iter::repeat_n(service, spec.instances));
            outcome.services.push(ServiceOutcome {
                service: name.clone(),
                ..ServiceOutcome::default()
            });
        }
        let mut simulation = Self {
            experiment,
            kind_names: experiment.kinds.keys().cloned().collect(),
            service_names: experiment.services.keys().cloned().collect(),
            vm_shares: vm_shares(experiment),
            importances: kinds.iter().map(|kind| kind.importance).collect(),
            kinds,
            topology,
            first_daemons,
            service_by_daemon,
            daemons: Vec::new(),
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            calls: HashMap::new(),
            runs: HashMap::new(),
            next_id: 0,
            accepts_from: Duration::ZERO,
            backend_down_until: Vec::new(),
            quarantine: Quarantine::with_crash_threshold(experiment.crashes_to_hold),
            outcome,
        };
        simulation.backend_down_until = vec![Duration::ZERO; simulation.topology.daemon_count];
        simulation.start_daemons();
        simulation
    }

    fn start_daemons(&mut self) {
        self.daemons = (0..self.topology.daemon_count)
            .map(|at| {
                let service = self.service_by_daemon[at];
                let domain = self.topology.domains[service][at - self.first_daemons[service]];
                Daemon::new(self.experiment, &self.topology, service, domain, self.now)
            })
            .collect();
    }

    fn run(&mut self) {
        for kind in 0..self.kinds.len() {
            if self.kinds[kind].outcome_index.is_some() {
                self.schedule_next_arrival(kind);
            }
        }
        for (number, fault) in self.experiment.faults.iter().enumerate() {
            match fault {
                FaultSpec::RestartAll { at_s, .. } => {
                    self.schedule_at(seconds(*at_s), Event::Restart)
                }
                FaultSpec::Crashes { from_s, .. } => {
                    self.schedule_at(seconds(*from_s), Event::CrashingRequest(number));
                }
                _ => {}
            }
        }
        self.schedule_at(Duration::ZERO, Event::Sample);
        let end = seconds(self.experiment.seconds) + DRAIN_DURATION;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        // Root requests still in flight count as failed.
        for call in std::mem::take(&mut self.calls).into_values() {
            if call.parent.is_none() {
                self.count(call.kind, &call.caller, |counts| counts.failed += 1);
            }
        }
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn schedule_at(&mut self, at: Now, event: Event) {
        let id = self.new_id();
        self.queue.push(Reverse((at, id)));
        self.events.insert(id, event);
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextArrival(kind) => self.send_new_requests(kind),
            Event::RootRequest(kind, caller) => self.handle_root_request(kind, caller),
            Event::CallArrival(call) => self.handle_arrival(call),
            Event::QueueTimeout(call) => self.queue_timed_out(call),
            Event::BackendRefusal(call, refusal) => self.backend_refused(call, refusal),
            Event::CrashingRequest(fault) => self.send_crashing_request(fault),
            Event::CrashUpdateReceived(update) => self.receive_crash_update(&update),
            Event::WorkStepDone(run) => self.work_step_done(run),
            Event::Answer(call, result, context) => self.handle_answer(call, result, context),
            Event::Sample => self.sample(),
            Event::Restart => self.restart(),
        }
    }

    /// Occupies a daemon's processor for one side of a hop; returns when it is done.
    fn occupy_processor(&mut self, daemon: usize) -> Now {
        let us = self.experiment.hop_side_us / self.experiment.cores;
        self.daemons[daemon].occupy_processor(self.now, Duration::from_nanos((us * 1_000.0) as u64))
    }

    fn domain_of(&self, daemon: usize) -> usize {
        let service = self.service_by_daemon[daemon];
        self.topology.domains[service][daemon - self.first_daemons[service]]
    }

    /// Samples the fraction of slots in use by service, within the tuned limits of the instances that aren't lost.
    fn sample(&mut self) {
        for service in 0..self.service_names.len() {
            let (mut used, mut slots) = (0.0, 0.0);
            let daemons = self.first_daemons[service]
                ..self.first_daemons[service] + self.topology.domains[service].len();
            for daemon in daemons.filter(|daemon| !self.is_lost(*daemon)) {
                let gate = &self.daemons[daemon].gate;
                used += f64::from(gate.in_flight());
                slots += f64::from(gate.steady_limit(self.now));
            }
            let slot_usage = used / f64::max(slots, 1.0);
            self.outcome.services[service].slot_usage.push(slot_usage);
        }
        if self.now < seconds(self.experiment.seconds) {
            self.schedule_after(ms(1_000.0 / SAMPLES_PER_SECOND as f64), Event::Sample);
        }
    }
}
