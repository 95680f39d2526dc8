//! Guards against new heap allocations for the events of each request. Uses its own `main` because the default harness
//! allocates on another thread while the process-wide counter runs.

use sorrelturn_protocol::RequestId;
use sorrelturn_telemetry::{EventRing, Field, events};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const ROUNDS: u64 = 1_000;
/// Smaller than the number of rounds, so that each event replaces an earlier one.
const CAPACITY: usize = 64;

fn main() {
    an_event_of_a_request_allocates_only_its_list_of_fields();
    println!("test an_event_of_a_request_allocates_only_its_list_of_fields ... ok");
    println!("\ntest result: ok. 1 passed; 0 failed");
}

fn an_event_of_a_request_allocates_only_its_list_of_fields() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let ring = EventRing::new("i-1", CAPACITY);
    let record = |round: u64| {
        let fields = vec![
            Field::new("kind", "archive-read"),
            Field::new("depth", 1),
            Field::new("status", 200),
            Field::new("took_ms", round),
        ];
        let request = Some(RequestId(u128::from(round)));
        ring.record(&events::HOP_SERVED, request, fields);
    };
    record(0);
    let before = dhat::HeapStats::get().total_blocks;
    (0..ROUNDS).for_each(record);
    let blocks = dhat::HeapStats::get().total_blocks - before;
    assert!(blocks <= ROUNDS, "{blocks} blocks for {ROUNDS} events");
}
