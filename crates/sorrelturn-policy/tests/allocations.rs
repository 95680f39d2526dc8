//! Guards against new heap allocations on the decision path. Uses its own `main` because the default harness
//! allocates on another thread while the process-wide counter runs.

use sorrelturn_policy::*;
use sorrelturn_protocol::{Importance, Incarnation, Priority};
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const ROUNDS: u64 = 1_000;

/// Returns the heap blocks that `f` allocates per round.
fn blocks_per_round(mut f: impl FnMut(u64)) -> f64 {
    // Excludes one-time allocations.
    f(0);
    let before = dhat::HeapStats::get().total_blocks;
    for round in 1..=ROUNDS {
        f(round);
    }
    (dhat::HeapStats::get().total_blocks - before) as f64 / ROUNDS as f64
}

fn main() {
    decisions_allocate_no_more_than_they_did();
    println!("test decisions_allocate_no_more_than_they_did ... ok");
    println!("\ntest result: ok. 1 passed; 0 failed");
}

fn decisions_allocate_no_more_than_they_did() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let cfg = GateConfig {
        slots: 20,
        queue_len: 20,
        queue_timeout: Duration::from_millis(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: None,
    };
    let mut gate = Gate::new(cfg, Duration::ZERO);
    let idle = blocks_per_round(|round| {
        let now = Duration::from_millis(round);
        let arrival = Arrival {
            id: round,
            priority: Priority::new(Importance::Normal, round as u8),
            is_nested_call: false,
            deadline: now + Duration::from_secs(1),
            level: 0,
        };
        assert_eq!(gate.arrive(now, &arrival), (Decision::Admit, None));
        gate.finish(now, Outcome::Answered, Duration::from_millis(1));
    });
    assert!(idle <= 0.0, "an admission with a free slot: {idle} blocks");

    let mut queue = EntryQueue::default();
    let level = LevelInForce {
        level: 0,
        rank_count: 2,
        lowest_bucket: 0,
    };
    let entry = blocks_per_round(|round| {
        let now = Duration::from_millis(round);
        let request = EntryRequest {
            id: round,
            rank: 0,
            is_refused: false,
            is_retry: false,
            may_wait: true,
            arrived_at: now,
            target: Duration::from_secs(1),
            deadline: now + Duration::from_secs(1),
        };
        assert_eq!(queue.offer(now, level, &request), Offer::LetIn);
        queue.release(now, level, |_, _| {});
        queue.record_duration(Duration::from_millis(1));
    });
    assert!(entry <= 0.0, "an entry where nobody waits: {entry} blocks");

    let instances: Vec<Instance> = (0..36)
        .map(|id| Instance::new(Incarnation(id), true, Duration::ZERO, Duration::ZERO))
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let choice = blocks_per_round(|round| {
        let now = Duration::from_millis(round);
        assert!(choose(instances.iter(), now, &[], &mut rng).is_some());
    });
    assert!(
        choice <= 0.0,
        "a choice among 36 instances: {choice} blocks"
    );

    let learned = LearnedThreshold::default();
    let learning = blocks_per_round(|round| {
        learned.observe(Duration::from_millis(round), Priority(300));
        learned.current(Duration::from_millis(round));
    });
    assert!(learning <= 0.0, "a learned threshold: {learning} blocks");
}
