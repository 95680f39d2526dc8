//! One play of an experiment: events in virtual time.

mod callers;
mod crashes;
mod faults;
mod forwarder;
mod owner;

use super::{
    daemon::{Daemon, Site, Told, rank_of},
    file::{Experiment, FaultSpec},
    outcome::{Counts, KindOutcome, Outcome, SAMPLES_A_SECOND, ServiceOutcome},
};
use fastrand::Rng;
use sorrelturn_policy::{Arrival, Now, Quarantine, TuningSample};
use sorrelturn_protocol::{CrashUpdate, Importance, Incarnation, Refusal, RequestFingerprint};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

/// Callers wait as they are told for up to this part of the time that they have left.
const PATIENCE: u32 = 3;
/// A backend server that turns a request away takes so long for it.
const TURNS_AWAY_IN: Duration = Duration::from_micros(500);
/// A connection to a VM that is gone takes so long to fail.
const FAILS_IN: Duration = Duration::from_millis(1);
/// The executions that a call may cost.
const ATTEMPTS: u32 = 3;
/// After the last arrival, so long is played on.
const PLAYED_ON: Duration = Duration::from_secs(10);

/// Plays an experiment with one seed. The same seed gives the same outcome.
pub fn play_experiment(experiment: &Experiment, seed: u64) -> Outcome {
    let mut play = Play::new(experiment, seed);
    play.run();
    play.outcome
}

/// A kind, with its parts found.
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
    /// It must not run twice while other root requests of its importance may.
    once_among_repeatable: bool,
    returns: u32,
    /// What it calls, in order, each as often as it is called.
    calls: Vec<usize>,
    /// The same, each once.
    called: Vec<usize>,
    /// The place among the outcomes, if callers send it.
    outcome: Option<usize>,
}

/// One call on its way: a root request or a nested one.
#[derive(Clone)]
struct Call {
    kind: usize,
    /// The daemon that forwards it.
    from: usize,
    /// The run that makes it; `None` for a root request.
    parent: Option<u64>,
    /// The root request's caller.
    caller: Caller,
    bucket: u8,
    /// The level at which its root was admitted, as far as is known.
    level: u16,
    /// It runs once more.
    repeated: bool,
    /// The part of those that may make it that runs once more.
    for_repeat: f64,
    deadline: Now,
    tries: Tries,
}

/// What the tries of a call have come to so far.
#[derive(Clone)]
struct Tries {
    tried: Vec<Incarnation>,
    reroutes: u32,
    turned_away: u32,
    turned_away_by: Option<Incarnation>,
    crashes: usize,
    attempts_left: u32,
    sends: u32,
    /// Where it is now: the service's instance.
    at: usize,
    arrival: Option<Arrival>,
}

impl Default for Tries {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            reroutes: 0,
            turned_away: 0,
            turned_away_by: None,
            crashes: 0,
            attempts_left: ATTEMPTS,
            sends: 0,
            at: 0,
            arrival: None,
        }
    }
}

/// What is known of a root request's caller.
#[derive(Clone, Copy)]
struct Caller {
    first_sent: Now,
    tries: u32,
    most_tries: u32,
    impatient: bool,
    /// What it asks for.
    request: RequestFingerprint,
    /// It crashes backend servers.
    crashes: bool,
}

/// A request that a backend server works on.
struct Run {
    call: u64,
    daemon: usize,
    started: Now,
    piece: Duration,
    next_call: usize,
    level: u16,
    repeated: bool,
    began: TuningSample,
}

/// How a call ended at its instance.
#[derive(Clone, Copy)]
enum Ended {
    Answered,
    /// The backend server failed it, since a call below failed.
    FailedBelow,
    NotRun(Refusal),
    TooLate,
    /// The backend server crashed while it ran the call.
    Crashed,
}

enum Event {
    NextDue(usize),
    Root(usize, Caller),
    Arrives(u64),
    WaitOver(u64),
    NotBegun(u64, Refusal),
    CrashDue(usize),
    Heard(CrashUpdate),
    PieceDone(u64),
    Answer(u64, Ended, Option<Told>),
    Sample,
    Restart,
}

struct Play<'a> {
    experiment: &'a Experiment,
    /// The names of kinds and of services, in order.
    names: Vec<String>,
    services: Vec<String>,
    /// The part of all VMs that each service has.
    shares: BTreeMap<String, f64>,
    importances: Vec<Importance>,
    kinds: Vec<Kind>,
    site: Site,
    /// The first daemon of each service.
    first: Vec<usize>,
    /// The service of each daemon.
    service_of: Vec<usize>,
    daemons: Vec<Daemon>,
    rng: Rng,
    now: Now,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: HashMap<u64, Event>,
    calls: HashMap<u64, Call>,
    runs: HashMap<u64, Run>,
    next_id: u64,
    taken_from: Now,
    /// Until when the backend server of each daemon is away after a crash.
    away_until: Vec<Now>,
    /// What all daemons know of crashes, once they have heard of them.
    quarantine: Quarantine,
    outcome: Outcome,
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

fn shares(experiment: &Experiment) -> BTreeMap<String, f64> {
    let instances = experiment.services.values().map(|spec| spec.instances);
    let all = instances.sum::<usize>() as f64;
    let services = experiment.services.iter();
    services
        .map(|(name, spec)| (name.clone(), spec.instances as f64 / all))
        .collect()
}

impl<'a> Play<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Self {
        let services: Vec<&str> = experiment.services.keys().map(String::as_str).collect();
        let names: Vec<&str> = experiment.kinds.keys().map(String::as_str).collect();
        let place = |names: &[&str], name: &str| names.iter().position(|known| *known == name);
        let of_roots: Vec<Importance> = experiment
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
                let kind = place(&names, &call.kind).unwrap_or(0);
                calls.extend(std::iter::repeat_n(kind, call.times as usize));
            }
            let mut called = calls.clone();
            called.sort_unstable();
            called.dedup();
            let is_root = spec.per_second > 0.0;
            if is_root {
                outcome.kinds.push(KindOutcome {
                    kind: name.clone(),
                    worth: (spec.worth, spec.late_worth),
                    by_second: vec![Counts::default(); seconds],
                });
            }
            kinds.push(Kind {
                service: place(&services, &spec.service).unwrap_or(0),
                importance: spec.importance,
                rank: rank_of(spec.importance, &of_roots),
                work: ms(spec.work_ms),
                spread: spec.spread,
                target: ms(spec.target_ms),
                deadline: ms(spec.deadline_ms),
                timeout: ms(spec.timeout_ms.unwrap_or(spec.deadline_ms)),
                repeatable: spec.repeatable || !is_root,
                once_among_repeatable: is_root
                    && !spec.repeatable
                    && experiment.kinds.values().any(|other| {
                        other.per_second > 0.0
                            && other.repeatable
                            && other.importance == spec.importance
                    }),
                returns: spec.returns,
                calls,
                called,
                outcome: is_root.then(|| outcome.kinds.len() - 1),
            });
        }
        let mut site = Site {
            domains: Vec::new(),
            slots: Vec::new(),
            daemons: 0,
        };
        let (mut first, mut service_of) = (Vec::new(), Vec::new());
        for (service, (name, spec)) in experiment.services.iter().enumerate() {
            first.push(site.daemons);
            let domains = (0..spec.instances).map(|at| (at + service) % experiment.domains);
            site.domains.push(domains.collect());
            site.slots.push(spec.slots);
            site.daemons += spec.instances;
            service_of.extend(std::iter::repeat_n(service, spec.instances));
            outcome.services.push(ServiceOutcome {
                service: name.clone(),
                ..ServiceOutcome::default()
            });
        }
        let mut play = Self {
            experiment,
            names: experiment.kinds.keys().cloned().collect(),
            services: experiment.services.keys().cloned().collect(),
            shares: shares(experiment),
            importances: kinds.iter().map(|kind| kind.importance).collect(),
            kinds,
            site,
            first,
            service_of,
            daemons: Vec::new(),
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            calls: HashMap::new(),
            runs: HashMap::new(),
            next_id: 0,
            taken_from: Duration::ZERO,
            away_until: Vec::new(),
            quarantine: Quarantine::with_crash_threshold(experiment.crashes_to_hold),
            outcome,
        };
        play.away_until = vec![Duration::ZERO; play.site.daemons];
        play.start_daemons();
        play
    }

    fn start_daemons(&mut self) {
        self.daemons = (0..self.site.daemons)
            .map(|at| {
                let service = self.service_of[at];
                let domain = self.site.domains[service][at - self.first[service]];
                Daemon::new(self.experiment, &self.site, service, domain, self.now)
            })
            .collect();
    }

    fn run(&mut self) {
        for kind in 0..self.kinds.len() {
            if self.kinds[kind].outcome.is_some() {
                self.next_due(kind);
            }
        }
        for (number, fault) in self.experiment.faults.iter().enumerate() {
            match fault {
                FaultSpec::RestartAll { at_s, .. } => self.at(seconds(*at_s), Event::Restart),
                FaultSpec::Crashes { from_s, .. } => {
                    self.at(seconds(*from_s), Event::CrashDue(number));
                }
                _ => {}
            }
        }
        self.at(Duration::ZERO, Event::Sample);
        let end = seconds(self.experiment.seconds) + PLAYED_ON;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.happens(event);
            }
        }
        // Whatever has no answer by now never gets one.
        for call in std::mem::take(&mut self.calls).into_values() {
            if call.parent.is_none() {
                self.count(call.kind, &call.caller, |counts| counts.failed += 1);
            }
        }
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn at(&mut self, at: Now, event: Event) {
        let id = self.id();
        self.queue.push(Reverse((at, id)));
        self.events.insert(id, event);
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::NextDue(kind) => self.arrives_from_callers(kind),
            Event::Root(kind, caller) => self.root(kind, caller),
            Event::Arrives(call) => self.arrives(call),
            Event::WaitOver(call) => self.wait_over(call),
            Event::NotBegun(call, refusal) => self.not_begun(call, refusal),
            Event::CrashDue(fault) => self.crash_due(fault),
            Event::Heard(news) => self.heard(&news),
            Event::PieceDone(run) => self.piece_done(run),
            Event::Answer(call, ended, told) => self.answer(call, ended, told),
            Event::Sample => self.sample(),
            Event::Restart => self.restart(),
        }
    }

    /// A daemon's side of a hop; returns when it is done.
    fn works(&mut self, daemon: usize) -> Now {
        let us = self.experiment.hop_side_us / self.experiment.cores;
        self.daemons[daemon].works(self.now, Duration::from_nanos((us * 1_000.0) as u64))
    }

    fn domain_of(&self, daemon: usize) -> usize {
        let service = self.service_of[daemon];
        self.site.domains[service][daemon - self.first[service]]
    }

    /// Notes which part of the slots that a service works best with is at work, of the instances that are there.
    fn sample(&mut self) {
        for service in 0..self.services.len() {
            let (mut taken, mut slots) = (0.0, 0.0);
            let daemons =
                self.first[service]..self.first[service] + self.site.domains[service].len();
            for daemon in daemons.filter(|daemon| !self.is_lost(*daemon)) {
                let gate = &self.daemons[daemon].gate;
                taken += f64::from(gate.in_flight());
                slots += f64::from(gate.steady_limit(self.now));
            }
            let at_work = taken / f64::max(slots, 1.0);
            self.outcome.services[service].at_work.push(at_work);
        }
        if self.now < seconds(self.experiment.seconds) {
            self.after(ms(1_000.0 / SAMPLES_A_SECOND as f64), Event::Sample);
        }
    }
}
