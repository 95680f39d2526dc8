//! Deterministic loops over the decisions on a request's path, for counting their instructions.

use sorrelturn_once::{BeginResult, Fingerprint, Ledger, LedgerConfig, Outcome as Recorded};
use sorrelturn_policy::{
    Arrival, Attempt, Decision as Admission, Gate, GateConfig, Instance, InstanceReport,
    LearnedThreshold, Outcome, choose, next_step,
};
use sorrelturn_protocol::{Importance, Incarnation, Priority, Refusal, Verdict};
use std::{hint::black_box, time::Duration};

/// The number of instances of a large service.
const INSTANCE_COUNT: u64 = 36;

/// A decision with its limit on instructions.
pub struct Decision {
    pub name: &'static str,
    /// The maximum number of instructions of one round.
    pub max_instructions: u64,
    pub run: fn(rounds: u64),
}

/// All decisions whose instructions are counted.
pub const DECISIONS: &[Decision] = &[
    Decision {
        name: "admit-with-room",
        max_instructions: 605,
        run: admit_with_room,
    },
    Decision {
        name: "admit-overloaded",
        max_instructions: 1714,
        run: admit_overloaded,
    },
    Decision {
        name: "choose-instance",
        max_instructions: 1671,
        run: choose_instance,
    },
    Decision {
        name: "learn-threshold",
        max_instructions: 90,
        run: learn_threshold,
    },
    Decision {
        name: "next-step",
        max_instructions: 51,
        run: decide_next_step,
    },
    Decision {
        name: "token-once",
        // With a margin, since the hash depends on the vector unit of the machine.
        max_instructions: 12_300,
        run: token_once,
    },
];

fn gate() -> Gate {
    let cfg = GateConfig {
        slots: 20,
        queue_len: 20,
        queue_timeout: Duration::from_millis(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: None,
    };
    Gate::new(cfg, Duration::ZERO)
}

fn arrival(round: u64, now: Duration) -> Arrival {
    let importance = if round.is_multiple_of(5) {
        Importance::Critical
    } else {
        Importance::Normal
    };
    Arrival {
        id: round,
        priority: Priority::new(importance, (round * 37) as u8),
        is_nested_call: round.is_multiple_of(3),
        deadline: now + Duration::from_secs(1),
        level: 0,
    }
}

/// A request arrives, finds a slot, and ends.
fn admit_with_room(rounds: u64) {
    let mut gate = gate();
    for round in 0..rounds {
        let now = Duration::from_millis(round);
        black_box(gate.arrive(now, &arrival(round, now)));
        black_box(gate.finish(now, Outcome::Answered, Duration::from_millis(1)));
    }
}

/// Three requests arrive for each that ends, so the queue is full and requests are evicted.
fn admit_overloaded(rounds: u64) {
    let mut gate = gate();
    let mut in_flight = 0;
    for round in 0..rounds {
        let now = Duration::from_millis(round);
        let (decision, _) = gate.arrive(now, &arrival(round, now));
        in_flight += u64::from(decision == Admission::Admit);
        if round.is_multiple_of(3) && in_flight > 0 {
            let took = Duration::from_millis(40);
            let released = gate.finish(now, Outcome::Answered, took);
            in_flight += released.admitted.len() as u64;
            in_flight -= 1;
        }
    }
    black_box(gate.queued());
}

fn choose_instance(rounds: u64) {
    let start = Duration::ZERO;
    let instance = |id| Instance::new(Incarnation(id), id % 3 == 0, Duration::ZERO, start);
    let instances: Vec<Instance> = (0..INSTANCE_COUNT).map(instance).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    for round in 0..rounds {
        let now = Duration::from_millis(round);
        let Some(at) = choose(instances.iter(), now, &[], &mut rng) else {
            return;
        };
        instances[at].started();
        let load = (round % 90) as u16;
        black_box(instances[at].finished(now, InstanceReport::Answered { load }));
    }
}

/// An entry learns a threshold from an answer and reads it.
fn learn_threshold(rounds: u64) {
    let learned = LearnedThreshold::default();
    for round in 0..rounds {
        let now = Duration::from_millis(round);
        learned.observe(now, Priority((round % 300) as u16));
        black_box(learned.current(now));
    }
}

fn decide_next_step(rounds: u64) {
    for round in 0..rounds {
        let attempt = Attempt {
            verdict: if round.is_multiple_of(2) {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
            refusal: Some(Refusal::Overload),
            already_retried: round.is_multiple_of(3),
            repeatable: true,
            reroutes: (round % 3) as u32,
            attempts_left: (round % 5) as u32,
            attempts_needed: 2,
            has_time_left: true,
        };
        black_box(next_step(black_box(&attempt)));
    }
}

/// A token is issued, begins, ends, and is presented again.
fn token_once(rounds: u64) {
    let cfg = LedgerConfig {
        ttl: Duration::from_millis(100),
        capacity: 1_000,
        max_retained_bytes: 1_000_000,
    };
    let mut ledger = Ledger::new(Incarnation(1), cfg, [7; 32]);
    let mut rng = fastrand::Rng::with_seed(1);
    let fingerprint = Fingerprint(1);
    for round in 0..rounds {
        let now = Duration::from_millis(round);
        let Some(token) = ledger.issue(now, &mut rng) else {
            return;
        };
        if ledger.begin(now, &token, fingerprint) == BeginResult::MayRun {
            ledger.end(
                &token,
                Recorded {
                    verdict: Verdict::Ran,
                    status: 200,
                    content_type: None,
                    body: Some(vec![0; 64]),
                },
            );
        }
        black_box(ledger.begin(now, &token, fingerprint));
        ledger.evict_expired(now);
    }
}
