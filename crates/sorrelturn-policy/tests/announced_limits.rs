//! Guards against backend servers that get more requests than the limit that they name in their responses.

use sorrelturn_policy::*;
use sorrelturn_protocol::{Importance, Priority, RequestRate};
use std::time::Duration;

const WINDOW_MS: u64 = 4_000;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

fn gate() -> Gate {
    let cfg = GateConfig {
        slots: 100,
        queue_len: 100,
        queue_timeout: ms(100),
        cold_start: Duration::ZERO,
        call_queue_timeout: Some(ms(250)),
    };
    Gate::new(cfg, ms(0))
}

fn arrival(id: u64, at: u64) -> Arrival {
    Arrival {
        id,
        priority: Priority::new(Importance::Normal, 9),
        is_nested_call: false,
        deadline: ms(at + 5_000),
        level: 0,
    }
}

/// Plays one arrival per millisecond, each answered at once with `named`, and returns when requests were admitted.
fn admissions(gate: &mut Gate, from: u64, until: u64, named: NamedLimit) -> Vec<u64> {
    let mut admitted = Vec::new();
    for at in from..until {
        let (decision, _) = gate.arrive(ms(at), &arrival(at, at));
        if decision == Decision::Admit {
            admitted.push(at);
            gate.announced_limit().record_answer(ms(at), ms(at), named);
            gate.finish(ms(at), Outcome::Answered, ms(10));
        }
    }
    admitted
}

fn max_in_window(admitted: &[u64]) -> usize {
    let count_from = |first: usize| {
        let end = admitted[first] + WINDOW_MS;
        admitted[first..].iter().filter(|at| **at < end).count()
    };
    (0..admitted.len()).map(count_from).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> f64 {
    OVERAGE * per_second * WINDOW_MS as f64 / 1_000.0 + SLACK
}

/// Guards against a limit that is named but not applied.
#[test]
fn a_backend_server_gets_no_more_requests_than_the_limit_that_it_names() {
    for per_second in [0.0, 0.001, 0.3, 1.0, 18.5, 25.8, 300.0] {
        let mut gate = gate();
        let named = NamedLimit::Rate(rate(per_second));
        gate.announced_limit().record_answer(ms(0), ms(0), named);
        let admitted = admissions(&mut gate, 0, 20_000, named);
        let most = max_in_window(&admitted);
        assert!(
            most as f64 <= allowed(per_second),
            "{most} in 4 s at {per_second}"
        );
    }
}
