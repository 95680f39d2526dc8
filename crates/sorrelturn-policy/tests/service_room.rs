//! Guards against refusals at the entry for the sake of the fullest instances of a service while others have room:
//! failure domains whose demand swings in turn, and instances of uneven speed.

use proptest::prelude::*;
use sorrelturn_policy::{
    Arrival, ColdRate, Decision, Gate, GateConfig, Instance, InstanceReport, LearnedThreshold, Now,
    Outcome, RoomSum, ServiceRoom, choose, refuses,
};
use sorrelturn_protocol::{Importance, Incarnation, InstanceRoom, Priority, RequestRate};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const DOMAINS: usize = 3;
const STEP: Duration = Duration::from_millis(1);
/// Mean time that an instance of speed 1 takes for a request.
const WORK: Duration = Duration::from_millis(100);
const QUEUE_TIMEOUT: Duration = Duration::from_millis(250);
/// Fraction of the slots that the levels aim at.
const TARGET: f64 = 0.92;
const WARM_UP: Duration = Duration::from_secs(3);
const WAVE_S: f64 = 13.0;

#[derive(Clone, Copy)]
struct Load {
    /// Speeds of the instances, dealt out to the failure domains in turn.
    speeds: &'static [f64],
    slots: u32,
    entries_per_domain: usize,
    /// The mean demand as a fraction of the room, of which `swing` comes and goes in each domain.
    demand: f64,
    swing: f64,
    /// Whether entries go by the room of the whole service.
    is_pooled: bool,
}

const SWINGING: Load = Load {
    speeds: &[0.6, 1.0, 1.4, 1.0, 1.4, 0.6, 1.4, 0.6, 1.0],
    slots: 20,
    entries_per_domain: 2,
    demand: 0.95,
    swing: 0.55,
    is_pooled: true,
};

#[derive(Debug, Default)]
struct Outcomes {
    sent: u32,
    refused_at_entry: u32,
    refused_at_entry_by_rank: [u32; 2],
    refused_deep: u32,
    served: u32,
}

impl Outcomes {
    fn entry_percent(&self) -> f64 {
        f64::from(self.refused_at_entry) * 100.0 / f64::from(self.sent)
    }

    fn refused(&self) -> u32 {
        self.refused_at_entry + self.refused_deep
    }

    fn deep_percent(&self) -> f64 {
        f64::from(self.refused_deep) * 100.0 / f64::from(self.sent)
    }
}

struct Entry {
    domain: usize,
    instances: Vec<Instance>,
    room: ServiceRoom,
    level: LearnedThreshold,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    at: Now,
    id: usize,
    ends_work: bool,
}

struct Request {
    entry: usize,
    instance: usize,
    arrival: Arrival,
    work: Duration,
}

struct Play {
    load: Load,
    entries: Vec<Entry>,
    gates: Vec<Gate>,
    requests: Vec<Request>,
    pending: BinaryHeap<Reverse<Pending>>,
    outcomes: Outcomes,
}

fn gate(slots: u32) -> Gate {
    let cfg = GateConfig {
        slots,
        queue_len: slots,
        queue_timeout: QUEUE_TIMEOUT,
        cold_start: Duration::ZERO,
        call_queue_timeout: Some(QUEUE_TIMEOUT),
    };
    Gate::new(cfg, Now::ZERO)
}

fn instance(id: usize, in_same_domain: bool) -> Instance {
    Instance::new(
        Incarnation(id as u64 + 1),
        in_same_domain,
        Duration::ZERO,
        Now::ZERO,
    )
}

impl Play {
    fn run(load: Load, length: Duration) -> Outcomes {
        let entries = (0..DOMAINS * load.entries_per_domain).map(|entry| Entry {
            domain: entry % DOMAINS,
            instances: (0..load.speeds.len())
                .map(|id| instance(id, id % DOMAINS == entry % DOMAINS))
                .collect(),
            room: ServiceRoom::default(),
            level: LearnedThreshold::for_shedding_level(),
        });
        let mut play = Self {
            load,
            entries: entries.collect(),
            gates: load.speeds.iter().map(|_| gate(load.slots)).collect(),
            requests: Vec::new(),
            pending: BinaryHeap::new(),
            outcomes: Outcomes::default(),
        };
        let mut rng = fastrand::Rng::with_seed(7);
        let mut now = Now::ZERO;
        while now < length {
            now += STEP;
            play.end_pending(now);
            for entry in 0..play.entries.len() {
                if rng.f64() < play.arrivals_per_step(entry, now) {
                    play.send(now, entry, &mut rng);
                }
            }
            if now == WARM_UP {
                play.outcomes = Outcomes::default();
            }
        }
        play.outcomes
    }

    fn arrivals_per_step(&self, entry: usize, now: Now) -> f64 {
        let phase = now.as_secs_f64() / WAVE_S + self.entries[entry].domain as f64 / DOMAINS as f64;
        let wave = 1.0 + self.load.swing * (phase * std::f64::consts::TAU).sin();
        let room = f64::from(self.load.slots) * TARGET * self.load.speeds.iter().sum::<f64>();
        let per_second = room * self.load.demand * wave / WORK.as_secs_f64();
        per_second * STEP.as_secs_f64() / self.entries.len() as f64
    }

    fn send(&mut self, now: Now, entry: usize, rng: &mut fastrand::Rng) {
        self.outcomes.sent += 1;
        let state = &self.entries[entry];
        let level = state.level.current(now).0;
        let rank = rng.usize(..2);
        if refuses(level, rank, 2, rng.u8(..)) {
            self.outcomes.refused_at_entry += 1;
            self.outcomes.refused_at_entry_by_rank[rank] += 1;
            return;
        }
        let Some(chosen) = choose(state.instances.iter(), now, &[], rng) else {
            self.outcomes.refused_deep += 1;
            return;
        };
        state.instances[chosen].started();
        let importance = [Importance::Normal, Importance::Critical][rank];
        let id = self.requests.len();
        let arrival = Arrival {
            id: id as u64,
            priority: Priority::new(importance, rng.u8(..)),
            is_nested_call: true,
            deadline: now + Duration::from_secs(1),
            level,
        };
        let work = WORK.mul_f64((0.5 + rng.f64()) / self.load.speeds[chosen]);
        self.requests.push(Request {
            entry,
            instance: chosen,
            arrival,
            work,
        });
        let (decision, evicted) = self.gates[chosen].arrive(now, &arrival);
        match decision {
            Decision::Admit => self.schedule(now + work, id, true),
            Decision::Queue => self.schedule(now + QUEUE_TIMEOUT, id, false),
            Decision::Refuse(_) => self.refuse(now, id),
        }
        if let Some(evicted) = evicted {
            self.refuse(now, evicted as usize);
        }
    }

    fn schedule(&mut self, at: Now, id: usize, ends_work: bool) {
        self.pending.push(Reverse(Pending { at, id, ends_work }));
    }

    fn end_pending(&mut self, now: Now) {
        while let Some(Reverse(next)) = self.pending.peek().copied()
            && next.at <= now
        {
            self.pending.pop();
            let Request {
                instance,
                arrival,
                work,
                ..
            } = self.requests[next.id];
            let gate = &mut self.gates[instance];
            if !next.ends_work {
                if gate.remove_queued(&arrival, true) {
                    self.refuse(now, next.id);
                }
                continue;
            }
            let released = gate.finish(now, Outcome::Answered, work);
            self.outcomes.served += 1;
            self.answer(now, next.id);
            for id in released.admitted {
                let work = self.requests[id as usize].work;
                self.schedule(now + work, id as usize, true);
            }
            for (id, _) in released.refused {
                self.refuse(now, id as usize);
            }
        }
    }

    fn refuse(&mut self, now: Now, id: usize) {
        self.outcomes.refused_deep += 1;
        self.answer(now, id);
    }

    fn answer(&mut self, now: Now, id: usize) {
        let Request {
            entry, instance, ..
        } = self.requests[id];
        let (gate, entry) = (&mut self.gates[instance], &self.entries[entry]);
        let load = gate.load_percent(now);
        entry.instances[instance].finished(now, InstanceReport::Answered { load });
        let mut level = gate.threshold(now);
        if self.load.is_pooled {
            entry.instances[instance].record_room(now, gate.room(now));
            let without_room = gate.level_without_room(now);
            level = entry
                .room
                .level_of_answer(now, entry.instances.iter(), level, without_room);
        }
        entry.level.observe(now, level);
    }
}

/// Runs a load with pooled room and with announced levels, as without this part.
fn compare(load: Load) -> (Outcomes, Outcomes) {
    let length = WARM_UP + Duration::from_secs_f64(WAVE_S * 2.0);
    let announced = Load {
        is_pooled: false,
        ..load
    };
    (Play::run(load, length), Play::run(announced, length))
}

/// Answers the load of failure domains that press in turn while 5 in 100 of the service's room is free. A domain that
/// presses is asked for 1.5 times its own room, so nearly all being served also shows that far instances are used.
#[test]
fn requests_are_not_refused_while_other_failure_domains_have_room() {
    for entries_per_domain in [2, 10] {
        let (pooled, announced) = compare(Load {
            entries_per_domain,
            ..SWINGING
        });
        assert!(pooled.entry_percent() < 1.0, "{pooled:?}");
        assert!(announced.entry_percent() > 1.5, "{announced:?}");
        assert!(
            pooled.served > announced.served,
            "{pooled:?}, {announced:?}"
        );
    }
}

/// Answers the load of a small service below its room, which must not pay for the pooling.
#[test]
fn a_small_service_below_its_room_refuses_no_more_than_with_announced_levels() {
    let (pooled, announced) = compare(Load {
        speeds: &[1.0; 3],
        demand: 0.85,
        ..SWINGING
    });
    assert!(
        pooled.refused() <= announced.refused(),
        "{pooled:?}, {announced:?}"
    );
}

/// Answers the load of a service that is asked for twice its room.
#[test]
fn total_overload_is_shed_at_the_entry_by_rank_as_with_announced_levels() {
    let (pooled, announced) = compare(Load {
        demand: 2.0,
        ..SWINGING
    });
    let by_rank = |outcomes: &Outcomes| {
        let refused = outcomes.refused_at_entry_by_rank.map(f64::from);
        refused.map(|refused| refused * 200.0 / f64::from(outcomes.sent))
    };
    let (pooled_ranks, announced_ranks) = (by_rank(&pooled), by_rank(&announced));
    for rank in 0..2 {
        let difference = (pooled_ranks[rank] - announced_ranks[rank]).abs();
        assert!(difference < 4.0, "{pooled_ranks:?}, {announced_ranks:?}");
    }
    assert!(pooled_ranks[0] > 75.0, "{pooled_ranks:?}");
    assert!(
        pooled.deep_percent() <= announced.deep_percent(),
        "{pooled:?}, {announced:?}"
    );
}

/// Guards against pooled room that nobody can use because calls stay with a full instance nearby.
#[test]
fn calls_leave_a_full_instance_for_one_of_another_failure_domain_with_room() {
    let instances = [instance(0, true), instance(1, false)];
    for (instance, load) in instances.iter().zip([100, 60]) {
        instance.started();
        instance.finished(Now::ZERO, InstanceReport::Answered { load });
    }
    let mut rng = fastrand::Rng::with_seed(7);
    let far = (0..100).filter(|_| choose(instances.iter(), Now::ZERO, &[], &mut rng) == Some(1));
    assert_eq!(far.count(), 100);
}

const FULL: InstanceRoom = InstanceRoom {
    offered: 30_000,
    capacity: 20_000,
};
const IDLE: InstanceRoom = InstanceRoom {
    offered: 2_000,
    capacity: 20_000,
};
/// An age at which no report counts.
const OLD: Duration = Duration::from_secs(10);

fn reporting(rooms: &[InstanceRoom], now: Now) -> Vec<Instance> {
    let instances = (0..rooms.len()).map(|id| instance(id, id == 0));
    let instances: Vec<_> = instances.collect();
    for (instance, room) in instances.iter().zip(rooms) {
        instance.record_room(now, *room);
    }
    instances
}

fn level(instances: &[Instance], now: Now) -> Option<u16> {
    RoomSum::of(now, instances.iter()).level()
}

#[test]
fn a_full_instance_beside_idle_ones_calls_for_no_level() {
    let instances = reporting(&[FULL, IDLE, IDLE], Now::ZERO);
    assert_eq!(level(&instances, Now::ZERO), Some(0));
    assert!(level(&instances[..1], Now::ZERO) > Some(0));
}

/// Guards against a daemon that was paused, or cut off from everybody, and goes by reports from before.
#[test]
fn without_fresh_reports_announced_levels_hold() {
    let instances = reporting(&[FULL; 3], Now::ZERO);
    let room = ServiceRoom::default();
    let announced = Priority(17);
    let level = |now| room.level_of_answer(now, instances.iter(), announced, Priority(0));
    assert!(level(Now::ZERO) > announced);
    assert_eq!(level(OLD), announced);
    instances[0].record_room(OLD, IDLE);
    assert_eq!(level(OLD + Duration::from_secs(1)), announced);
    instances[1].record_room(OLD, IDLE);
    assert_eq!(level(OLD + Duration::from_secs(2)), Priority(0));
}

#[test]
fn the_old_report_of_one_instance_does_not_count() {
    let instances = reporting(&[IDLE, FULL, FULL], Now::ZERO);
    instances[1].record_room(OLD, FULL);
    instances[2].record_room(OLD, FULL);
    assert_eq!(level(&instances, OLD), level(&instances[1..], OLD));
}

/// Guards against entries of a cut failure domain that count on the room of instances that they don't reach.
#[test]
fn instances_that_are_ejected_or_leaving_have_no_room() {
    let instances = reporting(&[FULL, IDLE, IDLE], Now::ZERO);
    for _ in 0..5 {
        instances[1].started();
        instances[1].finished(Now::ZERO, InstanceReport::Failed);
    }
    assert!(instances[1].is_ejected(Now::ZERO));
    instances[2].started();
    instances[2].finished(Now::ZERO, InstanceReport::Leaving);
    assert_eq!(
        level(&instances, Now::ZERO),
        level(&instances[..1], Now::ZERO)
    );
}

#[test]
fn an_instance_that_restarts_counts_from_its_first_report() {
    let mut instances = reporting(&[IDLE, FULL], Now::ZERO);
    instances[0] = instance(2, true);
    assert_eq!(
        level(&instances, Now::ZERO),
        level(&instances[1..], Now::ZERO)
    );
    instances[0].record_room(Now::ZERO, gate(20).room(Now::ZERO));
    assert_eq!(
        instances[0].reported_room(Now::ZERO),
        None,
        "a gate that has seen nothing knows no room"
    );
    instances[0].record_room(Now::ZERO, IDLE);
    assert_eq!(level(&instances, Now::ZERO), Some(0));
}

/// Guards against room that a cold backend server doesn't have yet.
#[test]
fn a_cold_backend_server_has_the_room_of_its_limited_rate() {
    let mut gate = gate(20);
    let rate = ColdRate {
        per_second: 30.0,
        max_per_second: 60.0,
    };
    gate.cold_limiter().set_rate(Some(rate));
    gate.cold_limiter().report(Now::ZERO, OLD);
    for second in 1..=3 {
        let now = Duration::from_secs(second);
        gate.finish(now, Outcome::Answered, WORK);
    }
    // 30 requests of 0.1 s each in a second.
    assert_eq!(gate.room(Duration::from_secs(4)).capacity, 3_000);
    assert_eq!(gate.room(OLD + WORK).capacity, 18_400);
}

/// Guards against room that other instances count on though the backend server refuses to give it.
#[test]
fn a_backend_server_that_names_a_limit_has_the_room_of_that_rate() {
    let mut gate = gate(20);
    gate.finish(Duration::from_secs(1), Outcome::Answered, WORK);
    assert_eq!(gate.room(Duration::from_secs(2)).capacity, 18_400);
    let rate = RequestRate::new(50.0).expect("a valid rate");
    gate.announced_limit().restore(Now::ZERO, "b-0", rate);
    assert_eq!(gate.room(Duration::from_secs(3)).capacity, 5_000);
}

#[test]
fn levels_of_other_services_and_of_the_processor_add_to_pooled_room() {
    let instances = reporting(&[IDLE], Now::ZERO);
    let room = ServiceRoom::default();
    let announced = Priority(200);
    let level = room.level_of_answer(Now::ZERO, instances.iter(), announced, Priority(90));
    assert_eq!(level, Priority(90));
    let mut gate = gate(20);
    gate.report_lag(Duration::from_millis(300));
    let now = Duration::from_secs(1);
    assert!(gate.level_without_room(now) > Priority::LOWEST);
    assert_eq!(gate.level_without_room(now), gate.threshold(now));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn the_pooled_level_lies_between_those_of_single_instances(
        reports in proptest::collection::vec((0..200_000u32, 1..100_000u32, 0..2_000u64), 1..40),
    ) {
        let now = Duration::from_secs(100);
        let instances: Vec<_> = (0..reports.len()).map(|id| instance(id, false)).collect();
        for (instance, (offered, capacity, age_ms)) in instances.iter().zip(&reports) {
            let at = now - Duration::from_millis(*age_ms);
            instance.record_room(at, InstanceRoom { offered: *offered, capacity: *capacity });
        }
        let single = instances.iter().map(|one| level(std::slice::from_ref(one), now));
        let pooled = level(&instances, now);
        prop_assert!(pooled >= single.clone().min().flatten());
        prop_assert!(pooled <= single.max().flatten());
    }
}
