//! One play of an experiment: events in virtual time.

use super::{
    daemon::{Daemon, Site, Told, incarnation, rank_of},
    file::{Experiment, FaultSpec, Mechanism},
    outcome::{Counts, KindOutcome, Outcome, SAMPLES_A_SECOND, ServiceOutcome},
};
use fastrand::Rng;
use sorrelturn_policy::{
    Arrival, Attempt, Began, Decision, InstanceReport, Now, Outcome as GateOutcome, Step,
    after_turned_away, bucket_of_once, next_step,
};
use sorrelturn_protocol::{Importance, Incarnation, Priority, Refusal, Verdict};
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
    began: Began,
}

/// How a call ended at its instance.
#[derive(Clone, Copy)]
enum Ended {
    Answered,
    /// The backend server failed it, since a call below failed.
    FailedBelow,
    NotRun(Refusal),
    TooLate,
}

enum Event {
    NextDue(usize),
    Root(usize, Caller),
    Arrives(u64),
    WaitOver(u64),
    TurnedAway(u64),
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
            outcome,
        };
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
        for fault in &self.experiment.faults {
            if let FaultSpec::RestartAll { at_s, .. } = fault {
                self.at(seconds(*at_s), Event::Restart);
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
            Event::TurnedAway(call) => self.turned_away(call),
            Event::PieceDone(run) => self.piece_done(run),
            Event::Answer(call, ended, told) => self.answer(call, ended, told),
            Event::Sample => self.sample(),
            Event::Restart => self.restart(),
        }
    }

    /// How much arrives now, as a multiple of the usual, and in clumps of how many.
    fn load(&self) -> (f64, u32) {
        let now = self.now.as_secs_f64();
        let mut load = (1.0, 1);
        for stretch in &self.experiment.load {
            if (stretch.from_s..stretch.to_s).contains(&now) {
                load.0 *= stretch.times;
                load.1 = load.1.max(stretch.clumps_of);
            }
        }
        load
    }

    fn next_due(&mut self, kind: usize) {
        let spec = self.experiment.kinds.values().nth(kind);
        let usual = spec.map_or(0.0, |spec| spec.per_second);
        let (times, clumps_of) = self.load();
        let per_second = usual * times / f64::from(clumps_of);
        let wait = -(1.0 - self.rng.f64()).ln() / per_second.max(1e-6);
        let at = self.now + seconds(wait);
        if at < seconds(self.experiment.seconds) {
            self.at(at, Event::NextDue(kind));
        }
    }

    fn arrives_from_callers(&mut self, kind: usize) {
        self.next_due(kind);
        let (_, clumps_of) = self.load();
        for _ in 0..clumps_of {
            let repeats = self.repeats();
            let impatient = repeats.is_some_and(|(share, _)| self.rng.f64() < share);
            let more = repeats.filter(|_| impatient).map_or(0, |(_, tries)| tries);
            let caller = Caller {
                first_sent: self.now,
                tries: 0,
                most_tries: 1 + self.kinds[kind].returns + more,
                impatient,
            };
            self.count(kind, &caller, |counts| counts.asked += 1);
            self.root(kind, caller);
        }
    }

    fn repeats(&self) -> Option<(f64, u32)> {
        let now = self.now.as_secs_f64();
        self.experiment.faults.iter().find_map(|fault| match fault {
            FaultSpec::Repeats {
                share,
                tries,
                from_s,
                to_s,
            } if (*from_s..*to_s).contains(&now) => Some((*share, *tries)),
            _ => None,
        })
    }

    fn count(&mut self, kind: usize, caller: &Caller, f: impl FnOnce(&mut Counts)) {
        let second = caller.first_sent.as_secs() as usize;
        let outcome = self.kinds[kind].outcome;
        let counts = outcome.and_then(|at| self.outcome.kinds[at].by_second.get_mut(second));
        if let Some(counts) = counts {
            f(counts);
        }
    }

    /// A try of a caller reaches a daemon.
    fn root(&mut self, kind: usize, mut caller: Caller) {
        caller.tries += 1;
        // Each try has an id of its own, and with it its own place in the order of shedding.
        let mut bucket = self.rng.u8(..);
        if self.kinds[kind].once_among_repeatable {
            bucket = bucket_of_once(bucket);
        }
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        if left.is_zero() {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        let live: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| !self.is_lost(*daemon))
            .collect();
        let Some(from) = self.rng.choice(live) else {
            return self.failed(kind, caller);
        };
        if self.now < self.taken_from {
            return self.failed(kind, caller);
        }
        let rank = self.rank(from, kind);
        let (experiment, now) = (self.experiment, self.now);
        if self.daemons[from].refuses(experiment, now, kind, rank, bucket, left) {
            let told = self.daemons[from].come_back(experiment, now, kind, &mut self.rng);
            return self.refused(kind, caller, told);
        }
        let call = Call {
            kind,
            from,
            parent: None,
            caller,
            bucket,
            level: self.daemons[from].level(now, kind),
            repeated: false,
            for_repeat: 0.0,
            deadline: self.now + left.min(self.kinds[kind].timeout),
            tries: Tries::default(),
        };
        self.forward(call);
    }

    /// A caller is refused: it comes back as told, if it still may.
    fn refused(&mut self, kind: usize, caller: Caller, told: Duration) {
        if caller.tries >= caller.most_tries {
            return self.count(kind, &caller, |counts| {
                counts.refused += 1;
                counts.refused_again += u32::from(caller.tries > 1);
            });
        }
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        let wait = if caller.impatient {
            ms(20.0)
        } else {
            told.min(left / PATIENCE)
        };
        self.after(wait, Event::Root(kind, caller));
    }

    /// A caller's request failed: it tries again where that harms nobody.
    fn failed(&mut self, kind: usize, caller: Caller) {
        if caller.tries >= caller.most_tries || !self.kinds[kind].repeatable {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        self.after(ms(50.0), Event::Root(kind, caller));
    }

    /// A rank among those of root requests, as a daemon knows them.
    fn rank(&self, daemon: usize, kind: usize) -> (usize, usize) {
        if self.experiment.learns_calls {
            self.daemons[daemon].known_rank(&self.importances, kind)
        } else {
            self.kinds[kind].rank
        }
    }

    /// A call of the backend server beside a daemon. Until its kind is known to be one, it is taken for a root
    /// request: it may be refused there, and tells nothing of who calls whom.
    fn nested(&mut self, mut call: Call) {
        let (from, kind, now) = (call.from, call.kind, self.now);
        if self.experiment.learns_calls {
            if self.daemons[from].is_call(kind) {
                self.daemons[from].called(&self.names, kind, call.deadline);
            } else {
                let rank = self.rank(from, kind);
                let left = call.deadline.saturating_sub(now);
                let (experiment, bucket) = (self.experiment, call.bucket);
                if self.daemons[from].refuses(experiment, now, kind, rank, bucket, left) {
                    return self.over(call, Ended::NotRun(Refusal::Overload));
                }
                call.level = self.daemons[from].level(now, kind);
            }
        }
        self.forward(call);
    }

    /// Sends a call to the better of two instances.
    fn forward(&mut self, mut call: Call) {
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.from];
        if call.tries.sends == 0 {
            daemon.sends(self.now, service, call.for_repeat);
        }
        let (experiment, now) = (self.experiment, self.now);
        let mut others = call.tries.tried.clone();
        others.extend(call.tries.turned_away_by);
        let picked = daemon.pick(experiment, now, service, &others, &mut self.rng);
        let Some(at) = picked else {
            return self.over(call, Ended::NotRun(Refusal::NoInstance));
        };
        daemon.starts(service, at);
        call.tries.at = at;
        call.tries.sends += 1;
        let id = self.id();
        let hop = ms(self.experiment.hop_ms);
        let sent = self.works(call.from);
        let owner = self.first[service] + at;
        let lost = self.is_lost(owner);
        self.calls.insert(id, call);
        if lost {
            let refusal = Ended::NotRun(Refusal::BackendUnreachable);
            return self.at(sent + FAILS_IN, Event::Answer(id, refusal, None));
        }
        self.at(sent + hop, Event::Arrives(id));
    }

    /// A daemon's side of a hop; returns when it is done.
    fn works(&mut self, daemon: usize) -> Now {
        let us = self.experiment.hop_side_us / self.experiment.cores;
        self.daemons[daemon].works(self.now, Duration::from_nanos((us * 1_000.0) as u64))
    }

    fn is_lost(&self, daemon: usize) -> bool {
        let service = self.service_of[daemon];
        let at = daemon - self.first[service];
        let name = &self.outcome.services[service].service;
        let now = self.now.as_secs_f64();
        self.experiment.faults.iter().any(|fault| {
            matches!(fault, FaultSpec::Lost { service, instances, from_s, to_s }
                if service == name && at < *instances && (*from_s..*to_s).contains(&now))
        })
    }

    /// How much slower an instance works, and which share it turns away.
    fn faults_of(&self, daemon: usize) -> (f64, f64) {
        let service = self.service_of[daemon];
        let at = daemon - self.first[service];
        let name = &self.outcome.services[service].service;
        let now = self.now.as_secs_f64();
        let (mut slower, mut turned_away) = (1.0, 0.0);
        for fault in &self.experiment.faults {
            match fault {
                FaultSpec::Slow {
                    service,
                    instances,
                    times,
                    from_s,
                    to_s,
                } if service == name && at < *instances && (*from_s..*to_s).contains(&now) => {
                    slower *= times;
                }
                FaultSpec::TurnsAway {
                    service,
                    share,
                    from_s,
                    to_s,
                } if service == name && (*from_s..*to_s).contains(&now) => turned_away = *share,
                FaultSpec::RestartAll {
                    at_s,
                    for_s,
                    cold_s,
                    cold_times,
                } if (*at_s..at_s + for_s + cold_s).contains(&now) => slower *= cold_times,
                _ => {}
            }
        }
        (slower, turned_away)
    }

    fn domain_of(&self, daemon: usize) -> usize {
        let service = self.service_of[daemon];
        self.site.domains[service][daemon - self.first[service]]
    }

    /// A call arrives at the daemon beside its instance.
    fn arrives(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let kind = &self.kinds[call.kind];
        let owner = self.first[kind.service] + call.tries.at;
        let crosses = self.domain_of(call.from) != self.domain_of(owner);
        let services = &mut self.outcome.services[kind.service];
        services.crossed += u64::from(crosses);
        services.arrived += 1;
        services.repeated += u64::from(call.tries.sends > 1 || call.repeated);
        let is_call = self.experiment.learns_calls.then(|| {
            let from = &self.services[self.service_of[call.from]];
            let daemon = &mut self.daemons[owner];
            daemon.comes_from(&self.names[call.kind], from);
            daemon.are_calls(&self.names[call.kind], &self.shares)
        });
        let arrival = Arrival {
            id,
            priority: Priority::new(kind.importance, call.bucket),
            holds_work: is_call.unwrap_or(call.parent.is_some()),
            deadline: call.deadline,
            level: call.level,
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.tries.arrival = Some(arrival);
        }
        self.works(owner);
        let gate = &mut self.daemons[owner].gate;
        let (decision, pushed_out) = gate.arrive(self.now, &arrival);
        let wait = gate.queue_wait(&arrival);
        if let Some(id) = pushed_out {
            self.ends_at_owner(id, Ended::NotRun(Refusal::Overload));
        }
        match decision {
            Decision::Admit => {
                let began = self.daemons[owner].gate.began();
                self.begins(id, began);
            }
            Decision::Wait => self.after(wait, Event::WaitOver(id)),
            Decision::Refuse(refusal) => self.ends_at_owner(id, Ended::NotRun(refusal)),
        }
    }

    fn wait_over(&mut self, id: u64) {
        let Some((owner, arrival)) = self.at_gate(id) else {
            return;
        };
        if self.daemons[owner].gate.give_up(&arrival, true) {
            self.ends_at_owner(id, Ended::NotRun(Refusal::Overload));
        }
    }

    fn at_gate(&self, id: u64) -> Option<(usize, Arrival)> {
        let call = self.calls.get(&id)?;
        let owner = self.first[self.kinds[call.kind].service] + call.tries.at;
        Some((owner, call.tries.arrival?))
    }

    /// The backend server is handed a call.
    fn begins(&mut self, id: u64, began: Began) {
        let Some((daemon, _)) = self.at_gate(id) else {
            return;
        };
        let (slower, turned_away) = self.faults_of(daemon);
        if turned_away > 0.0 && self.rng.f64() < turned_away {
            return self.after(TURNS_AWAY_IN, Event::TurnedAway(id));
        }
        let call = &self.calls[&id];
        let kind = &self.kinds[call.kind];
        let spec = self.experiment.services.values().nth(kind.service);
        let at = daemon - self.first[kind.service];
        let speeds = spec.map_or(&[][..], |spec| &spec.speeds);
        let speed = match speeds.len() {
            0 => 1.0,
            count => speeds[at % count],
        };
        let taken = f64::from(self.daemons[daemon].gate.in_flight())
            / f64::from(self.site.slots[kind.service]);
        let beyond = spec.filter(|spec| taken > spec.knee);
        let knee = beyond.map_or(1.0, |spec| spec.knee_times);
        // The part that varies is distributed exponentially.
        let varies = kind.spread.min(1.0);
        let random = 1.0 - varies - varies * (1.0 - self.rng.f64()).ln();
        let work = kind.work.mul_f64(random * slower * knee / speed);
        let piece = work / (kind.calls.len() as u32 + 1);
        let (level, repeated) = (call.level, call.repeated);
        let (asked, deadline) = (call.kind, call.deadline);
        let run = self.id();
        self.runs.insert(
            run,
            Run {
                call: id,
                daemon,
                started: self.now,
                piece,
                next_call: 0,
                level,
                repeated,
                began,
            },
        );
        self.daemons[daemon].begins(run, asked, deadline, level, repeated);
        self.after(piece, Event::PieceDone(run));
    }

    fn turned_away(&mut self, id: u64) {
        let Some((owner, _)) = self.at_gate(id) else {
            return;
        };
        self.slot_free(owner, GateOutcome::Overloaded, TURNS_AWAY_IN);
        self.ends_at_owner(id, Ended::NotRun(Refusal::BackendRefused));
    }

    fn slot_free(&mut self, owner: usize, outcome: GateOutcome, took: Duration) {
        let gate = &mut self.daemons[owner].gate;
        let released = gate.finish(self.now, outcome, took);
        for (id, began) in released.admitted.into_iter().zip(released.began) {
            self.begins(id, began);
        }
        for (id, refusal) in released.refused {
            self.ends_at_owner(id, Ended::NotRun(refusal));
        }
    }

    /// A piece of a run's work is done: the next call follows, or the answer.
    fn piece_done(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(call) = self.calls.get(&run.call) else {
            if let Some(run) = self.runs.remove(&id) {
                self.daemons[run.daemon].is_done(id, run.level, run.repeated);
            }
            return;
        };
        if self.now >= call.deadline {
            return self.run_over(id, Ended::TooLate);
        }
        let kind = &self.kinds[call.kind];
        let Some(next) = kind.calls.get(run.next_call).copied() else {
            return self.run_over(id, Ended::Answered);
        };
        run.next_call += 1;
        let nested = Call {
            kind: next,
            from: run.daemon,
            parent: Some(id),
            caller: call.caller,
            bucket: self.rng.u8(..),
            level: self.daemons[run.daemon].worked_on.mean_level(),
            repeated: run.repeated,
            for_repeat: self.daemons[run.daemon].worked_on.repeated_part(),
            deadline: call.deadline.min(self.now + self.kinds[next].deadline),
            tries: Tries::default(),
        };
        self.nested(nested);
    }

    /// A run ends; its slot is free.
    fn run_over(&mut self, id: u64, ended: Ended) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.daemons[run.daemon].is_done(id, run.level, run.repeated);
        let took = self.now - run.started;
        let kind = self.calls.get(&run.call).map(|call| call.kind);
        if let Some(kind) = kind {
            self.daemons[run.daemon].learns_calls_of(&self.names[kind], took);
        }
        let leaf = kind.filter(|kind| self.calls_nothing(run.daemon, *kind));
        if self.experiment.is_on(Mechanism::BestSlots) {
            let gate = &mut self.daemons[run.daemon].gate;
            gate.worked(self.now, run.began, leaf.map(|kind| kind as u64), took);
        }
        self.slot_free(run.daemon, GateOutcome::Answered, took);
        self.ends_at_owner(run.call, ended);
    }

    fn calls_nothing(&self, daemon: usize, kind: usize) -> bool {
        if self.experiment.learns_calls {
            self.daemons[daemon].calls_nothing(&self.names[kind])
        } else {
            self.kinds[kind].calls.is_empty()
        }
    }

    /// What a kind calls, as far as the daemon beside its backend server knows.
    fn called_by(&self, daemon: usize, kind: usize) -> Vec<usize> {
        if !self.experiment.learns_calls {
            return self.kinds[kind].called.clone();
        }
        let called = self.daemons[daemon].calls_of(&self.names[kind]);
        let places = called
            .iter()
            .filter_map(|name| self.names.binary_search(name).ok());
        places.collect()
    }

    /// The owner's answer goes back.
    fn ends_at_owner(&mut self, id: u64, ended: Ended) {
        let Some((owner, _)) = self.at_gate(id) else {
            return;
        };
        let kind = self.calls[&id].kind;
        let below = match ended {
            Ended::NotRun(_) => Priority::default(),
            _ => self.daemons[owner].level_of(self.now, &self.called_by(owner, kind)),
        };
        let is_call = self.daemons[owner].are_calls(&self.names[kind], &self.shares);
        let gate = &mut self.daemons[owner].gate;
        let own = gate.threshold(self.now);
        let told = Told {
            threshold: own.max(below),
            load: gate.load_percent(self.now),
            is_call,
        };
        let sent = self.works(owner);
        let hop = ms(self.experiment.hop_ms);
        self.at(sent + hop, Event::Answer(id, ended, Some(told)));
    }

    /// An answer is back at the daemon that forwarded the call.
    fn answer(&mut self, id: u64, ended: Ended, told: Option<Told>) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.works(call.from);
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.from];
        let load = told.map_or(0, |told| told.load);
        let report = match ended {
            Ended::NotRun(Refusal::BackendRefused) => InstanceReport::Erred,
            Ended::NotRun(Refusal::BackendUnreachable) => InstanceReport::Unreachable,
            Ended::TooLate => InstanceReport::Failed,
            _ => InstanceReport::Answered { load },
        };
        daemon.ends(self.now, service, call.tries.at, report);
        if let Some(told) = told {
            daemon.learns(self.now, call.kind, &told);
        }
        let asked = incarnation(service, call.tries.at);
        if matches!(ended, Ended::NotRun(Refusal::BackendRefused)) {
            call.tries.turned_away += 1;
            call.tries.turned_away_by = Some(asked);
        } else {
            call.tries.tried.push(asked);
        }
        if self.goes_on(&mut call, ended) {
            return self.forward(call);
        }
        self.over(call, ended);
    }

    /// Whether another instance is asked, as the product decides it.
    fn goes_on(&mut self, call: &mut Call, ended: Ended) -> bool {
        let refusal = match ended {
            Ended::Answered => return false,
            Ended::NotRun(refusal) => Some(refusal),
            Ended::FailedBelow | Ended::TooLate => None,
        };
        let reached = refusal == Some(Refusal::BackendRefused);
        let time_left = self.now < call.deadline;
        let decided = next_step(&Attempt {
            verdict: match refusal {
                Some(_) => Verdict::NotRun,
                None => Verdict::Ran,
            },
            refusal,
            already_retried: matches!(ended, Ended::FailedBelow),
            repeatable: self.kinds[call.kind].repeatable,
            reroutes: call.tries.reroutes,
            attempts_left: call.tries.attempts_left,
            need: 1,
            time_left,
        });
        let step = if reached {
            after_turned_away(call.tries.turned_away, time_left)
        } else {
            decided
        };
        if reached && !self.experiment.is_on(Mechanism::SendingAgain) {
            return false;
        }
        let service = self.kinds[call.kind].service;
        let mut paid = || self.daemons[call.from].pays_retry(self.now, service);
        match step {
            Step::Reroute if !reached => call.tries.reroutes += 1,
            Step::Reroute if paid() => {}
            Step::Retry if paid() => {
                call.tries.attempts_left = call.tries.attempts_left.saturating_sub(1);
                call.repeated = true;
            }
            _ => return false,
        }
        true
    }

    /// A call has its final answer.
    fn over(&mut self, call: Call, ended: Ended) {
        let Some(run) = call.parent else {
            return self.root_over(&call, ended);
        };
        let Some(parent) = self.runs.get(&run) else {
            return;
        };
        match ended {
            Ended::Answered => {
                let piece = parent.piece;
                self.after(piece, Event::PieceDone(run));
            }
            _ => self.run_over(run, Ended::FailedBelow),
        }
    }

    fn root_over(&mut self, call: &Call, ended: Ended) {
        let (kind, caller) = (call.kind, call.caller);
        match ended {
            Ended::Answered => {
                let good = self.now - caller.first_sent <= self.kinds[kind].target;
                self.count(kind, &caller, |counts| {
                    counts.good += u32::from(good);
                    counts.late += u32::from(!good);
                });
            }
            Ended::NotRun(_) => {
                let (experiment, now) = (self.experiment, self.now);
                let daemon = &mut self.daemons[call.from];
                let told = daemon.come_back(experiment, now, kind, &mut self.rng);
                self.refused(kind, caller, told);
            }
            Ended::FailedBelow | Ended::TooLate => self.failed(kind, caller),
        }
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

    /// All daemons end, with whatever they carry, and know nothing when they are back.
    fn restart(&mut self) {
        let now = self.now.as_secs_f64();
        for fault in &self.experiment.faults {
            if let FaultSpec::RestartAll { at_s, for_s, .. } = fault
                && *at_s <= now
            {
                self.taken_from = self.taken_from.max(seconds(at_s + for_s));
            }
        }
        self.runs.clear();
        let calls = std::mem::take(&mut self.calls);
        let mut roots: Vec<(u64, Call)> = calls
            .into_iter()
            .filter(|(_, call)| call.parent.is_none())
            .collect();
        // A map's order isn't the same in every run.
        roots.sort_unstable_by_key(|(id, _)| *id);
        for (_, call) in roots {
            self.failed(call.kind, call.caller);
        }
        self.start_daemons();
    }
}
